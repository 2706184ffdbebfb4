"""Which moves a group's leader should start next."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from limedeck.api.peer_pb2 import AssignmentChange
from limedeck.control.leases import LeaseTable
from limedeck.control.moves import MovePhase, MoveProgress, MoveTable
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import BackendId, Seconds
from limedeck.keyspace.planning import Move, plan_balance_step, plan_evacuation
from limedeck.keyspace.slices import NO_OWNER, SliceMap

BUDGET_BURST_FRACTION = 0.25
"""Part of a minute's moves that may be started at once."""


@dataclass
class MoveBudget:
    """Token bucket for planned moves (the churn budget)."""

    tokens: float = 0.0
    refilled_at: Seconds = float("-inf")
    next_look_at: Seconds = float("-inf")

    def refill(self, limits: ControlLimits, now: Seconds) -> None:
        """Add the tokens that have become due."""
        capacity = limits.moves_per_minute * BUDGET_BURST_FRACTION
        earned = (now - self.refilled_at) * limits.moves_per_minute / 60
        self.tokens = min(capacity, self.tokens + earned)
        self.refilled_at = now


@dataclass
class NextMoves:
    """Moves to begin, and splits or merges to commit."""

    moves: list[MoveProgress] = field(default_factory=list)
    reshape: AssignmentChange = field(default_factory=AssignmentChange)


@dataclass(frozen=True)
class BalanceView:
    """What the planner looks at.

    Parameters
    ----------
    lost
        Owners whose lease has lapsed without a reply.
    leaving
        Owners that are drained or no longer configured.
    receivers
        Back ends that may be given slices.
    minimum_slices
        Slices that merging leaves at least.
    """

    slices: SliceMap
    leases: LeaseTable
    moves: MoveTable
    lost: set[BackendId]
    leaving: set[BackendId]
    receivers: Sequence[BackendId]
    minimum_slices: int


def plan_next_moves(
    view: BalanceView,
    budget: MoveBudget,
    timing: ControlTiming,
    limits: ControlLimits,
    now: Seconds,
) -> NextMoves:
    """Plan moves away from lost and leaving back ends first, then towards balance."""
    if not view.receivers:
        return NextMoves()
    urgent = _plan_lost(view, now)
    if urgent:
        return NextMoves(urgent)
    room = limits.concurrent_moves - len(view.moves)
    if room <= 0:
        return NextMoves()
    if view.leaving:
        return NextMoves(_plan_leaving(view, room, now))
    if now < budget.next_look_at:
        return NextMoves()
    budget.next_look_at = now + timing.rebalance_interval
    budget.refill(limits, now)
    return _plan_balance(view, budget, room, now)


def _measured_loads(view: BalanceView) -> dict[int, float]:
    loads: dict[int, float] = {}
    for lease in view.leases.backends.values():
        for start, rate in lease.loads.items():
            if view.slices.owner_of_start(start) == lease.backend_id:
                loads[start] = rate
    return loads


def _plan_lost(view: BalanceView, now: Seconds) -> list[MoveProgress]:
    has_unowned = view.slices.slice_count(NO_OWNER) > 0
    if not view.lost and not has_unowned:
        return []
    loads = _measured_loads(view)
    planned = plan_evacuation(view.slices, loads, view.lost, view.receivers)
    begun = []
    for move in planned:
        present = view.moves.get(move.start)
        if present is None or present.phase is MovePhase.WARMING:
            begun.append(_progress(move, MovePhase.RELEASING, now))
    return begun


def _plan_leaving(view: BalanceView, room: int, now: Seconds) -> list[MoveProgress]:
    loads = _measured_loads(view)
    planned = plan_evacuation(view.slices, loads, view.leaving, view.receivers)
    fresh = [move for move in planned if move.start not in view.moves]
    return [_progress(move, MovePhase.WARMING, now) for move in fresh[:room]]


def _plan_balance(view: BalanceView, budget: MoveBudget, room: int, now: Seconds) -> NextMoves:
    if len(view.moves) > 0:
        return NextMoves()
    allowed = min(room, int(budget.tokens))
    step = plan_balance_step(
        view.slices, _measured_loads(view), view.receivers, allowed, view.minimum_slices
    )
    budget.tokens -= len(step.moves)
    moves = [_progress(move, MovePhase.WARMING, now) for move in step.moves]
    return NextMoves(moves, step.reshape)


def _progress(move: Move, phase: MovePhase, now: Seconds) -> MoveProgress:
    return MoveProgress(move.start, move.source, move.target, phase, now)
