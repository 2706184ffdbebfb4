"""Assembles the parts of one daemon, starts them and carries out its planned stop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable

import anyio
import anyio.lowlevel
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config, Sockets

from limedeck.clock import steady_clock
from limedeck.config.settings import DaemonSettings
from limedeck.config.store import ConfigStore
from limedeck.control.node import ControlNode
from limedeck.daemon.admin import AdminApplication
from limedeck.daemon.aiohttp_client import AiohttpBackendClient
from limedeck.daemon.backend_client import BackendClient
from limedeck.daemon.callers import CallerGateway
from limedeck.daemon.clock import new_incarnation
from limedeck.daemon.control_host import ControlHost
from limedeck.daemon.httpx_client import HttpxBackendClient
from limedeck.daemon.logs import get_logger
from limedeck.daemon.operators import OperatorServer, OperatorService
from limedeck.daemon.peers import PeerTransport, split_address
from limedeck.daemon.telemetry import Telemetry
from limedeck.errors import InvariantViolation
from limedeck.identity import NodeId, Voter
from limedeck.store.table_http import HttpMachineList, HttpTransactionalTable

CLIENTS: dict[str, Callable[[], BackendClient]] = {
    "aiohttp": AiohttpBackendClient,
    "httpx": HttpxBackendClient,
}
MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_SECONDS = 75.0
OPERATOR_GRACE_SECONDS = 2.0
ADMIN_GRACE_SECONDS = 1.0
LISTEN_BACKLOG = 512
HANDOVER_TIMEOUT_SECONDS = 5.0
HANDOVER_POLL_SECONDS = 0.05
ROUTABLE_TIMEOUT_SECONDS = 5.0
"""Time after which a started node accepts callers even without a configuration."""
NEW_CONNECTION_GRACE_SECONDS = 0.25
"""Time after the listener is shut down for requests on connections accepted just before."""


def http_config(address: str, graceful_timeout: float) -> Config:
    """Configure an HTTP server inside this process that listens on an address."""
    config = Config()
    config.bind = [address]
    configure_http(config, graceful_timeout)
    return config


def configure_http(config: Config, graceful_timeout: float) -> None:
    """Apply the settings that all HTTP servers of this process share.

    Parameters
    ----------
    graceful_timeout
        Seconds that a stop waits for running requests.
    """
    config.graceful_timeout = graceful_timeout
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False


class PreboundSocketConfig(Config):
    """HTTP server configuration for a listening socket that this process has opened."""

    listener: socket.socket

    def create_sockets(self) -> Sockets:
        """Return the open socket instead of binding a new one."""
        return Sockets([], [self.listener], [])


def open_listener(address: str) -> socket.socket:
    """Listen on an address."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    listener.listen(LISTEN_BACKLOG)
    return listener


