"""One node's part in one control group: the decision loop over election, leases and moves.

The leader's loop, in order: take up new back ends; assign the line if nothing is assigned; let
moves go on; plan moves away from lost and draining back ends and towards balance; send lease
exchanges; replace voters; write the group's record through to the table; publish routes.
A node that does not lead only looks whether the group has to be started or recovered.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.api.peer_pb2 import (
    AssignmentChange,
    GroupMessage,
    GroupRecord,
    LogEntry,
    RouteUpdate,
)
from limedeck.control.balancing import BalanceView, MoveBudget, plan_next_moves
from limedeck.control.consensus import (
    TERMS_PER_EPOCH,
    ConsensusCore,
    OutgoingMessage,
    voter_set,
)
from limedeck.control.group_record import (
    FIRST_EPOCH,
    LossEvidence,
    ReadRecord,
    RecordCommand,
    RecordConflict,
    RecordEvent,
    RecordRead,
    RecordUnavailable,
    RecordWritten,
    WriteRecord,
    may_start_next_epoch,
    next_epoch_record,
    record_voters,
)
from limedeck.control.leases import LeaseExchange, LeaseTable
from limedeck.control.moves import MovePhase, MoveProgress, MoveTable
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.control.voters import VoterSituation, plan_voter_change
from limedeck.identity import BackendId, Fence, GroupId, Seconds, Voter
from limedeck.keyspace.hashing import rendezvous_weight
from limedeck.keyspace.planning import initial_assignment
from limedeck.keyspace.slices import Slice, change_of

NEVER: Seconds = float("-inf")
FIRST_ASSIGNMENT_PATIENCE: Seconds = 1.0
"""How long a new group waits for back ends that do not answer before it assigns the line."""


@dataclass(frozen=True)
class GroupBackend:
    """A back end of the group's service, as configured."""

    backend_id: BackendId
    address: str
    draining: bool


@dataclass(frozen=True)
class GroupView:
    """What a group knows of the world outside it.

    Parameters
    ----------
    backends
        The service's configured back ends, by id.
    slices_per_backend
        Slices for each back end in the first assignment.
    nodes
        Live nodes that may vote, this one included.
    evidence
        What proves that a run of a node is over.
    departing
        Nodes that are about to stop.
    leaving
        This node is about to stop.
    """

    backends: dict[BackendId, GroupBackend] = field(default_factory=dict)
    slices_per_backend: int = 50
    nodes: tuple[Voter, ...] = ()
    evidence: LossEvidence = field(default_factory=lambda: LossEvidence(None, {}))
    departing: frozenset[Voter] = frozenset()
    leaving: bool = False


@dataclass(frozen=True)
class PublishRoutes:
    """Command: spread a group's assignment to the routers."""

    update: RouteUpdate


