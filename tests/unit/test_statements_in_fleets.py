"""Back-off and leaving statements in simulated fleets of nodes.

Announcements of leaving are forwarded between nodes with delays, duplicates and reordering.
"""

from __future__ import annotations

import random
from collections.abc import Generator
from dataclasses import dataclass, field

import pytest
import simpy

from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.commands import Attempt, Refuse, Wait
from limedeck.forwarding.leaving import LeavingStatement
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.forwarding.request import RequestCore, ServiceView
from limedeck.model import Backend, Route, Target
from limedeck.routing.outcomes import FailurePhase

Steps = Generator[simpy.Event, object, None]
ROUTE = Route("r", "host", "/", True, 3.0, 1.0, 3, 1, (Target("s", 1),))
NAMES = ("a", "b", "c", "d")
DURATION = 20.0
NETWORK_DELAY = (0.001, 0.08)
FORWARDING_DELAY = (0.01, 3.0)
SERVICE_TIME = 0.05
DRAIN_TIME = 2.0
BACKOFF_GRACE = 0.5
MAX_REQUESTS_IN_BACKOFF = 2


@dataclass
class SimulatedBackend:
    """A back end that records, by node, the requests received and the statements made."""

    name: str
    leaving_from: float
    rejection_periods: list[tuple[float, float, float]]
    arrivals: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    announced: dict[int, float] = field(default_factory=dict)
    backoffs: dict[int, list[tuple[float, float]]] = field(default_factory=dict)

    def requested_backoff(self, now: float) -> float | None:
        """Return the back-off to request now; None if requests are served."""
        return next((s for begin, end, s in self.rejection_periods if begin <= now < end), None)

    def violations(self) -> list[str]:
        """Describe requests sent in disregard of the announcement or of a back-off."""
        violations = []
        for node, arrivals in self.arrivals.items():
            announced = self.announced.get(node)
            for began, _ in arrivals:
                if announced is not None and began > announced + DRAIN_TIME:
                    violations.append(
                        f"back end {self.name} is leaving, but got a request of node {node} "
                        f"that began at {began:.2f} s"
                    )
            for requested_at, seconds in self.backoffs.get(node, []):
                begin, end = requested_at + BACKOFF_GRACE, requested_at + seconds
                count = sum(begin <= at < end for _, at in arrivals)
                if count > MAX_REQUESTS_IN_BACKOFF:
                    violations.append(
                        f"back end {self.name} got {count} requests of node {node} in a back-off"
                    )
        return violations


