"""Connections between nodes: each node keeps one to the leader, which tells what is new on it."""

from __future__ import annotations

import random

import anyio
from anyio.abc import SocketStream

from limedeck.api.control_pb2 import (
    ControlMessage,
    FormerLeader,
    LeaderRecord,
    Report,
)
from limedeck.clock import steady_clock
from limedeck.errors import PeerProtocolError
from limedeck.forwarding.owners import OwnerMap
from limedeck.identity import NEVER, Seconds
from limedeck.node import backend_loads
from limedeck.node.control import ControlHost
from limedeck.node.crash_gossip import some_peers
from limedeck.node.crash_news import CrashNewsPeer
from limedeck.node.framing import FrameReader, encode_frame
from limedeck.node.logs import get_logger
from limedeck.node.news import PeerTables, StoreNews
from limedeck.ownership import standing
from limedeck.ownership.timing import OwnershipTiming
from limedeck.store.feeds import FeedPolicy, choose_observers

CONNECT_TIMEOUT: Seconds = 0.7
"""A new leader on a slow machine takes so long to accept all nodes of a large site at once."""
SEND_TIMEOUT: Seconds = 1.0
"""A node that takes nothing for so long is gone; below `SILENCE_LIMIT`, an estimate."""
LEADER_HEARD: Seconds = 0.9
"""A leader tells something at least each 0.3 s; one that missed two is taken for lost."""
REPORT_INTERVAL: Seconds = 0.25
"""Back ends' loads are known so late; a shorter one costs bytes between zones."""
KEY_REPORT_INTERVAL: Seconds = 0.5
"""Requests by key are told less often: the leader's shortest memory of them is a second."""
RECONNECT_PAUSE: Seconds = 0.15
"""Below the spread of an election, so that a new leader is found soon; an estimate."""
INQUIRY_PAUSE: Seconds = 0.2
"""Keys of silent owners wait for the answer; an estimate."""
INQUIRY_TIMEOUT: Seconds = 0.8
"""Above `CONNECT_TIMEOUT`; a former leader that is cut off answers nothing."""
TELLING_TIME: Seconds = 0.0015
"""What it may cost a leader on a slow machine to tell one node; an estimate, not measured. It lets
that pass for each node between two messages; what changes meanwhile goes into the next one."""
PEERS_INTERVAL: Seconds = 5.0
"""Between two times that a node is told of others: hundreds join at once when a site starts."""
SILENCE_LIMIT: Seconds = 1.5
"""A connection on which nothing came for so long is given up."""

ENDED = (
    OSError,
    TimeoutError,
    PeerProtocolError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""All ways in which a connection may end."""


class LeaderLink:
    """A node's connection to the node that leads."""

    def __init__(
        self,
        identity: LeaderRecord,
        zone: str,
        control: ControlHost,
        news: StoreNews,
        policy: FeedPolicy,
    ) -> None:
        self._identity = identity
        self._zone = zone
        self._control = control
        self._news = news
        self._policy = policy
        self._peer = PeerTables(steady_clock())
        self._crash_peer = CrashNewsPeer(control.quarantine)
        self._next_key_report: Seconds = 0.0
        self._heard_at: Seconds = NEVER
        self._log = get_logger("peers")

    @property
    def hears_leader(self) -> bool:
        """Whether a leader was heard lately on the connection that is open."""
        return steady_clock() - self._heard_at < LEADER_HEARD

    async def run(self) -> None:
        """Keep a connection to whichever node leads, until cancelled."""
        while True:
            leader = self._control.election.record
            if leader is None or self._control.leads or self._is_self(leader):
                await anyio.sleep(RECONNECT_PAUSE)
                continue
            try:
                await self._follow(leader)
            except ENDED as error:
                self._heard_at = NEVER
                problem = type(error).__name__
                self._log.info("leader_link_ended", leader=leader.node_id, problem=problem)
            await anyio.sleep(RECONNECT_PAUSE)

    def _is_self(self, leader: LeaderRecord) -> bool:
        return leader.node_id == self._identity.node_id

    async def _follow(self, leader: LeaderRecord) -> None:
        host, _, port = leader.peer_address.rpartition(":")
        own_host = self._identity.peer_address.rpartition(":")[0]
        with anyio.fail_after(CONNECT_TIMEOUT):
            stream = await anyio.connect_tcp(host, int(port), local_host=own_host)
        self._peer = PeerTables(steady_clock())
        self._crash_peer = CrashNewsPeer(self._control.quarantine)
        self._control.loads.handle_connected()
        async with stream:
            failure: Exception | None = None
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_reports, stream)
                try:
                    await self._read_statuses(stream, leader)
                except ENDED as error:
                    failure = error
                tasks.cancel_scope.cancel()
            if failure is not None:
                raise failure

    async def _send_reports(self, stream: SocketStream) -> None:
        try:
            address = self._identity.peer_address
            while True:
                message = ControlMessage(report=self._report())
                message.report.peer_address = address
                address = ""
                with anyio.fail_after(SEND_TIMEOUT):
                    await stream.send(encode_frame(message))
                await anyio.sleep(REPORT_INTERVAL)
        except ENDED:
            return

    def _report(self) -> Report:
        now = steady_clock()
        loads = []
        if now >= self._next_key_report:
            self._next_key_report = now + KEY_REPORT_INTERVAL
            loads = self._control.take_loads()
        report = Report(
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            term=self._control.election.term,
            loads=loads,
            zone=self._zone,
            backend_loads=self._control.loads.report(),
            processor=self._control.processor,
        )
        self._news.fill(report, self._peer, now)
        self._crash_peer.fill(report, now)
        return report

    async def _read_statuses(self, stream: SocketStream, leader: LeaderRecord) -> None:
        reader = FrameReader(stream, ControlMessage)
        while self._control.election.record == leader:
            with anyio.fail_after(SILENCE_LIMIT):
                message, _ = await reader.read()
            self._control.handle_status(message.status, leader)
            if message.status.resigned:
                # It is still connected, and tells who follows it as soon as it knows.
                continue
            if not message.status.leads:
                return
            status, now = message.status, steady_clock()
            self._policy.handle_status(
                status.observes, status.store_silence, now, status.node_count
            )
            self._news.take(status, self._peer, now)
            self._crash_peer.take(status.crash_news, now)
            self._heard_at = now


