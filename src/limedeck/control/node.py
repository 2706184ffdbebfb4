"""Control core of one node: membership, dissemination and all groups, behind one method.

The daemon and the simulation drive the same object: it takes events with the time of the node's
own clock and returns commands.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import ConfigUpdate, PeerMessage, Service
from limedeck.config.objects import group_of_backend
from limedeck.config.replica import ConfigReplica
from limedeck.control.consensus_state import OutgoingMessage
from limedeck.control.dissemination import Deliver, DisseminationCore
from limedeck.control.events import (
    ConfigReceived,
    ControlEvent,
    LeaseExchangeFailed,
    LeaseReplied,
    LeaveRequested,
    MachinesReceived,
    PeerMessageReceived,
    RecordResponse,
)
from limedeck.control.group import GroupCommand, GroupCore
from limedeck.control.group_record import LossEvidence, ReadRecord, WriteRecord
from limedeck.control.group_view import GroupBackend, GroupView, PublishRoutes, Wake
from limedeck.control.leases import LeaseExchange
from limedeck.control.membership import (
    MembershipCommand,
    MembershipCore,
    SendPing,
)
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import BackendId, GroupId, NodeId, Seconds, Voter, keyed_group
from limedeck.keyspace.hashing import KEYSPACE_END, rendezvous_weight
from limedeck.routing.route_table import RouteTable

FOUNDING_DELAY: Seconds = 1.0
"""Time for which a started node waits for other nodes before it may found a group alone."""
PASSIVE_TICK_INTERVAL: Seconds = 1.0
"""Mean time between two ticks of a group in which the node is passive (it knows no voters)."""


@dataclass(frozen=True)
class SendPeer:
    """Command: send a message to another node's address."""

    address: str
    message: PeerMessage


@dataclass(frozen=True)
class PollConfig:
    """Command: read the configuration from the table if its revision is higher than this one."""

    known_revision: int


@dataclass(frozen=True)
class ReadMachines:
    """Command: read the platform's machine list."""


ControlCommand = (
    SendPeer | LeaseExchange | ReadRecord | WriteRecord | PollConfig | ReadMachines | Wake
)


