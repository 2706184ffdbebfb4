"""Wires one daemon together, starts it and stops it as planned."""

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
LARGEST_HEADERS = 32 * 1024
KEEP_ALIVE_SECONDS = 75.0
OPERATOR_GRACE = 2.0
ADMIN_GRACE = 1.0
LISTEN_BACKLOG = 512
HAND_OVER_PATIENCE = 5.0
HAND_OVER_POLL = 0.05
ROUTABLE_PATIENCE = 5.0
"""A started node opens to callers after so long even without a configuration."""
QUIET_SECONDS = 0.25
"""After the listener is shut, so long for requests on connections taken just before."""


def http_config(address: str, graceful_timeout: float) -> Config:
    """Configure an HTTP server inside this process that listens on an address."""
    config = Config()
    config.bind = [address]
    configure_http(config, graceful_timeout)
    return config


def configure_http(config: Config, graceful_timeout: float) -> None:
    """Set what all HTTP servers of this process have in common.

    Parameters
    ----------
    graceful_timeout
        Seconds that a stop waits for running requests.
    """
    config.graceful_timeout = graceful_timeout
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = LARGEST_HEADERS
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False


class OwnSocketConfig(Config):
    """HTTP server configuration that listens on a socket which this process keeps at hand."""

    listener: socket.socket

    def create_sockets(self) -> Sockets:
        """Hand the server the socket."""
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
        """Run until a planned stop is over."""
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
            # A node whose state is impossible grants nothing more: it ends.
            for error in group.exceptions:
                self._log.critical("invariant_violated", problem=str(error))
            raise
        finally:
            # Only now does nothing use these connections any more.
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
            await self._shut_listener(listener)
            callers_stop.set()
            await operators.stop(OPERATOR_GRACE)
            admin_stop.set()
        await client.aclose()

    async def _wait_until_routable(self, host: ControlHost) -> None:
        """Take no callers before it is known where their requests go, unless that takes long."""
        with anyio.move_on_after(ROUTABLE_PATIENCE):
            while not host.core.can_route():
                await host.wait_for_change(ROUTABLE_PATIENCE)

    async def _wait_until_handed_over(self, host: ControlHost) -> None:
        """Go on while this node leads a group that another could lead, but not for long."""
        with anyio.move_on_after(HAND_OVER_PATIENCE):
            while host.core.leads_any():
                await host.wait_for_change(HAND_OVER_POLL)

    async def _shut_listener(self, listener: socket.socket) -> None:
        """Take no more connections, and let requests come in on those taken just before.

        The server's own stop closes every connection that has no request yet, among them those
        whose request is on its way.
        """
        await anyio.lowlevel.checkpoint()
        listener.shutdown(socket.SHUT_RDWR)
        await anyio.sleep(QUIET_SECONDS)

    async def _serve_callers(
        self,
        gateway: CallerGateway,
        listener: socket.socket,
        stop: anyio.Event,
        *,
        task_status: TaskStatus[None],
    ) -> None:
        config = OwnSocketConfig()
        configure_http(config, self._settings.stop.drain_seconds)
        config.listener = listener
        task_status.started()
        await serve(gateway, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

    async def _serve_admin(self, host: ControlHost, stop: anyio.Event) -> None:
        application = AdminApplication(host, self._telemetry)
        config = http_config(self._settings.node.admin_address, ADMIN_GRACE)
        await serve(application, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

    async def _wait_for_stop_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                return