class FormerLeaderInquiry:
    """Asks leaders of earlier terms whether they still lead, while this node leads."""

    def __init__(self, identity: LeaderRecord, control: ControlHost) -> None:
        self._identity = identity
        self._control = control
        self._log = get_logger("peers")

    async def run(self) -> None:
        """Ask until each has answered, for as long as this node leads; until cancelled."""
        while True:
            for former in self._control.election.former_leaders():
                try:
                    await self._ask(former)
                except ENDED as error:
                    problem = type(error).__name__
                    self._log.info("former_leader_silent", node=former.node_id, problem=problem)
            await anyio.sleep(INQUIRY_PAUSE)

    async def _ask(self, former: FormerLeader) -> None:
        host, _, port = former.peer_address.rpartition(":")
        own_host = self._identity.peer_address.rpartition(":")[0]
        report = Report(
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            term=self._control.election.term,
        )
        with anyio.fail_after(INQUIRY_TIMEOUT):
            stream = await anyio.connect_tcp(host, int(port), local_host=own_host)
            async with stream:
                await stream.send(encode_frame(ControlMessage(report=report)))
                reader = FrameReader(stream, ControlMessage)
                while True:
                    message, _ = await reader.read()
                    if not message.status.leads or message.status.term >= report.term:
                        break
        self._log.info("former_leader_over", node=former.node_id)
        self._control.election.handle_former_over(former)


class FollowerConnections:
    """Connections that other nodes keep to this one."""

    def __init__(
        self,
        address: str,
        zone: str,
        control: ControlHost,
        news: StoreNews,
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
        self._fleet = standing.fleet_of([control.processor])
        self._zone = zone
        self._store_news = news
        self._news = Notice()
        self._log = get_logger("peers")
        control.fleet = self.fleet
        control.on_owners = self._tell_all
        control.on_leader = self._tell_all
        news.set_on_change(self._tell_all)

    def node_count(self) -> int:
        """Nodes that follow this one, and itself."""
        return len(self._nodes) + 1

    def fleet(self) -> standing.Fleet:
        """Describe the nodes that follow this one, and itself."""
        return self._fleet

    def _note_membership(self) -> None:
        """A node has begun to follow this one, or has left."""
        self._observers = choose_observers(self._zones, self._zone)
        self._fleet = standing.fleet_of([self._control.processor, *self._processors.values()])

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
            crash_peer = CrashNewsPeer(self._control.quarantine)
            tasks.start_soon(self._send_statuses, stream, peer, crash_peer, tasks.cancel_scope)
            await self._read_reports(stream, peer, crash_peer)
            tasks.cancel_scope.cancel()

    async def _read_reports(
        self, stream: SocketStream, peer: PeerTables, crash_peer: CrashNewsPeer
    ) -> None:
        reader = FrameReader(stream, ControlMessage)
        node = ""
        try:
            while True:
                with anyio.fail_after(SILENCE_LIMIT):
                    message, _ = await reader.read()
                if message.HasField("crash_news"):
                    crash_peer.take(message.crash_news, steady_clock())
                    continue
                node = message.report.node_id
                crash_peer.take(message.report.crash_news, steady_clock())
                self._control.handle_report_term(message.report.term)
                self._control.handle_loads(message.report.loads)
                self._control.loads.handle_report(
                    node, message.report.backend_loads, steady_clock()
                )
                self._store_news.take(message.report, peer, steady_clock())
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
        return min(TELLING_TIME * self.node_count(), self._timing.heartbeat_interval)

    async def _send_statuses(
        self,
        stream: SocketStream,
        peer: PeerTables,
        crash_peer: CrashNewsPeer,
        scope: anyio.CancelScope,
    ) -> None:
        next_peers = steady_clock() + REPORT_INTERVAL
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
                crash_peer.fill(status, steady_clock())
                if steady_clock() >= next_peers:
                    next_peers = steady_clock() + PEERS_INTERVAL
                    status.peers.extend(some_peers(list(self._addresses.values()), self._random))
                with anyio.fail_after(SEND_TIMEOUT):
                    await stream.send(encode_frame(ControlMessage(status=status)))
                await anyio.sleep(self._telling_pause())
                await self._news.wait_beyond(known, self._timing.heartbeat_interval)
        except ENDED:
            scope.cancel()


class Notice:
    """Wakes all that wait for news, and whoever did not wait when they came.

    Attributes
    ----------
    count
        How often news came.
    """

    def __init__(self) -> None:
        self.count = 0
        self._event = anyio.Event()

    def give(self) -> None:
        """There are news."""
        self.count += 1
        self._event.set()
        self._event = anyio.Event()

    async def wait_beyond(self, known: int, longest: Seconds) -> None:
        """Wait until news came after those that are known, for at most so long."""
        if self.count > known:
            return
        event = self._event
        with anyio.move_on_after(longest):
            await event.wait()
