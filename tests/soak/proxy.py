"""A loopback TCP proxy that can delay, drop, reset or silence its connections."""

from __future__ import annotations

import dataclasses
import enum

import anyio
import anyio.abc

from limedeck_lab.standins import silent_socket

CHUNK_SIZE = 65_536
"""Bytes."""
DELAY = 0.4
"""Seconds."""


class Mode(enum.Enum):
    """How the proxy treats the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    DROP_RESPONSES = "cut-replies"
    SILENT = "silent"


@dataclasses.dataclass
class FaultyProxy:
    """Forwards connections from one address to another.

    Parameters
    ----------
    address, target
        IP number and port.
    """

    address: str
    target: str
    mode: Mode = Mode.PASS
    _streams: set[anyio.abc.SocketStream] = dataclasses.field(default_factory=set)
    _restart_delay: float = 0.0
    _listener: anyio.abc.Listener[anyio.abc.SocketStream] | None = None

    async def serve(self, ended: anyio.Event) -> None:
        """Listen until the event is set."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve_and_restart)
            await ended.wait()
            tasks.cancel_scope.cancel()

    async def crash(self, seconds: float) -> None:
        """Close all connections and refuse new ones for a while, as if the process had exited."""
        self._restart_delay = seconds
        if self._listener is not None:
            await self._listener.aclose()

    async def _serve_and_restart(self) -> None:
        host, _, port = self.address.rpartition(":")
        while True:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
            self._listener = listener
            async with listener:
                try:
                    await listener.serve(self._forward_connection)
                except* anyio.ClosedResourceError:
                    # crash() closed the listener; its open connections are cancelled after that.
                    pass
            await anyio.sleep(self._restart_delay)

    async def reset_all(self) -> None:
        """Close all connections forcefully."""
        for stream in list(self._streams):
            await anyio.aclose_forcefully(stream)

    async def silence_all(self) -> None:
        """Drop everything that arrives on open connections, without closing them; new ones work."""
        for stream in list(self._streams):
            silent_socket.drop_incoming(stream.extra(anyio.abc.SocketAttribute.raw_socket))

    async def _forward_connection(self, caller: anyio.abc.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.aclose_forcefully(caller)
            return
        self._streams |= {caller, target}
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, caller, target, False, tasks.cancel_scope)
                tasks.start_soon(self._pump, target, caller, True, tasks.cancel_scope)
        finally:
            self._streams -= {caller, target}
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(caller)
                await anyio.aclose_forcefully(target)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_response: bool,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_SIZE)
                if self.mode is Mode.DELAY:
                    await anyio.sleep(DELAY)
                if self.mode is Mode.SILENT or (is_response and self.mode is Mode.DROP_RESPONSES):
                    continue
                await sink.send(data)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()
