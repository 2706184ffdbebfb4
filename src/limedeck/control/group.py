"""One node's part in one control group: the decision loop over election, leases and moves.

The leader's loop, in order: take up new back ends; assign the line if nothing is assigned; let
moves go on; plan moves away from lost and draining back ends and towards balance; send lease
exchanges; replace voters; write the group's record through to the table; publish routes.
A node that does not lead only looks whether the group has to be started or recovered.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.api.peer_pb2 import (
    AssignmentChange,
    GroupMessage,
    GroupRecord,
    LogEntry,
    RouteUpdate,
)
from limedeck.control.assignment_leader import AssignmentLeader
from limedeck.control.consensus import ConsensusCore
from limedeck.control.consensus_state import TERMS_PER_EPOCH, OutgoingMessage, voter_set, voters_of
from limedeck.control.group_record import (
    FIRST_EPOCH,
    RecordCommand,
    RecordEvent,
    may_start_next_epoch,
    next_epoch_record,
)
from limedeck.control.group_view import GroupView, PublishRoutes, Wake
from limedeck.control.leases import LeaseExchange
from limedeck.control.record_keeper import RecordContents, RecordKeeper
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.control.voters import VoterSituation, plan_voter_change
from limedeck.identity import NEVER, BackendId, Fence, GroupId, Seconds, Voter
from limedeck.keyspace.hashing import rendezvous_weight

GroupCommand = OutgoingMessage | LeaseExchange | RecordCommand | PublishRoutes | Wake


@dataclass
class VoterChange:
    """A voter change under way.

    Parameters
    ----------
    voters
        The set that is to be in force.
    announced
        Whether the table names it.
    """

    voters: tuple[Voter, ...]
    announced: bool = False


class LeaderDuties:
    """State of one leader's term beyond consensus."""

    def __init__(self, term: int, assignment: AssignmentLeader) -> None:
        self.term = term
        self.assignment = assignment
        self.voter_change: VoterChange | None = None
        self.published_version = 0
        self.unpublished: list[LogEntry] = []


