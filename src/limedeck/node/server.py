"""Assembles the parts of a node, runs them, and shuts the node down gracefully."""

from __future__ import annotations

import contextlib
import secrets
import signal
import socket
from collections import Counter
from collections.abc import AsyncIterator

import anyio
from anyio.abc import TaskGroup, TaskStatus

from limedeck import build_id
from limedeck.api.control_pb2 import LeaderRecord
from limedeck.clock import steady_clock
from limedeck.errors import PlatformProtocolError
from limedeck.forwarding.budget import RetryAllowance
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.intermediaries import Intermediary
from limedeck.http_client import BOUNDED_RECEIVE_OPTIONS, DEAD_CONNECTION_OPTIONS, HttpClient
from limedeck.identity import Seconds
from limedeck.memory_keeper import MemoryKeeper
from limedeck.model import Configuration
from limedeck.node.backend_paths import BackendPaths
from limedeck.node.connection_memory import ConnectionMemory
from limedeck.node.control import ControlHost
from limedeck.node.crash_gossip import CrashGossip
from limedeck.node.crash_watch import CrashWatch
from limedeck.node.followers import FollowerConnections
from limedeck.node.former_leader_inquiry import FormerLeaderInquiry
from limedeck.node.gateway import CallerGateway
from limedeck.node.gauges import Gauges
from limedeck.node.http_server import BoundedProtocol, serve
from limedeck.node.inspection import InspectionApplication, NodeInspector
from limedeck.node.instrumented_store import InstrumentedStore
from limedeck.node.intermediary_client import IntermediaryClient
from limedeck.node.intermediary_server import IntermediaryServer
from limedeck.node.leader_link import LeaderLink
from limedeck.node.listener import open_listener, stop_accepting
from limedeck.node.logs import BoundedWriter, get_logger
from limedeck.node.memory_log import MemoryLog
from limedeck.node.pipelined_protocol import caller_protocol
from limedeck.node.quarantine_record import QuarantineRecordKeeper
from limedeck.node.reachability_monitor import ReachabilityMonitor
from limedeck.node.readiness import ReadinessApplication
from limedeck.node.reload import SettingsFile
from limedeck.node.request_log import RequestLog
from limedeck.node.response_reader import ResponseReader
from limedeck.node.settings import NodeSettings
from limedeck.node.state import NodeState
from limedeck.node.statement_log import StatementLog
from limedeck.node.suspension import SuspensionWatch
from limedeck.node.table_exchange import FeedKeeper, TableExchange
from limedeck.node.telemetry import Telemetry
from limedeck.node.watchers import TableSubscription, TableWatcher
from limedeck.ownership.timing import timing_for_longest_lease
from limedeck.platform.grants import PlatformOrders
from limedeck.platform.headers import PlatformProtocol
from limedeck.platform.messages import (
    BACKENDS_TABLE,
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    evacuated_zone,
    read_backend,
    read_configuration,
)
from limedeck.platform.store import PlatformStore
from limedeck.response_memory import ResponseMemory
from limedeck.store.feeds import FeedPolicy
from limedeck.store.replica import Source, WriterSequence
from limedeck.store.rows import StoredRow

MAINTENANCE_INTERVAL: Seconds = 0.5
"""Idle connections and the settings file are checked this often; a change of the file must take
effect within a second."""
STORE_CALLS_INTERVAL: Seconds = 5.0
"""Calls to the store are logged this often: the interval at which metrics are fetched in an
incident."""
CONFIGURATION_BATCH_TIME: Seconds = 0.15
"""Changes this close together are fetched in one call to the store; far below the 2 s within which
they must take effect."""
BACKENDS_BATCH_TIME: Seconds = 0.15
"""The same for changes of back ends."""
SERVER_SHUTDOWN_TIMEOUT: Seconds = 0.2
"""Time in which the last responses are written once no request is in flight."""


