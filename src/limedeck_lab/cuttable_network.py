"""Forwards connections between real nodes through this process, which can cut them."""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import AbstractContextManager

import anyio
from anyio.abc import ByteReceiveStream, ByteSendStream, SocketAttribute, SocketStream
from anyio.from_thread import BlockingPortal, start_blocking_portal

from limedeck.daemon.peers import split_address

MAX_CHUNK_BYTES = 65_536


class CuttableNetwork:
    """Forwards connections from each node's announced address to its listening address.

    Each node connects from an IP address of its own, which identifies it to the network.
    """

    def __init__(self) -> None:
        self._context: AbstractContextManager[BlockingPortal] | None = None
        self._portal: BlockingPortal | None = None
        self._cut_addresses: set[str] = set()
        self._cut_hosts: set[str] = set()
        self._open_connections: dict[anyio.CancelScope, tuple[str, str]] = {}

    def start(self, targets: Mapping[str, str]) -> None:
        """Start forwarding.

        Parameters
        ----------
        targets
            Listening address by announced address.
        """
        self._context = start_blocking_portal()
        self._portal = self._context.__enter__()
        for announced, listening in targets.items():
            self._portal.start_task(self._forward, announced, listening)

    def stop(self) -> None:
        """Close all connections and stop forwarding."""
        if self._portal is None or self._context is None:
            return
        self._portal.call(self._portal.stop, True)
        self._context.__exit__(None, None, None)
        self._portal = None

    def cut(self, announced: str, host: str) -> None:
        """Close and refuse connections to a node's announced address and from its IP address."""
        self._cut_addresses.add(announced)
        self._cut_hosts.add(host)
        if self._portal is not None:
            self._portal.call(self._close_cut_connections)

    def heal(self) -> None:
        """Accept all connections again."""
        self._cut_addresses.clear()
        self._cut_hosts.clear()

    def _is_cut(self, announced: str, source_host: str) -> bool:
        return announced in self._cut_addresses or source_host in self._cut_hosts

    def _close_cut_connections(self) -> None:
        for scope, (announced, source_host) in list(self._open_connections.items()):
            if self._is_cut(announced, source_host):
                scope.cancel()

    async def _forward(
        self, announced: str, listening: str, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        host, port = split_address(announced)

        async def handle(stream: SocketStream) -> None:
            async with stream:
                await self._connect(stream, announced, listening)

        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener:
            task_status.started()
            await listener.serve(handle)

    async def _connect(self, stream: SocketStream, announced: str, listening: str) -> None:
        source_host = str(stream.extra(SocketAttribute.remote_address)[0])
        if self._is_cut(announced, source_host):
            return
        host, port = split_address(listening)
        try:
            target = await anyio.connect_tcp(host, port)
        except OSError:
            return
        async with target, anyio.create_task_group() as tasks:
            self._open_connections[tasks.cancel_scope] = (announced, source_host)
            try:
                tasks.start_soon(_copy, stream, target, tasks.cancel_scope)
                await _copy(target, stream, tasks.cancel_scope)
            finally:
                del self._open_connections[tasks.cancel_scope]


async def _copy(
    source: ByteReceiveStream, target: ByteSendStream, scope: anyio.CancelScope
) -> None:
    """Copy until either end closes, then cancel the other direction too."""
    try:
        while True:
            await target.send(await source.receive(MAX_CHUNK_BYTES))
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        scope.cancel()
