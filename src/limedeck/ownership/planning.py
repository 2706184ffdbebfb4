"""Which back end should own which keys: evenly by measured load and speed, with few moves."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from limedeck.identity import Seconds
from limedeck.ownership.key_load import KeyLoad

TOLERATED_EXCESS = 1.2
"""A back end gives keys up when it is used so many times as much as the mean."""
HIGH_USE = 0.7
"""From this use on, a queue grows much faster than the use, so less is tolerated: requests that
come at random wait for one of four slots 0.4 of their work at 0.7, and twice their work at 0.9."""
TOLERATED_HIGH_EXCESS = 1.06
"""The same as `TOLERATED_EXCESS`, for a back end above `HIGH_USE`."""
SAME_AMOUNT = 0.8
"""Cuts that move this part of the largest amount are as good; the one with fewest keys is made."""
LEAST_USE = 0.25
"""A back end with less of its capacity in use than this gives nothing up."""
FEWEST_MOVES_AT_ONCE = 12
"""So many moves are planned at a time, and one for each back end where there are more: a hot spot
is more than many of them can work on together, and each takes a small part."""
LEAST_TARGET = 0.3
"""A back end is meant to have at least this part of its capacity as load: with little load in all,
the rule would leave slow ones without any, and a surge would find too few."""
WORTHWHILE = 0.9
"""A very hot key is moved if its next owner is then used less than this part of the present one."""
MUCH_FASTER = 1.3
"""A key that is too much for any back end is moved to one that is so many times as fast."""
SMALLEST_MOVE = 0.04
"""Moves of less than this part of a back end's capacity are not worth it."""


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """Give the keys from `first` to `last`, both inside, to another back end."""

    first: int
    last: int
    target: str


@dataclass(frozen=True, slots=True)
class OwnedPiece:
    """Keys that one back end owns, and that may be moved."""

    first: int
    last: int
    owner: str


@dataclass(frozen=True, slots=True)
class Cut:
    """Keys at one end of a piece, and their load in requests a second.

    Parameters
    ----------
    single
        The only one of these keys that has any load, if that is known.
    """

    piece: OwnedPiece
    first: int
    last: int
    amount: float
    single: int | None = None

    @property
    def size(self) -> int:
        """How many keys these are, with load or without."""
        return self.last - self.first + 1


