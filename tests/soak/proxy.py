"""A loopback TCP proxy whose connections can be delayed, reset, cut one way, silenced or deaf."""

from __future__ import annotations

import dataclasses
import enum

import anyio
import anyio.abc

from limedeck_lab.standins import silent_socket

CHUNK = 65_536
DELAY = 0.4


class Mode(enum.Enum):
    """What happens to bytes."""

    PASS = "pass"
    DELAY = "delay"
    CUT_REPLIES = "cut-replies"
    SILENT = "silent"


@dataclasses.dataclass
class FaultyProxy:
    """Passes connections to one address on to another.

    Parameters
    ----------
    address, target
        IP number and port.
    """

    address: str
    target: str
    mode: Mode = Mode.PASS
    _streams: set[anyio.abc.SocketStream] = dataclasses.field(default_factory=set)
    _down: float = 0.0
    _listener: anyio.abc.Listener[anyio.abc.SocketStream] | None = None

    async def serve(self, ended: anyio.Event) -> None:
        """Listen until the event is set."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve_lives)
            await ended.wait()
            tasks.cancel_scope.cancel()

    async def crash(self, seconds: float) -> None:
        """Refuse connections for so long, and end those that are open: the process has ended."""
        self._down = seconds
        if self._listener is not None:
            await self._listener.aclose()

    async def _serve_lives(self) -> None:
        host, _, port = self.address.rpartition(":")
        while True:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
            self._listener = listener
            async with listener:
                try:
                    await listener.serve(self._serve_one)
                except* anyio.ClosedResourceError:
                    # A crash: what was served is cancelled, after the port was closed.
                    pass
            await anyio.sleep(self._down)

    async def reset_all(self) -> None:
        """Drop all connections at once."""
        for stream in list(self._streams):
            await anyio.aclose_forcefully(stream)

    async def silence_all(self) -> None:
        """Let all open connections go silent, without an end; new ones work."""
        for stream in list(self._streams):
            silent_socket.make_deaf(stream.extra(anyio.abc.SocketAttribute.raw_socket))

    async def _serve_one(self, caller: anyio.abc.SocketStream) -> None:
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
        is_reply: bool,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(CHUNK)
                if self.mode is Mode.DELAY:
                    await anyio.sleep(DELAY)
                if self.mode is Mode.SILENT or (is_reply and self.mode is Mode.CUT_REPLIES):
                    continue
                await sink.send(data)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()
