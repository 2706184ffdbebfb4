"""Simulates how evenly many nodes use the back ends of one service with limedeck's choice.

Each node has limedeck's `BackendDirectory`, and the leader its `FleetLoad`; only time, callers and
back ends are simulated. Back ends differ in speed, process `SLOTS` requests at once, queue up to
`MAX_QUEUE_LENGTH` more and reject the rest. All times are in seconds; equal seeds give equal
results.
"""

from __future__ import annotations

import enum
import functools
import random
from collections import Counter
from collections.abc import Generator, Sequence
from dataclasses import asdict, dataclass, field

import numpy
import simpy

from limedeck.forwarding import backends
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.protocol import LoadReport
from limedeck.identity import Seconds
from limedeck.measures import max_over_mean
from limedeck.model import Backend
from limedeck.node import backend_loads
from limedeck.ownership.fleet_load import FleetLoad, with_decayed_lasting_times

SERVICE = "s"
ROUTE = "r"
ZONES = 5
SLOTS = 2
"""Requests that a back end processes at once."""
MAX_QUEUE_LENGTH = 8
"""Requests that wait at a back end; any more are rejected."""
SPEEDS = (0.5, 1.0, 1.0, 1.5)
"""Relative speeds, assigned to the back ends in turn."""
WORK_SIGMA = 0.8
"""Sigma of the lognormal work of a request; its mean is `Fleet.work`."""
DURATION: Seconds = 20.0

Steps = Generator[simpy.Event, None, None]


class Choice(enum.Enum):
    """How a node chooses a back end."""

    PRODUCT = "product"
    SOONEST = "soonest"
    RANDOM = "random"


@dataclass(frozen=True)
class Fleet:
    """Fleet and load to simulate.

    Parameters
    ----------
    rate
        Requests per second, of all nodes together.
    work
        Mean time to process one request at speed 1, in seconds.
    telling_interval
        Interval at which the leader sends the sums over all nodes, in seconds; None: no leader.
    """

    nodes: int
    backends: int
    rate: float
    work: Seconds = 0.26
    telling_interval: Seconds | None = 0.5
    choice: Choice = Choice.PRODUCT


@dataclass(frozen=True)
class ChoiceResult:
    """Result of one run, or mean of several.

    Parameters
    ----------
    busiest_to_mean
        Most requests that one back end was sent, over the mean of all back ends.
    turned_away
        Requests rejected because a queue was full.
    unused
        Back ends that were sent no request.
    p50, p99
        Response time, in seconds.
    """

    nodes: int
    backends: int
    arrivals: int
    busiest_to_mean: float
    turned_away: int
    unused: int
    p50: Seconds
    p99: Seconds

    def to_dict(self) -> dict[str, object]:
        """The result as one JSON record."""
        return asdict(self)


@dataclass
class _SimulatedBackend:
    """A back end with its slots and queue."""

    slots: simpy.Resource
    speed: float
    arrivals: int = 0

    def is_full(self) -> bool:
        """Whether the next request is rejected."""
        return len(self.slots.queue) >= MAX_QUEUE_LENGTH

    def load(self) -> LoadReport:
        """Load that its responses report."""
        return LoadReport(self.slots.count, len(self.slots.queue), SLOTS)


