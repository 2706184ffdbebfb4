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
    RecordAnswered,
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

LEAVE_NOTICE: Seconds = 1.25
HAND_OVER_PATIENCE: Seconds = 5.0
FRAME_BYTES = 4
HTTP_HEADER_BYTES = 86
"""Of one side of a lease exchange; `limedeck-lab bench control` measures the real ones."""


class NodeObserver(Protocol):
    """What is told of every step of a node."""

    def before_event(self, node: SimulatedNode, event: ControlEvent) -> None:
        """An event is about to be handled."""

    def after_event(self, node: SimulatedNode, commands: list[ControlCommand]) -> None:
        """An event was handled with these commands."""


@dataclass
class Traffic:
    """What nodes send and compute, counted when `is_counted` is set.

    Parameters
    ----------
    messages, sent_bytes
        Between nodes, by kind of message.
    node_bytes
        Sent and received, by node, lease exchanges included.
    node_seconds
        Processor time in the control core, by node.
    """

    is_counted: bool = False
    messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    node_bytes: Counter[str] = field(default_factory=Counter)
    node_seconds: Counter[str] = field(default_factory=Counter)

    def count(self, kind: str, size: int, *nodes: str) -> None:
        """Count a message at both of its ends."""
        if not self.is_counted:
            return
        self.messages[kind] += 1
        self.sent_bytes[kind] += size
        for node in nodes:
            self.node_bytes[node] += size

    def clear(self) -> None:
        """Start to count anew."""
        for counter in (self.messages, self.sent_bytes, self.node_bytes, self.node_seconds):
            counter.clear()


class NodeSurroundings:
    """What all simulated nodes share."""

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
        self.remembers_promises = False
        """Sabotage: a restarted node takes itself for the voter it was."""


