"""Planning of the moves that a group's leader starts next."""

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
"""Fraction of a minute's moves that may be started at once."""


@dataclass
class MoveBudget:
    """Token bucket for planned moves (the churn budget)."""

    tokens: float = 0.0
    refilled_at: Seconds = float("-inf")
    next_check_at: Seconds = float("-inf")

    def refill(self, limits: ControlLimits, now: Seconds) -> None:
        """Add the tokens earned since the last refill, up to the burst limit."""
        capacity = limits.moves_per_minute * BUDGET_BURST_FRACTION
        earned = (now - self.refilled_at) * limits.moves_per_minute / 60
        self.tokens = min(capacity, self.tokens + earned)
        self.refilled_at = now


@dataclass
class NextMoves:
    """Moves to start, and splits or merges to commit."""

    moves: list[MoveProgress] = field(default_factory=list)
    reshape: AssignmentChange = field(default_factory=AssignmentChange)


@dataclass(frozen=True)
class BalanceView:
    """Input of the planner.

    Parameters
    ----------
    lost
        Owners whose lease has lapsed and that are not among the receivers.
    leaving
        Owners that are draining or no longer configured.
    receivers
        Back ends that may be given slices.
    minimum_slices
        Minimum number of slices that merging leaves.
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
    """Plan moves: first away from lost, then from leaving back ends, then to balance load."""
    if not view.receivers:
        return NextMoves()
    urgent = _plan_lost(view, now)
    if urgent:
        return NextMoves(urgent)
    free_slots = limits.concurrent_moves - len(view.moves)
    if free_slots <= 0:
        return NextMoves()
    if view.leaving:
        return NextMoves(_plan_leaving(view, free_slots, now))
    if now < budget.next_check_at:
        return NextMoves()
    budget.next_check_at = now + timing.rebalance_interval
    budget.refill(limits, now)
    return _plan_balance(view, budget, free_slots, now)


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
    started = []
    for move in planned:
        current = view.moves.get(move.start)
        if current is None or current.phase is MovePhase.WARMING:
            started.append(_start_move(move, MovePhase.RELEASING, now))
    return started


def _plan_leaving(view: BalanceView, free_slots: int, now: Seconds) -> list[MoveProgress]:
    loads = _measured_loads(view)
    planned = plan_evacuation(view.slices, loads, view.leaving, view.receivers)
    new_moves = [move for move in planned if move.start not in view.moves]
    return [_start_move(move, MovePhase.WARMING, now) for move in new_moves[:free_slots]]


def _plan_balance(
    view: BalanceView, budget: MoveBudget, free_slots: int, now: Seconds
) -> NextMoves:
    if len(view.moves) > 0:
        return NextMoves()
    allowed = min(free_slots, int(budget.tokens))
    step = plan_balance_step(
        view.slices, _measured_loads(view), view.receivers, allowed, view.minimum_slices
    )
    budget.tokens -= len(step.moves)
    moves = [_start_move(move, MovePhase.WARMING, now) for move in step.moves]
    return NextMoves(moves, step.reshape)


def _start_move(move: Move, phase: MovePhase, now: Seconds) -> MoveProgress:
    return MoveProgress(move.start, move.source, move.target, phase, now)
