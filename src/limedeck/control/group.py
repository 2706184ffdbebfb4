"""Decision loop of one node in one control group: election, leases, moves, voters and record.

On a tick the leader plans the assignment (new back ends, initial assignment of the key space,
moves off lost and draining back ends, moves for balance), replaces voters and writes the group's
record through to the table. On every event it then advances moves, sends lease exchanges that are
due and publishes routes. A node that does not lead only checks whether the group has to be
founded or recovered.
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
from limedeck.control.record_access import RecordAccess, RecordSummary
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.control.voters import VoterPlanInputs, plan_voter_change
from limedeck.identity import NEVER, BackendId, Fence, GroupId, Seconds, Voter
from limedeck.keyspace.hashing import rendezvous_weight

GroupCommand = OutgoingMessage | LeaseExchange | RecordCommand | PublishRoutes | Wake


@dataclass
class VoterChange:
    """A voter change in progress.

    Parameters
    ----------
    voters
        The voter set to change to.
    announced
        Whether the record in the table names this set as the next one.
    """

    voters: tuple[Voter, ...]
    announced: bool = False


class LeadershipTerm:
    """State that a leader keeps for one term in addition to the consensus state."""

    def __init__(self, term: int, assignment: AssignmentLeader) -> None:
        self.term = term
        self.assignment = assignment
        self.voter_change: VoterChange | None = None
        self.published_version = 0
        self.unpublished: list[LogEntry] = []


class GroupCore:
    """State machine of one node for one control group."""

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
        self.leadership: LeadershipTerm | None = None
        self.record_access = RecordAccess(group, timing)
        self._grants_blocked_until: Seconds = NEVER
        self._commands: list[GroupCommand] = []

    # ------------------------------------------------------------------ reading

    @property
    def epoch(self) -> int:
        """The group's epoch according to this node's term."""
        return self.consensus.term // TERMS_PER_EPOCH

    def may_grant(self, now: Seconds) -> bool:
        """Whether this node may send grants at `now`."""
        return (
            self.consensus.holds_leadership(now)
            and self.consensus.has_applied_own_entry
            and now > self._grants_blocked_until
        )

    # ------------------------------------------------------------------ events

    def handle_tick(self, view: GroupView, now: Seconds) -> list[GroupCommand]:
        """Run the decision loop, including planning, with an updated view."""
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
        if self.leadership is not None:
            assignment = self.leadership.assignment
            if assignment.handle_reply(backend_id, fence, reply, now):
                self._commands.append(Wake(self.timing.release_poll_interval))
        return self._run(now)

    def handle_lease_failure(
        self, backend_id: BackendId, fence: Fence, now: Seconds
    ) -> list[GroupCommand]:
        """Handle a lease exchange that got no reply."""
        if self.leadership is not None:
            self.leadership.assignment.leases.handle_failure(backend_id, fence)
        return self._run(now)

    def handle_record_event(self, event: RecordEvent, now: Seconds) -> list[GroupCommand]:
        """Handle the table's response to the last record command."""
        if self.record_access.handle(event):
            self._handle_record(now)
        return self._run(now)

    # ------------------------------------------------------------------ the loop

    def _run(self, now: Seconds, planning: bool = False) -> list[GroupCommand]:
        leadership = self._refresh_leadership()
        if leadership is not None and self.consensus.holds_leadership(now):
            if self.consensus.has_applied_own_entry:
                self._lead(leadership, now, planning)
        elif planning:
            self._found_group_if_needed(now)
        commands = self._commands
        self._commands = []
        return commands

    def _refresh_leadership(self) -> LeadershipTerm | None:
        applied = self.consensus.drain_applied()
        state = self.consensus.leader_state
        if state is None:
            self.leadership = None
            return None
        if self.leadership is None or self.leadership.term != self.consensus.term:
            assignment = AssignmentLeader(
                self.consensus, self.timing, self.limits, state.elected_at
            )
            self.leadership = LeadershipTerm(self.consensus.term, assignment)
            self.record_access.invalidate()
        self.leadership.unpublished.extend(applied)
        return self.leadership

    def _lead(self, leadership: LeadershipTerm, now: Seconds, planning: bool) -> None:
        assignment = leadership.assignment
        if planning:
            assignment.plan(self.view, self.may_grant(now), now)
            self._maintain_voters(leadership, now)
            self._maintain_record(leadership, now)
        assignment.advance(self.may_grant(now), now)
        self._commands.extend(assignment.due_exchanges(self.may_grant(now), now))
        self._publish(leadership)
        if planning and (self.view.leaving or self._most_owners_unresponsive(leadership, now)):
            self._transfer_leadership(leadership, now)

    def _most_owners_unresponsive(self, leadership: LeadershipTerm, now: Seconds) -> bool:
        """Whether most slice owners do not respond to this leader; they may respond to another."""
        state = self.consensus.leader_state
        if state is None or now - state.elected_at < 2 * self.timing.longest_backend_lease:
            return False
        unresponsive = leadership.assignment.unresponsive_owners(now)
        return 2 * len(unresponsive) > len(self.consensus.slices.owners())

    def _transfer_leadership(self, leadership: LeadershipTerm, now: Seconds) -> None:
        """Transfer leadership once another voter is committed and no voter change is open."""
        if leadership.assignment.moves.withheld_starts():
            # No back end serves these slices until their moves end, within milliseconds.
            return
        if len(self.consensus.committed_voters) > 1 and leadership.voter_change is None:
            self._commands.extend(self.consensus.transfer_leadership(now))

    # ------------------------------------------------------------------ voters

    def _maintain_voters(self, leadership: LeadershipTerm, now: Seconds) -> None:
        if now <= self._grants_blocked_until or not self.record_access.is_known:
            return
        change = leadership.voter_change
        if change is not None:
            self._advance_voter_change(leadership, change, now)
            return
        inputs = VoterPlanInputs(
            group=self.group,
            leader=self.identity,
            voters=self.consensus.voters,
            lost=self._lost_voters(now),
            candidates=self.view.nodes,
            departing=self.view.departing,
            leader_leaves=self.view.leaving,
        )
        planned = plan_voter_change(inputs, self.limits.voters)
        if planned is None:
            self.consensus.set_learners(())
            return
        added = [voter for voter in planned if voter not in self.consensus.voters]
        self.consensus.set_learners(added)
        if all(self.consensus.has_caught_up(voter, now) for voter in added):
            leadership.voter_change = VoterChange(planned)

    def _lost_voters(self, now: Seconds) -> list[Voter]:
        return [
            voter
            for voter in self.consensus.voters
            if voter != self.identity and self._is_lost(voter, now)
        ]

    def _is_lost(self, voter: Voter, now: Seconds) -> bool:
        if self.view.evidence.proves_loss(voter):
            return True
        since_last_reply = now - self.consensus.last_reply_at(voter)
        return since_last_reply > self.timing.voter_loss_timeout

    def _advance_voter_change(
        self, leadership: LeadershipTerm, change: VoterChange, now: Seconds
    ) -> None:
        if not change.announced:
            return
        if set(self.consensus.committed_voters) == set(change.voters):
            leadership.voter_change = None
        elif set(self.consensus.voters) != set(change.voters):
            self.consensus.propose_voters(change.voters, now)

    # ------------------------------------------------------------------ the record

    def _maintain_record(self, leadership: LeadershipTerm, now: Seconds) -> None:
        change = leadership.voter_change
        is_urgent = change is not None and not change.announced
        if not self.record_access.may_access(now, is_urgent):
            return
        if not self.record_access.is_known:
            self._commands.append(self.record_access.read(now))
            return
        if self.record_access.epoch > self.epoch:
            return
        announced = change.voters if change is not None else ()
        expected = RecordSummary(self.epoch, self.consensus.commit_index, announced)
        if expected != self.record_access.summary:
            self._commands.append(self.record_access.write(self._build_record(leadership), now))

    def _build_record(self, leadership: LeadershipTerm) -> GroupRecord:
        record = GroupRecord(
            epoch=self.epoch,
            voters=voter_set(self.consensus.committed_voters),
            snapshot=self.consensus.snapshot(),
        )
        change = leadership.voter_change
        if change is not None:
            record.next_voters.CopyFrom(voter_set(change.voters))
        return record

    def _handle_record(self, now: Seconds) -> None:
        """Act on the record in the table; this also settles a write whose response was lost."""
        record = self.record_access.record
        if record is None:
            return
        if record.epoch > self.epoch:
            self._enter_epoch(record, now)
            return
        change = self.leadership.voter_change if self.leadership else None
        summary = self.record_access.summary
        if change is not None and summary is not None:
            change.announced = change.announced or summary.next_voters == change.voters

    def _enter_epoch(self, record: GroupRecord, now: Seconds) -> None:
        if voters_of(record.voters) == (self.identity,):
            self._start_epoch(record, now)
        elif self.consensus.is_leader:
            # A new epoch was founded without this node, which therefore no longer leads.
            self.consensus = ConsensusCore(self.group, self.identity, self.timing, self.limits, now)
            self.leadership = None

    # ------------------------------------------------------------------ founding and recovery

    def _found_group_if_needed(self, now: Seconds) -> None:
        if self.view.leaving or not self.view.backends or self._has_other_leader(now):
            return
        if not self.record_access.may_access(now):
            return
        if not self.record_access.is_known:
            if self._should_read_record():
                self._commands.append(self.record_access.read(now))
        elif self._is_founder() and self._may_found_epoch():
            own_snapshot = self.consensus.snapshot()
            record = next_epoch_record(self.record_access.record, own_snapshot, self.identity)
            self._commands.append(self.record_access.write(record, now))

    def _has_other_leader(self, now: Seconds) -> bool:
        return not self.consensus.is_leader and self.consensus.has_recent_append(now)

    def _may_found_epoch(self) -> bool:
        if self.record_access.record is None:
            return True
        return may_start_next_epoch(self.record_access.record, self.view.evidence, self.identity)

    def _should_read_record(self) -> bool:
        """Whether this node holds a copy of the group's state or is first by rendezvous hashing.

        The voter admitted last may not know yet that it is a voter, but it holds a copy.
        """
        holds_copy = self.consensus.last_index > 0
        return holds_copy or self._is_first_by_hash(self.view.nodes)

    def _is_founder(self) -> bool:
        """Whether this node founds the group: the first live voter, else the first live node."""
        remaining_voters = [node for node in self.view.nodes if node in self.record_access.voters]
        return self._is_first_by_hash(remaining_voters or self.view.nodes)

    def _is_first_by_hash(self, nodes: Sequence[Voter]) -> bool:
        if not nodes:
            return False
        best = max(nodes, key=lambda node: rendezvous_weight(node.node_id, self.group))
        return best == self.identity

    def _start_epoch(self, record: GroupRecord, now: Seconds) -> None:
        if record.epoch > FIRST_EPOCH:
            # A leader of the earlier epoch may act until its leadership lease ends, and the grants
            # it sends until then are valid for one more back-end lease.
            self._grants_blocked_until = (
                now + self.timing.election_timeout + self.timing.longest_backend_lease
            )
        self.consensus.start_epoch(record.epoch, record.snapshot, now)

    # ------------------------------------------------------------------ routes

    def _publish(self, leadership: LeadershipTerm) -> None:
        if leadership.published_version == 0:
            full_assignment = self.consensus.slices.to_change()
            self._publish_change(leadership, self.consensus.commit_index, full_assignment)
        for entry in leadership.unpublished:
            change = entry.assignment
            has_changes = len(change.upserts) + len(change.removed_starts) > 0
            if has_changes and entry.index > leadership.published_version:
                self._publish_change(leadership, entry.index, change)
        leadership.unpublished.clear()

    def _publish_change(
        self, leadership: LeadershipTerm, version: int, change: AssignmentChange
    ) -> None:
        update = RouteUpdate(
            group=self.group,
            version=version,
            previous_version=leadership.published_version,
            change=change,
            leader=self.identity.to_message(),
        )
        leadership.published_version = version
        self._commands.append(PublishRoutes(update))