class Fleet:
    """Nodes that send requests and forward announcements of leaving to each other.

    Parameters
    ----------
    keyed
        Whether all requests are for one key, whose owner does not change.
    """

    def __init__(self, seed: int, nodes: int, keyed: bool) -> None:
        self.env = simpy.Environment()
        self.source = random.Random(seed)
        self.keyed = keyed
        self.served = 0
        self.slowest_refusal = 0.0
        self.backends = {name: self._backend(name) for name in NAMES}
        self.directories = [self._directory(number) for number in range(nodes)]
        self.views = [self._view() for _ in range(nodes)]
        for number in range(nodes):
            self.env.process(self._generate_requests(number, 120.0 / nodes))

    def _backend(self, name: str) -> SimulatedBackend:
        source = self.source
        leaving_from = source.uniform(7.0, 15.0) if name in ("a", "b") else DURATION
        begins = [source.uniform(low, low + 5.0) for low in (0.0, 5.0, 12.0)]
        rejection_periods = [
            (begin, begin + source.uniform(0.5, 5.0), source.choice([0.3, 1.0, 3.0]))
            for begin in begins
        ]
        return SimulatedBackend(name, leaving_from, rejection_periods)

    def _directory(self, number: int) -> BackendDirectory:
        directory = BackendDirectory("z1", f"n{number}")
        for name in NAMES:
            directory.put(Backend(name, "s", f"127.0.0.1:{ord(name)}", "z1", 2), 0.0)
        return directory

    def _view(self) -> ServiceView:
        view = ServiceView("s", self.keyed, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
        view.owners = OwnerMap(1, (OwnedRange(0, 99, "a"),))
        return view

    def _generate_requests(self, node: int, rate: float) -> Steps:
        number = 0
        while self.env.now < DURATION:
            yield self.env.timeout(self.source.expovariate(rate))
            number += 1
            self.env.process(self._request(node, b"%d-%d" % (node, number)))

    def _request(self, node: int, request_id: bytes) -> Steps:
        began = self.env.now
        view, directory = self.views[node], self.directories[node]
        view.budget.record_request(began)
        position = 5 if self.keyed else None
        core = RequestCore(request_id, ROUTE, view, directory, position, began + 3.0, began)
        command = core.next_command(began, len(self.views))
        while True:
            if isinstance(command, Wait):
                yield self.env.timeout(max(command.until - self.env.now, 0.001))
                command = core.next_command(self.env.now, len(self.views))
            elif isinstance(command, Attempt):
                was_served = yield from self._attempt(node, command, began)
                if was_served:
                    self.served += 1
                    return
                command = core.handle_failure(FailurePhase.REFUSED, self.env.now, len(self.views))
            else:
                assert isinstance(command, Refuse)
                if core.attempts == 0:
                    elapsed = self.env.now - began
                    self.slowest_refusal = max(self.slowest_refusal, elapsed)
                return

    def _attempt(
        self, node: int, attempt: Attempt, began: float
    ) -> Generator[simpy.Event, object, bool]:
        """Send a request, record the statements in its response; return whether it was served."""
        state, requested_at = attempt.state, self.env.now
        backend = self.backends[state.backend.backend_id]
        state.outstanding += 1
        yield self.env.timeout(self.source.uniform(*NETWORK_DELAY))
        backend.arrivals.setdefault(node, []).append((began, self.env.now))
        backoff = backend.requested_backoff(self.env.now)
        if backoff is None:
            yield self.env.timeout(SERVICE_TIME)
        else:
            backend.backoffs.setdefault(node, []).append((self.env.now, backoff))
        is_leaving = self.env.now >= backend.leaving_from
        yield self.env.timeout(self.source.uniform(*NETWORK_DELAY))
        state.outstanding -= 1
        directory, now = self.directories[node], self.env.now
        if is_leaving:
            backend.announced.setdefault(node, now)
            self._announce(node, backend.name, LeavingStatement(True, requested_at, now))
        if backoff is not None:
            directory.backoffs.record(backend.name, backoff, now)
        else:
            directory.backoffs.record_served(backend.name, requested_at)
            state.record_response(now - requested_at, None, now)
        return backoff is None

    def _announce(self, node: int, name: str, statement: LeavingStatement) -> None:
        """Record an announcement and forward it to two random nodes, once or twice each."""
        self.directories[node].leaving.record(name, statement)
        for other in self.source.sample(range(len(self.directories)), 2):
            for _ in range(self.source.choice([1, 2])):
                self.env.process(self._deliver(other, name, statement))

    def _deliver(self, node: int, name: str, statement: LeavingStatement) -> Steps:
        yield self.env.timeout(self.source.uniform(*FORWARDING_DELAY))
        self.directories[node].leaving.record(name, statement, source=self)


@pytest.mark.parametrize("keyed", [False, True])
@pytest.mark.parametrize("nodes", [3, 11, 74, 195])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nodes_comply_with_statements_of_back_ends(seed: int, nodes: int, keyed: bool) -> None:
    fleet = Fleet(seed, nodes, keyed)
    fleet.env.run()
    violations = [text for backend in fleet.backends.values() for text in backend.violations()]
    assert violations == []
    assert fleet.served > 0
    assert any(backend.backoffs for backend in fleet.backends.values())


@pytest.mark.parametrize("nodes", [3, 11, 74, 195])
def test_requests_for_unavailable_back_ends_are_refused_at_once(nodes: int) -> None:
    fleet = Fleet(7, nodes, keyed=True)
    fleet.env.run()
    assert fleet.slowest_refusal <= 0.1
