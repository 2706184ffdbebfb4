"""Callers, nodes, a leader and back ends with queues, in simulated time.

Nodes decide with limedeck's own cores; what a back end does and what callers get is recorded. Times
are in seconds, and equal seeds give equal results.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Generator, Sequence
from dataclasses import dataclass, field

import simpy

from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.commands import Attempt, Refuse, Wait
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.forwarding.protocol import LoadReport
from limedeck.forwarding.request import RequestCore, ServiceView
from limedeck.model import Backend, Route, Target
from limedeck.node import backend_loads
from limedeck.ownership.fleet_load import (
    FleetLoad,
    with_decayed_lasting_times,
    with_decayed_service_times,
)
from limedeck.routing.outcomes import FailurePhase

Steps = Generator[simpy.Event, object, None]
Chooser = Callable[["LoadWorld", BackendDirectory, Collection[str]], BackendState | None]
"""Chooses a back end for one request, from all but those that were tried."""
SERVICE = "s"
REPORT_INTERVAL = 0.25
REPORT_DELAY = (0.05, 0.3)
"""Range of the seconds until the leader's totals reach a node."""
LINK_DELAY = 0.001
MAX_OBEYED_FRACTION = 1.0 / 3.0
"""Callers wait as told, up to this fraction of the time that they have left."""
POSITIONS = 65_536


@dataclass(frozen=True)
class Kind:
    """Requests of one kind.

    Parameters
    ----------
    route
        Its name, objective and priority count.
    rate
        Requests per second of all callers together, as a function of the time.
    work
        Mean time to process one at speed 1.
    deadline
        How long callers wait.
    retries
        How often a refused caller returns.
    key
        Draws the key of a request.
    zone
        Zone of the nodes that its callers use; None if they use any.
    """

    route: Route
    rate: Callable[[float], float]
    work: float
    deadline: float
    retries: int = 1
    key: Callable[[random.Random], int] = lambda source: source.randrange(POSITIONS)
    zone: str | None = None


def kind(
    name: str,
    rate: float | Callable[[float], float],
    work: float,
    objective: float,
    deadline: float,
    priority: int = 0,
    retries: int = 1,
    key: Callable[[random.Random], int] | None = None,
) -> Kind:
    """Return a kind of requests whose route has these values."""
    route = Route(
        name, "host", f"/{name}/", True, deadline, objective, 3, priority, (Target(SERVICE, 1),)
    )
    rates = rate if callable(rate) else lambda now: rate
    if key is None:
        return Kind(route, rates, work, deadline, retries)
    return Kind(route, rates, work, deadline, retries, key)


@dataclass
class SimulatedBackend:
    """A back end: `slots` requests at once, `queue` more in the order of their arrival.

    Parameters
    ----------
    speed
        Factor of its speed at a time.
    reported
        The load that its responses report, by its true one.
    """

    backend: Backend
    slots: simpy.Resource
    queue: int
    speed: Callable[[float], float]
    arrivals: int = 0
    arrivals_at: list[float] = field(default_factory=list)
    reported: Callable[[LoadReport], LoadReport] = lambda load: load
    busy: list[tuple[float, float]] = field(default_factory=list)

    def load(self) -> LoadReport:
        """Return the load that its responses report."""
        true = LoadReport(self.slots.count, len(self.slots.queue), self.backend.slots)
        return self.reported(true)


@dataclass(frozen=True)
class Result:
    """What one caller got.

    Parameters
    ----------
    started_at, took
        Time of its first attempt, and from then to the end.
    first_refusal
        Time from its first attempt until that one was refused; None if it was not.
    """

    kind: str
    started_at: float
    took: float
    served: bool
    in_time: bool
    tries: int
    first_refusal: float | None = None
    reasons: tuple[str, ...] = ()


@dataclass
class _Node:
    directory: BackendDirectory
    view: ServiceView
    zone: str


class _ReplacedChoice(BackendDirectory):
    def __init__(self, zone: str, node_id: str, world: LoadWorld, choose: Chooser) -> None:
        super().__init__(zone, node_id)
        self._world = world
        self._choose = choose

    def choose(
        self, service: str, excluded: Collection[str], request_id: bytes, now: float
    ) -> BackendState | None:
        return self._choose(self._world, self, excluded)


