"""HTTP/1.1 towards back ends and the store: connections are kept and checked here.

A library's pool does not tell whether a byte was sent, takes an answer without a length as whole
when its connection was reset, and may read a late second answer as the next one's. Each of these
decides whether a request may run again, so connections are kept here (docs/LIBRARIES.md).
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import SocketAttribute, SocketStream

from limedeck import http_codec
from limedeck.clock import steady_clock
from limedeck.forwarding.protocol import Headers
from limedeck.identity import Seconds
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

SocketOption = tuple[int, int, int]
CONNECT_TIMEOUT: Seconds = 0.25
"""A caller then still has time for another back end; an estimate."""
DEFAULT_IDLE: Seconds = 3.0
"""An idle connection is kept so long if the back end does not tell its own limit."""
RESET_WATCH: Seconds = 0.008
"""A back end that has too many connections, or too long a queue, resets a new one within about so
long: a node's log had such resets 5 ms after opening (docs/policy/large-fleets.md)."""
IDLE_MARGIN: Seconds = 1.0
"""An idle connection is dropped so long before the back end would close it."""
UNACKNOWLEDGED_LIMIT: Seconds = 0.5
"""Bytes that the other end's machine has not acknowledged for so long: the connection is dead. Kept
connections may go silent without a reset, and a request sent on one would wait for its caller's
deadline. Above the first repetition of a lost segment (0.2 s). Linux 6.18 ends such a connection
0.92 s after sending, by a loopback connection whose other end drops all that comes; without it, a
request with 20 s left failed after 20 s (test_silent_connections.py)."""
UNACKNOWLEDGED = "unacknowledged"
"""Problem of an attempt whose connection was given up by that bound."""
OUT_OF_TIME = "out of time"
"""Problem of an attempt that was given up when its time was over."""
CONNECTION_REFUSED = "connection refused"
"""Problem of an attempt: the machine answers, and no process listens at the port."""
READ_BYTES = 65_536
SMALL_BODY = 16_384
"""A body up to this size is sent whole before the answer is read."""


