"""HTTP/1.1 client for back ends and the store, with its own connection pool.

The connection pools of libraries do not report whether a byte was sent, accept a response without a
length as complete when its connection was reset, and may read a late second response as that of
the next request. Each of these decides whether a request may run again, so this module has its own
pool (docs/LIBRARIES.md).
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import SocketAttribute, SocketStream

from limedeck import addresses, http_codec, response_memory
from limedeck.clock import steady_clock
from limedeck.forwarding.protocol import Headers
from limedeck.identity import NEVER, Seconds
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

SocketOption = tuple[int, int, int]
CONNECT_TIMEOUT: Seconds = 0.25
"""Short enough to leave the caller time for an attempt at another back end."""
DEFAULT_IDLE_TIMEOUT: Seconds = 3.0
"""How long an idle connection is kept if the back end states no timeout in `Keep-Alive`."""
EARLY_RESET_WINDOW: Seconds = 0.008
"""Time within which a back end that has too many connections, or too long a queue, resets a new
connection: such resets came 5 ms after the connection opened (docs/policy/large-fleets.md)."""
IDLE_TIMEOUT_MARGIN: Seconds = 1.0
"""How long before the back end's own idle timeout a connection is no longer used."""
UNACKNOWLEDGED_TIMEOUT: Seconds = 0.5
"""`TCP_USER_TIMEOUT`: a connection whose sent bytes stay unacknowledged for so long is dead. Idle
connections may stop working without a reset, and a request sent on one would wait until its
caller's deadline. Above the first retransmission of a lost segment (0.2 s). On a loopback
connection whose other end drops all packets, Linux 6.18 ends the connection 0.92 s after sending;
without the option, a request with 20 s left failed after 20 s (test_silent_connections.py)."""
UNACKNOWLEDGED = "unacknowledged"
"""Problem of an attempt whose connection was ended by `UNACKNOWLEDGED_TIMEOUT`."""
TOO_LARGE = "the responses in progress exceed the memory for them"
"""Problem of an attempt whose response was the largest one in progress."""
DEADLINE_EXCEEDED = "out of time"
"""Problem of an attempt that was aborted at its deadline."""
FOREIGN_RESPONSE = "response to another request"
"""Problem of an attempt: the response on its connection does not name this request."""
CONNECTION_REFUSED = "connection refused"
"""Problem of an attempt: the host is reachable, but no process listens on the port."""
MAX_READ_BYTES = 65_536
SMALL_BODY_BYTES = 16_384
"""A body up to this size is sent completely before the response is read."""


MISSING_SOCKET_ERRORS = (AttributeError, OSError, ValueError)
"""Errors of event loops on access to the socket of a stream that the other end has reset."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` with which closing a socket resets the connection at once."""
DEAD_PEER_OPTIONS: Sequence[SocketOption] = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
)
"""Close a connection within three seconds after the peer disappeared, even during a long poll."""
RECEIVE_BUFFER_BYTES = 128 * 1024
"""Kernel's buffer of responses on one connection if memory is bounded; without a size it grows to
megabytes, outside the process's account."""
BOUNDED_RECEIVE_OPTIONS: Sequence[SocketOption] = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
)
DEAD_CONNECTION_OPTIONS: Sequence[SocketOption] = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT * 1000)),
)


@dataclass(frozen=True, slots=True)
class Carrier:
    """The connection that carried an exchange.

    Parameters
    ----------
    number
        Number of the connection, in the order in which its client opened them.
    exchanges
        Requests that were sent on it so far, with that of this exchange.
    """

    number: int
    exchanges: int


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Parameters
    ----------
    carrier
        The connection that it came on; None if another node received it.
    """

    status: int
    headers: Headers
    body: bytes
    carrier: Carrier | None = None


def any_response(response: HttpResponse) -> bool:
    """Return True, whatever the response."""
    return True


def no_response(response: HttpResponse) -> bool:
    """Return False, whatever the response."""
    return False


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to a server.

    Parameters
    ----------
    request_id
        The id that responses to this request name; empty if they name none. All attempts at a
        request have the same id, so a response shows which of them it belongs to only if its
        connection has carried the id once. No connection carries an id again before the deadline of
        the attempt that it carried, or `attempts_until`.
    attempts_until
        Until when further attempts at the request may be made, if later than this one's deadline.
    watched
        Before the request is sent on a new connection, wait `EARLY_RESET_WINDOW` for a reset: after
        a reset that follows sending, it is unknown whether the request has run.
    is_answered_by
        Whether a response belongs to this request. After one that does not, the connection is
        closed: the next response on it would not belong to its request either.
    keeps_connection
        Whether the connection may be used again after a response. If responses name no request,
        only an expected one shows that no other response to this request follows.
    has_own_connection
        Send it on a new connection, which carries nothing else.
    """

    address: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    request_id: bytes = b""
    attempts_until: Seconds = NEVER
    watched: bool = False
    is_answered_by: Callable[[HttpResponse], bool] = any_response
    keeps_connection: Callable[[HttpResponse], bool] = any_response
    has_own_connection: bool = False


