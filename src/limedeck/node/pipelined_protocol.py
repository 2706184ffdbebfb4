"""Callers' connections on which requests may be sent before earlier ones have been answered."""

from __future__ import annotations

import asyncio
import functools
import select
from asyncio.events import TimerHandle
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from uvicorn import Config
from uvicorn._types import ASGI3Application
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle
from uvicorn.server import ServerState

from limedeck.clock import steady_clock
from limedeck.identity import Seconds
from limedeck.node import asgi
from limedeck.node.caller_connections import CallerConnections
from limedeck.node.http_server import BoundedProtocol
from limedeck.node.response_order import Cancel, Close, Command, ResponseOrder, Start, Write
from limedeck.node.telemetry import Telemetry

INPUT_SLICE = 16 * 1024
"""Bytes that are parsed before the bounds of a connection are checked again. A request has some
tens of bytes at least, and the event loop delivers up to 256 KiB at once."""
LEAVE_CHECK_INTERVAL: Seconds = 0.1
"""A connection that is not being read is checked this often for whether its caller has left: work
for callers who have left must end within 0.25 s."""
LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


_UNANSWERED = cast(RequestResponseCycle, SimpleNamespace(response_complete=False))


class RequestNotRead(Exception):
    """A request was received behind one whose response closes the connection."""