class Node:
    """A node: its control, its gateway and its servers."""

    def __init__(self, file: SettingsFile, writer: BoundedWriter) -> None:
        settings = file.in_force
        self._file = file
        self._settings = settings
        self._writer = writer
        node = settings.node
        self._state = NodeState(node.zone, node.id, _retry_allowance(settings))
        self._telemetry = Telemetry()
        self._request_log = RequestLog(settings.log, self._telemetry)
        self._memory_log = MemoryLog(self._telemetry)
        self._memory_keeper = MemoryKeeper(node.memory_limits, self._memory_log.record_break_off)
        self._connection_memory = ConnectionMemory(self._memory_keeper)
        self._log = get_logger("node")
        self._identity = LeaderRecord(
            node_id=node.id,
            incarnation=secrets.randbits(48),
            peer_address=f"{node.ip}:{node.first_peer_port}",
        )
        self._timing = timing_for_longest_lease(settings.ownership.longest_lease)
        self._protocol = PlatformProtocol()

    async def run(self) -> None:
        """Run until a graceful shutdown has completed."""
        settings = self._settings
        build = build_id.read_build_id()
        self._log.info("started", node=settings.node.id, zone=settings.node.zone, build=build)
        platform_store = PlatformStore(settings.store.address, settings.store.timeout)
        store = InstrumentedStore(platform_store, self._telemetry)
        memory = ResponseMemory(keeper=self._memory_keeper)
        options = DEAD_CONNECTION_OPTIONS
        if settings.node.memory_mb:
            options = (*options, *BOUNDED_RECEIVE_OPTIONS)
        backend_client = HttpClient(settings.node.ip, socket_options=options, memory=memory)
        order_client = HttpClient(settings.node.ip, memory=memory)
        peer_client = HttpClient(settings.node.ip, memory=memory)
        directory = self._state.directory
        monitor = ReachabilityMonitor(self._state, backend_client, self._telemetry)
        control = ControlHost(
            self._identity,
            self._state,
            store,
            PlatformOrders(),
            self._protocol.key_positions,
            order_client,
            self._timing,
            self._telemetry,
            monitor,
            settings.node.processor,
            settings.node.first_start,
        )
        self._file.on_change = self._apply_settings
        paths = BackendPaths(
            directory,
            self._protocol,
            backend_client,
            monitor,
            IntermediaryClient(directory.intermediaries, peer_client),
            self._telemetry,
        )
        watch = CrashWatch(self._state, paths, self._telemetry)
        gateway = CallerGateway(
            self._state,
            self._protocol,
            paths,
            self._request_log,
            watch,
            control.permits,
            self._memory_keeper,
        )
        monitor.on_partition_changed = control.handle_partition_changed
        async with anyio.create_task_group() as tasks:
            self._start_control(tasks, control, store)
            tasks.start_soon(watch.run)
            tasks.start_soon(monitor.run)
            intermediary = IntermediaryServer(
                self._state,
                self._protocol,
                backend_client,
                ResponseReader(directory, self._protocol, self._request_log),
                monitor,
                self._telemetry,
                self._memory_keeper,
            )
            self._start_intermediary(tasks, control, intermediary)
            clients = (backend_client, order_client, peer_client)
            tasks.start_soon(SuspensionWatch(clients, self._telemetry).run)
            tasks.start_soon(self._run_maintenance, backend_client, peer_client)
            tasks.start_soon(self._log_store_calls, store)
            await self._serve_until_stopped(gateway, control)
            tasks.cancel_scope.cancel()
        self._log.info("stopped", node=settings.node.id)
        self._writer.flush()

    def _apply_settings(self, settings: NodeSettings) -> None:
        """Apply the reloadable sections of a changed settings file."""
        self._settings = settings
        self._state.set_allowance(_retry_allowance(settings))
        self._request_log.apply_settings(settings.log)

    def _start_control(
        self, tasks: TaskGroup, control: ControlHost, store: InstrumentedStore
    ) -> None:
        watchers = (
            TableWatcher(store, self._configuration_follower()),
            TableWatcher(store, self._backends_follower()),
        )
        exchange = TableExchange(watchers, self._settings.node.link)
        policy = FeedPolicy(steady_clock(), hash_fraction(self._identity.node_id.encode()))
        address = self._identity.peer_address
        zone = self._settings.node.zone
        followers = FollowerConnections(address, zone, control, exchange, self._timing)
        tasks.start_soon(followers.serve)
        link = LeaderLink(self._identity, zone, control, exchange, policy)
        tasks.start_soon(link.run)
        self._start_quarantine(tasks, control, store, link)
        keeper = FeedKeeper(policy, watchers, lambda: control.leads)
        control.on_store_recovered = keeper.handle_store_recovered
        tasks.start_soon(keeper.run)
        tasks.start_soon(FormerLeaderInquiry(self._identity, control).run)
        tasks.start_soon(control.run)
        for watcher in watchers:
            tasks.start_soon(watcher.run)

    def _start_intermediary(
        self, tasks: TaskGroup, control: ControlHost, application: IntermediaryServer
    ) -> None:
        """Accept attempts of other nodes, until the process exits."""
        node = self._settings.node
        listener = open_listener(f"{node.ip}:{node.intermediary_port}")
        host, port = listener.getsockname()[:2]
        control.set_intermediary(Intermediary(f"{host}:{port}", node.zone))
        stop = anyio.Event()
        tasks.start_soon(
            serve,
            application,
            listener,
            stop,
            SERVER_SHUTDOWN_TIMEOUT,
            BoundedProtocol,
            self._connection_memory,
        )

    def _start_quarantine(
        self, tasks: TaskGroup, control: ControlHost, store: InstrumentedStore, link: LeaderLink
    ) -> None:
        def follows_leader() -> bool:
            return not control.leads and link.follows_leader

        def has_leader() -> bool:
            return control.leads or link.follows_leader

        keeper = QuarantineRecordKeeper(self._state.quarantine, store, control, follows_leader)
        tasks.start_soon(keeper.run)

        tasks.start_soon(CrashGossip(self._state, has_leader, self._settings.node.ip).run)

    async def _serve_until_stopped(self, gateway: CallerGateway, control: ControlHost) -> None:
        node = self._settings.node
        readiness_stop = anyio.Event()
        callers_stop = anyio.Event()
        listener = open_listener(node.callers, bounds_buffers=node.memory_mb > 0.0)
        readiness_listener = open_listener(node.readiness)
        inspector = NodeInspector(node.id, node.zone, self._state, control.election)
        inspection = InspectionApplication(inspector)
        readiness = ReadinessApplication(self._state, self._telemetry, inspection)
        stop_requested = anyio.Event()
        async with self._signals_handled(stop_requested), anyio.create_task_group() as servers:
            servers.start_soon(
                serve, readiness, readiness_listener, readiness_stop, SERVER_SHUTDOWN_TIMEOUT
            )
            protocol = caller_protocol(gateway.may_overlap, self._telemetry)
            servers.start_soon(
                serve,
                gateway,
                listener,
                callers_stop,
                SERVER_SHUTDOWN_TIMEOUT,
                protocol,
                self._connection_memory,
            )
            await stop_requested.wait()
            self._log.info("stopping", node=node.id)
            await self._shut_down_gracefully(control, listener)
            gateway.cancel_open_requests()
            callers_stop.set()
            readiness_stop.set()

    async def _shut_down_gracefully(self, control: ControlHost, listener: socket.socket) -> None:
        """Keep serving until the platform sends no new connections, then finish open requests.

        Connections stay open to the end: a request may already be on its way on a connection that
        is closed earlier, and would be read and then lost. Every response asks the caller to close
        the connection.
        """
        stop = self._settings.stop
        started = steady_clock()
        self._state.stopping = True
        control.resign()
        await anyio.sleep(stop.serving_time)
        await stop_accepting(listener)
        self._state.closing = True
        end = started + stop.finishing_time
        while self._state.in_flight and steady_clock() < end:
            await self._state.wait_for_change(end - steady_clock())

    @contextlib.asynccontextmanager
    async def _signals_handled(self, stop_requested: anyio.Event) -> AsyncIterator[None]:
        """Handle signals until all servers have stopped; another stop signal has no effect."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._handle_signals, stop_requested)
            yield
            tasks.cancel_scope.cancel()

    async def _handle_signals(
        self, stop_requested: anyio.Event, *, task_status: TaskStatus[None]
    ) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()
            async for number in signals:
                if number is signal.SIGHUP:
                    self._file.reload()
                else:
                    stop_requested.set()

    async def _log_store_calls(self, store: InstrumentedStore) -> None:
        """Log the numbers of calls to the store at intervals; skip intervals without calls."""
        logged: Counter[str] = Counter()
        while True:
            await anyio.sleep(STORE_CALLS_INTERVAL)
            new = store.counts - logged
            if new:
                self._log.info("store_calls", seconds=STORE_CALLS_INTERVAL, calls=dict(new))
            logged = Counter(store.counts)

    async def _run_maintenance(self, client: HttpClient, peer_client: HttpClient) -> None:
        statement_log = StatementLog(self._state.directory, self._telemetry)
        gauges = Gauges(self._state, self._telemetry, self._memory_keeper, self._memory_log)
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL)
            directory = self._state.directory
            await client.close_idle(directory.addresses())
            await peer_client.close_idle({item.address for item in directory.intermediaries.known})
            self._memory_keeper.check_readers()
            gauges.update(steady_clock())
            statement_log.log_events(steady_clock())
            self._writer.flush()
            self._file.reload_if_changed()

    # ------------------------------------------------------------------ tables

    def _configuration_follower(self) -> TableSubscription:
        def put(row: StoredRow, source: Source) -> None:
            zone = evacuated_zone(row.key)
            if row.key == CONFIGURATION_KEY:
                self._apply_configuration(read_configuration(row.value), source)
            elif zone is not None:
                self._state.evacuate(zone, steady_clock())
                self._log.warning("evacuation_began", zone=zone, source=source.value)

        def remove(key: str) -> None:
            zone = evacuated_zone(key)
            if zone is not None:
                self._state.end_evacuation(zone)
                self._log.warning("evacuation_ended", zone=zone)

        return TableSubscription(
            CONFIGURATION_TABLE,
            put,
            remove,
            complete=lambda: None,
            batch_time=CONFIGURATION_BATCH_TIME,
            feed_wait=self._settings.store.feed_wait,
            sequence_of=_configuration_sequence,
        )

    def _apply_configuration(self, configuration: Configuration, source: Source) -> None:
        if not self._state.set_configuration(configuration):
            return
        self._telemetry.configuration.set(configuration.version)
        self._log.info("configuration", version=configuration.version, source=source.value)

    def _backends_follower(self) -> TableSubscription:
        state = self._state

        def put(row: StoredRow, source: Source) -> None:
            try:
                backend = read_backend(row.key, row.value)
            except PlatformProtocolError:
                # The entry names no back end, whoever wrote it. A back end that is alive rewrites
                # its entry within one heartbeat.
                state.directory.remove_instance(row.key)
                self._telemetry.unreadable_values.labels("entry").inc()
                raise
            now = steady_clock()
            state.directory.put(backend, now)
            state.notify()
            added = state.directory.find(backend.backend_id)
            if added is not None and added.is_cold(now):
                self._log.info("back_end_cold", backend=backend.backend_id, seconds=backend.warmup)

        def remove(key: str) -> None:
            backend_id = state.directory.remove_instance(key)
            self._log.info("back_end_gone", backend=backend_id or key)

        def complete() -> None:
            state.backends_listed = True

        return TableSubscription(
            BACKENDS_TABLE,
            put,
            remove,
            complete,
            batch_time=BACKENDS_BATCH_TIME,
            feed_wait=self._settings.store.feed_wait,
            sequence_of=_backend_sequence,
        )


def _retry_allowance(settings: NodeSettings) -> RetryAllowance:
    retries = settings.retries
    return RetryAllowance(retries.ratio, retries.slack, retries.window)


def _configuration_sequence(value: bytes) -> WriterSequence | None:
    try:
        return (read_configuration(value).version,)
    except PlatformProtocolError:
        return None


def _backend_sequence(value: bytes) -> WriterSequence | None:
    try:
        return read_backend("", value).sequence
    except PlatformProtocolError:
        return None