class Daemon:
    """One node: its control core, its router and its servers."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._telemetry = Telemetry()
        self._log = get_logger("daemon")
        node = settings.node
        self._identity = Voter(
            NodeId(node.id),
            new_incarnation(),
            node.peer_address,
            node.zone,
            node.operator_address,
        )

    async def run(self) -> None:
        """Run until a planned stop has completed."""
        platform = self._settings.platform
        table = HttpTransactionalTable(platform.table_url, platform.timeout_seconds)
        machine_list = HttpMachineList(platform.machine_list_url, platform.timeout_seconds)
        core = ControlNode(
            self._identity,
            self._settings.node.seeds,
            self._settings.control.to_timing(),
            self._settings.control.to_limits(),
            steady_clock(),
        )
        host: ControlHost | None = None
        try:
            async with anyio.create_task_group() as tasks:
                host = ControlHost(core, table, machine_list, self._telemetry, tasks)
                node = self._settings.node
                listen_address = node.peer_listen_address or node.peer_address
                transport = PeerTransport(listen_address, host.receive, self._telemetry, tasks)
                host.set_transport(transport.send)
                await tasks.start(transport.serve)
                tasks.start_soon(host.run)
                await self._serve_until_stopped(host, ConfigStore(table))
                tasks.cancel_scope.cancel()
        except* InvariantViolation as group:
            # A node whose state violates an invariant must grant nothing more, so it exits.
            for error in group.exceptions:
                self._log.critical("invariant_violated", problem=str(error))
            raise
        finally:
            # The tasks that use these connections have ended only now.
            await self._close(host, table, machine_list)
        self._log.info("stopped", node=self._identity.node_id)

    async def _close(
        self,
        host: ControlHost | None,
        table: HttpTransactionalTable,
        machine_list: HttpMachineList,
    ) -> None:
        with anyio.CancelScope(shield=True):
            if host is not None:
                await host.aclose()
            await table.aclose()
            await machine_list.aclose()

    async def _serve_until_stopped(self, host: ControlHost, store: ConfigStore) -> None:
        client = CLIENTS[self._settings.routing.backend_client]()
        limits = self._settings.routing.to_limits()
        gateway = CallerGateway(host, client, limits, self._telemetry)
        operators = OperatorServer(
            self._settings.node.operator_address, OperatorService(host, store)
        )
        await operators.start()
        callers_stop = anyio.Event()
        admin_stop = anyio.Event()
        async with anyio.create_task_group() as servers:
            servers.start_soon(self._serve_admin, host, admin_stop)
            await self._wait_until_routable(host)
            listener = open_listener(self._settings.node.caller_address)
            await servers.start(self._serve_callers, gateway, listener, callers_stop)
            self._log.info("started", node=self._identity.node_id, zone=self._identity.zone)
            await self._wait_for_stop_signal()
            self._log.info("stopping", node=self._identity.node_id)
            gateway.stopping = True
            host.leave()
            await anyio.sleep(self._settings.stop.notice_seconds)
            await self._wait_until_handed_over(host)
            await self._shut_down_listener(listener)
            callers_stop.set()
            await operators.stop(OPERATOR_GRACE_SECONDS)
            admin_stop.set()
        await client.aclose()

    async def _wait_until_routable(self, host: ControlHost) -> None:
        """Wait, but not for long, until this node knows where to route callers' requests."""
        with anyio.move_on_after(ROUTABLE_TIMEOUT_SECONDS):
            while not host.core.can_route():
                await host.wait_for_change(ROUTABLE_TIMEOUT_SECONDS)

    async def _wait_until_handed_over(self, host: ControlHost) -> None:
        """Wait, but not for long, while this node leads a group that another could lead."""
        with anyio.move_on_after(HANDOVER_TIMEOUT_SECONDS):
            while host.core.leads_any():
                await host.wait_for_change(HANDOVER_POLL_SECONDS)

    async def _shut_down_listener(self, listener: socket.socket) -> None:
        """Accept no more connections, and wait for requests on those accepted just before.

        Hypercorn's stop closes every connection on which no request has arrived yet, including
        those whose request is still in transit.
        """
        await anyio.lowlevel.checkpoint()
        listener.shutdown(socket.SHUT_RDWR)
        await anyio.sleep(NEW_CONNECTION_GRACE_SECONDS)

    async def _serve_callers(
        self,
        gateway: CallerGateway,
        listener: socket.socket,
        stop: anyio.Event,
        *,
        task_status: TaskStatus[None],
    ) -> None:
        config = PreboundSocketConfig()
        configure_http(config, self._settings.stop.drain_seconds)
        config.listener = listener
        task_status.started()
        await serve(gateway, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

    async def _serve_admin(self, host: ControlHost, stop: anyio.Event) -> None:
        application = AdminApplication(host, self._telemetry)
        config = http_config(self._settings.node.admin_address, ADMIN_GRACE_SECONDS)
        await serve(application, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

    async def _wait_for_stop_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                return
