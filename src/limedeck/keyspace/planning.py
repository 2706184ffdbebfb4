"""Planning of the slices' owners: pure functions of a slice map and measured loads."""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import AssignmentChange
from limedeck.identity import BackendId
from limedeck.keyspace.hashing import KEYSPACE_END, equal_slice_starts
from limedeck.keyspace.slices import NO_OWNER, Slice, SliceMap, change_of

UNIFORM_LOAD_FRACTION = 0.05
"""Fraction of the total load that is added to the slices by width, so that idle ones count."""
MIN_UNIFORM_LOAD_PER_BACKEND = 10.0
"""Least load per back end, in requests per second, that is added to the slices by width: below this
rate, measured loads are mostly chance."""
BALANCE_TOLERANCE = 1.1
"""Ratio of the highest to the mean weight up to which back ends are not rebalanced."""
SPLIT_SHARE_OF_MEAN = 0.25
"""Fraction of the mean weight of a back end above which a slice is split."""
MIN_SPLIT_RATE = 10.0
"""Requests per second below which a slice is not split: measurements of such rates are noise."""
MERGE_SHARE_OF_MEAN = 0.002
"""Fraction of the mean weight of a back end below which two neighbouring slices of one owner are
merged, by their total weight."""
MIN_SPLIT_WIDTH = KEYSPACE_END >> 24
"""A narrower slice has a few keys at most; splitting it would not spread the load of a hot key."""
MAX_SPLITS_PER_STEP = 8
MAX_MERGES_PER_STEP = 8


@dataclass(frozen=True)
class Move:
    """A planned change of a slice's owner.

    Parameters
    ----------
    start
        Start of the slice.
    source, target
        Present and planned owner; the source is `NO_OWNER` for an unowned slice.
    """

    start: int
    source: BackendId
    target: BackendId


def initial_assignment(backends: Sequence[BackendId], slices_per_backend: int) -> AssignmentChange:
    """Divide the key space into slices of equal width, assigned to the back ends in turn."""
    starts = equal_slice_starts(len(backends) * slices_per_backend)
    return change_of((start, backends[index % len(backends)]) for index, start in enumerate(starts))


def slice_weights(
    slices: SliceMap, loads: Mapping[int, float], backend_count: int
) -> dict[int, float]:
    """Return the weight of each slice by its start: its measured load plus a part for its width.

    Parameters
    ----------
    slices
        The slice map.
    loads
        Requests per second by slice start; a missing slice counts as idle.
    """
    min_uniform_load = MIN_UNIFORM_LOAD_PER_BACKEND * backend_count
    width_weight = max(UNIFORM_LOAD_FRACTION * sum(loads.values()), min_uniform_load)
    return {item.start: loads.get(item.start, 0.0) + item.share * width_weight for item in slices}


def backend_weights(
    slices: SliceMap, weights: Mapping[int, float], backends: Sequence[BackendId]
) -> dict[BackendId, float]:
    """Return the sum of the slices' weights for each of `backends`."""
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
    """Move all slices of `leaving` owners and all unowned ones, each to the lightest receiver."""
    if not receivers:
        return []
    weights = slice_weights(slices, loads, len(receivers))
    totals = backend_weights(slices, weights, receivers)
    queue = [(weight, backend) for backend, weight in totals.items()]
    heapq.heapify(queue)
    to_move = [item for item in slices if item.owner in leaving or item.owner == NO_OWNER]
    to_move.sort(key=lambda item: (-weights[item.start], item.start))
    moves = []
    for item in to_move:
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
    """Plan moves that bring the heaviest back end within tolerance, with little weight moved.

    Parameters
    ----------
    slices, weights
        The slice map and the weight of each slice by its start.
    backends
        Back ends that may own slices.
    budget
        Largest number of moves to plan.
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
    desired_weight = min(excess, mean - totals[target])
    chosen = min(movable, key=lambda item: (abs(weights[item.start] - desired_weight), item.start))
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
    """Halve heavy slices of back ends above the tolerance; both halves keep the owner."""
    totals = backend_weights(slices, weights, backends)
    mean = sum(totals.values()) / max(len(totals), 1)
    overloaded = {name for name, total in totals.items() if total > mean * BALANCE_TOLERANCE}
    heavy = [
        item
        for item in slices
        if item.owner in overloaded
        and weights[item.start] > mean * SPLIT_SHARE_OF_MEAN
        and loads.get(item.start, 0.0) >= MIN_SPLIT_RATE
        and item.end - item.start >= MIN_SPLIT_WIDTH
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
    """Merge light neighbouring slices of one owner, but leave at least `minimum_slices` slices."""
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
    total_weight = weights[left.start] + weights[right.start]
    return left.owner == right.owner and total_weight < mean * MERGE_SHARE_OF_MEAN


@dataclass(frozen=True)
class BalanceStep:
    """The next changes towards balance in a group: moves, or else splits or merges."""

    moves: list[Move]
    reshape: AssignmentChange


def plan_balance_step(
    slices: SliceMap,
    loads: Mapping[int, float],
    backends: Sequence[BackendId],
    allowed_moves: int,
    minimum_slices: int,
) -> BalanceStep:
    """Plan moves; splits only if there are no moves; merges only if there are no splits.

    If splits came before moves, moves would never be planned while one key is hot: its slice stays
    heavy however often it is halved.
    """
    weights = slice_weights(slices, loads, len(backends))
    moves = plan_rebalance(slices, weights, backends, allowed_moves)
    if moves:
        return BalanceStep(moves, AssignmentChange())
    splits = plan_splits(slices, loads, weights, backends, MAX_SPLITS_PER_STEP)
    if splits.upserts:
        return BalanceStep([], splits)
    merges = plan_merges(slices, weights, len(backends), minimum_slices, MAX_MERGES_PER_STEP)
    return BalanceStep([], merges)