NO_SOCKET = (AttributeError, OSError, ValueError)
"""What event loops raise where a stream was reset by the other end, and has no socket any more."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER`: closing resets the connection at once."""
DEAD_CONNECTION_OPTIONS: Sequence[SocketOption] = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_LIMIT * 1000)),
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as a server gets it.

    Parameters
    ----------
    watched
        A new connection must have outlasted `RESET_WATCH` before the request is sent on it: if the
        reset comes later, nobody knows whether it has run.
    """

    address: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    watched: bool = False


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class _Connection:
    """One connection, and the reader of its newest answer."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._reader = http_codec.ResponseParser()
        self.idle_until: Seconds = 0.0
        self._body_sent = False
        self._descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLIN)

    def is_quiet(self) -> bool:
        """Whether nothing came since the last answer: neither its end nor surplus bytes."""
        return not self._poll.poll(0)

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and read the whole answer."""
        head = self._encoded(request)
        self._reader = http_codec.ResponseParser(request.method == b"HEAD")
        if len(request.body) <= SMALL_BODY:
            await self._send(head + request.body)
            return await self._receive()
        await self._send(head)
        return await self._receive_while_sending(request.body)

    async def _receive_while_sending(self, body: bytes) -> HttpResponse:
        answer: HttpResponse | AttemptFailed
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_quietly, body)
            try:
                answer = await self._receive()
            except AttemptFailed as error:
                answer = error
            tasks.cancel_scope.cancel()
        if isinstance(answer, AttemptFailed):
            raise answer
        return answer

    def _encoded(self, request: HttpRequest) -> bytes:
        try:
            return http_codec.encoded_head(
                request.method, request.target, request.headers, len(request.body)
            )
        except http_codec.BadRequest as error:
            raise AttemptFailed(FailurePhase.NOT_SENT, str(error)) from error

    async def _send(self, data: bytes) -> None:
        try:
            await self.stream.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise AttemptFailed(FailurePhase.SENDING, _problem(error), True) from error

    async def _send_quietly(self, data: bytes) -> None:
        # What went wrong shows in the answer, which may have come before the body was read.
        try:
            await self.stream.send(data)
            self._body_sent = True
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _receive(self) -> HttpResponse:
        reader = self._reader
        while not reader.is_whole:
            phase = FailurePhase.ANSWERING if reader.has_head else FailurePhase.AWAITING
            try:
                reader.feed(await self.stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                self._take_end(reader, phase)
            except http_codec.BadResponse as error:
                phase = FailurePhase.ANSWERING if reader.has_head else FailurePhase.AWAITING
                raise AttemptFailed(phase, str(error), by_other_end=True) from error
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise AttemptFailed(phase, _problem(error), by_other_end=True) from error
        return HttpResponse(reader.status, reader.headers, reader.body)

    def _take_end(self, reader: http_codec.ResponseParser, phase: FailurePhase) -> None:
        try:
            reader.feed_end()
        except http_codec.BadResponse as error:
            raise AttemptFailed(phase, str(error), by_other_end=True) from error

    def can_be_reused(self, answer: HttpResponse, sent_whole: bool, now: Seconds) -> bool:
        """Prepare for the next request; False when the connection must not be used again."""
        if not sent_whole or not self._reader.may_go_on:
            return False
        self.idle_until = now + _idle_time(answer.headers)
        return True

    def sent_whole(self, request: HttpRequest) -> bool:
        """Whether all of the request was handed to the connection."""
        return len(request.body) <= SMALL_BODY or self._body_sent

    async def aclose(self) -> None:
        """Drop the connection without waiting for anything."""
        await anyio.aclose_forcefully(self.stream)

    async def reset(self) -> None:
        """Drop the connection, and what was sent on it and has not arrived.

        A cut may hold bytes up for seconds, and deliver them after the connection was closed: a
        grant that had been given up gave a former owner keys that were another one's by then.
        """
        with contextlib.suppress(*NO_SOCKET):
            raw = self.stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.aclose()


class HttpClient:
    """Connections to servers, found by address.

    Parameters
    ----------
    local_host
        IP number that connections come from, or None for any.
    connect_timeout
        Longest time to wait for a connection, in seconds.
    socket_options
        Of each connection: level, name, value, as `socket.setsockopt` takes them.
    """

    def __init__(
        self,
        local_host: str | None = None,
        connect_timeout: Seconds = CONNECT_TIMEOUT,
        socket_options: Sequence[SocketOption] = DEAD_CONNECTION_OPTIONS,
    ) -> None:
        self._local_host = local_host
        self._connect_timeout = connect_timeout
        self._socket_options = socket_options
        self._idle: dict[str, deque[_Connection]] = {}
        self._under_way: dict[anyio.CancelScope, Seconds] = {}
        self.connections_opened = 0

    async def exchange(self, request: HttpRequest, until: Seconds) -> HttpResponse:
        """Send a request and wait for the whole answer.

        Raises
        ------
        AttemptFailed
            There is none by `until` (on this node's clock).
        """
        connection = await self._take(request, until)
        reusable = False
        is_answered = False
        try:
            with self._ended_at(until):
                answer = await connection.exchange(request)
                is_answered = True
                sent_whole = connection.sent_whole(request)
                reusable = connection.can_be_reused(answer, sent_whole, steady_clock())
                return answer
            raise AttemptFailed(FailurePhase.AWAITING, OUT_OF_TIME)
        except AttemptFailed as error:
            if error.problem == UNACKNOWLEDGED:
                await self._drop_address(request.address)
            raise
        finally:
            if reusable:
                self._idle.setdefault(request.address, deque()).append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await (connection.aclose() if is_answered else connection.reset())

    @contextlib.contextmanager
    def _ended_at(self, until: Seconds) -> Iterator[None]:
        """Leave the block when the time is over."""
        time_left = until - steady_clock()
        if time_left <= 0.0:
            # The machine was suspended while the connection came up, which no timer counts.
            raise AttemptFailed(FailurePhase.NOT_SENT, OUT_OF_TIME)
        with anyio.move_on_after(time_left) as scope:
            self._under_way[scope] = until
            try:
                yield
            finally:
                del self._under_way[scope]

    def abort_expired(self, now: Seconds) -> None:
        """Give up exchanges whose time is over, although their timers have not ended.

        Timers do not count the time that the machine was suspended.
        """
        for scope, until in self._under_way.items():
            if until <= now:
                scope.cancel()

    async def try_connect(self, address: str, until: Seconds) -> None:
        """Open a connection and close it: whether somebody listens there.

        Raises
        ------
        AttemptFailed
            Nobody does, or there is no answer by `until` (on this node's clock).
        """
        connection = await self._open(address, until)
        await connection.aclose()

    async def drop_idle(self, addresses: set[str]) -> None:
        """Close idle connections that are old, and all to other addresses than these."""
        now = steady_clock()
        for address, idle in list(self._idle.items()):
            is_known = address in addresses
            dropped = [item for item in idle if not is_known or item.idle_until <= now]
            # A request may be about to take one of these: it waits for another to be closed, and
            # would go on with connections that a new list held as well.
            for connection in dropped:
                idle.remove(connection)
            if not idle and self._idle.get(address) is idle:
                del self._idle[address]
            for connection in dropped:
                await connection.aclose()

    async def _drop_address(self, address: str) -> None:
        """Close idle connections to an address: one went silent, and the others most likely did."""
        idle = self._idle.pop(address, deque())
        dropped = list(idle)
        idle.clear()
        for connection in dropped:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.drop_idle(set())

    async def _take(self, request: HttpRequest, until: Seconds) -> _Connection:
        idle = self._idle.get(request.address)
        while idle:
            connection = idle.pop()
            if connection.idle_until > steady_clock() and connection.is_quiet():
                return connection
            await connection.aclose()
        connection = await self._open(request.address, until)
        if request.watched:
            await _watch_for_reset(connection)
        return connection

    async def _open(self, address: str, until: Seconds) -> _Connection:
        host, _, port = address.rpartition(":")
        time_left = min(self._connect_timeout, until - steady_clock())
        try:
            with anyio.fail_after(time_left):
                stream = await anyio.connect_tcp(host, int(port), local_host=self._local_host)
        except (OSError, TimeoutError, ValueError) as error:
            refused = _is_refused(error)
            problem = CONNECTION_REFUSED if refused else type(error).__name__
            raise AttemptFailed(FailurePhase.NOT_CONNECTED, problem, refused) from error
        self.connections_opened += 1
        try:
            for option in self._socket_options:
                stream.extra(SocketAttribute.raw_socket).setsockopt(*option)
            return _Connection(stream)
        except NO_SOCKET as error:
            await anyio.aclose_forcefully(stream)
            raise AttemptFailed(FailurePhase.TURNED_AWAY, "reset at once") from error


def _problem(error: Exception) -> str:
    """Name an error of a connection; the system's own bound on silence by what it means."""
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return UNACKNOWLEDGED if isinstance(cause, TimeoutError) else type(error).__name__


def _is_refused(error: BaseException | None) -> bool:
    """Whether the other machine said that nobody listens; the library wraps what it was told."""
    while error is not None and not isinstance(error, ConnectionRefusedError):
        error = error.__cause__
    return error is not None


async def _watch_for_reset(connection: _Connection) -> None:
    await anyio.sleep(RESET_WATCH)
    if not connection.is_quiet():
        await connection.aclose()
        raise AttemptFailed(FailurePhase.TURNED_AWAY, "reset before anything was sent")


def _idle_time(headers: Headers) -> Seconds:
    told = dict(headers).get(b"keep-alive", b"")
    for part in told.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(float(value) - IDLE_MARGIN, 0.0)
    return DEFAULT_IDLE
