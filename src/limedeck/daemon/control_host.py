"""Runs a node's control core: delivers events to it and executes its commands."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import anyio
from anyio.abc import TaskGroup
from google.protobuf.message import DecodeError

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.api.peer_pb2 import GroupRecord, PeerMessage
from limedeck.clock import steady_clock
from limedeck.config.store import ConfigStore
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
from limedeck.control.group_record import (
    ReadRecord,
    RecordConflict,
    RecordEvent,
    RecordRead,
    RecordUnavailable,
    RecordWritten,
    WriteRecord,
)
from limedeck.control.group_view import Wake
from limedeck.control.leases import LeaseExchange
from limedeck.control.node import ControlCommand, ControlNode, PollConfig, ReadMachines, SendPeer
from limedeck.daemon.aiohttp_client import open_session
from limedeck.daemon.logs import get_logger
from limedeck.daemon.telemetry import Telemetry
from limedeck.errors import PlatformError, TransactionConflict
from limedeck.identity import GroupId, NodeId
from limedeck.store.table import ABSENT, Condition, MachineList, TransactionalTable, Write

LEASE_PATH = "/limedeck/v1/lease"
PROTOBUF_TYPE = "application/x-protobuf"
GROUP_PREFIX = "control/group/"
HEADER_OVERHEAD = 4
"""Bytes of a header line beyond its name and value."""

SendToPeer = Callable[[str, PeerMessage], None]


class ControlHost:
    """Runs the control core of this process and executes its commands.

    Parameters
    ----------
    core
        The control core.
    tasks
        Task group in which lease exchanges and platform calls run.
    """

    def __init__(
        self,
        core: ControlNode,
        table: TransactionalTable,
        machine_list: MachineList,
        telemetry: Telemetry,
        tasks: TaskGroup,
    ) -> None:
        self.core = core
        self.store_reachable = False
        self._table = table
        self._config_store = ConfigStore(table)
        self._machine_list = machine_list
        self._telemetry = telemetry
        self._tasks = tasks
        self._send_to_peer: SendToPeer | None = None
        self._changed = anyio.Event()
        self._versions_seen: tuple[int, int] = (0, 0)
        self._log = get_logger("control")
        self._lease_session = open_session()

    def set_transport(self, send: SendToPeer) -> None:
        """Set the function that sends messages to other nodes."""
        self._send_to_peer = send

    def dispatch(self, event: ControlEvent) -> None:
        """Deliver an event to the core and execute the commands that it returns."""
        for command in self.core.handle(event, steady_clock()):
            self._execute(command)
        self._notify_changes()

    def receive(self, message: PeerMessage) -> None:
        """Deliver a message from another node to the core."""
        self.dispatch(PeerMessageReceived(message))

    def leave(self) -> None:
        """Begin a planned stop."""
        self.dispatch(LeaveRequested())

    async def run(self) -> None:
        """Deliver ticks until cancelled."""
        while True:
            self.dispatch(Tick())
            await anyio.sleep(self.core.timing.tick_interval)

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until routes or configuration have changed, at most `timeout` seconds."""
        changed = self._changed
        with anyio.move_on_after(timeout):
            await changed.wait()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._lease_session.close()

    def _notify_changes(self) -> None:
        seen = (self.core.config.revision, self.core.routes.change_count)
        if seen == self._versions_seen:
            return
        self._versions_seen = seen
        self._changed.set()
        self._changed = anyio.Event()
        self._telemetry.config_revision.set(self.core.config.revision)
        for group, routes in self.core.routes.groups.items():
            self._telemetry.route_version.labels(group).set(routes.version)

    def _execute(self, command: ControlCommand) -> None:
        if isinstance(command, SendPeer):
            if self._send_to_peer is not None:
                self._send_to_peer(command.address, command.message)
        elif isinstance(command, LeaseExchange):
            self._tasks.start_soon(self._exchange_lease, command)
        elif isinstance(command, ReadRecord):
            self._tasks.start_soon(self._access_record, command.group, self._read_record, command)
        elif isinstance(command, WriteRecord):
            self._tasks.start_soon(self._access_record, command.group, self._write_record, command)
        elif isinstance(command, PollConfig):
            self._tasks.start_soon(self._poll_config, command)
        elif isinstance(command, ReadMachines):
            self._tasks.start_soon(self._read_machines)
        else:
            self._tasks.start_soon(self._tick_after_delay, command)

    async def _tick_after_delay(self, wake: Wake) -> None:
        await anyio.sleep(wake.delay)
        self.dispatch(Tick())

    async def _exchange_lease(self, exchange: LeaseExchange) -> None:
        group = GroupId(exchange.request.group)
        try:
            with anyio.fail_after(self.core.timing.exchange_timeout):
                reply = await self._post_lease(exchange)
        except (aiohttp.ClientError, TimeoutError, DecodeError) as error:
            self._telemetry.lease_exchanges.labels("failed").inc()
            self._log.debug(
                "lease_exchange_failed", backend=exchange.backend_id, reason=type(error).__name__
            )
            self.dispatch(LeaseExchangeFailed(group, exchange.backend_id, exchange.fence))
            return
        self._telemetry.lease_exchanges.labels("accepted" if reply.accepted else "refused").inc()
        self.dispatch(LeaseReplied(group, exchange.backend_id, exchange.fence, reply))

    async def _post_lease(self, exchange: LeaseExchange) -> LeaseReply:
        content = exchange.request.SerializeToString()
        url = f"http://{exchange.address}{LEASE_PATH}"
        headers = {"content-type": PROTOBUF_TYPE}
        async with self._lease_session.post(
            url, data=content, headers=headers, raise_for_status=True
        ) as response:
            body = await response.read()
        sent = _header_bytes(response.request_info.headers) + len(content)
        self._telemetry.lease_bytes.labels("sent").inc(sent)
        received = _header_bytes(response.headers) + len(body)
        self._telemetry.lease_bytes.labels("received").inc(received)
        return LeaseReply.FromString(body)

    async def _access_record(
        self,
        group: GroupId,
        access: Callable[[ReadRecord | WriteRecord], Awaitable[RecordEvent]],
        command: ReadRecord | WriteRecord,
    ) -> None:
        event: RecordEvent
        try:
            event = await access(command)
            self.store_reachable = True
        except TransactionConflict:
            event = RecordConflict()
        except PlatformError as error:
            self._record_store_failure(error)
            event = RecordUnavailable()
        self.dispatch(RecordResponse(group, event))

    async def _read_record(self, command: ReadRecord | WriteRecord) -> RecordEvent:
        key = GROUP_PREFIX + command.group
        row = (await self._table.read([key])).get(key)
        if row is None:
            return RecordRead(None, ABSENT)
        return RecordRead(GroupRecord.FromString(row.value), row.revision)

    async def _write_record(self, command: ReadRecord | WriteRecord) -> RecordEvent:
        assert isinstance(command, WriteRecord)
        key = GROUP_PREFIX + command.group
        revision = await self._table.transact(
            [Condition(key, command.expected_revision)],
            [Write(key, command.record.SerializeToString())],
        )
        return RecordWritten(revision)

    async def _poll_config(self, command: PollConfig) -> None:
        try:
            update = await self._config_store.poll(command.known_revision)
            self.store_reachable = True
        except PlatformError as error:
            self._record_store_failure(error)
            return
        if update is not None:
            self.dispatch(ConfigReceived(update))

    async def _read_machines(self) -> None:
        try:
            machines = await self._machine_list.machines()
        except PlatformError as error:
            self._log.warning("machine_list_failed", reason=str(error))
            return
        nodes = frozenset(NodeId(machine.machine_id) for machine in machines)
        addresses = tuple(machine.address for machine in machines)
        self.dispatch(MachinesReceived(nodes, addresses))

    def _record_store_failure(self, error: PlatformError) -> None:
        if self.store_reachable:
            self._log.warning("store_unreachable", reason=str(error))
        self.store_reachable = False


def _header_bytes(headers: Mapping[str, str]) -> int:
    return sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in headers.items())