class _ConnectionFlow(FlowControl):
    """Flow control of a connection whose reading may be held whatever its requests ask for."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.is_held = False

    def resume_reading(self) -> None:
        """Resume reading unless it is held."""
        if self.read_paused and not self.is_held:
            self.read_paused = False
            self._transport.resume_reading()

    def hold(self) -> None:
        """Read nothing until `release` is called."""
        self.is_held = True
        self.pause_reading()

    def release(self) -> None:
        """Resume reading."""
        self.is_held = False
        self.resume_reading()


class _WaitingFlow(FlowControl):
    """Flow control of responses that wait: their bytes are taken although the caller is slow."""

    def __init__(self, transport: asyncio.Transport, connection: FlowControl) -> None:
        super().__init__(transport)
        self._connection = connection

    def resume_reading(self) -> None:
        """Resume reading from the connection."""
        self._connection.resume_reading()


class _WaitingTransport(asyncio.Transport):
    """Takes the bytes of a response that waits for earlier responses."""

    def __init__(self, protocol: PipelinedProtocol, number: int) -> None:
        super().__init__()
        self._protocol = protocol
        self._number = number
        self._parts: list[bytes] = []

    def write(self, data: Any) -> None:
        """Keep bytes until they may be written."""
        self._parts.append(bytes(data))
        self._protocol.record_waiting_bytes(self._number, len(data))

    def close(self) -> None:
        """Close the connection once the response has been written."""
        self._protocol.finish(self._number, closes=True)

    def is_closing(self) -> bool:
        """Whether the connection is closing."""
        return self._protocol.transport.is_closing()

    def take(self) -> bytes:
        """Return the bytes kept, and forget them."""
        data = b"".join(self._parts)
        self._parts.clear()
        return data


class PipelinedProtocol(BoundedProtocol):
    """A caller's connection that works on several requests at the same time.

    A connection with one request at a time behaves as that of the library. A `ResponseOrder` exists
    from the second unanswered request on until all have been answered; it decides, and this class
    carries out.
    """

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
        *,
        callers: CallerConnections,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._callers = callers
        self._order: ResponseOrder | None = None
        self._cycles: dict[int, tuple[RequestResponseCycle, ASGI3Application | None]] = {}
        self._waiting: dict[int, _WaitingTransport] = {}
        self._waiting_flow: _WaitingFlow | None = None
        self._current = -1
        self._counted_bytes = 0
        self._largest_response = 0
        self._unparsed = b""
        self._is_input_ended = False
        self._leave_check: TimerHandle | None = None
        self._connected_at: Seconds = 0.0

    # ------------------------------------------------------------------ of the transport

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Prepare the connection."""
        super().connection_made(transport)
        self.flow: _ConnectionFlow = _ConnectionFlow(transport)
        self._connected_at = steady_clock()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give all requests up: the connection is closed."""
        self._give_up()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Give all requests up: the caller has closed the connection."""
        self._give_up()
        super().eof_received()

    def pause_writing(self) -> None:
        """Let responses wait: the caller reads too slowly."""
        super().pause_writing()
        if self._order is not None:
            self._order.pause_writing()

    def resume_writing(self) -> None:
        """Go on with writing."""
        super().resume_writing()
        if self._order is not None:
            self._order.resume_writing()
            self._carry_out(self._order)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; those behind the last request that is answered are discarded."""
        if self._is_input_ended:
            return
        if self._unparsed or self.flow.is_held:
            self._unparsed += data
        elif len(data) > INPUT_SLICE:
            self._parse(data)
        else:
            super().data_received(data)

    def shutdown(self) -> None:
        """Close the connection once the requests that were received have been answered."""
        if self._order is None:
            super().shutdown()
        else:
            self.close_behind_last()

    # ------------------------------------------------------------------ of the parser

    def on_headers_complete(self) -> None:
        """Begin a request, or let it wait for its turn.

        Raises
        ------
        RequestNotRead
            An earlier response closes the connection.
        """
        previous = self.cycle
        if previous is not None and not previous.keep_alive:
            self._is_input_ended = True
            raise RequestNotRead
        if self._order is not None:
            self._read_request_behind(self._order, previous)
            return
        super().on_headers_complete()
        if self.pipeline:
            cycle, application = self.pipeline.pop()
            self.flow.resume_reading()
            self._receive(self._begin_order(previous), cycle, application)

    def _read_request_behind(self, order: ResponseOrder, previous: RequestResponseCycle) -> None:
        if not order.accepts_requests:
            self._is_input_ended = True
            raise RequestNotRead
        # The library begins a request if the one before it is finished, although that one's
        # response may still wait.
        self.cycle = _UNANSWERED
        try:
            super().on_headers_complete()
        except BaseException:
            self.cycle = previous
            raise
        cycle, application = self.pipeline.pop()
        self.flow.resume_reading()
        self._receive(order, cycle, application)

    def send_400_response(self, msg: str) -> None:
        """Respond to malformed input; nothing if it is behind the last request."""
        if not self._is_input_ended:
            self.refuse_input(_bad_request(msg), "malformed")

    def refuse_input(self, response: bytes, cause: str) -> None:
        """Respond to input that is no request, behind earlier responses, and close."""
        self._is_input_ended = True
        order, newest = self._order, self.cycle
        self._callers.record_refused_input(
            self.client[0] if self.client else "",
            cause,
            order.depth if order is not None else int(_is_open(newest)),
            order.held_bytes if order is not None else 0,
            steady_clock() - self._connected_at,
        )
        if order is None and (not _is_open(newest) or newest.more_body):
            super().refuse_input(response, cause)
            return
        order = order or self._begin_order(newest)
        if _is_open(newest) and newest.more_body:
            self._replace_newest(order, response)
        elif order.accepts_requests:
            self._append_response(order, response)
        self._carry_out(order)

    def _replace_newest(self, order: ResponseOrder, response: bytes) -> None:
        """Respond to the newest request, whose body is malformed."""
        number = max(self._cycles)
        _disconnect(self.cycle)
        waiting = self._waiting.get(number)
        if waiting is None:
            self.transport.write(response)
        else:
            waiting.take()
            waiting.write(response)
        order.finish(number, closes=True)

    def _append_response(self, order: ResponseOrder, response: bytes) -> None:
        number = order.receive(may_overlap=True, size=0)
        waiting = self._waiting[number] = _WaitingTransport(self, number)
        waiting.write(response)
        order.finish(number, closes=True)

    def _parse(self, data: bytes) -> None:
        """Parse bytes until they are used up or a bound is reached."""
        offset = 0
        while offset < len(data) and not (
            self._is_input_ended or self.flow.is_held or self.transport.is_closing()
        ):
            super().data_received(data[offset : offset + INPUT_SLICE])
            offset += INPUT_SLICE
        self._unparsed = b"" if self._is_input_ended else data[offset:]

    # ------------------------------------------------------------------ of requests

    def on_response_complete(self) -> None:
        """Go on behind a response that has been written."""
        if self._order is None:
            super().on_response_complete()
            return
        self.finish(self._current, closes=self.transport.is_closing())

    def finish(self, number: int, closes: bool) -> None:
        """Record that a response is complete."""
        if self._order is not None:
            self._order.finish(number, closes)
            self._carry_out(self._order)

    def record_waiting_bytes(self, number: int, size: int) -> None:
        """Record bytes of a response that wait for earlier responses."""
        if self._order is not None:
            self._order.record_waiting_bytes(number, size)
            self._count_bytes(self._order.waiting_bytes)

    def close_behind_last(self) -> None:
        """Close the connection behind the last request that was received."""
        self.cycle.keep_alive = False
        if self._order is not None:
            self._order.close_behind_last()
            self._carry_out(self._order)

    # ------------------------------------------------------------------ carrying out

    def _begin_order(self, first: RequestResponseCycle) -> ResponseOrder:
        order = self._order = ResponseOrder(self._largest_response)
        if self.flow.write_paused:
            order.pause_writing()
        self._waiting_flow = _WaitingFlow(self.transport, self.flow)
        self._leave_check = self.loop.call_later(LEAVE_CHECK_INTERVAL, self._check_left)
        number = order.receive(self._callers.may_overlap(_scope(first)), 0)
        self._cycles[number] = (first, None)
        self._current = number
        order.adopt_first()
        return order

    def _receive(
        self, order: ResponseOrder, cycle: RequestResponseCycle, application: ASGI3Application
    ) -> None:
        scope = _scope(cycle)
        scope[asgi.RECEIVED_AT] = steady_clock()
        previous, _ = next(reversed(self._cycles.values()))
        _scope(previous)[asgi.CLOSE_BEHIND_LAST] = self.close_behind_last
        size = len(self.url) + sum(len(name) + len(value) for name, value in cycle.scope["headers"])
        number = order.receive(self._callers.may_overlap(scope), size)
        waiting = _WaitingTransport(self, number)
        cycle.transport = waiting
        cycle.flow = self._waiting_flow or self.flow
        cycle.on_response = functools.partial(self.finish, number, closes=False)
        self._waiting[number] = waiting
        self._cycles[number] = (cycle, application)
        self._callers.record_depth(order.depth)
        self._carry_out(order)

    def _carry_out(self, order: ResponseOrder) -> None:
        while (command := order.next_command()) is not None:
            self._carry_out_command(command)
        self._count_bytes(order.waiting_bytes)
        if order.depth == 0:
            self._end_order()
            super().on_response_complete()
        if self._is_input_ended or self._order is None or self._order.may_read:
            if self.flow.is_held:
                self.flow.release()
                unparsed, self._unparsed = self._unparsed, b""
                self._parse(unparsed)
        elif not self.flow.is_held and not self.transport.is_closing():
            self.flow.hold()

    def _carry_out_command(self, command: Command) -> None:
        match command:
            case Start(number):
                cycle, application = self._cycles[number]
                if number != self._current:
                    _scope(cycle)[asgi.OVERLAPPING] = True
                if application is not None:
                    super()._start_asgi_task(cycle, application)
            case Write(number):
                self._write_directly(number)
            case Cancel(number):
                self._is_input_ended = True
                self._waiting.pop(number, None)
                dropped = self._cycles.pop(number, None)
                if dropped is not None:
                    _disconnect(dropped[0])
            case Close():
                self.transport.close()

    def _write_directly(self, number: int) -> None:
        self._cycles.pop(self._current, None)
        self._current = number
        data = self._waiting.pop(number).take()
        if data and not self.transport.is_closing():
            self.transport.write(data)
        if number in self._cycles:
            cycle, _ = self._cycles[number]
            cycle.transport = self.transport
            cycle.flow = self.flow
            if not cycle.response_complete:
                cycle.on_response = self.on_response_complete

    def _end_order(self) -> None:
        if self._order is not None:
            self._largest_response = self._order.largest_response
        self._order = None
        self._cycles.clear()
        self._waiting.clear()
        if self._leave_check is not None:
            self._leave_check.cancel()
            self._leave_check = None

    def _give_up(self) -> None:
        """Cancel all requests: the caller has left."""
        order = self._order
        if order is None:
            return
        self._is_input_ended = True
        self._unparsed = b""
        order.give_up()
        while (command := order.next_command()) is not None:
            self._carry_out_command(command)
        self._count_bytes(0)
        self._end_order()

    def _check_left(self) -> None:
        """Close the connection if its caller has left unnoticed because it is not being read."""
        order = self._order
        if order is None or self.transport.is_closing():
            return
        self._leave_check = self.loop.call_later(LEAVE_CHECK_INTERVAL, self._check_left)
        if self.flow.read_paused and _has_left(self.transport):
            caller = self.client[0] if self.client else ""
            self._callers.record_left(caller, order.depth, order.held_bytes)
            self._give_up()
            self.transport.abort()

    def _count_bytes(self, waiting_bytes: int) -> None:
        self._callers.waiting_bytes += waiting_bytes - self._counted_bytes
        self._counted_bytes = waiting_bytes


def caller_protocol(
    may_overlap: Callable[[asgi.Scope], bool], telemetry: Telemetry
) -> Callable[..., PipelinedProtocol]:
    """Return what creates the connections of a server for callers.

    Parameters
    ----------
    may_overlap
        Whether a request may run beside others of its connection, and be given up.
    """
    callers = CallerConnections(may_overlap, telemetry)
    return functools.partial(PipelinedProtocol, callers=callers)


def _bad_request(message: str) -> bytes:
    text = message.encode()
    return (
        b"HTTP/1.1 400 Bad Request\r\ncontent-type: text/plain; charset=utf-8\r\n"
        b"content-length: %d\r\nconnection: close\r\n\r\n%s" % (len(text), text)
    )


def _scope(cycle: RequestResponseCycle) -> asgi.Scope:
    """Return the scope of a request, to which keys of this server may be added."""
    return cast(asgi.Scope, cycle.scope)


def _is_open(cycle: RequestResponseCycle | None) -> bool:
    return cycle is not None and not cycle.response_complete


def _disconnect(cycle: RequestResponseCycle) -> None:
    """Have the application learn that its response cannot be delivered."""
    cycle.disconnected = True
    cycle.message_event.set()


def _has_left(transport: asyncio.Transport) -> bool:
    """Whether the other end has closed a connection, although it may have unread bytes."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), LEFT_EVENTS)
    return bool(poll.poll(0))
