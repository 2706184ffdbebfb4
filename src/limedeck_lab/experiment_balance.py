"""Compares balance and churn of limedeck's planner, modulo and consistent hashing on one trace.

The trace consists of keys whose rates follow a power law of their rank. First other keys become the
hottest, then a back end joins, then one is lost. The planner gets loads as back ends would report
them: request counts of a window, with Poisson noise.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import numpy

from limedeck.control.balancing import MoveBudget
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import BackendId
from limedeck.keyspace.hashing import KEYSPACE_END, key_position
from limedeck.keyspace.planning import (
    initial_assignment,
    plan_balance_step,
    plan_evacuation,
)
from limedeck.keyspace.slices import SliceMap, change_of, slice_map_from
from limedeck.measures import churn, max_over_mean
from limedeck_lab.standins.backend import LOAD_WINDOW

POINTS_PER_BACKEND = 100
"""Points of each back end on the ring of consistent hashing."""
PHASE_SECONDS = 60.0
SETTLING_SECONDS = 30.0
"""Time within which balance must be reached after a phase begins."""
KEY_COUNT = 20_000
REQUESTS_PER_SECOND = 7_000.0
"""Total over all keys."""
SKEW = 0.9
"""Rate of the key of rank r is proportional to 1 / r ** SKEW."""


@dataclass(frozen=True)
class PhaseResult:
    """Result of one strategy in one phase.

    Parameters
    ----------
    imbalance_at_once, imbalance_settled
        Maximum over mean load right after the phase began, and the highest such ratio from
        `SETTLING_SECONDS` on.
    floor
        Lower bound of the imbalance, set by the hottest key: its rate over the mean load, at
        least 1.
    moved, least_moved
        Fraction of the key space that changed owner in the phase (of the keys, with modulo), and
        the least fraction that the join or loss requires; zero in the other phases.
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
    """Positions and current rates of all keys."""

    positions: list[int]
    rates: list[float]

    def loads(self, owners: Sequence[str], backends: Sequence[str]) -> dict[str, float]:
        """True load of each back end."""
        loads = dict.fromkeys(backends, 0.0)
        for owner, rate in zip(owners, self.rates, strict=True):
            loads[owner] += rate
        return loads


class Strategy:
    """A strategy that assigns keys to back ends."""

    name: str

    def set_backends(self, backends: list[BackendId]) -> None:
        """Assign the keys to this set of back ends."""
        raise NotImplementedError

    def rebalance(self, trace: Trace, now: float) -> None:
        """Adapt the assignment to the load, if the strategy does so."""

    def owners(self, trace: Trace) -> list[str]:
        """Owner of each key."""
        raise NotImplementedError

    def map(self) -> SliceMap:
        """The assignment as a slice map."""
        raise NotImplementedError


class Modulo(Strategy):
    """Position modulo the number of back ends."""

    name = "modulo"

    def set_backends(self, backends: list[BackendId]) -> None:
        self._backends = backends

    def owners(self, trace: Trace) -> list[str]:
        return [self._backends[position % len(self._backends)] for position in trace.positions]


class ConsistentHashing(Strategy):
    """A ring with `POINTS_PER_BACKEND` points for each back end."""

    name = "consistent hashing"

    def set_backends(self, backends: list[BackendId]) -> None:
        points = {
            key_position(f"{backend}/{number}"): backend
            for backend in backends
            for number in range(POINTS_PER_BACKEND)
        }
        self._points = sorted(points)
        self._owners = [points[point] for point in self._points]

    def owners(self, trace: Trace) -> list[str]:
        return [self._owners[bisect_right(self._points, item) - 1] for item in trace.positions]

    def map(self) -> SliceMap:
        last = self._owners[-1]
        return slice_map_from(change_of([(0, last), *zip(self._points, self._owners, strict=True)]))


