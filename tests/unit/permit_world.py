"""Nodes, leaders and one back end that states a limit, in simulated time."""

from __future__ import annotations

import random
from collections.abc import Generator
from dataclasses import dataclass, field

import simpy

from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.commands import Attempt, Refuse, RequestPermit, Wait
from limedeck.forwarding.limits import LimitStatement
from limedeck.forwarding.permits import PermitDenied, PermitIssuer, PermitResponse
from limedeck.forwarding.request import RequestCore, ServiceView
from limedeck.model import Backend, Route, Target

Steps = Generator[simpy.Event, object, None]
BACKEND = Backend("limited", "s", "127.0.0.1:1", "z1", 2)
WORK_TIME = 0.05
CONFIRM_INTERVAL = 0.7
UPDATE_DELAY = (0.02, 0.5)
"""Range of the seconds until another node receives a limit."""
MESSAGE_DELAY = (0.0005, 0.02)
"""Range of the seconds for which a message is in transit."""
ROUTE = Route("r", "host", "/", True, 3.0, 1.0, 3, 1, (Target("s", 1),))


@dataclass(eq=False)
class Leader:
    """A node that assumes that it leads; it may have been replaced."""

    began: float
    confirmed_at: float
    issuer: PermitIssuer
    reaches_store: bool = True


@dataclass(eq=False)
class SimulatedNode:
    """One node.

    Parameters
    ----------
    leader
        The leader that it follows.
    limit_known_at
        When it first knew of a limit.
    """

    directory: BackendDirectory
    view: ServiceView
    leader: Leader | None = None
    limit_known_at: float = float("inf")


@dataclass
class Arrival:
    """A request at the back end, and for how long its node had known of the limit."""

    at: float
    known_for: float


@dataclass
class PermitWorld:
    """The whole simulation; tests change its state while it runs.

    Parameters
    ----------
    rate
        Requests a second of all nodes together.
    limit
        The limit that the back end states now.
    """

    seed: int
    count: int
    rate: float
    limit: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    refused: int = 0
    slowest_refusal: float = 0.0

    def __post_init__(self) -> None:
        self.env = simpy.Environment()
        self.source = random.Random(self.seed)
        self.nodes = [self._node(number) for number in range(self.count)]
        self.current_leader: Leader | None = None
        for number, node in enumerate(self.nodes):
            self.env.process(self._generate_requests(node, number))

    def _node(self, number: int) -> SimulatedNode:
        directory = BackendDirectory("z1", f"n{number}")
        directory.put(BACKEND, 0.0)
        budget = RetryBudget(RetryAllowance(0.2, 30.0, 10.0))
        return SimulatedNode(directory, ServiceView("s", False, budget))

    def elect(self, followers: list[SimulatedNode]) -> Leader:
        """Elect a leader with these followers; its predecessor may not know of it."""
        now = self.env.now
        leader = Leader(now, now, PermitIssuer(now))
        self.current_leader = leader
        for node in followers:
            node.leader = leader
        self.env.process(self._confirm(leader))
        return leader

    def _confirm(self, leader: Leader) -> Steps:
        while True:
            yield self.env.timeout(CONFIRM_INTERVAL * self.source.uniform(0.9, 1.1))
            if leader.reaches_store and leader is self.current_leader:
                leader.confirmed_at = self.env.now

    def _generate_requests(self, node: SimulatedNode, node_number: int) -> Steps:
        number = 0
        while True:
            yield self.env.timeout(self.source.expovariate(self.rate / self.count))
            number += 1
            self.env.process(self._request(node, b"%d-%d" % (node_number, number)))

    def _request(self, node: SimulatedNode, request_id: bytes) -> Steps:
        began = self.env.now
        core = RequestCore(request_id, ROUTE, node.view, node.directory, None, began + 3.0, began)
        refused = yield from self._execute_commands(node, core)
        if refused is not None:
            self.refused += 1
            self.slowest_refusal = max(self.slowest_refusal, self.env.now - began)

    def _execute_commands(
        self, node: SimulatedNode, core: RequestCore
    ) -> Generator[simpy.Event, object, Refuse | None]:
        """Execute the commands of a request's core until the request is served or refused."""
        command = core.next_command(self.env.now, self.count)
        while True:
            match command:
                case RequestPermit():
                    yield self.env.timeout(self.source.uniform(*MESSAGE_DELAY))
                    response = self._respond_to_permit_request(node, command)
                    yield self.env.timeout(self.source.uniform(*MESSAGE_DELAY))
                    command = core.handle_permit(command, response, self.env.now, self.count)
                case Wait():
                    yield self.env.timeout(max(command.until - self.env.now, 0.0))
                    command = core.next_command(self.env.now, self.count)
                case Attempt():
                    yield from self._run(node, self.env.now)
                    return None
                case Refuse():
                    return command

    def _respond_to_permit_request(
        self, node: SimulatedNode, command: RequestPermit
    ) -> PermitResponse:
        leader = node.leader
        if leader is None:
            return PermitDenied(0.3)
        silence = self.env.now - leader.confirmed_at
        return leader.issuer.issue(command.permit_request, None, silence, self.env.now)

    def _run(self, node: SimulatedNode, requested_at: float) -> Steps:
        yield self.env.timeout(self.source.uniform(*MESSAGE_DELAY))
        self.arrivals.append(Arrival(self.env.now, self.env.now - node.limit_known_at))
        yield self.env.timeout(WORK_TIME)
        stated_limit = self.limit
        yield self.env.timeout(self.source.uniform(*MESSAGE_DELAY))
        self._record_statement(node, LimitStatement(stated_limit, requested_at, self.env.now))
        for other in self.nodes:
            if other is not node and other.directory.limits.rate("limited") != stated_limit:
                self.env.process(
                    self._receive_update(
                        other, LimitStatement(stated_limit, requested_at, self.env.now)
                    )
                )

    def _receive_update(self, node: SimulatedNode, statement: LimitStatement) -> Steps:
        yield self.env.timeout(self.source.uniform(*UPDATE_DELAY))
        if node.leader is not None:
            self._record_statement(node, statement)

    def _record_statement(self, node: SimulatedNode, statement: LimitStatement) -> None:
        node.directory.limits.record("limited", statement)
        if statement.rate is not None:
            node.limit_known_at = min(node.limit_known_at, self.env.now)

    def max_arrivals(self, window: float, since: float, known_for: float = 0.0) -> int:
        """Return the most arrivals in any window from a time on, from nodes that knew the limit."""
        times = [
            item.at for item in self.arrivals if item.at >= since and item.known_for >= known_for
        ]
        return max((sum(0 <= at - start < window for at in times) for start in times), default=0)