def choose_by_true_queues(
    world: LoadWorld, directory: BackendDirectory, excluded: Collection[str]
) -> BackendState | None:
    """Choose where a request is answered soonest, by all queues and speeds as they are now."""

    def expected_time(state: BackendState) -> float:
        item = world.backends[state.backend.backend_id]
        queued = max(item.slots.count + len(item.slots.queue) + 1 - world.slots, 0) / world.slots
        return (1.0 + queued) / item.speed(world.env.now)

    usable = [
        state for state in directory.of_service(SERVICE) if state.backend.backend_id not in excluded
    ]
    return min(usable, key=lambda item: (expected_time(item), world.source.random()), default=None)


def slow_moments(
    speed: float, seed: int, fraction: float = 0.2, time: float = 0.4, slowness: float = 3.0
) -> Callable[[float], float]:
    """Return a speed that is lower at random for moments, which are a fraction of the time."""

    def at(now: float) -> float:
        moment = int(now / time + seed * 0.37)
        is_slow = random.Random(f"{seed}/{moment}").random() < fraction
        return speed / slowness if is_slow else speed

    return at


@dataclass
class LoadWorld:
    """The simulation; tests set the kinds of requests and the speeds of the back ends.

    Parameters
    ----------
    speeds
        One back end for each entry: its speed, or a function of the time.
    keyed
        Whether each back end owns an equal range of the keys.
    work_sigma
        Sigma of the lognormal work of a request.
    has_leader
        Whether a leader sends the sums of all nodes' loads.
    leader_away
        Times in which there is no leader, from and until; the next one starts without loads.
    frozen
        Times in which the first node is frozen: nothing that it decided before goes on.
    leaving
        Part of the callers that leave at their objective, whatever becomes of their request.
    zones
        Number of zones, to which nodes and back ends belong in turn.
    totals_delay
        Range of the seconds until the leader's totals reach a node.
    choose
        Replaces the nodes' choice of back ends for unkeyed requests.
    """

    kinds: Sequence[Kind]
    speeds: Sequence[float | Callable[[float], float]]
    nodes: int = 5
    seed: int = 1
    slots: int = 4
    queue: int = 16
    keyed: bool = False
    work_sigma: float = 0.4
    has_leader: bool = True
    reports_load: bool = True
    leader_away: tuple[float, float] = (0.0, 0.0)
    frozen: tuple[float, float] = (0.0, 0.0)
    leaving: float = 0.0
    zones: int = 1
    totals_delay: tuple[float, float] = REPORT_DELAY
    choose: Chooser | None = None
    results: list[Result] = field(default_factory=list)
    rejected: Counter[str] = field(default_factory=Counter)
    arrivals_at: list[float] = field(default_factory=list)
    sent: int = 0
    sent_to_other_zones: int = 0

    def __post_init__(self) -> None:
        self.env = simpy.Environment()
        self.source = random.Random(self.seed)
        self.fleet_load = FleetLoad()
        self.backends = {
            f"b{number}": SimulatedBackend(
                Backend(
                    f"b{number}", SERVICE, f"127.0.0.1:{number}", self._zone(number), self.slots
                ),
                simpy.Resource(self.env, self.slots),
                self.queue,
                speed if callable(speed) else _constant(speed),
            )
            for number, speed in enumerate(self.speeds)
        }
        self.node_list = [self._node(number) for number in range(self.nodes)]

    def _zone(self, number: int) -> str:
        return f"z{number % self.zones + 1}"

    def _node(self, number: int) -> _Node:
        zone = self._zone(number)
        directory = (
            BackendDirectory(zone, f"n{number}")
            if self.choose is None
            else _ReplacedChoice(zone, f"n{number}", self, self.choose)
        )
        for item in self.backends.values():
            directory.put(item.backend, 0.0)
        view = ServiceView(SERVICE, self.keyed, RetryBudget(RetryAllowance(0.2, 60.0, 10.0)))
        if self.keyed:
            count = len(self.backends)
            edges = [POSITIONS * index // count for index in range(count + 1)]
            ranges = [
                OwnedRange(edges[index], edges[index + 1] - 1, name)
                for index, name in enumerate(self.backends)
            ]
            view.owners = OwnerMap(1, tuple(ranges))
        return _Node(directory, view, zone)

    def run(self, until: float) -> None:
        """Play until a time."""
        for item in self.kinds:
            self.env.process(self._callers(item))
        if self.has_leader:
            self.env.process(self._leader())
        self.env.run(until=until)

    def of(self, name: str, since: float = 0.0, until: float = float("inf")) -> list[Result]:
        """Return the results of the callers of a kind that began in a time."""
        return [
            item for item in self.results if item.kind == name and since <= item.started_at < until
        ]

    def in_time(self, name: str, since: float = 0.0, until: float = float("inf")) -> float:
        """Return the part of a kind's callers that were served within their objective."""
        found = self.of(name, since, until)
        return sum(item.in_time for item in found) / len(found)

    def served(self, name: str, since: float = 0.0, until: float = float("inf")) -> float:
        """Return the part of a kind's callers that were served, also late."""
        found = self.of(name, since, until)
        return sum(item.served for item in found) / len(found)

    def backend_arrivals(self, since: float, until: float) -> int:
        """Return how many requests reached back ends in a time."""
        return sum(since <= at < until for at in self.arrivals_at)

    def utilization(self, since: float, until: float) -> float:
        """Return the part of a time for which slots were in use, over all back ends."""
        busy = sum(
            max(min(ended, until) - max(began, since), 0.0)
            for item in self.backends.values()
            for began, ended in item.busy
        )
        return busy / (self.slots * len(self.backends) * (until - since))

    def busiest_to_mean(self, relative: Sequence[float] = ()) -> float:
        """Return the most requests of one back end over the mean, both relative to its speed."""
        counts = [item.arrivals for item in self.backends.values()]
        speeds = relative or [1.0] * len(counts)
        rates = [count / speed for count, speed in zip(counts, speeds, strict=True)]
        return max(rates) / (sum(counts) / sum(speeds))

    def _callers(self, item: Kind) -> Steps:
        number = 0
        while True:
            rate = item.rate(self.env.now)
            yield self.env.timeout(self.source.expovariate(rate) if rate > 0.0 else 0.05)
            number += 1
            if rate > 0.0:
                self.env.process(self._caller(item, number))

    def _caller(self, item: Kind, number: int) -> Steps:
        started = self.env.now
        deadline = started + item.deadline
        key = item.key(self.source) if self.keyed else None
        work = item.work * self.source.lognormvariate(-(self.work_sigma**2) / 2, self.work_sigma)
        reasons: list[str] = []
        first_refusal = None
        nodes = [node for node in self.node_list if item.zone in (None, node.zone)]
        for tries in range(1, item.retries + 2):
            node = self.source.choice(nodes)
            identity = f"{item.route.name}-{number}-{tries}".encode()
            refusal = yield from self._attempts(node, item, identity, key, deadline, work)
            took = self.env.now - started
            if refusal is None:
                in_time = took <= item.route.objective
                self._record(item, started, True, in_time, tries, first_refusal, reasons)
                return
            reasons.append(refusal.reason.value)
            first_refusal = took if first_refusal is None else first_refusal
            left = deadline - self.env.now
            if tries > item.retries or left <= 0.0:
                break
            yield self.env.timeout(min(refusal.retry_after, MAX_OBEYED_FRACTION * left))
        self._record(item, started, False, False, tries, first_refusal, reasons)

    def _record(
        self,
        item: Kind,
        started: float,
        served: bool,
        in_time: bool,
        tries: int,
        first_refusal: float | None,
        reasons: list[str],
    ) -> None:
        took = self.env.now - started
        name = item.route.name
        self.results.append(
            Result(name, started, took, served, in_time, tries, first_refusal, tuple(reasons))
        )

    def _attempts(
        self,
        node: _Node,
        item: Kind,
        identity: bytes,
        key: int | None,
        deadline: float,
        work: float,
    ) -> Generator[simpy.Event, object, Refuse | None]:
        """Run one attempt of a caller at a node; return the refusal, or None if it was served."""
        now = self.env.now
        node.view.budget.record_request(now)
        is_return = node.view.record_wait(item.route.name, deadline - now)
        core = RequestCore(
            identity, item.route, node.view, node.directory, key, deadline, now, is_return
        )
        leaves = self.leaving and self.source.random() < self.leaving
        leaves_at = now + item.route.objective if leaves else float("inf")
        command = core.next_command(now, self.nodes)
        while True:
            match command:
                case Wait():
                    yield self.env.timeout(max(command.until - self.env.now, 0.0))
                    yield self.env.timeout(self._frozen_for(node))
                    if self.env.now >= leaves_at:
                        return None
                    command = core.next_command(self.env.now, self.nodes)
                case Attempt():
                    self.sent += 1
                    self.sent_to_other_zones += command.state.backend.zone != node.zone
                    phase = yield from self._exchange(command, item.route.name, work)
                    if phase is None:
                        return None
                    command = core.handle_failure(phase, self.env.now, self.nodes)
                case Refuse():
                    return command
                case _:
                    raise AssertionError(command)

    def _exchange(
        self, attempt: Attempt, route: str, work: float
    ) -> Generator[simpy.Event, object, FailurePhase | None]:
        state = attempt.state
        backend = self.backends[state.backend.backend_id]
        sent_at = self.env.now
        state.outstanding += 1
        yield self.env.timeout(LINK_DELAY)
        backend.arrivals += 1
        backend.arrivals_at.append(self.env.now)
        self.arrivals_at.append(self.env.now)
        if len(backend.slots.queue) >= backend.queue:
            self.rejected[state.backend.backend_id] += 1
            yield self.env.timeout(LINK_DELAY)
            state.outstanding -= 1
            if self.reports_load:
                state.record_load(backend.load(), self.env.now)
            return FailurePhase.REFUSED
        with backend.slots.request() as slot:
            yield slot | self.env.timeout(max(attempt.until - self.env.now, 0.0))
            has_slot = slot.triggered
            if has_slot:
                needed = work / backend.speed(self.env.now)
                spent = min(needed, max(attempt.until - self.env.now, 0.0))
                backend.busy.append((self.env.now, self.env.now + spent))
                yield self.env.timeout(spent)
        yield self.env.timeout(LINK_DELAY)
        state.outstanding -= 1
        now = self.env.now
        load = backend.load() if self.reports_load else None
        if not has_slot or spent < needed:
            return FailurePhase.AWAITING
        if load is not None:
            state.record_load(load, now)
        state.record_response(now - sent_at, load, now, route, attempt.ahead)
        return None

    def _leader(self) -> Steps:
        listed = {backend_loads.backend_hash(name): SERVICE for name in self.backends}
        while True:
            yield self.env.timeout(REPORT_INTERVAL)
            now = self.env.now
            if self.leader_away[0] <= now < self.leader_away[1]:
                self.fleet_load.clear()
                continue
            for number, node in enumerate(self.node_list):
                if self._frozen_for(node):
                    continue
                report = backend_loads.write_report(node.directory, now)
                self.fleet_load.record_report(f"n{number}", backend_loads.read_report(report), now)
            totals = with_decayed_lasting_times(self.fleet_load.totals(listed, now), listed, now)
            totals = with_decayed_service_times(totals, listed, now)
            for node in self.node_list:
                self.env.process(self._totals_arrive(node, totals))

    def _frozen_for(self, node: _Node) -> float:
        since, until = self.frozen
        is_frozen = node is self.node_list[0] and since <= self.env.now < until
        return until - self.env.now if is_frozen else 0.0

    def _totals_arrive(self, node: _Node, totals: Sequence[object]) -> Steps:
        yield self.env.timeout(self.source.uniform(*self.totals_delay))
        backend_loads.apply_totals(totals, node.directory, self.env.now)  # type: ignore[arg-type]


def _constant(speed: float) -> Callable[[float], float]:
    return lambda now: speed