class Planner(Strategy):
    """limedeck's planner, with measured loads."""

    name = "limedeck"

    def __init__(self, slices_per_backend: int, seed: int) -> None:
        self._slices = SliceMap()
        self._slices_per_backend = slices_per_backend
        self._limits = ControlLimits()
        self._budget = MoveBudget()
        self._rng = numpy.random.default_rng(seed)
        self._backends: list[BackendId] = []

    def set_backends(self, backends: list[BackendId]) -> None:
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

    def rebalance(self, trace: Trace, now: float) -> None:
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
        counts = self._rng.poisson([rate * LOAD_WINDOW for rate in rates.values()])
        return {
            start: float(count) / LOAD_WINDOW for start, count in zip(rates, counts, strict=True)
        }


def make_trace(seed: int) -> Trace:
    """Create keys with their initial rates."""
    positions = [key_position(f"key-{seed}-{number}") for number in range(KEY_COUNT)]
    weights = [1.0 / (rank + 1) ** SKEW for rank in range(KEY_COUNT)]
    total = sum(weights)
    return Trace(positions, [REQUESTS_PER_SECOND * weight / total for weight in weights])


def run_experiment(backend_count: int, slices_per_backend: int, seed: int) -> list[PhaseResult]:
    """Run every strategy through hot keys, other hot keys, a join and a loss."""
    results: list[PhaseResult] = []
    for strategy in (Modulo(), ConsistentHashing(), Planner(slices_per_backend, seed)):
        results += _run_strategy(strategy, backend_count, seed)
    return results


def _run_strategy(strategy: Strategy, backend_count: int, seed: int) -> list[PhaseResult]:
    trace = make_trace(seed)
    rng = numpy.random.default_rng(seed)
    backends = [BackendId(f"backend-{number:02d}") for number in range(backend_count)]
    strategy.set_backends(backends)
    now = 0.0
    results = []
    for phase in ("hot keys", "other hot keys", "join", "loss"):
        before = strategy.owners(trace)
        map_before = None if isinstance(strategy, Modulo) else strategy.map()
        least = 0.0
        if phase == "other hot keys":
            trace.rates = [float(rate) for rate in rng.permutation(trace.rates)]
        elif phase == "join":
            backends = [*backends, BackendId("joined")]
            least = 1 / len(backends)
        elif phase == "loss":
            least = _share_owned(strategy, before, backends[0], map_before)
            backends = backends[1:]
        if phase in ("join", "loss"):
            strategy.set_backends(backends)
        imbalances = []
        end = now + PHASE_SECONDS
        while now < end:
            imbalances.append(_imbalance(strategy, trace, backends))
            strategy.rebalance(trace, now)
            now += ControlTiming().rebalance_interval
        settled = imbalances[int(SETTLING_SECONDS / ControlTiming().rebalance_interval) :]
        mean = sum(trace.rates) / len(backends)
        results.append(
            PhaseResult(
                way=strategy.name,
                phase=phase,
                imbalance_at_once=round(imbalances[0], 3),
                imbalance_settled=round(max(settled), 3),
                floor=round(max(max(trace.rates) / mean, 1.0), 3),
                moved=round(_moved(strategy, before, trace, map_before), 4),
                least_moved=round(least, 4),
            )
        )
    return results


def _imbalance(strategy: Strategy, trace: Trace, backends: list[BackendId]) -> float:
    return max_over_mean(trace.loads(strategy.owners(trace), backends).values())


def _moved(
    strategy: Strategy, before: list[str], trace: Trace, map_before: SliceMap | None
) -> float:
    if map_before is not None:
        return churn(map_before, strategy.map())
    after = strategy.owners(trace)
    return sum(old != new for old, new in zip(before, after, strict=True)) / len(before)


def _share_owned(
    strategy: Strategy, owners: list[str], backend: BackendId, map_before: SliceMap | None
) -> float:
    if map_before is None:
        return owners.count(backend) / len(owners)
    return sum(item.end - item.start for item in map_before.slices_of(backend)) / KEYSPACE_END