class GroupCore:
    """All decisions of one node for one control group."""

    def __init__(
        self,
        group: GroupId,
        identity: Voter,
        timing: ControlTiming,
        limits: ControlLimits,
        now: Seconds,
    ) -> None:
        self.group = group
        self.identity = identity
        self.timing = timing
        self.limits = limits
        self.view = GroupView()
        self.consensus = ConsensusCore(group, identity, timing, limits, now)
        self.duties: LeaderDuties | None = None
        self.keeper = RecordKeeper(group, timing)
        self._grants_held_until: Seconds = NEVER
        self._commands: list[GroupCommand] = []

    # ------------------------------------------------------------------ reading

    @property
    def epoch(self) -> int:
        """The group's epoch, as this node knows it."""
        return self.consensus.term // TERMS_PER_EPOCH

    def may_grant(self, now: Seconds) -> bool:
        """Whether this node may send grants at `now`."""
        return (
            self.consensus.holds_leadership(now)
            and self.consensus.has_applied_own_entry
            and now > self._grants_held_until
        )

    # ------------------------------------------------------------------ events

    def handle_tick(self, view: GroupView, now: Seconds) -> list[GroupCommand]:
        """Go through the decision loop with a fresh view of the world."""
        self.view = view
        self._commands.extend(self.consensus.handle_tick(now))
        return self._run(now, planning=True)

    def handle_message(
        self, sender: Voter, message: GroupMessage, now: Seconds
    ) -> list[GroupCommand]:
        """Handle another member's message."""
        self._commands.extend(self.consensus.handle_message(sender, message, now))
        return self._run(now)

    def handle_lease_reply(
        self, backend_id: BackendId, fence: Fence, reply: LeaseReply, now: Seconds
    ) -> list[GroupCommand]:
        """Handle a back end's reply to a lease exchange."""
        if self.duties is not None:
            assignment = self.duties.assignment
            if assignment.handle_reply(backend_id, fence, reply, now):
                self._commands.append(Wake(self.timing.release_poll_interval))
        return self._run(now)

    def handle_lease_failure(
        self, backend_id: BackendId, fence: Fence, now: Seconds
    ) -> list[GroupCommand]:
        """Take note that an exchange had no answer."""
        if self.duties is not None:
            self.duties.assignment.leases.handle_failure(backend_id, fence)
        return self._run(now)

    def handle_record_event(self, event: RecordEvent, now: Seconds) -> list[GroupCommand]:
        """Handle the table's answer to the last record command."""
        if self.keeper.handle(event):
            self._on_record_seen(now)
        return self._run(now)

    # ------------------------------------------------------------------ the loop

    def _run(self, now: Seconds, planning: bool = False) -> list[GroupCommand]:
        duties = self._refresh_duties()
        if duties is not None and self.consensus.holds_leadership(now):
            if self.consensus.has_applied_own_entry:
                self._lead(duties, now, planning)
        elif planning:
            self._consider_founding(now)
        commands = self._commands
        self._commands = []
        return commands

    def _refresh_duties(self) -> LeaderDuties | None:
        applied = self.consensus.take_applied()
        state = self.consensus.leader_state
        if state is None:
            self.duties = None
            return None
        if self.duties is None or self.duties.term != self.consensus.term:
            assignment = AssignmentLeader(
                self.consensus, self.timing, self.limits, state.elected_at
            )
            self.duties = LeaderDuties(self.consensus.term, assignment)
            self.keeper.forget()
        self.duties.unpublished.extend(applied)
        return self.duties

    def _lead(self, duties: LeaderDuties, now: Seconds, planning: bool) -> None:
        assignment = duties.assignment
        if planning:
            assignment.plan(self.view, self.may_grant(now), now)
            self._maintain_voters(duties, now)
            self._maintain_record(duties, now)
        assignment.advance(self.may_grant(now), now)
        self._commands.extend(assignment.due_exchanges(self.may_grant(now), now))
        self._publish(duties)
        if planning and (self.view.leaving or self._is_cut_off(duties, now)):
            self._hand_over(duties, now)

    def _is_cut_off(self, duties: LeaderDuties, now: Seconds) -> bool:
        """Whether most owners of slices do not answer this leader; they may answer another."""
        state = self.consensus.leader_state
        if state is None or now - state.elected_at < 2 * self.timing.longest_backend_lease:
            return False
        silent = duties.assignment.silent_owners(now)
        return 2 * len(silent) > len(self.consensus.slices.owners())

    def _hand_over(self, duties: LeaderDuties, now: Seconds) -> None:
        """Give leadership to another voter, once there is one."""
        if duties.assignment.moves.withheld_starts():
            # Nobody serves these; the moves end within milliseconds.
            return
        if len(self.consensus.committed_voters) > 1 and duties.voter_change is None:
            self._commands.extend(self.consensus.transfer_leadership(now))

    # ------------------------------------------------------------------ voters

    def _maintain_voters(self, duties: LeaderDuties, now: Seconds) -> None:
        if now <= self._grants_held_until or not self.keeper.is_known:
            return
        change = duties.voter_change
        if change is not None:
            self._advance_voter_change(duties, change, now)
            return
        situation = VoterSituation(
            group=self.group,
            leader=self.identity,
            voters=self.consensus.voters,
            lost=self._lost_voters(now),
            candidates=self.view.nodes,
            departing=self.view.departing,
            leader_leaves=self.view.leaving,
        )
        wanted = plan_voter_change(situation, self.limits.voters)
        if wanted is None:
            self.consensus.set_learners(())
            return
        added = [voter for voter in wanted if voter not in self.consensus.voters]
        self.consensus.set_learners(added)
        if all(self.consensus.has_caught_up(voter, now) for voter in added):
            duties.voter_change = VoterChange(wanted)

    def _lost_voters(self, now: Seconds) -> list[Voter]:
        return [
            voter
            for voter in self.consensus.voters
            if voter != self.identity and self._is_lost(voter, now)
        ]

    def _is_lost(self, voter: Voter, now: Seconds) -> bool:
        if self.view.evidence.proves_loss(voter):
            return True
        silent_for = now - self.consensus.last_reply_at(voter)
        return silent_for > self.timing.voter_loss_timeout

    def _advance_voter_change(
        self, duties: LeaderDuties, change: VoterChange, now: Seconds
    ) -> None:
        if not change.announced:
            return
        if set(self.consensus.committed_voters) == set(change.voters):
            duties.voter_change = None
        elif set(self.consensus.voters) != set(change.voters):
            self.consensus.propose_voters(change.voters, now)

    # ------------------------------------------------------------------ the record

    def _maintain_record(self, duties: LeaderDuties, now: Seconds) -> None:
        change = duties.voter_change
        is_urgent = change is not None and not change.announced
        if not self.keeper.may_access(now, is_urgent):
            return
        if not self.keeper.is_known:
            self._commands.append(self.keeper.read(now))
            return
        if self.keeper.epoch > self.epoch:
            return
        announced = change.voters if change is not None else ()
        wanted = RecordContents(self.epoch, self.consensus.commit_index, announced)
        if wanted != self.keeper.contents:
            self._commands.append(self.keeper.write(self._wanted_record(duties), now))

    def _wanted_record(self, duties: LeaderDuties) -> GroupRecord:
        record = GroupRecord(
            epoch=self.epoch,
            voters=voter_set(self.consensus.committed_voters),
            snapshot=self.consensus.snapshot(),
        )
        change = duties.voter_change
        if change is not None:
            record.next_voters.CopyFrom(voter_set(change.voters))
        return record

    def _on_record_seen(self, now: Seconds) -> None:
        """Act on what the table holds; an answer that was lost earlier is settled here."""
        record = self.keeper.record
        if record is None:
            return
        if record.epoch > self.epoch:
            self._enter_epoch(record, now)
            return
        change = self.duties.voter_change if self.duties else None
        contents = self.keeper.contents
        if change is not None and contents is not None:
            change.announced = change.announced or contents.next_voters == change.voters

    def _enter_epoch(self, record: GroupRecord, now: Seconds) -> None:
        if voters_of(record.voters) == (self.identity,):
            self._start_epoch(record, now)
        elif self.consensus.is_leader:
            # The group was started anew without this node: it leads nothing any more.
            self.consensus = ConsensusCore(self.group, self.identity, self.timing, self.limits, now)
            self.duties = None

    # ------------------------------------------------------------------ founding and recovery

    def _consider_founding(self, now: Seconds) -> None:
        if self.view.leaving or not self.view.backends or self._hears_leader(now):
            return
        if not self.keeper.may_access(now):
            return
        if not self.keeper.is_known:
            if self._may_be_founder():
                self._commands.append(self.keeper.read(now))
        elif self._is_founder() and self._may_found():
            own = self.consensus.snapshot()
            record = next_epoch_record(self.keeper.record, own, self.identity)
            self._commands.append(self.keeper.write(record, now))

    def _hears_leader(self, now: Seconds) -> bool:
        return not self.consensus.is_leader and self.consensus.has_heard_leader(now)

    def _may_found(self) -> bool:
        if self.keeper.record is None:
            return True
        return may_start_next_epoch(self.keeper.record, self.view.evidence, self.identity)

    def _may_be_founder(self) -> bool:
        """Whether to look at the record: with a copy of the group's state, or first in line.

        A voter that was admitted last may not know yet that it votes, but it holds a copy.
        """
        holds_copy = self.consensus.last_index > 0
        return holds_copy or self._is_first_of(self.view.nodes)

    def _is_founder(self) -> bool:
        """Whether this node is the one to start the group: a voter that is left, if there is."""
        left = [node for node in self.view.nodes if node in self.keeper.voters]
        return self._is_first_of(left or self.view.nodes)

    def _is_first_of(self, nodes: Sequence[Voter]) -> bool:
        if not nodes:
            return False
        best = max(nodes, key=lambda node: rendezvous_weight(node.node_id, self.group))
        return best == self.identity

    def _start_epoch(self, record: GroupRecord, now: Seconds) -> None:
        if record.epoch > FIRST_EPOCH:
            # An earlier leader may act until its leadership lease ends, and the grants it sent
            # until then hold for one lease more.
            self._grants_held_until = (
                now + self.timing.election_timeout + self.timing.longest_backend_lease
            )
        self.consensus.start_epoch(record.epoch, record.snapshot, now)

    # ------------------------------------------------------------------ routes

    def _publish(self, duties: LeaderDuties) -> None:
        if duties.published_version == 0:
            whole = self.consensus.slices.to_change()
            self._publish_change(duties, self.consensus.commit_index, whole)
        for entry in duties.unpublished:
            change = entry.assignment
            changes_something = len(change.upserts) + len(change.removed_starts) > 0
            if changes_something and entry.index > duties.published_version:
                self._publish_change(duties, entry.index, change)
        duties.unpublished.clear()

    def _publish_change(self, duties: LeaderDuties, version: int, change: AssignmentChange) -> None:
        update = RouteUpdate(
            group=self.group,
            version=version,
            previous_version=duties.published_version,
            change=change,
            leader=self.identity.to_message(),
        )
        duties.published_version = version
        self._commands.append(PublishRoutes(update))