def first_assignment(backend_ids: Sequence[str], positions: int) -> list[tuple[int, int, str]]:
    """Cut all keys into one range of equal size for each back end."""
    count = len(backend_ids)
    edges = [positions * index // count for index in range(count + 1)] if count else []
    return [
        (edges[index], edges[index + 1] - 1, backend_id)
        for index, backend_id in enumerate(backend_ids)
    ]


def least_loaded(loads: Mapping[str, float]) -> str:
    """Return the back end with the least load; the first by name among equals."""
    return min(loads, key=lambda backend_id: (loads[backend_id], backend_id))


def balanced_capacities(
    capacities: Mapping[str, float], loads: Mapping[str, float]
) -> dict[str, float]:
    """Return the capacities by which load is to be shared, so that requests take least time.

    If all back ends are used to the same part, requests at the slow ones wait longest: there a
    queue of one costs more. The mean time is least where the spare capacity of each is
    proportional to the square root of its speed (L. Kleinrock, "Communication Nets", 1964).

    Parameters
    ----------
    capacities
        Requests a second that each back end can work on.
    loads
        Requests a second that each has; what one cannot work on is left out.
    """
    total = sum(capacities.values())
    spare = total - sum(min(loads[name], capacity) for name, capacity in capacities.items())
    roots = sum(math.sqrt(capacity) for capacity in capacities.values())
    targets = {
        name: max(capacity - spare * math.sqrt(capacity) / roots, LEAST_TARGET * capacity)
        for name, capacity in capacities.items()
    }
    scale = total / sum(targets.values())
    return {name: target * scale for name, target in targets.items()}


class BalancePlan:
    """Greedy moves from the most to the least used back end.

    Attributes
    ----------
    parted
        Hot keys that are moved by themselves.

    Parameters
    ----------
    pieces
        All keys with an owner.
    capacities
        Requests a second that each back end can work on.
    settled
        Hot keys that have moved lately, and stay where they are.
    moving
        Keys on their way to an owner: they are part of its load, and stay as they are.
    certainty
        Standard deviations by which a load must be above what is tolerated; a load that is too
        high by chance only is left where it is.
    """

    def __init__(
        self,
        pieces: Sequence[OwnedPiece],
        capacities: Mapping[str, float],
        load: KeyLoad,
        now: Seconds,
        certainty: float = 0.0,
        settled: Collection[int] = (),
        moving: Sequence[OwnedPiece] = (),
    ) -> None:
        self.parted: list[int] = []
        self._capacities = capacities
        self._settled = settled
        self._key_load = load
        self._now = now
        self._certainty = certainty
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
        """Plan what to move now."""
        planned: list[PlannedMove] = []
        stuck: set[str] = set()
        most = max(FEWEST_MOVES_AT_ONCE, len(self._capacities))
        while len(planned) < most:
            heavy = self._pick(max, stuck)
            if heavy is None:
                break
            move = self._relieve(heavy)
            if move is None:
                stuck.add(heavy)
            else:
                planned.append(move)
        return planned

    def uses(self) -> dict[str, float]:
        """Part of each back end's capacity that its keys' requests need."""
        return {name: load / self._capacities[name] for name, load in self._load.items()}

    def _use(self, backend_id: str) -> float:
        """Load as a part of what it is meant to have when all are fully used."""
        return self._load[backend_id] / self._balanced[backend_id]

    def _mean_use(self) -> float:
        return sum(self._load.values()) / sum(self._balanced.values())

    def _pick(self, best: Callable[..., str], stuck: set[str]) -> str | None:
        left = [backend_id for backend_id in self._load if backend_id not in stuck]
        if not left:
            return None
        heavy = best(left, key=self._use)
        use = self._use(heavy)
        doubt = self._certainty * self._key_load.deviation(self._load[heavy], self._now)
        excess = TOLERATED_HIGH_EXCESS if use >= HIGH_USE else TOLERATED_EXCESS
        tolerated = excess * self._mean_use() + doubt / self._balanced[heavy]
        if self._load[heavy] < LEAST_USE * self._capacities[heavy] or use < tolerated:
            return None
        return heavy

    def _relieve(self, heavy: str) -> PlannedMove | None:
        light = min(self._load, key=self._use)
        mean = self._mean_use()
        excess = self._load[heavy] - mean * self._balanced[heavy]
        room = mean * self._balanced[light] - self._load[light]
        wanted = min(excess, room)
        if wanted < SMALLEST_MOVE * self._capacities[light]:
            return self._part_hot_key(heavy)
        found = self._best_cut(heavy, wanted)
        if found is None:
            return self._part_hot_key(heavy)
        return self._carry_out(found, light)

    def _carry_out(self, found: Cut, light: str) -> PlannedMove:
        self._take_out(found.piece, found.first, found.last)
        self._load[found.piece.owner] -= found.amount
        self._load[light] += found.amount
        return PlannedMove(found.first, found.last, light)

    def _part_hot_key(self, heavy: str) -> PlannedMove | None:
        """Move one key that fits nowhere below the mean, if that lowers the highest use.

        Its next owner is then the most used one, and is relieved of its other keys. A key that is
        too much for any back end gains nothing by moves, unless to a much faster one.
        """
        others = [name for name in self._load if name != heavy]
        if not others:
            return None
        for cut in sorted(self._single_keys(heavy), key=lambda item: item.amount):
            if cut.single in self._settled:
                continue
            light = min(others, key=lambda name: self._use_with(name, cut.amount))
            is_hopeless = cut.amount > self._capacities[light]
            gain = MUCH_FASTER if is_hopeless else 1.0 / WORTHWHILE
            if self._use_with(light, cut.amount) * gain < self._use(heavy):
                self.parted += [cut.single] if cut.single is not None else []
                return self._carry_out(cut, light)
        return None

    def _use_with(self, backend_id: str, amount: float) -> float:
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

    def _best_cut(self, heavy: str, wanted: float) -> Cut | None:
        """Find the part at one end of a piece whose load is near what is wanted, with few keys."""
        cuts: list[Cut] = []
        for piece, rates in self._rates.items():
            if piece.owner != heavy or not rates:
                continue
            for found in (_cut_low(piece, rates, wanted), _cut_high(piece, rates, wanted)):
                if found is not None:
                    cuts.append(found)
        if not cuts:
            return None
        enough = SAME_AMOUNT * max(cut.amount for cut in cuts)
        return min((cut for cut in cuts if cut.amount >= enough), key=lambda cut: cut.size)

    def _take_out(self, piece: OwnedPiece, first: int, last: int) -> None:
        rates = self._rates.pop(piece)
        for left_first, left_last in ((piece.first, first - 1), (last + 1, piece.last)):
            if left_first <= left_last:
                kept = [item for item in rates if left_first <= item[0] <= left_last]
                self._rates[OwnedPiece(left_first, left_last, piece.owner)] = kept


def _cut_low(piece: OwnedPiece, rates: list[tuple[int, float]], wanted: float) -> Cut | None:
    """From the piece's first key on, as much as is wanted at most."""
    amount = 0.0
    last = None
    for position, rate in rates:
        if amount + rate > wanted:
            break
        amount += rate
        last = position
    if last is None:
        return None
    return Cut(piece, piece.first, piece.last if last == rates[-1][0] else last, amount)


def _cut_high(piece: OwnedPiece, rates: list[tuple[int, float]], wanted: float) -> Cut | None:
    """Up to the piece's last key, as much as is wanted at most."""
    amount = 0.0
    first = None
    for position, rate in reversed(rates):
        if amount + rate > wanted:
            break
        amount += rate
        first = position
    if first is None:
        return None
    return Cut(piece, piece.first if first == rates[0][0] else first, piece.last, amount)
