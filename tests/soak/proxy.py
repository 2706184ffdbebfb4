"""A loopback TCP proxy that can delay, drop, reset or silence its connections."""

from __future__ import annotations

import dataclasses
import enum
import socket
import struct
from collections.abc import Collection

import anyio
import anyio.abc

from limedeck_lab.standins import silent_socket

CHUNK_SIZE = 65_536
"""Bytes."""
DELAY = 0.4
"""Seconds."""


class Mode(enum.Enum):
    """How the proxy treats the bytes that it receives.

    SURPLUS
        Every second request on a connection is answered by a surplus response that names no
        request and states that the request did not run; the request is passed on all the same.
    REPEAT_RESPONSES
        A rejection, and the response to a grant, is sent once more when the next request on its
        connection arrives, which is passed on all the same.
    CUT_HEADS
        Each second response follows an interim one, and each third one stops at some byte of its
        head, where its connection is closed or reset.
    """

    PASS = "pass"
    DELAY = "delay"
    SURPLUS = "surplus"
    REPEAT_RESPONSES = "repeat-responses"
    CUT_HEADS = "cut-heads"
    DROP_RESPONSES = "cut-replies"
    SILENT = "silent"


class Cut(enum.Enum):
    """What happens to connections from hosts that are cut off.

    HANG
        Nothing arrives, on open connections and on new ones.
    RESET
        Open connections and new ones are reset.
    KEEP_OPEN
        Open connections go on, and new ones hang.
    RESET_ON_REQUEST
        Connections are accepted, and reset once a request arrives.
    RESET_LATE
        Connections are accepted, and reset `LATE_RESET_DELAY` after a request has arrived.
    HOLD
        Connections are accepted and stay open, and no byte passes on them.
    """

    HANG = "hang"
    RESET = "reset"
    KEEP_OPEN = "keep-open"
    RESET_ON_REQUEST = "reset-on-request"
    RESET_LATE = "reset-late"
    HOLD = "hold"


ACCEPTING_CUTS = frozenset({Cut.RESET_ON_REQUEST, Cut.RESET_LATE, Cut.HOLD})
"""Cuts in which new connections are established and stay open until a request is sent."""
SOAK_CUTS = (Cut.HANG, Cut.RESET, Cut.KEEP_OPEN)
"""Cuts that the soak draws from; more would change what its recorded seeds play."""
LATE_RESET_DELAY = 0.2
"""Seconds."""

INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\n\r\n"
HEAD_END = b"\r\n\r\n"
CUT_STRIDE = 37
"""Bytes between the cuts of two heads, so that cuts are spread over all parts of a head."""
GRANT_START = b"POST /v1/grant"
REJECTION_START = b"HTTP/1.1 503"
SURPLUS_RESPONSES = tuple(
    b"HTTP/1.1 %d Surplus\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n" % status
    for status in (503, 400, 421)
)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` with which closing a socket resets the connection."""


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
    _cut: Cut | None = None
    _cut_hosts: frozenset[str] = frozenset()
    _connections: dict[anyio.abc.SocketStream, str] = dataclasses.field(default_factory=dict)
    _streams: set[anyio.abc.SocketStream] = dataclasses.field(default_factory=set)
    _restart_delay: float = 0.0
    surplus_sent: int = 0
    responses: int = 0
    cut_heads: int = 0
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
            self._filter(listener)
            async with listener:
                try:
                    await listener.serve(self._forward_connection)
                except* anyio.ClosedResourceError:
                    # crash() closed the listener; its open connections are cancelled after that.
                    pass
            await anyio.sleep(self._restart_delay)

    async def cut_off(self, hosts: Collection[str], cut: Cut) -> None:
        """Cut off connections from these IP addresses until `reconnect`."""
        self._cut = cut
        self._cut_hosts = frozenset(hosts)
        if self._listener is not None:
            self._filter(self._listener)
        for stream, host in list(self._connections.items()):
            if host not in self._cut_hosts:
                continue
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
            if cut is Cut.HANG and raw is not None and raw.fileno() >= 0:
                silent_socket.drop_incoming(raw)
            elif cut is Cut.RESET:
                await _reset(stream)

    async def reconnect(self) -> None:
        """End a cut; connections that hung are reset."""
        hung = self._cut_hosts if self._cut in (Cut.HANG, Cut.HOLD) else frozenset()
        self._cut = None
        self._cut_hosts = frozenset()
        if self._listener is not None:
            self._filter(self._listener)
        for stream, host in list(self._connections.items()):
            if host in hung:
                await _reset(stream)

    def _filter(self, listener: anyio.abc.Listener[anyio.abc.SocketStream]) -> None:
        """Let new connections from hosts that are cut off hang."""
        accepts = self._cut is Cut.RESET or self._cut in ACCEPTING_CUTS
        hosts = frozenset() if accepts else self._cut_hosts
        raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        if raw.fileno() < 0:
            # `crash` has closed it; the next listener is filtered when it opens.
            return
        try:
            silent_socket.drop_from(raw, hosts)
        except OSError:
            # There is no filter to detach.
            if hosts:
                raise

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
        # A connection that was reset already has no address any more.
        source = str(caller.extra(anyio.abc.SocketAttribute.remote_address, ("",))[0])
        if self._cut is Cut.RESET and source in self._cut_hosts:
            await _reset(caller)
            return
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.aclose_forcefully(caller)
            return
        self._streams |= {caller, target}
        self._connections[caller] = source
        repeats = _Repeats()
        try:
            async with anyio.create_task_group() as tasks:
                scope = tasks.cancel_scope
                tasks.start_soon(self._pump, caller, target, False, scope, repeats)
                tasks.start_soon(self._pump, target, caller, True, scope, repeats)
        finally:
            self._streams -= {caller, target}
            del self._connections[caller]
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(caller)
                await anyio.aclose_forcefully(target)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_response: bool,
        scope: anyio.CancelScope,
        repeats: _Repeats,
    ) -> None:
        chunks = 0
        try:
            while True:
                data = await source.receive(CHUNK_SIZE)
                chunks += 1
                if await self._is_cut(sink if is_response else source, is_response):
                    continue
                if self.mode is Mode.DELAY:
                    await anyio.sleep(DELAY)
                if self.mode is Mode.SILENT or (is_response and self.mode is Mode.DROP_RESPONSES):
                    continue
                if self.mode is Mode.SURPLUS and not is_response and chunks % 2 == 0:
                    await source.send(SURPLUS_RESPONSES[self.surplus_sent % 3])
                    self.surplus_sent += 1
                repeated = repeats.take(data, is_response)
                if self.mode is Mode.REPEAT_RESPONSES and repeated:
                    await source.send(repeated)
                    self.surplus_sent += 1
                if self.mode is Mode.CUT_HEADS and is_response:
                    data = await self._cut_head(sink, data)
                await sink.send(data)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()

    async def _cut_head(self, caller: anyio.abc.SocketStream, response: bytes) -> bytes:
        """Return what is to be sent of a response; end the connection if its head is cut."""
        self.responses += 1
        if self.responses % 2 == 0:
            response = INTERIM_RESPONSE + response
        if self.responses % 3:
            return response
        head = response.index(HEAD_END, len(INTERIM_RESPONSE)) + len(HEAD_END)
        self.cut_heads += 1
        await caller.send(response[: self.cut_heads * CUT_STRIDE % head])
        if self.cut_heads % 2:
            # The bytes are to be read before the reset, which would discard them.
            await anyio.sleep(0.01)
            await _reset(caller)
        raise anyio.EndOfStream

    async def _is_cut(self, caller: anyio.abc.SocketStream, is_response: bool) -> bool:
        """Whether bytes of a connection do not pass; reset it if the cut asks for that."""
        cut = self._cut
        if cut not in ACCEPTING_CUTS or self._connections.get(caller) not in self._cut_hosts:
            return False
        if cut is not Cut.HOLD and not is_response:
            await anyio.sleep(LATE_RESET_DELAY if cut is Cut.RESET_LATE else 0.0)
            await _reset(caller)
        return True


class _Repeats:
    """The response that may be repeated on one connection."""

    def __init__(self) -> None:
        self._kept = b""
        self._is_grant = False

    def take(self, data: bytes, is_response: bool) -> bytes:
        """Return what may be sent before a request is passed on; nothing for a response."""
        if is_response:
            self._kept = data if self._is_grant or data.startswith(REJECTION_START) else b""
            return b""
        kept, self._kept = self._kept, b""
        self._is_grant = data.startswith(GRANT_START)
        return kept


async def _reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await anyio.aclose_forcefully(stream)