@dataclass(frozen=True)
class Wake:
    """Command: deliver a tick after a delay, earlier than the next regular one."""

    delay: Seconds


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

    def __init__(
        self, group: GroupId, term: int, timing: ControlTiming, elected_at: Seconds
    ) -> None:
        self.term = term
        self.leases = LeaseTable(group, term, timing, elected_at)
        self.moves = MoveTable()
        self.budget = MoveBudget()
        self.first_assignment_due = elected_at + FIRST_ASSIGNMENT_PATIENCE
        self.first_assignment_index = 0
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
        self.record: GroupRecord | None = None
        self.record_revision = 0
        self.record_known = False
        self._record_contents: tuple[int, int, tuple[Voter, ...]] | None = None
        self._record_busy = False
        self._pending_record: GroupRecord | None = None
        self._next_record_access: Seconds = NEVER
        self._grants_held_until: Seconds = NEVER
        self._commands: list[GroupCommand] = []
        self._slices_by_owner: dict[BackendId, tuple[Slice, ...]] = {}
        self._slices_by_owner_index = 0

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
            self.duties.leases.handle_reply(backend_id, fence, reply, now)
            if backend_id in self.duties.moves.releasing_sources():
                self._commands.append(Wake(self.timing.release_poll_interval))
        return self._run(now)

    def handle_lease_failure(
        self, backend_id: BackendId, fence: Fence, now: Seconds
    ) -> list[GroupCommand]:
        """Take note that an exchange had no answer."""
        if self.duties is not None:
            self.duties.leases.handle_failure(backend_id, fence)
        return self._run(now)

    def handle_record_event(self, event: RecordEvent, now: Seconds) -> list[GroupCommand]:
        """Handle the table's answer to the last record command."""
        self._record_busy = False
        if isinstance(event, RecordRead):
            self._on_record_read(event, now)
        elif isinstance(event, RecordWritten):
            self._on_record_written(event, now)
        else:
            self._on_record_failure(event, now)
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
            self.duties = LeaderDuties(
                self.group, self.consensus.term, self.timing, state.elected_at
            )
            self.record_known = False
        self.duties.unpublished.extend(applied)
        return self.duties

    def _lead(self, duties: LeaderDuties, now: Seconds, planning: bool) -> None:
        self._finish_moves(duties, now)
        if planning:
            self._plan(duties, now)
        self._advance_moves(duties, now)
        self._send_exchanges(duties, now)
        self._publish(duties)

    def _plan(self, duties: LeaderDuties, now: Seconds) -> None:
        duties.leases.track({item.backend_id: item.address for item in self.view.backends.values()})
        if len(self.consensus.slices) == 0:
            self._assign_first(duties, now)
        else:
            self._plan_moves(duties, now)
        self._maintain_voters(duties, now)
        self._maintain_record(duties, now)
        if self.view.leaving:
            self._hand_over(duties, now)

    def _hand_over(self, duties: LeaderDuties, now: Seconds) -> None:
        """Give leadership to another voter, once there is one."""
        if duties.moves.withheld_starts():
            # Nobody serves these; the moves end within milliseconds.
            return
        if len(self.consensus.committed_voters) > 1 and duties.voter_change is None:
            self._commands.extend(self.consensus.transfer_leadership(now))

    # ------------------------------------------------------------------ assignment

    def _receivers(self, duties: LeaderDuties, now: Seconds) -> list[BackendId]:
        """Back ends that may be given slices."""
        return [
            backend_id
            for backend_id, lease in sorted(duties.leases.backends.items())
            if self._wants_slices(backend_id)
            and not lease.draining
            and lease.is_responsive(now, self.timing)
        ]

    def _wants_slices(self, backend_id: BackendId) -> bool:
        configured = self.view.backends.get(backend_id)
        return configured is not None and not configured.draining

    def _assign_first(self, duties: LeaderDuties, now: Seconds) -> None:
        if duties.first_assignment_index or not self.may_grant(now):
            return
        wanted = [item for item in self.view.backends if self._wants_slices(item)]
        receivers = self._receivers(duties, now)
        if not wanted or len(receivers) == 0:
            return
        if len(receivers) < len(wanted) and now < duties.first_assignment_due:
            return
        change = initial_assignment(receivers, self.view.slices_per_backend)
        duties.first_assignment_index = self.consensus.propose_assignment(change, now)

    def _advance_moves(self, duties: LeaderDuties, now: Seconds) -> None:
        if len(duties.moves) == 0:
            return
        receivers = set(self._receivers(duties, now))
        for move in duties.moves.in_phase(MovePhase.WARMING):
            if move.target not in receivers:
                duties.moves.drop(move)
            elif now - move.phase_since >= self.timing.warm_period:
                move.enter(MovePhase.RELEASING, now)
                self._hasten_exchange(duties, move.source, now)
        released = []
        for move in duties.moves.in_phase(MovePhase.RELEASING):
            if move.target not in receivers:
                duties.moves.drop(move)
            elif self._is_released(duties, move, now):
                released.append(move)
        if released and self.may_grant(now):
            self._commit_moves(duties, released, now)

    def _is_released(self, duties: LeaderDuties, move: MoveProgress, now: Seconds) -> bool:
        lease = duties.leases.lease(move.source)
        if lease is not None and lease.has_released(move.start):
            return True
        return duties.leases.has_lapsed(move.source, now)

    def _commit_moves(
        self, duties: LeaderDuties, released: Sequence[MoveProgress], now: Seconds
    ) -> None:
        change = change_of((move.start, move.target) for move in released)
        index = self.consensus.propose_assignment(change, now)
        for move in released:
            move.log_index = index
            move.enter(MovePhase.COMMITTING, now)
        self._finish_moves(duties, now)

    def _finish_moves(self, duties: LeaderDuties, now: Seconds) -> None:
        if len(duties.moves) == 0:
            return
        for move in duties.moves.finish_committed(self.consensus.commit_index):
            self._hasten_exchange(duties, move.target, now)

    def _plan_moves(self, duties: LeaderDuties, now: Seconds) -> None:
        if not self.may_grant(now) or self.view.leaving:
            return
        slices = self.consensus.slices
        receivers = self._receivers(duties, now)
        lapsed = {owner for owner in slices.owners() if duties.leases.has_lapsed(owner, now)}
        lost = lapsed - set(receivers)
        leaving = {
            owner
            for owner in slices.owners() - lost
            if not self._wants_slices(owner) or self._is_draining(duties, owner)
        }
        view = BalanceView(
            slices=slices,
            leases=duties.leases,
            moves=duties.moves,
            lost=lost,
            leaving=leaving,
            receivers=receivers,
            minimum_slices=len(self.view.backends) * self.view.slices_per_backend,
        )
        plan = plan_next_moves(view, duties.budget, self.timing, self.limits, now)
        for move in plan.moves:
            duties.moves.begin(move)
        if plan.reshape.upserts or plan.reshape.removed_starts:
            self.consensus.propose_assignment(plan.reshape, now)

    def _is_draining(self, duties: LeaderDuties, backend_id: BackendId) -> bool:
        lease = duties.leases.lease(backend_id)
        return lease is not None and lease.draining

    # ------------------------------------------------------------------ leases

    def _hasten_exchange(self, duties: LeaderDuties, backend_id: BackendId, now: Seconds) -> None:
        lease = duties.leases.lease(backend_id)
        if lease is not None:
            lease.next_exchange_at = now

    def _send_exchanges(self, duties: LeaderDuties, now: Seconds) -> None:
        releasing = duties.moves.releasing_sources()
        for backend_id in releasing:
            lease = duties.leases.lease(backend_id)
            if lease is not None:
                poll_at = lease.exchange_sent_at + self.timing.release_poll_interval
                lease.next_exchange_at = min(lease.next_exchange_at, poll_at)
        due = duties.leases.due(now)
        if not due:
            return
        withheld = duties.moves.withheld_starts()
        granting = self.may_grant(now)
        for lease in due:
            owned = self._grantable(lease.backend_id, withheld) if granting else ()
            warm = self._warm_slices(duties, lease.backend_id)
            self._commands.append(duties.leases.start_exchange(lease, owned, warm, now))

    def _grantable(self, backend_id: BackendId, withheld: set[int]) -> tuple[Slice, ...]:
        if self._slices_by_owner_index != self.consensus.commit_index:
            self._index_slices_by_owner()
        slices = self._slices_by_owner.get(backend_id, ())
        if not withheld:
            return slices
        return tuple(item for item in slices if item.start not in withheld)

    def _index_slices_by_owner(self) -> None:
        lists: dict[BackendId, list[Slice]] = {}
        for item in self.consensus.slices:
            lists.setdefault(item.owner, []).append(item)
        self._slices_by_owner = {owner: tuple(items) for owner, items in lists.items()}
        self._slices_by_owner_index = self.consensus.commit_index

    def _warm_slices(self, duties: LeaderDuties, backend_id: BackendId) -> list[Slice]:
        starts = duties.moves.warm_starts(backend_id)
        return [
            self.consensus.slices.slice_starting_at(start)
            for start in starts
            if self.consensus.slices.owner_of_start(start) is not None
        ]

    # ------------------------------------------------------------------ voters

    def _maintain_voters(self, duties: LeaderDuties, now: Seconds) -> None:
        if now <= self._grants_held_until or not self.record_known:
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
        if self._record_busy or (now < self._next_record_access and not is_urgent):
            return
        if not self.record_known:
            self._read_record(now)
            return
        if self.record is not None and self.record.epoch > self.epoch:
            return
        announced = change.voters if change is not None else ()
        wanted = (self.epoch, self.consensus.commit_index, announced)
        if wanted != self._record_contents:
            self._write_record(self._wanted_record(duties), now)

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

    def _read_record(self, now: Seconds) -> None:
        self._record_busy = True
        self._next_record_access = now + self.timing.record_write_interval
        self._commands.append(ReadRecord(self.group))

    def _write_record(self, record: GroupRecord, now: Seconds) -> None:
        self._record_busy = True
        self._next_record_access = now + self.timing.record_write_interval
        self._pending_record = record
        self._commands.append(WriteRecord(self.group, record, self.record_revision))

    def _on_record_read(self, event: RecordRead, now: Seconds) -> None:
        self.record_known = True
        self._adopt_record(event.record, event.revision, now)

    def _on_record_written(self, event: RecordWritten, now: Seconds) -> None:
        record = self._pending_record
        self._pending_record = None
        if record is not None:
            self._adopt_record(record, event.revision, now)

    def _adopt_record(self, record: GroupRecord | None, revision: int, now: Seconds) -> None:
        """Take note of what the table holds; an answer lost earlier is settled here."""
        self.record = record
        self.record_revision = revision
        self._record_contents = None
        if record is None:
            return
        next_voters = record_voters(record.next_voters)
        self._record_contents = (record.epoch, record.snapshot.last_index, next_voters)
        if record.epoch > self.epoch:
            self._enter_epoch(record, now)
            return
        change = self.duties.voter_change if self.duties else None
        if change is not None and next_voters == change.voters:
            change.announced = True
            self._next_record_access = now

    def _enter_epoch(self, record: GroupRecord, now: Seconds) -> None:
        if record_voters(record.voters) == (self.identity,):
            self._start_epoch(record, now)
        elif self.consensus.is_leader:
            # The group was started anew without this node: it leads nothing any more.
            self.consensus = ConsensusCore(self.group, self.identity, self.timing, self.limits, now)
            self.duties = None

    def _on_record_failure(self, event: RecordConflict | RecordUnavailable, now: Seconds) -> None:
        # Whether a write without an answer took effect is settled by reading the row again.
        self._pending_record = None
        self.record_known = False
        self._next_record_access = now + self.timing.record_write_interval

    # ------------------------------------------------------------------ founding and recovery

    def _consider_founding(self, now: Seconds) -> None:
        if self._record_busy or now < self._next_record_access or self.view.leaving:
            return
        if not self.view.backends or self._hears_leader(now):
            return
        if not self.record_known:
            if self._may_be_founder():
                self._read_record(now)
        elif self._is_founder() and self._may_found():
            own = self.consensus.snapshot()
            self._write_record(next_epoch_record(self.record, own, self.identity), now)

    def _hears_leader(self, now: Seconds) -> bool:
        return not self.consensus.is_leader and self.consensus.has_heard_leader(now)

    def _may_found(self) -> bool:
        if self.record is None:
            return True
        return may_start_next_epoch(self.record, self.view.evidence, self.identity)

    def _may_be_founder(self) -> bool:
        """Whether to look at the record: as a voter, or as the first in line of all nodes."""
        return self.identity in self.consensus.voters or self._is_first_of(self.view.nodes)

    def _is_founder(self) -> bool:
        """Whether this node is the one to start the group: a voter that is left, if there is."""
        voters = record_voters(self.record.voters) if self.record else ()
        left = [node for node in self.view.nodes if node in voters]
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
