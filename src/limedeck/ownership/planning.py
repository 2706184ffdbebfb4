"""Plans which back end owns which keys, by measured load and speed and with few moves."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from limedeck.identity import Seconds
from limedeck.ownership.key_load import KeyLoad

MAX_RELATIVE_UTILIZATION = 1.2
"""A back end gives up keys when its utilization exceeds the mean by this factor."""
HIGH_UTILIZATION = 0.7
"""Above this utilization a queue grows much faster than the load, so a smaller excess is tolerated.
With four slots and random arrivals, the mean wait is 0.4 service times at 0.7 and 2 at 0.9."""
MAX_RELATIVE_HIGH_UTILIZATION = 1.06
"""Replaces `MAX_RELATIVE_UTILIZATION` for a back end from `HIGH_UTILIZATION` on."""
EQUIVALENT_CUT_RATIO = 0.8
"""Cuts that move at least this part of the largest possible load count as equivalent; the one with
the fewest keys is used."""
MIN_UTILIZATION = 0.25
"""A back end with a lower utilization than this gives up no keys."""
BASE_MAX_MOVES = 12
"""Most moves in one plan; with more back ends than this, one move for each. The load of a hot spot
can exceed the capacity of many back ends together, so that each has to take a small part."""
MIN_TARGET_PART = 0.3
"""Smallest target load of a back end, as a part of its capacity. Without it, slow back ends would
get no keys at low load, and too few back ends would share a sudden increase."""
HOT_KEY_MOVE_RATIO = 0.9
"""A hot key is moved by itself if its next owner's utilization with the key is below this part of
the present owner's."""
OVERSIZED_KEY_SPEED_RATIO = 1.3
"""A key whose load exceeds the capacity of any other back end is moved only if utilization falls by
this factor, that is, to a much faster back end."""
MIN_MOVE_PART = 0.04
"""Moves of a load below this part of the next owner's capacity are not made."""


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """Move of the keys from `first` to `last`, both inclusive, to another back end."""

    first: int
    last: int
    target: str


@dataclass(frozen=True, slots=True)
class OwnedPiece:
    """Contiguous keys of one owner."""

    first: int
    last: int
    owner: str


@dataclass(frozen=True, slots=True)
class Cut:
    """Keys at one end of a piece, and their load in requests per second.

    Parameters
    ----------
    loaded_key
        The only one of these keys that has load; None if there may be several.
    """

    piece: OwnedPiece
    first: int
    last: int
    amount: float
    loaded_key: int | None = None

    @property
    def size(self) -> int:
        """Number of keys, with and without load."""
        return self.last - self.first + 1


