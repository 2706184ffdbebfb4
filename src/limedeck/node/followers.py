"""Connections that other nodes keep to this one, which tells them what is new while it leads."""

from __future__ import annotations

import random

import anyio
from anyio.abc import SocketStream

from limedeck.api.control_pb2 import ControlMessage, Report
from limedeck.clock import steady_clock
from limedeck.forwarding.owners import OwnerMap
from limedeck.identity import Seconds
from limedeck.node import backend_loads
from limedeck.node.connection_updates import ConnectionUpdates
from limedeck.node.connections import ENDED, SILENCE_LIMIT, FrameSender
from limedeck.node.control import ControlHost
from limedeck.node.crash_gossip import some_peers
from limedeck.node.framing import FrameReader
from limedeck.node.logs import get_logger
from limedeck.node.notifier import Notifier
from limedeck.node.table_exchange import PeerTables, TableExchange
from limedeck.ownership import candidate_priority
from limedeck.ownership.timing import OwnershipTiming
from limedeck.store.feeds import choose_observers

STATUS_SEND_TIME: Seconds = 0.0015
"""What it may cost a leader on a slow machine to tell one node; an estimate, not measured. It lets
that pass for each node between two messages; what changes meanwhile goes into the next one."""
PEERS_INTERVAL: Seconds = 5.0
"""Between two times that a node is told of others: hundreds join at once when a site starts."""
FIRST_PEERS: Seconds = 0.25
"""A node is told of others so long after it connected: by then they have told where they are."""


class FollowerConnections:
    """Connections that other nodes keep to this one."""

    def __init__(
        self,
        address: str,
        zone: str,
        control: ControlHost,
        news: TableExchange,
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
        self._store_news = news
        self._news = Notifier()
        self._log = get_logger("peers")
        control.fleet = self.fleet
        control.on_owners = self._tell_all
        control.on_leader = self._tell_all
        control.on_statements = self._tell_all
        news.set_on_change(self._tell_all)

    def node_count(self) -> int:
        """Nodes that follow this one, and itself."""
        return len(self._nodes) + 1

    def fleet(self) -> candidate_priority.Fleet:
        """Describe the nodes that follow this one, and itself."""
        return self._fleet

    def _note_membership(self) -> None:
        """A node has begun to follow this one, or has left."""
        self._observers = choose_observers(self._zones, self._zone)
        self._fleet = candidate_priority.describe_fleet(
            [self._control.processor, *self._processors.values()]
        )

    async def serve(self) -> None:
        """Listen until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=self._host, local_port=self._port)
        async with listener:
            await listener.serve(self._serve_one)

    def _tell_all(self) -> None:
        self._news.give()

    async def _serve_one(self, stream: SocketStream) -> None:
        async with stream, anyio.create_task_group() as tasks:
            peer = PeerTables(steady_clock())
            told = self._control.connection_news()
            sender = FrameSender(stream)
            tasks.start_soon(self._send_statuses, sender, peer, told, tasks.cancel_scope)
            await self._read_reports(stream, sender, peer, told)
            tasks.cancel_scope.cancel()

    async def _read_reports(
        self, stream: SocketStream, sender: FrameSender, peer: PeerTables, told: ConnectionUpdates
    ) -> None:
        reader = FrameReader(stream, ControlMessage)
        node = ""
        try:
            while True:
                with anyio.fail_after(SILENCE_LIMIT):
                    message, _ = await reader.read()
                if message.HasField("crash_news"):
                    told.crashes.apply(message.crash_news, steady_clock())
                    continue
                if message.HasField("permit_asks"):
                    answers = self._control.permits.answer(message.permit_asks, steady_clock())
                    await sender.send(ControlMessage(permit_answers=answers))
                    continue
                node = message.report.node_id
                told.apply(message.report, steady_clock())
                self._control.handle_report_term(message.report.term)
                self._control.handle_loads(message.report.loads)
                self._control.loads.handle_report(
                    node, message.report.backend_loads, steady_clock()
                )
                self._store_news.apply(message.report, peer, steady_clock())
                self._note_follower(message.report, stream, peer)
        except ENDED as error:
            self._log.info("follower_left", node=node, problem=type(error).__name__)
        finally:
            if self._nodes.get(node) is stream:
                del self._nodes[node]
                self._control.loads.handle_follower_left(node)
                del self._zones[node]
                del self._processors[node]
                self._addresses.pop(node, None)
                self._note_membership()

    def _note_follower(self, report: Report, stream: SocketStream, peer: PeerTables) -> None:
        node = report.node_id
        if self._nodes.get(node) is not stream:
            self._nodes[node] = stream
            self._zones[node] = report.zone
            self._processors[node] = report.processor
            self._note_membership()
        if report.peer_address:
            self._addresses[node] = report.peer_address
        was_told = peer.node_id is not None
        peer.node_id = node
        peer.keeps_feeds = node in self._observers
        if not was_told:
            self._tell_all()

    def _telling_pause(self) -> Seconds:
        """Longer the more nodes there are, but no node may take the leader for lost."""
        return min(STATUS_SEND_TIME * self.node_count(), self._timing.heartbeat_interval)

    async def _send_statuses(
        self,
        sender: FrameSender,
        peer: PeerTables,
        news: ConnectionUpdates,
        scope: anyio.CancelScope,
    ) -> None:
        next_peers = steady_clock() + FIRST_PEERS
        told: dict[str, OwnerMap] = {}
        told_totals = backend_loads.ToldTotals()
        try:
            while True:
                known = self._news.count
                status = self._control.status()
                totals = self._control.loads.totals_for(told_totals)
                if totals is not None:
                    status.backend_totals.CopyFrom(totals)
                status.observes = peer.node_id in self._observers
                status.owners.extend(self._control.owners_since(told))
                self._store_news.fill(status, peer, steady_clock())
                news.fill(status, steady_clock())
                if steady_clock() >= next_peers:
                    next_peers = steady_clock() + PEERS_INTERVAL
                    status.peers.extend(some_peers(list(self._addresses.values()), self._random))
                await sender.send(ControlMessage(status=status))
                await anyio.sleep(self._telling_pause())
                await self._news.wait_beyond(known, self._timing.heartbeat_interval)
        except ENDED:
            scope.cancel()