class SimulatedNode(SimulatedProcess):
    """One node with its router."""

    def __init__(
        self, surroundings: NodeSurroundings, node_id: NodeId, place: Place, clock: DriftingClock
    ) -> None:
        super().__init__(surroundings.kernel, place, clock)
        self.node_id = node_id
        self.address = f"10.0.0.1:{len(surroundings.nodes_by_address) + 1}"
        self.core: ControlNode
        self.backend_states = BackendStates()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.router: RouterView
        self.is_leaving = False
        self._surroundings = surroundings
        surroundings.nodes_by_address[self.address] = self

    # ------------------------------------------------------------------ life

    def start(self) -> None:
        """Start a new run, with nothing kept from an earlier one."""
        super().start()
        self.is_leaving = False
        first = self._surroundings.remembers_promises
        number = 1 if first else self.run_number + 1
        identity = Voter(self.node_id, Incarnation(number), self.address, self.place.zone)
        seeds = list(self._surroundings.nodes_by_address)
        self.core = ControlNode(
            identity,
            seeds,
            self._surroundings.timing,
            self._surroundings.limits,
            self.clock.read(),
        )
        self.backend_states = BackendStates()
        self.retry_budgets = {}
        self.router = RouterView(
            self.core.config, self.core.routes, self.backend_states, RoutingLimits()
        )
        self._schedule_tick(self.run_number)

    def takes_callers(self) -> bool:
        """Whether it listens to callers: like the daemon, once it can route, until it leaves."""
        return self.is_up and not self.is_leaving and self.core.can_route()

    def stop_as_planned(self) -> None:
        """Leave, then end."""
        if not self.is_running:
            return
        self.is_leaving = True
        self.dispatch(LeaveRequested())
        self._end_when_handed_over(self.run_number, self.kernel.now + HAND_OVER_PATIENCE)

    def _end_when_handed_over(self, run: int, give_up_at: Seconds) -> None:
        def look() -> None:
            if run != self.run_number:
                return
            if self.core.leads_any() and self.kernel.now < give_up_at:
                self._end_when_handed_over(run, give_up_at)
            else:
                self.kill()

        self.kernel.after(LEAVE_NOTICE, look)

    def _schedule_tick(self, run: int) -> None:
        def tick() -> None:
            if run != self.run_number:
                return
            if not self.is_frozen:
                self.dispatch(Tick())
            self._schedule_tick(run)

        interval = self._surroundings.timing.tick_interval
        self.kernel.after(self.clock.real_span(interval), tick)

    # ------------------------------------------------------------------ events and commands

    def dispatch(self, event: ControlEvent) -> None:
        """Hand the core an event and carry out what it wants done."""
        observer = self._surroundings.observer
        if observer is not None:
            observer.before_event(self, event)
        started = time.thread_time()
        commands = self.core.handle(event, self.clock.read())
        traffic = self._surroundings.traffic
        if traffic.is_counted:
            spent = time.thread_time() - started
            traffic.node_seconds[self.node_id] += spent  # type: ignore[assignment]
        if observer is not None:
            observer.after_event(self, commands)
        for command in commands:
            self._carry_out(command)

    def _later(self, event: ControlEvent) -> Callable[[], None]:
        """An action that hands this run of the node an event."""
        run = self.run_number
        return lambda: self.deliver_to_run(run, lambda: self.dispatch(event))

    def _carry_out(self, command: ControlCommand) -> None:
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
            self.kernel.after(self.clock.real_span(command.delay), self._later(Tick()))

    def _send_peer(self, address: str, message: PeerMessage) -> None:
        target = self._surroundings.nodes_by_address.get(address)
        if target is None:
            return
        traffic = self._surroundings.traffic
        if traffic.is_counted:
            kind = message_kind(message)
            traffic.count(kind, message.ByteSize() + FRAME_BYTES, self.node_id, target.node_id)
        event = PeerMessageReceived(message)
        self._surroundings.network.send(
            self.place, target.place, lambda: target.deliver(lambda: target.dispatch(event))
        )

    def _exchange_lease(self, exchange: LeaseExchange) -> None:
        group = GroupId(exchange.request.group)
        failed = self._later(LeaseExchangeFailed(group, exchange.backend_id, exchange.fence))
        backend = self._surroundings.backends_by_address.get(exchange.address)
        network = self._surroundings.network
        if backend is None or not backend.is_up:
            self.kernel.after(2 * network.delay(self.place, self.place), failed)
            return

        traffic = self._surroundings.traffic

        def reply(message: LeaseReply) -> None:
            if traffic.is_counted:
                size = message.ByteSize() + HTTP_HEADER_BYTES
                traffic.count("lease_reply", size, self.node_id)
            event = LeaseReplied(group, exchange.backend_id, exchange.fence, message)
            network.send(backend.place, self.place, self._later(event))

        if traffic.is_counted:
            size = exchange.request.ByteSize() + HTTP_HEADER_BYTES
            traffic.count("lease_request", size, self.node_id)

        def receive() -> None:
            backend.deliver(lambda: reply(backend.handle_lease(exchange.request)))

        network.send(self.place, backend.place, receive)

    def _access_record(self, command: ReadRecord | WriteRecord) -> None:
        run = self.run_number

        def answer(event: RecordEvent) -> None:
            wrapped = RecordAnswered(command.group, event)
            self.deliver_to_run(run, lambda: self.dispatch(wrapped))

        self._surroundings.platform.access_record(command, answer)

    def _poll_config(self, command: PollConfig) -> None:
        if self._surroundings.platform.faults.down:
            return
        update = self._surroundings.config_source(command.known_revision)
        if update is not None:
            self.kernel.after(0.01, self._later(update))

    def _read_machines(self) -> None:
        machines = self._surroundings.platform.machines
        event = MachinesReceived(frozenset(machines), tuple(machines.values()))
        self.kernel.after(0.01, self._later(event))

    def receive_config(self, event: ConfigReceived) -> None:
        """Take in a configuration change that operators made through this node."""
        self.deliver(lambda: self.dispatch(event))