class _Connection:
    """A connection, and the parser of its latest response."""

    def __init__(
        self, stream: SocketStream, memory: response_memory.ResponseMemory, number: int
    ) -> None:
        self.stream = stream
        self._number = number
        self._exchanges = 0
        self._carried: dict[bytes, Seconds] = {}
        self._memory = memory
        self._parser = http_codec.ResponseParser()
        self.idle_until: Seconds = 0.0
        self._body_sent = False
        self._descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLIN)

    def has_carried(self, request_id: bytes) -> bool:
        """Whether an attempt at this request was sent on this connection."""
        return request_id in self._carried

    def record_carried(self, request_id: bytes, until: Seconds) -> None:
        """Record that an attempt is sent; there may be others at its request until then."""
        now = steady_clock()
        for former, expires_at in list(self._carried.items()):
            if expires_at >= now:
                break
            del self._carried[former]
        if request_id:
            self._carried[request_id] = until

    def has_no_input(self) -> bool:
        """Whether neither bytes nor the connection's end have arrived since the last response."""
        return not self._poll.poll(0)

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and read the complete response."""
        head = self._encode_head(request)
        self._exchanges += 1
        self._body_sent = False
        self._parser = http_codec.ResponseParser(request.method == b"HEAD")
        if len(request.body) <= SMALL_BODY_BYTES:
            await self._send(head + request.body)
            return await self._receive()
        await self._send(head)
        return await self._receive_while_sending(request.body)

    async def _receive_while_sending(self, body: bytes) -> HttpResponse:
        response: HttpResponse | AttemptFailed
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_ignoring_errors, body)
            try:
                response = await self._receive()
            except AttemptFailed as error:
                response = error
            tasks.cancel_scope.cancel()
        if isinstance(response, AttemptFailed):
            raise response
        return response

    def _encode_head(self, request: HttpRequest) -> bytes:
        try:
            return http_codec.encode_head(
                request.method, request.target, request.headers, len(request.body)
            )
        except http_codec.BadRequest as error:
            raise AttemptFailed(FailurePhase.NOT_SENT, str(error)) from error

    async def _send(self, data: bytes) -> None:
        try:
            await self.stream.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise AttemptFailed(FailurePhase.SENDING, _describe_error(error), True) from error

    async def _send_ignoring_errors(self, data: bytes) -> None:
        # The server may respond before it has read the body: reading the response tells whether
        # the exchange failed.
        try:
            await self.stream.send(data)
            self._body_sent = True
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _receive(self) -> HttpResponse:
        try:
            with self._memory.reservation(self._parser.take_body) as reservation:
                return await self._receive_within(reservation)
        except response_memory.ResponseTooLarge as error:
            raise AttemptFailed(FailurePhase.RECEIVING, TOO_LARGE, by_other_end=True) from error

    async def _receive_within(self, reservation: response_memory.Reservation) -> HttpResponse:
        parser = self._parser
        while not parser.is_complete:
            phase = FailurePhase.RECEIVING if parser.has_head else FailurePhase.AWAITING
            try:
                parser.feed(await self.stream.receive(MAX_READ_BYTES))
                reservation.grow_to(parser.held_size)
            except anyio.EndOfStream:
                self._handle_end_of_stream(parser, phase)
            except http_codec.BadResponse as error:
                phase = FailurePhase.RECEIVING if parser.has_head else FailurePhase.AWAITING
                raise AttemptFailed(phase, str(error), by_other_end=True) from error
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                raise AttemptFailed(phase, _describe_error(error), by_other_end=True) from error
        carrier = Carrier(self._number, self._exchanges)
        return HttpResponse(parser.status, parser.headers, parser.take_body(), carrier)

    def _handle_end_of_stream(self, parser: http_codec.ResponseParser, phase: FailurePhase) -> None:
        try:
            parser.feed_end()
        except http_codec.BadResponse as error:
            raise AttemptFailed(phase, str(error), by_other_end=True) from error

    def prepare_for_reuse(self, response: HttpResponse, is_fully_sent: bool, now: Seconds) -> bool:
        """Set until when the connection may stay idle; False if it must not be reused."""
        if not is_fully_sent or not self._parser.is_reusable:
            return False
        self.idle_until = now + _idle_time(response.headers)
        return True

    def is_fully_sent(self, request: HttpRequest) -> bool:
        """Whether the complete request was written to the connection."""
        return len(request.body) <= SMALL_BODY_BYTES or self._body_sent

    async def aclose(self) -> None:
        """Close the connection without waiting for its other end."""
        await anyio.aclose_forcefully(self.stream)

    async def reset(self) -> None:
        """Reset the connection, which discards sent bytes that have not arrived.

        A network partition may delay bytes for seconds and deliver them after the connection was
        closed: a grant that the leader had abandoned gave a former owner keys that belonged to
        another owner by then.
        """
        with contextlib.suppress(*MISSING_SOCKET_ERRORS):
            raw = self.stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.aclose()


class HttpClient:
    """HTTP client with a pool of connections by server address.

    Parameters
    ----------
    local_host
        Local IP address of the connections, or None for any.
    connect_timeout
        Longest time to wait until a connection is established, in seconds.
    socket_options
        Level, name and value of options set on each connection, as for `socket.setsockopt`.
    memory
        Memory for the responses in progress, which several clients may share.
    """

    def __init__(
        self,
        local_host: str | None = None,
        connect_timeout: Seconds = CONNECT_TIMEOUT,
        socket_options: Sequence[SocketOption] = DEAD_CONNECTION_OPTIONS,
        memory: response_memory.ResponseMemory | None = None,
    ) -> None:
        self._memory = memory or response_memory.ResponseMemory()
        self._local_host = local_host
        self._connect_timeout = connect_timeout
        self._socket_options = socket_options
        self._idle: dict[str, deque[_Connection]] = {}
        self._active: dict[anyio.CancelScope, Seconds] = {}
        self.connections_opened = 0

    async def exchange(self, request: HttpRequest, until: Seconds) -> HttpResponse:
        """Send a request and wait for the complete response.

        Raises
        ------
        AttemptFailed
            There is no complete response by `until` (on this node's clock).
        """
        connection = await self._acquire(request, until)
        connection.record_carried(request.request_id, max(until, request.attempts_until))
        reusable = False
        has_response = False
        try:
            with self._deadline(until):
                response = await connection.exchange(request)
                if not request.is_answered_by(response):
                    raise AttemptFailed(FailurePhase.AWAITING, FOREIGN_RESPONSE)
                has_response = True
                is_fully_sent = connection.is_fully_sent(request)
                may_reuse = request.keeps_connection(response) and not request.has_own_connection
                reusable = may_reuse and connection.prepare_for_reuse(
                    response, is_fully_sent, steady_clock()
                )
                return response
            raise AttemptFailed(FailurePhase.AWAITING, DEADLINE_EXCEEDED)
        except AttemptFailed as error:
            if error.problem == UNACKNOWLEDGED:
                await self._drop_idle_to(request.address)
            raise
        finally:
            if reusable:
                self._idle.setdefault(request.address, deque()).append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await (connection.aclose() if has_response else connection.reset())

    @contextlib.contextmanager
    def _deadline(self, until: Seconds) -> Iterator[None]:
        """Cancel the block at `until`, or earlier by `abort_expired`."""
        time_left = until - steady_clock()
        if time_left <= 0.0:
            # The machine may have been suspended during connecting; timers do not count that time.
            raise AttemptFailed(FailurePhase.NOT_SENT, DEADLINE_EXCEEDED)
        with anyio.move_on_after(time_left) as scope:
            self._active[scope] = until
            try:
                yield
            finally:
                del self._active[scope]

    def abort_expired(self, now: Seconds) -> None:
        """Abort exchanges whose deadline has passed although their timers have not expired.

        Timers do not count the time for which the machine was suspended.
        """
        for scope, until in self._active.items():
            if until <= now:
                scope.cancel()

    async def try_connect(self, address: str, until: Seconds, watch_time: Seconds = 0.0) -> None:
        """Check that a server accepts connections: open one and close it.

        Parameters
        ----------
        watch_time
            Time for which the connection must stay open, in seconds.

        Raises
        ------
        AttemptFailed
            No connection was established by `until` (on this node's clock), or it was reset.
        """
        connection = await self._open(address, until)
        if watch_time:
            await _wait_for_early_reset(connection, watch_time)
        await connection.aclose()

    async def close_idle(self, addresses: set[str]) -> None:
        """Close idle connections that have expired, and all to addresses not in `addresses`."""
        now = steady_clock()
        for address, idle in list(self._idle.items()):
            is_known = address in addresses
            dropped = [item for item in idle if not is_known or item.idle_until <= now]
            # `_acquire` may be waiting for the close of another connection of this deque and then
            # continues with it. A new deque would let two requests use one connection.
            for connection in dropped:
                idle.remove(connection)
            if not idle and self._idle.get(address) is idle:
                del self._idle[address]
            for connection in dropped:
                await connection.aclose()

    async def _drop_idle_to(self, address: str) -> None:
        """Close idle connections to an address after one of them stopped working.

        The others most likely have stopped working too.
        """
        idle = self._idle.pop(address, deque())
        dropped = list(idle)
        idle.clear()
        for connection in dropped:
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.close_idle(set())

    async def _acquire(self, request: HttpRequest, until: Seconds) -> _Connection:
        idle = None if request.has_own_connection else self._idle.get(request.address)
        while idle:
            connection = _take_latest(idle, request.request_id)
            if connection is None:
                break
            if connection.idle_until > steady_clock() and connection.has_no_input():
                return connection
            await connection.aclose()
        connection = await self._open(request.address, until)
        if request.watched:
            await _wait_for_early_reset(connection)
        return connection

    async def _open(self, address: str, until: Seconds) -> _Connection:
        time_left = min(self._connect_timeout, until - steady_clock())
        try:
            host, port = addresses.parse_address(address)
        except addresses.InvalidAddress as error:
            raise AttemptFailed(FailurePhase.NOT_CONNECTED, str(error)) from error
        try:
            with anyio.fail_after(time_left):
                stream = await anyio.connect_tcp(host, port, local_host=self._local_host)
        except (OSError, TimeoutError) as error:
            refused = _is_refused(error)
            problem = CONNECTION_REFUSED if refused else type(error).__name__
            raise AttemptFailed(FailurePhase.NOT_CONNECTED, problem, refused) from error
        self.connections_opened += 1
        try:
            for option in self._socket_options:
                stream.extra(SocketAttribute.raw_socket).setsockopt(*option)
            return _Connection(stream, self._memory, self.connections_opened)
        except MISSING_SOCKET_ERRORS as error:
            await anyio.aclose_forcefully(stream)
            raise AttemptFailed(FailurePhase.TURNED_AWAY, "reset right after opening") from error


def _take_latest(idle: deque[_Connection], request_id: bytes) -> _Connection | None:
    """Take the connection used last that has not carried this request; None if each has."""
    for connection in reversed(idle):
        if not connection.has_carried(request_id):
            idle.remove(connection)
            return connection
    return None


def _describe_error(error: Exception) -> str:
    """Return the type of a connection's error, or `UNACKNOWLEDGED` for `TCP_USER_TIMEOUT`."""
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return UNACKNOWLEDGED if isinstance(cause, TimeoutError) else type(error).__name__


def _is_refused(error: BaseException | None) -> bool:
    """Whether the other machine refused the connection; anyio wraps the system's error."""
    while error is not None and not isinstance(error, ConnectionRefusedError):
        error = error.__cause__
    return error is not None


async def _wait_for_early_reset(
    connection: _Connection, window: Seconds = EARLY_RESET_WINDOW
) -> None:
    await anyio.sleep(window)
    if not connection.has_no_input():
        await connection.aclose()
        raise AttemptFailed(FailurePhase.TURNED_AWAY, "reset before the request was sent")


def _idle_time(headers: Headers) -> Seconds:
    keep_alive = dict(headers).get(b"keep-alive", b"")
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(float(value) - IDLE_TIMEOUT_MARGIN, 0.0)
    return DEFAULT_IDLE_TIMEOUT
