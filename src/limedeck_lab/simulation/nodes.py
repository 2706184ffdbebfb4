"""A simulated node: the product's control core on simulated time and network."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.api.peer_pb2 import PeerMessage
from limedeck.control.events import (
    ConfigReceived,
    ControlEvent,
    LeaseExchangeFailed,
    LeaseReplied,
    LeaveRequested,
    MachinesReceived,
    PeerMessageReceived,
    RecordResponse,
    Tick,
)
from limedeck.control.group_record import ReadRecord, RecordEvent, WriteRecord
from limedeck.control.leases import LeaseExchange
from limedeck.control.messages import message_kind
from limedeck.control.node import ControlCommand, ControlNode, PollConfig, ReadMachines, SendPeer
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import GroupId, Incarnation, NodeId, Seconds, Voter
from limedeck.routing.backends import BackendStates
from limedeck.routing.request import RetryBudget, RouterView, RoutingLimits
from limedeck_lab.simulation.backends import SimulatedBackend
from limedeck_lab.simulation.kernel import DriftingClock, Kernel
from limedeck_lab.simulation.network import Network, Place
from limedeck_lab.simulation.platform import SimulatedPlatform
from limedeck_lab.simulation.processes import SimulatedProcess

LEAVE_NOTICE_TIME: Seconds = 1.25
"""Time after a node leaves before it checks, and checks again, whether it may end."""
HANDOVER_TIMEOUT: Seconds = 5.0
FRAME_HEADER_BYTES = 4
HTTP_HEADER_BYTES = 86
"""HTTP headers of the request or of the response of a lease exchange.