class ControlNode:
    """Control core of one incarnation of a node."""

    def __init__(
        self,
        identity: Voter,
        seeds: Sequence[str],
        timing: ControlTiming,
        limits: ControlLimits,
        now: Seconds,
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.limits = limits
        self.config = ConfigReplica()
        self.routes = RouteTable()
        self.membership = MembershipCore(identity, seeds, timing, limits, now)
        self.dissemination = DisseminationCore(
            identity, timing, limits, self.routes, self.config, now
        )
        self.groups: dict[GroupId, GroupCore] = {}
        self.machines: frozenset[NodeId] | None = None
        self.leaving = False
        self._views: dict[GroupId, GroupView] = {}
        self._views_key: tuple[int, int, frozenset[NodeId] | None, bool] | None = None
        self._seen_membership_version = -1
        self._may_found_at = now + FOUNDING_DELAY
        self._next_config_poll: Seconds = now
        self._next_machine_read: Seconds = now
        self._passive_ticks: dict[GroupId, Seconds] = {}
        self._commands: list[ControlCommand] = []

    def can_route(self) -> bool:
        """Whether this node has a configuration and routes for all groups in it."""
        if self.config.revision == 0:
            return False
        return all(self.routes.version(group) > 0 for group in self._views if group in self.groups)

    def leads_any(self) -> bool:
        """Whether this node leads a group with live nodes; a leaving node is not one of them."""
        return any(
            core.consensus.is_leader and len(core.view.nodes) > 0 for core in self.groups.values()
        )

    def handle(self, event: ControlEvent, now: Seconds) -> list[ControlCommand]:
        """Handle one event; `now` is read from the clock just before the call."""
        if isinstance(event, PeerMessageReceived):
            self._on_peer_message(event.message, now)
        elif isinstance(event, LeaseReplied):
            self._on_lease_replied(event, now)
        elif isinstance(event, LeaseExchangeFailed):
            self._on_lease_failed(event, now)
        elif isinstance(event, RecordResponse):
            self._on_record_answered(event, now)
        elif isinstance(event, ConfigReceived):
            self._on_config(event.update)
        elif isinstance(event, MachinesReceived):
            self._on_machines(event)
        elif isinstance(event, LeaveRequested):
            self._on_leave(now)
        else:
            self._on_tick(now)
        commands = self._commands
        self._commands = []
        return commands

    # ------------------------------------------------------------------ events

    def _on_tick(self, now: Seconds) -> None:
        self._add_membership_commands(self.membership.handle_tick(now))
        self._refresh_membership()
        self._add_deliveries(self.dissemination.handle_tick(now))
        self._read_platform(now)
        self._refresh_groups(now)
        may_found = now >= self._may_found_at
        for group, core in list(self.groups.items()):
            if core.consensus.voters or (may_found and self._passive_tick_is_due(group, now)):
                self._add_group_commands(core.handle_tick(self._views[group], now))

    def _passive_tick_is_due(self, group: GroupId, now: Seconds) -> bool:
        """Whether the tick of a passive group is due; most groups are passive.

        The interval differs by node and group, which staggers the ticks.
        """
        if now < self._passive_ticks.get(group, now):
            return False
        hash_fraction = rendezvous_weight(self.identity.node_id, group) / KEYSPACE_END
        self._passive_ticks[group] = now + PASSIVE_TICK_INTERVAL * (0.5 + hash_fraction)
        return True

    def _on_peer_message(self, message: PeerMessage, now: Seconds) -> None:
        if message.target_incarnation not in (0, self.identity.incarnation):
            return
        sender = Voter.from_message(message.sender)
        kind = message.WhichOneof("body")
        if kind == "group":
            core = self._group_for(GroupId(message.group.group), now)
            self._add_group_commands(core.handle_message(sender, message.group, now))
        elif kind == "ping":
            self._add_membership_commands(self.membership.handle_ping(sender, message.ping, now))
        elif kind == "ping_ack":
            self.membership.handle_ack(sender, message.ping_ack, now)
        elif kind == "route_update":
            update = message.route_update
            self._add_deliveries(self.dissemination.handle_route_update(sender, update))
        elif kind == "config_update":
            config = message.config_update
            self._add_deliveries(self.dissemination.handle_config_update(sender, config))
        elif kind == "sync_digest":
            self._add_deliveries(self.dissemination.handle_digest(sender, message.sync_digest))

    def _on_lease_replied(self, event: LeaseReplied, now: Seconds) -> None:
        core = self.groups.get(event.group)
        if core is not None:
            commands = core.handle_lease_reply(event.backend_id, event.fence, event.reply, now)
            self._add_group_commands(commands)

    def _on_lease_failed(self, event: LeaseExchangeFailed, now: Seconds) -> None:
        core = self.groups.get(event.group)
        if core is not None:
            self._add_group_commands(core.handle_lease_failure(event.backend_id, event.fence, now))

    def _on_record_answered(self, event: RecordResponse, now: Seconds) -> None:
        core = self.groups.get(event.group)
        if core is not None:
            self._add_group_commands(core.handle_record_event(event.answer, now))

    def _on_config(self, update: ConfigUpdate) -> None:
        self._add_deliveries(self.dissemination.publish_config(update))

    def _on_machines(self, event: MachinesReceived) -> None:
        self.machines = event.nodes
        known = set(self.membership.seeds) | {self.identity.peer_address}
        self.membership.seeds += [item for item in event.addresses if item not in known]

    def _on_leave(self, now: Seconds) -> None:
        self.leaving = True
        self._add_membership_commands(self.membership.leave(now))

    # ------------------------------------------------------------------ refresh

    def _refresh_membership(self) -> None:
        if self.membership.version == self._seen_membership_version:
            return
        self._seen_membership_version = self.membership.version
        self.dissemination.set_nodes(
            self.membership.live_nodes(), self.membership.reachable_nodes()
        )

    def _read_platform(self, now: Seconds) -> None:
        if not self.dissemination.is_relay and self.config.revision > 0 and self.machines:
            return
        if now >= self._next_config_poll:
            self._next_config_poll = now + self.timing.config_poll_interval
            self._commands.append(PollConfig(self.config.revision))
        if now >= self._next_machine_read:
            self._next_machine_read = now + self.timing.machine_list_interval
            self._commands.append(ReadMachines())

    def _refresh_groups(self, now: Seconds) -> None:
        key = (self.config.revision, self.membership.version, self.machines, self.leaving)
        if key == self._views_key:
            return
        self._views_key = key
        nodes = self.membership.live_nodes()
        evidence = LossEvidence(self.machines, self.membership.runs())
        views: dict[GroupId, GroupView] = {}
        for service in self.config.keyed_services():
            views.update(self._build_views(service, nodes, evidence))
        self._views = views
        for group in views:
            self._group_for(group, now)
        for group in [group for group in self.groups if group not in views]:
            del self.groups[group]
            self._passive_ticks.pop(group, None)
            self.routes.remove(group)

    def _build_views(
        self, service: Service, nodes: tuple[Voter, ...], evidence: LossEvidence
    ) -> dict[GroupId, GroupView]:
        count = service.sharing.control_groups
        views = {
            keyed_group(service.name, index, count): GroupView(
                slices_per_backend=service.sharing.slices_per_backend,
                nodes=nodes,
                evidence=evidence,
                departing=self.membership.departing_nodes(),
                leaving=self.leaving,
            )
            for index in range(count)
        }
        for backend in self.config.backends_of(service.name):
            view = views.get(group_of_backend(service, backend))
            if view is not None:
                backend_id = BackendId(backend.backend_id)
                item = GroupBackend(backend_id, backend.address, backend.draining)
                view.backends[backend_id] = item
        return views

    def _group_for(self, group: GroupId, now: Seconds) -> GroupCore:
        core = self.groups.get(group)
        if core is None:
            core = GroupCore(group, self.identity, self.timing, self.limits, now)
            self.groups[group] = core
            self._views.setdefault(group, GroupView())
        return core

    # ------------------------------------------------------------------ commands

    def _add_group_commands(self, commands: Iterable[GroupCommand]) -> None:
        for command in commands:
            if isinstance(command, OutgoingMessage):
                self._send(command.target, PeerMessage(group=command.message))
            elif isinstance(command, PublishRoutes):
                self._add_deliveries(self.dissemination.publish_routes(command.update))
            else:
                self._commands.append(command)

    def _add_deliveries(self, deliveries: Iterable[Deliver]) -> None:
        for delivery in deliveries:
            self._send(delivery.target, delivery.message)

    def _add_membership_commands(self, commands: Iterable[MembershipCommand]) -> None:
        for command in commands:
            if isinstance(command, SendPing):
                message = PeerMessage(ping=command.ping)
            else:
                message = PeerMessage(ping_ack=command.ack)
            self._send_to_address(command.address, message)

    def _send(self, target: Voter, message: PeerMessage) -> None:
        addressed = PeerMessage()
        addressed.CopyFrom(message)
        addressed.target_incarnation = target.incarnation
        self._send_to_address(target.peer_address, addressed)

    def _send_to_address(self, address: str, message: PeerMessage) -> None:
        message.sender.CopyFrom(self.identity.to_message())
        self._commands.append(SendPeer(address, message))
