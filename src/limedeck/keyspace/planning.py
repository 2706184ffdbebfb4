"""Planning who should own which slice: pure functions over a slice map and measured loads."""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import AssignmentChange
from limedeck.identity import BackendId
from limedeck.keyspace.hashing import KEY_LINE_END, even_cuts
from limedeck.keyspace.slices import NO_OWNER, Slice, SliceMap, change_of

UNIFORM_LOAD_WEIGHT = 0.05
"""Part of a slice's weight that comes from its width, so that idle slices still count."""
EVEN_RATE_PER_BACKEND = 10.0
"""Requests a second for each back end that weights assume to be spread evenly: below this, what
is measured is mostly chance."""
BALANCE_TOLERANCE = 1.1
"""Highest over mean weight that the rebalancer leaves alone."""
SPLIT_SHARE_OF_MEAN = 0.25
"""A slice heavier than this part of the mean back end's weight is split."""
SPLIT_RATE = 10.0
"""A slice with fewer requests a second is not split: the measurement would be noise."""
MERGE_SHARE_OF_MEAN = 0.002
"""Two neighbours of one owner lighter than this together are merged."""
MINIMUM_SPLIT_WIDTH = KEY_LINE_END >> 24
"""A narrower slice holds a few keys at most; splitting it would not spread a hot one."""
SPLITS_AT_ONCE = 8
MERGES_AT_ONCE = 8


@dataclass(frozen=True)
class Move:
    """A slice that should change owner.

    Parameters
    ----------
    start
        Start of the slice.
    source, target
        Present and wanted owner; the source is `NO_OWNER` for an unowned slice.
    """

    start: int
    source: BackendId
    target: BackendId


def initial_assignment(backends: Sequence[BackendId], slices_per_backend: int) -> AssignmentChange:
    """Cut the line evenly and deal the slices out in turn."""
    starts = even_cuts(len(backends) * slices_per_backend)
    return change_of((start, backends[index % len(backends)]) for index, start in enumerate(starts))


def slice_weights(
    slices: SliceMap, loads: Mapping[int, float], backend_count: int
) -> dict[int, float]:
    """Weight of each slice, by its start: measured load plus a part for its width.

    Parameters
    ----------
    slices
        The slice map.
    loads
        Requests per second by slice start; a missing slice counts as idle.
    """
    even_rate = EVEN_RATE_PER_BACKEND * backend_count
    width_weight = max(UNIFORM_LOAD_WEIGHT * sum(loads.values()), even_rate)
    return {item.start: loads.get(item.start, 0.0) + item.share * width_weight for item in slices}


def backend_weights(
    slices: SliceMap, weights: Mapping[int, float], backends: Sequence[BackendId]
) -> dict[BackendId, float]:
    """Sum of slice weights for each of `backends`."""
    totals = dict.fromkeys(backends, 0.0)
    for item in slices:
        if item.owner in totals:
            totals[item.owner] += weights[item.start]
    return totals


def plan_evacuation(
    slices: SliceMap,
    loads: Mapping[int, float],
    leaving: set[BackendId],
    receivers: Sequence[BackendId],
) -> list[Move]:
    """Give every slice of `leaving` owners, and every unowned one, to the lightest receiver."""
    if not receivers:
        return []
    weights = slice_weights(slices, loads, len(receivers))
    totals = backend_weights(slices, weights, receivers)
    queue = [(weight, backend) for backend, weight in totals.items()]
    heapq.heapify(queue)
    homeless = [item for item in slices if item.owner in leaving or item.owner == NO_OWNER]
    homeless.sort(key=lambda item: (-weights[item.start], item.start))
    moves = []
    for item in homeless:
        weight, target = heapq.heappop(queue)
        moves.append(Move(item.start, item.owner, target))
        heapq.heappush(queue, (weight + weights[item.start], target))
    return moves


def plan_rebalance(
    slices: SliceMap,
    weights: Mapping[int, float],
    backends: Sequence[BackendId],
    budget: int,
) -> list[Move]:
    """Move the least weight that brings the heaviest back end under the tolerance.

    Parameters
    ----------
    slices, weights
        The slice map and the weight of each slice by its start.
    backends
        Back ends that may own slices.
    budget
        Greatest number of moves to plan.
    """
    totals = backend_weights(slices, weights, backends)
    if len(totals) < 2:
        return []
    mean = sum(totals.values()) / len(totals)
    if max(totals.values()) <= mean * BALANCE_TOLERANCE:
        return []
    owned = {backend: slices.slices_of(backend) for backend in backends}
    moves: list[Move] = []
    while len(moves) < budget:
        move = _best_move(totals, owned, weights, mean)
        if move is None:
            break
        moves.append(move)
    return moves


