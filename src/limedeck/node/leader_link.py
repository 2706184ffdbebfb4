"""A node's connection to the leader, on which both send each other updates."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from limedeck.api.control_pb2 import ControlMessage, LeaderRecord, Report
from limedeck.clock import steady_clock
from limedeck.identity import NEVER, Seconds
from limedeck.node.connections import (
    CONNECT_TIMEOUT,
    CONNECTION_ERRORS,
    RECEIVE_TIMEOUT,
    FrameSender,
    connect_to_node,
)
from limedeck.node.control import ControlHost
from limedeck.node.framing import FrameReader
from limedeck.node.logs import get_logger
from limedeck.node.peer_tables import PeerTables
from limedeck.node.table_exchange import TableExchange
from limedeck.store.feeds import FeedPolicy

MAX_LEADER_SILENCE: Seconds = 0.9
"""A leader sends a status at least every 0.3 s; one that missed two is taken for lost."""
REPORT_INTERVAL: Seconds = 0.25
"""Delay with which back ends' loads are known; a shorter one would cost traffic between zones."""
KEY_REPORT_INTERVAL: Seconds = 0.5
"""Requests by key are reported less often: the leader's shortest memory of them is a second."""
PERMIT_REQUEST_INTERVAL: Seconds = 0.01
"""Permit requests within this interval are sent together: at most 100 messages a second per node,
however many requests it has. A tenth of the time that the leader's response may take."""
RECONNECT_DELAY: Seconds = 0.15
"""Below the spread of an election, so that a new leader is found soon."""


class LeaderLink:
    """A node's connection to the node that leads."""

    def __init__(
        self,
        identity: LeaderRecord,
        zone: str,
        control: ControlHost,
        table_exchange: TableExchange,
        policy: FeedPolicy,
    ) -> None:
        self._identity = identity
        self._zone = zone
        self._control = control
        self._table_exchange = table_exchange
        self._policy = policy
        self._peer = PeerTables(steady_clock())
        self._updates = control.connection_updates()
        self._next_key_report: Seconds = 0.0
        self._status_received_at: Seconds = NEVER
        self._reported_partition = False
        self._log = get_logger("peers")

    @property
    def follows_leader(self) -> bool:
        """Whether a status of a leader has arrived recently on the open connection."""
        return steady_clock() - self._status_received_at < MAX_LEADER_SILENCE

    async def run(self) -> None:
        """Keep a connection to the current leader, until cancelled."""
        while True:
            leader = self._control.election.record
            if leader is None or self._control.leads or self._is_self(leader):
                await anyio.sleep(RECONNECT_DELAY)
                continue
            try:
                await self._follow(leader)
            except CONNECTION_ERRORS as error:
                self._status_received_at = NEVER
                problem = type(error).__name__
                self._log.info("leader_link_ended", leader=leader.node_id, problem=problem)
            await anyio.sleep(RECONNECT_DELAY)

    def _is_self(self, leader: LeaderRecord) -> bool:
        return leader.node_id == self._identity.node_id

    async def _follow(self, leader: LeaderRecord) -> None:
        own_host = self._identity.peer_address.rpartition(":")[0]
        with anyio.fail_after(CONNECT_TIMEOUT):
            stream = await connect_to_node(leader.peer_address, own_host)
        self._peer = PeerTables(steady_clock())
        self._updates = self._control.connection_updates()
        self._control.loads.handle_connected()
        async with stream:
            failure: Exception | None = None
            self._control.permits.handle_connected(True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_reports, FrameSender(stream))
                try:
                    await self._read_statuses(stream, leader)
                except CONNECTION_ERRORS as error:
                    failure = error
                tasks.cancel_scope.cancel()
            self._control.permits.handle_connected(False)
            if failure is not None:
                raise failure

    async def _send_reports(self, sender: FrameSender) -> None:
        """Send a report at each interval, and urgent updates and permit requests immediately."""
        permits = self._control.permits
        address = self._identity.peer_address
        intermediary_address = self._control.intermediary_address
        next_report: Seconds = NEVER
        try:
            while True:
                known = permits.notifier.count
                is_urgent = self._updates.has_urgent_updates or self._has_unreported_partition
                if steady_clock() >= next_report or is_urgent:
                    next_report = steady_clock() + REPORT_INTERVAL
                    message = ControlMessage(report=self._report())
                    message.report.peer_address = address
                    message.report.intermediary_address = intermediary_address
                    address = intermediary_address = ""
                    await sender.send(message)
                requests = permits.take_requests()
                if requests is not None:
                    await sender.send(ControlMessage(permit_asks=requests))
                    await anyio.sleep(PERMIT_REQUEST_INTERVAL)
                await permits.notifier.wait_past(known, next_report - steady_clock())
        except CONNECTION_ERRORS:
            return

    def _report(self) -> Report:
        now = steady_clock()
        loads = []
        if now >= self._next_key_report:
            self._next_key_report = now + KEY_REPORT_INTERVAL
            loads = self._control.collect_loads()
        report = Report(
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            term=self._control.election.term,
            loads=loads,
            zone=self._zone,
            backend_loads=self._control.loads.report(now),
            processor=self._control.processor,
            partitioned=self._control.is_partitioned,
        )
        self._reported_partition = report.partitioned
        self._table_exchange.fill(report, self._peer, now)
        self._updates.fill(report, now)
        return report

    @property
    def _has_unreported_partition(self) -> bool:
        return self._control.is_partitioned is not self._reported_partition

    async def _read_statuses(self, stream: SocketStream, leader: LeaderRecord) -> None:
        reader = FrameReader(stream, ControlMessage)
        while self._control.election.record == leader:
            with anyio.fail_after(RECEIVE_TIMEOUT):
                message, _ = await reader.read()
            if message.HasField("permit_answers"):
                self._control.permits.handle_responses(message.permit_answers)
                continue
            self._control.handle_status(message.status, leader)
            if message.status.resigned:
                # It stays connected, and sends the next leader's record as soon as it knows it.
                continue
            if not message.status.leads:
                return
            status, now = message.status, steady_clock()
            self._policy.handle_status(
                status.observes, status.store_silence, now, status.node_count
            )
            self._table_exchange.apply(status, self._peer, now)
            self._updates.apply(status, now)
            self._status_received_at = now
