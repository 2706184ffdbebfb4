"""Slices of a group, as its leader assigns, moves and grants them by leases."""

from __future__ import annotations

from collections.abc import Sequence

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.control.balancing import BalanceView, MoveBudget, plan_next_moves
from limedeck.control.consensus import ConsensusCore
from limedeck.control.group_view import GroupView
from limedeck.control.leases import LeaseExchange, LeaseTable
from limedeck.control.moves import MovePhase, MoveProgress, MoveTable
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import BackendId, Fence, Seconds
from limedeck.keyspace.planning import initial_assignment
from limedeck.keyspace.slices import Slice, change_of

FIRST_ASSIGNMENT_MAX_WAIT: Seconds = 1.0
"""Maximum time a new group waits for unresponsive back ends before it assigns the key space."""


class AssignmentLeader:
    """State machine that assigns the slices of one group during one term of its leader.

    Parameters
    ----------
    consensus
        Consensus of the group, in the term that this node leads.
    elected_at
        Time on the leader's clock when its term began.
    """

    def __init__(
        self,
        consensus: ConsensusCore,
        timing: ControlTiming,
        limits: ControlLimits,
        elected_at: Seconds,
    ) -> None:
        self.view = GroupView()
        self.leases = LeaseTable(consensus.group, consensus.term, timing, elected_at)
        self.moves = MoveTable()
        self._consensus = consensus
        self._timing = timing
        self._limits = limits
        self._budget = MoveBudget()
        self._first_assignment_deadline = elected_at + FIRST_ASSIGNMENT_MAX_WAIT
        self._first_assignment_index = 0
        self._slices_by_owner: dict[BackendId, tuple[Slice, ...]] = {}
        self._slices_by_owner_index = 0

    def plan(self, view: GroupView, may_grant: bool, now: Seconds) -> None:
        """Replace the view, and propose the first assignment or start the moves it requires."""
        self.view = view
        self.leases.track({item.backend_id: item.address for item in view.backends.values()})
        if len(self._consensus.slices) == 0:
            self._propose_first_assignment(may_grant, now)
        elif may_grant and not view.leaving:
            self._plan_moves(now)

    def advance(self, may_grant: bool, now: Seconds) -> None:
        """Advance the moves in progress as far as possible."""
        self._finish_moves(now)
        self._advance_moves(may_grant, now)

    def unresponsive_owners(self, now: Seconds) -> list[BackendId]:
        """Owners of slices that are unresponsive."""
        return [
            owner
            for owner in self._consensus.slices.owners()
            if (lease := self.leases.lease(owner)) is None
            or not lease.is_responsive(now, self._timing)
        ]

    def handle_reply(
        self, backend_id: BackendId, fence: Fence, reply: LeaseReply, now: Seconds
    ) -> bool:
        """Apply a back end's reply; return whether it still has to release slices."""
        self.leases.handle_reply(backend_id, fence, reply, now)
        return backend_id in self.moves.releasing_sources()

    def _receivers(self, now: Seconds) -> list[BackendId]:
        """Back ends that may be given slices."""
        return [
            backend_id
            for backend_id, lease in sorted(self.leases.backends.items())
            if self._is_assignable(backend_id)
            and not lease.draining
            and lease.is_responsive(now, self._timing)
        ]

    def _is_assignable(self, backend_id: BackendId) -> bool:
        configured = self.view.backends.get(backend_id)
        return configured is not None and not configured.draining

    def _propose_first_assignment(self, may_grant: bool, now: Seconds) -> None:
        if self._first_assignment_index or not may_grant:
            return
        assignable = [item for item in self.view.backends if self._is_assignable(item)]
        receivers = self._receivers(now)
        if not assignable or len(receivers) == 0:
            return
        if len(receivers) < len(assignable) and now < self._first_assignment_deadline:
            return
        change = initial_assignment(receivers, self.view.slices_per_backend)
        self._first_assignment_index = self._consensus.propose_assignment(change, now)

    def _advance_moves(self, may_grant: bool, now: Seconds) -> None:
        if len(self.moves) == 0:
            return
        receivers = set(self._receivers(now))
        for move in self.moves.in_phase(MovePhase.WARMING):
            if move.target not in receivers:
                self.moves.drop(move)
            elif now - move.phase_since >= self._timing.warm_period:
                move.enter(MovePhase.RELEASING, now)
                self._schedule_exchange_now(move.source, now)
        released = []
        for move in self.moves.in_phase(MovePhase.RELEASING):
            if move.target not in receivers:
                self.moves.drop(move)
            elif self._is_released(move, now):
                released.append(move)
        if released and may_grant:
            self._commit_moves(released, now)

    def _is_released(self, move: MoveProgress, now: Seconds) -> bool:
        lease = self.leases.lease(move.source)
        if lease is not None and lease.has_released(move.start):
            return True
        return self.leases.has_lapsed(move.source, now)

    def _commit_moves(self, released: Sequence[MoveProgress], now: Seconds) -> None:
        change = change_of((move.start, move.target) for move in released)
        index = self._consensus.propose_assignment(change, now)
        for move in released:
            move.log_index = index
            move.enter(MovePhase.COMMITTING, now)
        self._finish_moves(now)

    def _finish_moves(self, now: Seconds) -> None:
        if len(self.moves) == 0:
            return
        for move in self.moves.finish_committed(self._consensus.commit_index):
            self._schedule_exchange_now(move.target, now)

    def _plan_moves(self, now: Seconds) -> None:
        slices = self._consensus.slices
        receivers = self._receivers(now)
        lapsed = {owner for owner in slices.owners() if self.leases.has_lapsed(owner, now)}
        lost = lapsed - set(receivers)
        leaving = {
            owner
            for owner in slices.owners() - lost
            if not self._is_assignable(owner) or self._is_draining(owner)
        }
        balance = BalanceView(
            slices=slices,
            leases=self.leases,
            moves=self.moves,
            lost=lost,
            leaving=leaving,
            receivers=receivers,
            minimum_slices=len(self.view.backends) * self.view.slices_per_backend,
        )
        plan = plan_next_moves(balance, self._budget, self._timing, self._limits, now)
        for move in plan.moves:
            self.moves.begin(move)
        if plan.reshape.upserts or plan.reshape.removed_starts:
            self._consensus.propose_assignment(plan.reshape, now)

    def _is_draining(self, backend_id: BackendId) -> bool:
        lease = self.leases.lease(backend_id)
        return lease is not None and lease.draining

    def _schedule_exchange_now(self, backend_id: BackendId, now: Seconds) -> None:
        lease = self.leases.lease(backend_id)
        if lease is not None:
            lease.next_exchange_at = now

    def due_exchanges(self, may_grant: bool, now: Seconds) -> list[LeaseExchange]:
        """Start the lease exchanges that are due; unless `may_grant`, they grant no slices."""
        for backend_id in sorted(self.moves.releasing_sources()):
            self._schedule_release_poll(backend_id)
        due = self.leases.due(now)
        if not due:
            return []
        withheld = self.moves.withheld_starts()
        exchanges = []
        for lease in due:
            owned = self._grantable_slices(lease.backend_id, withheld) if may_grant else ()
            warm = self._warm_slices(lease.backend_id)
            exchanges.append(self.leases.start_exchange(lease, owned, warm, now))
        return exchanges

    def _schedule_release_poll(self, backend_id: BackendId) -> None:
        lease = self.leases.lease(backend_id)
        if lease is not None:
            poll_at = lease.exchange_sent_at + self._timing.release_poll_interval
            lease.next_exchange_at = min(lease.next_exchange_at, poll_at)

    def _grantable_slices(self, backend_id: BackendId, withheld: set[int]) -> tuple[Slice, ...]:
        if self._slices_by_owner_index != self._consensus.commit_index:
            self._index_slices_by_owner()
        slices = self._slices_by_owner.get(backend_id, ())
        if not withheld:
            return slices
        return tuple(item for item in slices if item.start not in withheld)

    def _index_slices_by_owner(self) -> None:
        lists: dict[BackendId, list[Slice]] = {}
        for item in self._consensus.slices:
            lists.setdefault(item.owner, []).append(item)
        self._slices_by_owner = {owner: tuple(items) for owner, items in lists.items()}
        self._slices_by_owner_index = self._consensus.commit_index

    def _warm_slices(self, backend_id: BackendId) -> list[Slice]:
        starts = self.moves.warm_starts(backend_id)
        return [
            self._consensus.slices.slice_starting_at(start)
            for start in starts
            if self._consensus.slices.owner_of_start(start) is not None
        ]
