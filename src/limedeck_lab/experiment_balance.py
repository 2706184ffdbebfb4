"""Balance and churn of limedeck's planner, beside modulo and consistent hashing, on one trace.

The trace: keys with rates that fall as 1/rank; every so often other keys become the hottest. Then
a back end joins, then one is lost. Loads are what back ends would report: counts of a window, with
the chance that counts have.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import numpy

from limedeck.control.balancing import MoveBudget
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import BackendId
from limedeck.keyspace.hashing import KEY_LINE_END, key_position
from limedeck.keyspace.planning import (
    initial_assignment,
    plan_balance_step,
    plan_evacuation,
)
from limedeck.keyspace.slices import SliceMap, change_of, slice_map_from
from limedeck.measures import churn, max_over_mean
from limedeck_lab.standins.backend import LOAD_WINDOW

RING_POINTS = 100
"""Points of each back end on the ring of consistent hashing."""
PHASE_SECONDS = 60.0
SETTLED_AFTER = 30.0
"""Balance must be reached so long after a change of the hot keys."""
KEYS = 20_000
RATE = 7_000.0
"""Requests a second over all keys."""
SKEW = 0.9
"""Rate of the key of rank r is proportional to 1 / r ** SKEW."""


@dataclass(frozen=True)
class PhaseResult:
    """One way in one phase.

    Parameters
    ----------
    imbalance_at_once, imbalance_settled
        Highest over mean load right after the phase began, and the worst from `SETTLED_AFTER` on.
    floor
        What the hottest single key forces: its rate over the mean load, at least 1.
    moved, least_moved
        Share of the key line that changed owner in the phase, and the least a join or a loss
        needs; zero where nothing need move.
    """

    way: str
    phase: str
    imbalance_at_once: float
    imbalance_settled: float
    floor: float
    moved: float
    least_moved: float

    def to_dict(self) -> dict[str, object]:
        """The result as one JSON record."""
        return asdict(self)


@dataclass
class Trace:
    """Keys with their positions and present rates."""

    positions: list[int]
    rates: list[float]

    def loads(self, owners: Sequence[str], backends: Sequence[str]) -> dict[str, float]:
        """True load of each back end."""
        loads = dict.fromkeys(backends, 0.0)
        for owner, rate in zip(owners, self.rates, strict=True):
            loads[owner] += rate
        return loads


class Way:
    """A way to assign keys to back ends."""

    name: str

    def begin(self, backends: list[BackendId]) -> None:
        """Take up a changed set of back ends."""
        raise NotImplementedError

    def look(self, trace: Trace, now: float) -> None:
        """Adapt to the load, if this way does."""

    def owners(self, trace: Trace) -> list[str]:
        """Owner of each key."""
        raise NotImplementedError

    def map(self) -> SliceMap:
        """The assignment as a slice map."""
        raise NotImplementedError


class Modulo(Way):
    """Position modulo the number of back ends."""

    name = "modulo"

    def begin(self, backends: list[BackendId]) -> None:
        self._backends = backends

    def owners(self, trace: Trace) -> list[str]:
        return [self._backends[position % len(self._backends)] for position in trace.positions]


class ConsistentHashing(Way):
    """A ring with some points for each back end."""

    name = "consistent hashing"

    def begin(self, backends: list[BackendId]) -> None:
        points = {
            key_position(f"{backend}/{number}"): backend
            for backend in backends
            for number in range(RING_POINTS)
        }
        self._points = sorted(points)
        self._owners = [points[point] for point in self._points]

    def owners(self, trace: Trace) -> list[str]:
        return [self._owners[bisect_right(self._points, item) - 1] for item in trace.positions]

    def map(self) -> SliceMap:
        last = self._owners[-1]
        return slice_map_from(change_of([(0, last), *zip(self._points, self._owners, strict=True)]))


class Planner(Way):
    """The product's planner on measured loads."""

    name = "limedeck"

    def __init__(self, slices_per_backend: int, seed: int) -> None:
        self._slices = SliceMap()
        self._slices_per_backend = slices_per_backend
        self._limits = ControlLimits()
        self._budget = MoveBudget()
        self._draw = numpy.random.default_rng(seed)
        self._backends: list[BackendId] = []

    def begin(self, backends: list[BackendId]) -> None:
        self._backends = backends
        if len(self._slices) == 0:
            self._slices = slice_map_from(initial_assignment(backends, self._slices_per_backend))
            return
        lost = self._slices.owners() - set(backends)
        moves = plan_evacuation(self._slices, {}, lost, backends)
        self._slices.apply(change_of((move.start, move.target) for move in moves))

    def owners(self, trace: Trace) -> list[str]:
        return [self._slices.locate(position).owner for position in trace.positions]

    def map(self) -> SliceMap:
        return self._slices.copy()

    def look(self, trace: Trace, now: float) -> None:
        self._budget.refill(self._limits, now)
        allowed = min(self._limits.concurrent_moves, int(self._budget.tokens))
        minimum = len(self._backends) * self._slices_per_backend
        loads = self._measured(trace)
        step = plan_balance_step(self._slices, loads, self._backends, allowed, minimum)
        self._budget.tokens -= len(step.moves)
        self._slices.apply(change_of((move.start, move.target) for move in step.moves))
        self._slices.apply(step.reshape)

    def _measured(self, trace: Trace) -> dict[int, float]:
        rates: dict[int, float] = {}
        for position, rate in zip(trace.positions, trace.rates, strict=True):
            start = self._slices.locate(position).start
            rates[start] = rates.get(start, 0.0) + rate
        counts = self._draw.poisson([rate * LOAD_WINDOW for rate in rates.values()])
        return {
            start: float(count) / LOAD_WINDOW for start, count in zip(rates, counts, strict=True)
        }