def _best_move(
    totals: dict[BackendId, float],
    owned: dict[BackendId, list[Slice]],
    weights: Mapping[int, float],
    mean: float,
) -> Move | None:
    source = max(totals, key=lambda backend: (totals[backend], backend))
    target = min(totals, key=lambda backend: (totals[backend], backend))
    excess = totals[source] - mean
    if totals[source] <= mean * BALANCE_TOLERANCE:
        return None
    room = totals[source] - totals[target]
    movable = [item for item in owned[source] if 0 < weights[item.start] < room]
    if not movable:
        return None
    wanted = min(excess, mean - totals[target])
    chosen = min(movable, key=lambda item: (abs(weights[item.start] - wanted), item.start))
    owned[source].remove(chosen)
    owned[target].append(chosen)
    totals[source] -= weights[chosen.start]
    totals[target] += weights[chosen.start]
    return Move(chosen.start, source, target)


def plan_splits(
    slices: SliceMap,
    loads: Mapping[int, float],
    weights: Mapping[int, float],
    backends: Sequence[BackendId],
    budget: int,
) -> AssignmentChange:
    """Halve heavy slices of back ends above the tolerance; owners stay as they are."""
    totals = backend_weights(slices, weights, backends)
    mean = sum(totals.values()) / max(len(totals), 1)
    overloaded = {name for name, total in totals.items() if total > mean * BALANCE_TOLERANCE}
    heavy = [
        item
        for item in slices
        if item.owner in overloaded
        and weights[item.start] > mean * SPLIT_SHARE_OF_MEAN
        and loads.get(item.start, 0.0) >= SPLIT_RATE
        and item.end - item.start >= MINIMUM_SPLIT_WIDTH
    ]
    heavy.sort(key=lambda item: (-weights[item.start], item.start))
    return change_of(((item.start + item.end) // 2, item.owner) for item in heavy[:budget])


def plan_merges(
    slices: SliceMap,
    weights: Mapping[int, float],
    backend_count: int,
    minimum_slices: int,
    budget: int,
) -> AssignmentChange:
    """Merge light neighbours of one owner, keeping at least `minimum_slices` slices."""
    room = min(budget, len(slices) - minimum_slices)
    if room <= 0:
        return AssignmentChange()
    mean = sum(weights.values()) / max(backend_count, 1)
    removed: list[int] = []
    previous: Slice | None = None
    for item in slices:
        if len(removed) >= room:
            break
        if previous is not None and _mergeable(previous, item, weights, mean):
            removed.append(item.start)
            previous = None
        else:
            previous = item
    return AssignmentChange(removed_starts=removed)


def _mergeable(left: Slice, right: Slice, weights: Mapping[int, float], mean: float) -> bool:
    together = weights[left.start] + weights[right.start]
    return left.owner == right.owner and together < mean * MERGE_SHARE_OF_MEAN


@dataclass(frozen=True)
class BalanceStep:
    """What brings a group nearer to balance now: moves, or else splits or merges."""

    moves: list[Move]
    reshape: AssignmentChange


def plan_balance_step(
    slices: SliceMap,
    loads: Mapping[int, float],
    backends: Sequence[BackendId],
    allowed_moves: int,
    minimum_slices: int,
) -> BalanceStep:
    """Move what can be moved; split only what moves cannot balance; merge when all is well.

    Splitting first would starve the moves: a hot key's slice stays heavy however often it is
    halved.
    """
    weights = slice_weights(slices, loads, len(backends))
    moves = plan_rebalance(slices, weights, backends, allowed_moves)
    if moves:
        return BalanceStep(moves, AssignmentChange())
    splits = plan_splits(slices, loads, weights, backends, SPLITS_AT_ONCE)
    if splits.upserts:
        return BalanceStep([], splits)
    merges = plan_merges(slices, weights, len(backends), minimum_slices, MERGES_AT_ONCE)
    return BalanceStep([], merges)
