"""Connections that other nodes keep to this one, on which it sends them its status."""

from __future__ import annotations

import random

import anyio
from anyio.abc import SocketStream

from limedeck.api.control_pb2 import ControlMessage, IntermediaryNode, Report
from limedeck.clock import steady_clock
from limedeck.forwarding.owners import OwnerMap
from limedeck.identity import Seconds
from limedeck.node import backend_loads, fleet_intermediaries
from limedeck.node.connection_updates import ConnectionUpdates
from limedeck.node.connections import CONNECTION_ERRORS, RECEIVE_TIMEOUT, FrameSender
from limedeck.node.control import ControlHost
from limedeck.node.crash_gossip import sample_peers
from limedeck.node.framing import FrameReader
from limedeck.node.logs import get_logger
from limedeck.node.notifier import Notifier
from limedeck.node.peer_tables import PeerTables
from limedeck.node.table_exchange import TableExchange
from limedeck.ownership import candidate_priority
from limedeck.ownership.timing import OwnershipTiming
from limedeck.store.feeds import choose_observers

STATUS_SEND_TIME: Seconds = 0.0015
"""Time that a leader on a slow machine may need to send one status. It waits this long for each
node between two statuses on a connection; what changes meanwhile goes into the next one."""
PEERS_INTERVAL: Seconds = 5.0
"""Interval of sending a node addresses of others, as hundreds join at once when a site starts."""
FIRST_PEERS_DELAY: Seconds = 0.25
"""Delay from a node's connection to its first addresses of others, which they have sent by then."""