`limedeck-lab bench control` measures those of real daemons.
"""


class NodeObserver(Protocol):
    """Notified of every event that a node handles."""

    def before_event(self, node: SimulatedNode, event: ControlEvent) -> None:
        """Handle that a node is about to process an event."""

    def after_event(self, node: SimulatedNode, commands: list[ControlCommand]) -> None:
        """Handle that a node processed an event, which gave these commands."""


@dataclass
class Traffic:
    """Traffic and processor time of nodes, counted when `is_counted` is set.

    Parameters
    ----------
    messages, sent_bytes
        Messages and bytes sent, by kind of message.
    node_bytes
        Bytes sent and received, by node, lease exchanges included.
    node_seconds
        Processor time in the control core, by node.
    """

    is_counted: bool = False
    messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    node_bytes: Counter[str] = field(default_factory=Counter)
    node_seconds: Counter[str] = field(default_factory=Counter)

    def count(self, kind: str, size: int, *nodes: str) -> None:
        """Count a message, and its size at each of `nodes`."""
        if not self.is_counted:
            return
        self.messages[kind] += 1
        self.sent_bytes[kind] += size
        for node in nodes:
            self.node_bytes[node] += size

    def clear(self) -> None:
        """Reset all counters."""
        for counter in (self.messages, self.sent_bytes, self.node_bytes, self.node_seconds):
            counter.clear()


class NodeEnvironment:
    """Time, network, platform and settings that all simulated nodes share."""

    def __init__(
        self,
        kernel: Kernel,
        network: Network,
        platform: SimulatedPlatform,
        timing: ControlTiming,
        limits: ControlLimits,
    ) -> None:
        self.kernel = kernel
        self.network = network
        self.platform = platform
        self.timing = timing
        self.limits = limits
        self.nodes_by_address: dict[str, SimulatedNode] = {}
        self.backends_by_address: dict[str, SimulatedBackend] = {}
        self.config_source: Callable[[int], ControlEvent | None] = lambda revision: None
        self.observer: NodeObserver | None = None
        self.traffic = Traffic()
        self.keeps_voter_identity = False
        """Sabotage: a restarted node keeps its identity as a voter, but forgets its promises."""


class SimulatedNode(SimulatedProcess):
    """One node with its router."""

    def __init__(
        self, environment: NodeEnvironment, node_id: NodeId, place: Place, clock: DriftingClock
    ) -> None:
        super().__init__(environment.kernel, place, clock)
        self.node_id = node_id
        self.address = f"10.0.0.1:{len(environment.nodes_by_address) + 1}"
        self.core: ControlNode
        self.backend_states = BackendStates()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.router: RouterView
        self.is_leaving = False
        self._environment = environment
        environment.nodes_by_address[self.address] = self

    # ------------------------------------------------------------------ process

    def start(self) -> None:
        """Start a new run without any state of an earlier one."""
        super().start()
        self.is_leaving = False
        keeps_identity = self._environment.keeps_voter_identity
        number = 1 if keeps_identity else self.run_number + 1
        identity = Voter(self.node_id, Incarnation(number), self.address, self.place.zone)
        seeds = list(self._environment.nodes_by_address)
        self.core = ControlNode(
            identity,
            seeds,
            self._environment.timing,
            self._environment.limits,
            self.clock.read(),
        )
        self.backend_states = BackendStates()
        self.retry_budgets = {}
        self.router = RouterView(
            self.core.config, self.core.routes, self.backend_states, RoutingLimits()
        )
        self._schedule_tick(self.run_number)

    def accepts_requests(self) -> bool:
        """Whether it accepts requests: like the daemon, once it can route and until it leaves."""
        return self.is_up and not self.is_leaving and self.core.can_route()

    def stop_gracefully(self) -> None:
        """Leave, and end the process once no group is led or after a timeout."""
        if not self.is_running:
            return
        self.is_leaving = True
        self.dispatch(LeaveRequested())
        self._kill_after_handover(self.run_number, self.kernel.now + HANDOVER_TIMEOUT)

    def _kill_after_handover(self, run: int, deadline: Seconds) -> None:
        def check() -> None:
            if run != self.run_number:
                return
            if self.core.leads_any() and self.kernel.now < deadline:
                self._kill_after_handover(run, deadline)
            else:
                self.kill()

        self.kernel.after(LEAVE_NOTICE_TIME, check)

    def _schedule_tick(self, run: int) -> None:
        def tick() -> None:
            if run != self.run_number:
                return
            if not self.is_frozen:
                self.dispatch(Tick())
            self._schedule_tick(run)

        interval = self._environment.timing.tick_interval
        self.kernel.after(self.clock.real_span(interval), tick)

    # ------------------------------------------------------------------ events and commands

    def dispatch(self, event: ControlEvent) -> None:
        """Pass an event to the core and execute the commands that it returns."""
        observer = self._environment.observer
        if observer is not None:
            observer.before_event(self, event)
        started = time.thread_time()
        commands = self.core.handle(event, self.clock.read())
        traffic = self._environment.traffic
        if traffic.is_counted:
            spent = time.thread_time() - started
            traffic.node_seconds[self.node_id] += spent  # type: ignore[assignment]
        if observer is not None:
            observer.after_event(self, commands)
        for command in commands:
            self._execute(command)

    def _dispatcher(self, event: ControlEvent) -> Callable[[], None]:
        """Return an action that dispatches an event if the node is still in this run."""
        run = self.run_number
        return lambda: self.deliver_to_run(run, lambda: self.dispatch(event))

    def _execute(self, command: ControlCommand) -> None:
        if isinstance(command, SendPeer):
            self._send_peer(command.address, command.message)
        elif isinstance(command, LeaseExchange):
            self._exchange_lease(command)
        elif isinstance(command, ReadRecord | WriteRecord):
            self._access_record(command)
        elif isinstance(command, PollConfig):
            self._poll_config(command)
        elif isinstance(command, ReadMachines):
            self._read_machines()
        else:
            self.kernel.after(self.clock.real_span(command.delay), self._dispatcher(Tick()))

    def _send_peer(self, address: str, message: PeerMessage) -> None:
        target = self._environment.nodes_by_address.get(address)
        if target is None:
            return
        traffic = self._environment.traffic
        if traffic.is_counted:
            kind = message_kind(message)
            traffic.count(
                kind, message.ByteSize() + FRAME_HEADER_BYTES, self.node_id, target.node_id
            )
        event = PeerMessageReceived(message)
        self._environment.network.send(
            self.place, target.place, lambda: target.deliver(lambda: target.dispatch(event))
        )

    def _exchange_lease(self, exchange: LeaseExchange) -> None:
        group = GroupId(exchange.request.group)
        failed = self._dispatcher(LeaseExchangeFailed(group, exchange.backend_id, exchange.fence))
        backend = self._environment.backends_by_address.get(exchange.address)
        network = self._environment.network
        if backend is None or not backend.is_up:
            self.kernel.after(2 * network.delay(self.place, self.place), failed)
            return

        traffic = self._environment.traffic

        def reply(message: LeaseReply) -> None:
            if traffic.is_counted:
                size = message.ByteSize() + HTTP_HEADER_BYTES
                traffic.count("lease_reply", size, self.node_id)
            event = LeaseReplied(group, exchange.backend_id, exchange.fence, message)
            network.send(backend.place, self.place, self._dispatcher(event))

        if traffic.is_counted:
            size = exchange.request.ByteSize() + HTTP_HEADER_BYTES
            traffic.count("lease_request", size, self.node_id)

        def receive() -> None:
            backend.deliver(lambda: reply(backend.handle_lease(exchange.request)))

        network.send(self.place, backend.place, receive)

    def _access_record(self, command: ReadRecord | WriteRecord) -> None:
        run = self.run_number

        def respond(event: RecordEvent) -> None:
            wrapped = RecordResponse(command.group, event)
            self.deliver_to_run(run, lambda: self.dispatch(wrapped))

        self._environment.platform.access_record(command, respond)

    def _poll_config(self, command: PollConfig) -> None:
        if self._environment.platform.faults.down:
            return
        update = self._environment.config_source(command.known_revision)
        if update is not None:
            self.kernel.after(0.01, self._dispatcher(update))

    def _read_machines(self) -> None:
        machines = self._environment.platform.machines
        event = MachinesReceived(frozenset(machines), tuple(machines.values()))
        self.kernel.after(0.01, self._dispatcher(event))

    def receive_config(self, event: ConfigReceived) -> None:
        """Handle a configuration change that operators made through this node."""
        self.deliver(lambda: self.dispatch(event))