def initial_assignment(backend_ids: Sequence[str], positions: int) -> list[tuple[int, int, str]]:
    """Divide all keys into one range of equal size for each back end."""
    count = len(backend_ids)
    edges = [positions * index // count for index in range(count + 1)] if count else []
    return [
        (edges[index], edges[index + 1] - 1, backend_id)
        for index, backend_id in enumerate(backend_ids)
    ]


def least_loaded(loads: Mapping[str, float]) -> str:
    """Return the back end with the least load; of equal ones, the first by name."""
    return min(loads, key=lambda backend_id: (loads[backend_id], backend_id))


def balanced_capacities(
    capacities: Mapping[str, float], loads: Mapping[str, float]
) -> dict[str, float]:
    """Return weighted capacities; load in proportion to them minimizes the mean response time.

    At equal utilization, requests at slow back ends wait longest, since each request queued there
    takes longer. The mean response time is least where the spare capacity of each back end is
    proportional to the square root of its speed (L. Kleinrock, "Communication Nets", 1964).

    Parameters
    ----------
    capacities
        Requests per second that each back end can process.
    loads
        Requests per second that each back end gets; the part above its capacity is ignored.
    """
    total = sum(capacities.values())
    spare = total - sum(min(loads[name], capacity) for name, capacity in capacities.items())
    roots = sum(math.sqrt(capacity) for capacity in capacities.values())
    targets = {
        name: max(capacity - spare * math.sqrt(capacity) / roots, MIN_TARGET_PART * capacity)
        for name, capacity in capacities.items()
    }
    scale = total / sum(targets.values())
    return {name: target * scale for name, target in targets.items()}


class BalancePlan:
    """Greedy plan of moves from the most to the least utilized back end.

    Attributes
    ----------
    moved_hot_keys
        Hot keys that are moved by themselves.

    Parameters
    ----------
    pieces
        Keys that have an owner and may be moved.
    capacities
        Requests per second that each back end can process.
    required_deviations
        Standard deviations by which a load must exceed what is tolerated before keys move; an
        excess that may be due to chance moves none.
    pinned
        Hot keys that were moved recently, and are not moved again by themselves.
    moving
        Keys that are being moved to an owner: they count as its load, and are not moved again.
    """

    def __init__(
        self,
        pieces: Sequence[OwnedPiece],
        capacities: Mapping[str, float],
        load: KeyLoad,
        now: Seconds,
        required_deviations: float = 0.0,
        pinned: Collection[int] = (),
        moving: Sequence[OwnedPiece] = (),
    ) -> None:
        self.moved_hot_keys: list[int] = []
        self._capacities = capacities
        self._pinned = pinned
        self._key_load = load
        self._now = now
        self._required_deviations = required_deviations
        self._rates = {
            piece: load.rates(piece.first, piece.last, now)
            for piece in pieces
            if piece.owner in capacities
        }
        self._load = dict.fromkeys(capacities, 0.0)
        for piece, rates in self._rates.items():
            self._load[piece.owner] += sum(rate for _, rate in rates)
        for piece in moving:
            if piece.owner in self._load:
                self._load[piece.owner] += load.total(piece.first, piece.last, now)
        self._balanced = balanced_capacities(capacities, self._load) if capacities else {}

    def moves(self) -> list[PlannedMove]:
        """Plan the moves that are due now."""
        planned: list[PlannedMove] = []
        unmovable: set[str] = set()
        max_moves = max(BASE_MAX_MOVES, len(self._capacities))
        while len(planned) < max_moves:
            heavy = self._pick_overloaded(max, unmovable)
            if heavy is None:
                break
            move = self._plan_move(heavy)
            if move is None:
                unmovable.add(heavy)
            else:
                planned.append(move)
        return planned

    def uses(self) -> dict[str, float]:
        """Return the utilization of each back end: the load of its keys by its capacity."""
        return {name: load / self._capacities[name] for name, load in self._load.items()}

    def _utilization(self, backend_id: str) -> float:
        """Return the load as a part of the balanced capacity."""
        return self._load[backend_id] / self._balanced[backend_id]

    def _mean_utilization(self) -> float:
        return sum(self._load.values()) / sum(self._balanced.values())

    def _pick_overloaded(self, best: Callable[..., str], unmovable: set[str]) -> str | None:
        left = [backend_id for backend_id in self._load if backend_id not in unmovable]
        if not left:
            return None
        heavy = best(left, key=self._utilization)
        utilization = self._utilization(heavy)
        margin = self._required_deviations * self._key_load.deviation(self._load[heavy], self._now)
        excess = (
            MAX_RELATIVE_HIGH_UTILIZATION
            if utilization >= HIGH_UTILIZATION
            else MAX_RELATIVE_UTILIZATION
        )
        tolerated = excess * self._mean_utilization() + margin / self._balanced[heavy]
        if self._load[heavy] < MIN_UTILIZATION * self._capacities[heavy] or utilization < tolerated:
            return None
        return heavy

    def _plan_move(self, heavy: str) -> PlannedMove | None:
        light = min(self._load, key=self._utilization)
        mean = self._mean_utilization()
        excess = self._load[heavy] - mean * self._balanced[heavy]
        room = mean * self._balanced[light] - self._load[light]
        load_to_move = min(excess, room)
        if load_to_move < MIN_MOVE_PART * self._capacities[light]:
            return self._move_hot_key(heavy)
        found = self._best_cut(heavy, load_to_move)
        if found is None:
            return self._move_hot_key(heavy)
        return self._apply_cut(found, light)

    def _apply_cut(self, found: Cut, light: str) -> PlannedMove:
        self._remove_keys(found.piece, found.first, found.last)
        self._load[found.piece.owner] -= found.amount
        self._load[light] += found.amount
        return PlannedMove(found.first, found.last, light)

    def _move_hot_key(self, heavy: str) -> PlannedMove | None:
        """Move one key that fits nowhere below the mean, if that lowers the highest utilization.

        Its next owner may then have the highest utilization, and gives up its other keys. Moving a
        key whose load exceeds the capacity of any back end helps only if the next owner is much
        faster.
        """
        others = [name for name in self._load if name != heavy]
        if not others:
            return None
        for cut in sorted(self._single_keys(heavy), key=lambda item: item.amount):
            if cut.loaded_key in self._pinned:
                continue
            light = min(others, key=lambda name: self._utilization_with(name, cut.amount))
            is_oversized = cut.amount > self._capacities[light]
            gain = OVERSIZED_KEY_SPEED_RATIO if is_oversized else 1.0 / HOT_KEY_MOVE_RATIO
            if self._utilization_with(light, cut.amount) * gain < self._utilization(heavy):
                self.moved_hot_keys += [cut.loaded_key] if cut.loaded_key is not None else []
                return self._apply_cut(cut, light)
        return None

    def _utilization_with(self, backend_id: str, amount: float) -> float:
        return (self._load[backend_id] + amount) / self._balanced[backend_id]

    def _single_keys(self, heavy: str) -> list[Cut]:
        cuts = []
        for piece, rates in self._rates.items():
            if piece.owner != heavy or not rates:
                continue
            position, rate = rates[0]
            cuts.append(Cut(piece, piece.first, position, rate, position))
            position, rate = rates[-1]
            cuts.append(Cut(piece, position, piece.last, rate, position))
        return cuts

    def _best_cut(self, heavy: str, load_to_move: float) -> Cut | None:
        """Find a cut whose load comes close to `load_to_move` from below, with few keys."""
        cuts: list[Cut] = []
        for piece, rates in self._rates.items():
            if piece.owner != heavy or not rates:
                continue
            for found in (
                _cut_low(piece, rates, load_to_move),
                _cut_high(piece, rates, load_to_move),
            ):
                if found is not None:
                    cuts.append(found)
        if not cuts:
            return None
        enough = EQUIVALENT_CUT_RATIO * max(cut.amount for cut in cuts)
        return min((cut for cut in cuts if cut.amount >= enough), key=lambda cut: cut.size)

    def _remove_keys(self, piece: OwnedPiece, first: int, last: int) -> None:
        rates = self._rates.pop(piece)
        for left_first, left_last in ((piece.first, first - 1), (last + 1, piece.last)):
            if left_first <= left_last:
                kept = [item for item in rates if left_first <= item[0] <= left_last]
                self._rates[OwnedPiece(left_first, left_last, piece.owner)] = kept


def _cut_low(piece: OwnedPiece, rates: list[tuple[int, float]], load_to_move: float) -> Cut | None:
    """Cut keys from the start of a piece, up to `load_to_move`."""
    amount = 0.0
    last = None
    for position, rate in rates:
        if amount + rate > load_to_move:
            break
        amount += rate
        last = position
    if last is None:
        return None
    return Cut(piece, piece.first, piece.last if last == rates[-1][0] else last, amount)


def _cut_high(piece: OwnedPiece, rates: list[tuple[int, float]], load_to_move: float) -> Cut | None:
    """Cut keys from the end of a piece, up to `load_to_move`."""
    amount = 0.0
    first = None
    for position, rate in reversed(rates):
        if amount + rate > load_to_move:
            break
        amount += rate
        first = position
    if first is None:
        return None
    return Cut(piece, piece.first if first == rates[0][0] else first, piece.last, amount)