class FollowerConnections:
    """Connections that other nodes keep to this one."""

    def __init__(
        self,
        address: str,
        zone: str,
        control: ControlHost,
        table_exchange: TableExchange,
        timing: OwnershipTiming,
    ) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._control = control
        self._timing = timing
        self._nodes: dict[str, SocketStream] = {}
        self._zones: dict[str, str] = {}
        self._processors: dict[str, float] = {}
        self._addresses: dict[str, str] = {}
        self._random = random.Random()
        self._observers: frozenset[str] = frozenset()
        self._fleet = candidate_priority.describe_fleet([control.processor])
        self._zone = zone
        self._table_exchange = table_exchange
        self._notifier = Notifier()
        self._log = get_logger("peers")
        control.fleet = self.fleet
        control.on_owners = self._notify_all
        control.on_leader = self._notify_all
        control.on_statements = self._notify_all
        table_exchange.set_on_change(self._notify_all)

    def node_count(self) -> int:
        """Return the number of nodes that follow this one, plus itself."""
        return len(self._nodes) + 1

    def fleet(self) -> candidate_priority.Fleet:
        """Describe the nodes that follow this one, and itself."""
        return self._fleet

    def _record_membership(self) -> None:
        """Update observers and fleet after a node has begun to follow this one or has left."""
        self._observers = choose_observers(self._zones, self._zone)
        self._fleet = candidate_priority.describe_fleet(
            [self._control.processor, *self._processors.values()]
        )

    async def serve(self) -> None:
        """Listen until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=self._host, local_port=self._port)
        async with listener:
            await listener.serve(self._serve_one)

    def _notify_all(self) -> None:
        self._notifier.notify()

    async def _serve_one(self, stream: SocketStream) -> None:
        async with stream, anyio.create_task_group() as tasks:
            peer = PeerTables(steady_clock())
            updates = self._control.connection_updates()
            sender = FrameSender(stream)
            tasks.start_soon(self._send_statuses, sender, peer, updates, tasks.cancel_scope)
            await self._read_reports(stream, sender, peer, updates)
            tasks.cancel_scope.cancel()

    async def _read_reports(
        self,
        stream: SocketStream,
        sender: FrameSender,
        peer: PeerTables,
        updates: ConnectionUpdates,
    ) -> None:
        reader = FrameReader(stream, ControlMessage)
        node = ""
        try:
            while True:
                with anyio.fail_after(RECEIVE_TIMEOUT):
                    message, _ = await reader.read()
                if message.HasField("crash_news"):
                    updates.crashes.apply(message.crash_news, steady_clock())
                    continue
                if message.HasField("permit_asks"):
                    responses = self._control.permits.handle_requests(
                        message.permit_asks, steady_clock()
                    )
                    await sender.send(ControlMessage(permit_answers=responses))
                    continue
                node = message.report.node_id
                updates.apply(message.report, steady_clock())
                self._control.handle_report_term(message.report.term)
                self._control.handle_loads(message.report.loads)
                self._control.loads.handle_report(
                    node,
                    message.report.backend_loads,
                    steady_clock(),
                    message.report.partitioned,
                )
                self._table_exchange.apply(message.report, peer, steady_clock())
                self._record_follower(message.report, stream, peer)
                self._record_reachability(message.report)
        except CONNECTION_ERRORS as error:
            self._log.info("follower_left", node=node, problem=type(error).__name__)
        finally:
            if self._nodes.get(node) is stream:
                del self._nodes[node]
                self._control.loads.handle_follower_left(node)
                del self._zones[node]
                del self._processors[node]
                self._addresses.pop(node, None)
                self._control.intermediaries.forget(node)
                self._record_membership()

    def _record_follower(self, report: Report, stream: SocketStream, peer: PeerTables) -> None:
        node = report.node_id
        if self._nodes.get(node) is not stream:
            self._nodes[node] = stream
            self._zones[node] = report.zone
            self._processors[node] = report.processor
            self._record_membership()
        if report.peer_address:
            self._addresses[node] = report.peer_address
        was_known = peer.node_id is not None
        peer.node_id = node
        peer.keeps_feeds = node in self._observers
        if not was_known:
            self._notify_all()

    def _record_reachability(self, report: Report) -> None:
        known = self._control.intermediaries.partition_changes
        self._control.intermediaries.record_report(report)
        if self._control.intermediaries.partition_changes != known:
            self._notify_all()

    def _status_pause(self) -> Seconds:
        """Return the pause between statuses, which grows with the number of nodes.

        It is capped so that no node takes the leader for lost.
        """
        return min(STATUS_SEND_TIME * self.node_count(), self._timing.heartbeat_interval)

    def _intermediaries_for(self, node: str) -> list[IntermediaryNode]:
        chosen = self._control.intermediaries.choose_for(node, self._zones.get(node, ""))
        return fleet_intermediaries.write_intermediaries(chosen)

    async def _send_statuses(
        self,
        sender: FrameSender,
        peer: PeerTables,
        updates: ConnectionUpdates,
        scope: anyio.CancelScope,
    ) -> None:
        next_peers = steady_clock() + FIRST_PEERS_DELAY
        sent_owners: dict[str, OwnerMap] = {}
        sent_totals = backend_loads.SentTotals()
        sent_changes = -1
        try:
            while True:
                known = self._notifier.count
                status = self._control.status()
                totals = self._control.loads.totals_for(sent_totals)
                if totals is not None:
                    status.backend_totals.CopyFrom(totals)
                status.observes = peer.node_id in self._observers
                status.owners.extend(self._control.owners_since(sent_owners))
                self._table_exchange.fill(status, peer, steady_clock())
                updates.fill(status, steady_clock())
                is_due = steady_clock() >= next_peers
                if is_due:
                    next_peers = steady_clock() + PEERS_INTERVAL
                    status.peers.extend(sample_peers(list(self._addresses.values()), self._random))
                changes = self._control.intermediaries.changes
                if peer.node_id is not None and (is_due or changes != sent_changes):
                    sent_changes = changes
                    status.intermediaries.extend(self._intermediaries_for(peer.node_id))
                    status.no_intermediaries = not status.intermediaries
                await sender.send(ControlMessage(status=status))
                await anyio.sleep(self._status_pause())
                await self._notifier.wait_past(known, self._timing.heartbeat_interval)
        except CONNECTION_ERRORS:
            scope.cancel()
