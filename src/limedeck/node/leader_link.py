"""A node's connection to the leader, on which each tells the other what is new."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from limedeck.api.control_pb2 import ControlMessage, LeaderRecord, Report
from limedeck.clock import steady_clock
from limedeck.identity import NEVER, Seconds
from limedeck.node.connections import CONNECT_TIMEOUT, ENDED, SEND_TIMEOUT, SILENCE_LIMIT
from limedeck.node.control import ControlHost
from limedeck.node.crash_news import CrashNewsPeer
from limedeck.node.framing import FrameReader, encode_frame
from limedeck.node.logs import get_logger
from limedeck.node.news import PeerTables, StoreNews
from limedeck.store.feeds import FeedPolicy

LEADER_HEARD: Seconds = 0.9
"""A leader tells something at least each 0.3 s; one that missed two is taken for lost."""
REPORT_INTERVAL: Seconds = 0.25
"""Back ends' loads are known so late; a shorter one costs bytes between zones."""
KEY_REPORT_INTERVAL: Seconds = 0.5
"""Requests by key are told less often: the leader's shortest memory of them is a second."""
RECONNECT_PAUSE: Seconds = 0.15
"""Below the spread of an election, so that a new leader is found soon; an estimate."""


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