@dataclass
class _Run:
    """One simulation."""

    fleet: Fleet
    rng: random.Random
    environment: simpy.Environment = field(default_factory=simpy.Environment)
    turned_away: int = 0
    times: list[Seconds] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.fleet_load = FleetLoad()
        self.directories = [self._directory(number) for number in range(self.fleet.nodes)]
        self.backends = {
            _name(number): _SimulatedBackend(
                simpy.Resource(self.environment, SLOTS), SPEEDS[number % len(SPEEDS)]
            )
            for number in range(self.fleet.backends)
        }

    def _directory(self, number: int) -> backends.BackendDirectory:
        directory = backends.BackendDirectory(f"z{number % ZONES}", f"n{number}")
        for index in range(self.fleet.backends):
            backend = Backend(
                _name(index), SERVICE, f"127.0.0.1:{index}", f"z{index % ZONES}", SLOTS
            )
            directory.put(backend, 0.0)
        return directory

    def result(self) -> ChoiceResult:
        """Run the simulation and return its result."""
        self.environment.process(self._callers())
        self.environment.process(self._leader())
        self.environment.run(until=DURATION)
        arrivals = [item.arrivals for item in self.backends.values()]
        return ChoiceResult(
            self.fleet.nodes,
            self.fleet.backends,
            sum(arrivals),
            max_over_mean(arrivals),
            self.turned_away,
            arrivals.count(0),
            float(numpy.quantile(self.times, 0.5)),
            float(numpy.quantile(self.times, 0.99)),
        )

    def _callers(self) -> Steps:
        while True:
            yield self.environment.timeout(self.rng.expovariate(self.fleet.rate))
            self.environment.process(self._request(self.rng.choice(self.directories)))

    def _request(self, directory: backends.BackendDirectory) -> Steps:
        state = self._choose(directory)
        backend = self.backends[state.backend.backend_id]
        backend.arrivals += 1
        if backend.is_full():
            self.turned_away += 1
            state.record_load(backend.load(), self.environment.now)
            state.record_queue_full(self.environment.now)
            return
        arrived_at = self.environment.now
        state.outstanding += 1
        with backend.slots.request() as slot:
            yield slot
            yield self.environment.timeout(self._work() / backend.speed)
        state.outstanding -= 1
        now = self.environment.now
        self.times.append(now - arrived_at)
        state.record_load(backend.load(), now)
        state.record_response(now - arrived_at, backend.load(), now, ROUTE)

    def _work(self) -> Seconds:
        return self.fleet.work * self.rng.lognormvariate(-(WORK_SIGMA**2) / 2.0, WORK_SIGMA)

    def _choose(self, directory: backends.BackendDirectory) -> BackendState:
        now = self.environment.now
        states = directory.of_service(SERVICE)
        if self.fleet.choice is Choice.RANDOM:
            return self.rng.choice(states)
        if self.fleet.choice is Choice.SOONEST:
            return min(states, key=functools.partial(_expected_time, now=now, work=self.fleet.work))
        request_id = self.rng.randbytes(8)
        chosen = directory.choose(SERVICE, (), request_id, now)
        assert chosen is not None
        return chosen

    def _leader(self) -> Steps:
        interval = self.fleet.telling_interval
        while interval is not None:
            yield self.environment.timeout(interval)
            for number, directory in enumerate(self.directories):
                report = backend_loads.write_report(directory, self.environment.now)
                self.fleet_load.record_report(
                    f"n{number}", backend_loads.read_report(report), self.environment.now
                )
            listed = {backend_loads.backend_hash(name): SERVICE for name in self.backends}
            totals = with_decayed_lasting_times(
                self.fleet_load.totals(listed, self.environment.now),
                listed,
                self.environment.now,
            )
            for directory in self.directories:
                backend_loads.apply_totals(totals, directory, self.environment.now)


def _name(number: int) -> str:
    return f"b{number}"


def _expected_time(state: BackendState, now: Seconds, work: Seconds) -> Seconds:
    return state.expected_time(now, work)


def run_choice(fleet: Fleet, seeds: Sequence[int]) -> list[ChoiceResult]:
    """Run the experiment once for each seed."""
    return [_Run(fleet, random.Random(seed)).result() for seed in seeds]


def mean_of(results: Sequence[ChoiceResult]) -> ChoiceResult:
    """Mean of several runs of one fleet; counts are rounded."""
    columns: Counter[str] = Counter()
    for result in results:
        columns.update({name: value for name, value in asdict(result).items()})
    count = len(results)
    mean = {name: value / count for name, value in columns.items()}
    return ChoiceResult(
        results[0].nodes,
        results[0].backends,
        round(mean["arrivals"]),
        mean["busiest_to_mean"],
        round(mean["turned_away"]),
        round(mean["unused"]),
        mean["p50"],
        mean["p99"],
    )