def make_trace(seed: int) -> Trace:
    """Draw keys and give them their first rates."""
    positions = [key_position(f"key-{seed}-{number}") for number in range(KEYS)]
    weights = [1.0 / (rank + 1) ** SKEW for rank in range(KEYS)]
    total = sum(weights)
    return Trace(positions, [RATE * weight / total for weight in weights])


def run_experiment(backend_count: int, slices_per_backend: int, seed: int) -> list[PhaseResult]:
    """Run every way through hot keys, other hot keys, a join and a loss."""
    results: list[PhaseResult] = []
    for way in (Modulo(), ConsistentHashing(), Planner(slices_per_backend, seed)):
        results += _run_way(way, backend_count, seed)
    return results


def _run_way(way: Way, backend_count: int, seed: int) -> list[PhaseResult]:
    trace = make_trace(seed)
    draw = numpy.random.default_rng(seed)
    backends = [BackendId(f"backend-{number:02d}") for number in range(backend_count)]
    way.begin(backends)
    now = 0.0
    results = []
    for phase in ("hot keys", "other hot keys", "join", "loss"):
        before = way.owners(trace)
        map_before = None if isinstance(way, Modulo) else way.map()
        least = 0.0
        if phase == "other hot keys":
            trace.rates = [float(rate) for rate in draw.permutation(trace.rates)]
        elif phase == "join":
            backends = [*backends, BackendId("joined")]
            least = 1 / len(backends)
        elif phase == "loss":
            least = _share_of(way, before, backends[0], map_before)
            backends = backends[1:]
        if phase in ("join", "loss"):
            way.begin(backends)
        imbalances = []
        end = now + PHASE_SECONDS
        while now < end:
            imbalances.append(_imbalance(way, trace, backends))
            way.look(trace, now)
            now += ControlTiming().rebalance_interval
        settled = imbalances[int(SETTLED_AFTER / ControlTiming().rebalance_interval) :]
        mean = sum(trace.rates) / len(backends)
        results.append(
            PhaseResult(
                way=way.name,
                phase=phase,
                imbalance_at_once=round(imbalances[0], 3),
                imbalance_settled=round(max(settled), 3),
                floor=round(max(max(trace.rates) / mean, 1.0), 3),
                moved=round(_moved(way, before, trace, map_before), 4),
                least_moved=round(least, 4),
            )
        )
    return results


def _imbalance(way: Way, trace: Trace, backends: list[BackendId]) -> float:
    return max_over_mean(trace.loads(way.owners(trace), backends).values())


def _moved(way: Way, before: list[str], trace: Trace, map_before: SliceMap | None) -> float:
    if map_before is not None:
        return churn(map_before, way.map())
    after = way.owners(trace)
    return sum(old != new for old, new in zip(before, after, strict=True)) / len(before)


def _share_of(
    way: Way, owners: list[str], backend: BackendId, map_before: SliceMap | None
) -> float:
    if map_before is None:
        return owners.count(backend) / len(owners)
    return sum(item.end - item.start for item in map_before.slices_of(backend)) / KEY_LINE_END
