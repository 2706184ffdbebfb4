"""Order of the requests and responses of one caller's connection, without I/O.

A caller may send requests before the first one has been answered (pipelining, RFC 9112, section
9.3.2). Responses are written in the order of the requests. Requests that may overlap run at the
same time; any other one runs alone, so that a response that closes the connection never leaves such
a request begun behind it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_OVERLAPPING = 64
"""Requests of one connection that are begun and not yet answered, at most. A caller that has more
in progress than that fills the queues of back ends by itself."""
MAX_HELD_BYTES = 512 * 1024
"""Bytes that one connection may hold before reading pauses and nothing more is begun: with 64
connections at this bound, a node on the smallest machine has most of its memory left."""


@dataclass(frozen=True, slots=True)
class Start:
    """Begin work on a request."""

    number: int


@dataclass(frozen=True, slots=True)
class Write:
    """Write the response's bytes that have waited; its later bytes are written as they come."""

    number: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give a request up: its response cannot be delivered."""

    number: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection once everything written has been sent."""


Command = Start | Write | Cancel | Close


@dataclass(slots=True)
class _Request:
    """A received request that has not been answered.

    Parameters
    ----------
    size
        Bytes of its head.
    waiting_bytes
        Bytes of its response that wait for earlier responses.
    """

    number: int
    may_overlap: bool
    size: int
    waiting_bytes: int = 0
    is_finished: bool = False
    closes: bool = False


class ResponseOrder:
    """The unanswered requests of one connection, in the order in which they were received.

    Each event is recorded by a method; `next_command` then returns what is to be done until there
    is nothing left to do.

    Parameters
    ----------
    largest_response
        Bytes of the largest response that has waited on this connection before.

    Attributes
    ----------
    largest_response
        Bytes of the largest response that has waited on this connection. What may start beside
        others goes by it.
    """

    def __init__(self, largest_response: int = 0) -> None:
        self._requests: deque[_Request] = deque()
        self._by_number: dict[int, _Request] = {}
        self._cancelled: deque[int] = deque()
        self._next_number = 0
        self._started = 0
        self._finished = 0
        self._written: int | None = None
        self._held_bytes = 0
        self._waiting_bytes = 0
        self.largest_response = largest_response
        self._is_writing_paused = False
        self._is_last_received = False
        self._must_close = False

    @property
    def depth(self) -> int:
        """Number of requests that have not been answered."""
        return len(self._requests)

    @property
    def held_bytes(self) -> int:
        """Bytes of heads and of waiting responses."""
        return self._held_bytes + self._waiting_bytes

    @property
    def waiting_bytes(self) -> int:
        """Bytes of responses that wait for earlier ones."""
        return self._waiting_bytes

    @property
    def may_read(self) -> bool:
        """Whether there is room for further requests."""
        return len(self._requests) < MAX_OVERLAPPING and self.held_bytes < MAX_HELD_BYTES

    @property
    def accepts_requests(self) -> bool:
        """Whether no response is known to close the connection."""
        return not self._is_last_received

    def receive(self, may_overlap: bool, size: int) -> int:
        """Record a received request, and return its number.

        Parameters
        ----------
        may_overlap
            Whether it may run together with other requests and may be given up.
        size
            Bytes of its head.
        """
        if self._is_last_received:
            raise ValueError("a request was received behind one that closes the connection")
        request = _Request(self._next_number, may_overlap, size)
        self._next_number += 1
        self._requests.append(request)
        self._by_number[request.number] = request
        self._held_bytes += size
        return request.number

    def adopt_first(self) -> None:
        """Record that the only request was begun, and is answered directly, before this existed."""
        self._started = 1
        self._written = self._requests[0].number

    def record_waiting_bytes(self, number: int, size: int) -> None:
        """Record bytes of a response that cannot be written yet."""
        request = self._by_number.get(number)
        if request is not None and number != self._written:
            request.waiting_bytes += size
            self._waiting_bytes += size

    def finish(self, number: int, closes: bool) -> None:
        """Record that a response is complete; repeated calls have no effect.

        Parameters
        ----------
        closes
            Whether the connection is to be closed behind it. Requests behind it count as not read.
        """
        request = self._by_number.get(number)
        if request is None or request.is_finished:
            return
        request.is_finished = True
        self._finished += 1
        self.largest_response = max(self.largest_response, request.waiting_bytes)
        if closes:
            self._close_behind(request)

    def close_behind_last(self) -> None:
        """Record that the newest request's response closes the connection, finished or not."""
        self._is_last_received = True
        if self._requests:
            self._requests[-1].closes = True

    def pause_writing(self) -> None:
        """Record that the caller reads too slowly: further responses wait."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Record that the caller has read what was written."""
        self._is_writing_paused = False

    def give_up(self) -> None:
        """Record that the caller has left."""
        self._is_last_received = True
        self._drop_behind(0)

    def next_command(self) -> Command | None:
        """Return the next thing to do; None if there is nothing to do until the next event."""
        if self._cancelled:
            return Cancel(self._cancelled.popleft())
        while self._requests:
            first = self._requests[0]
            if first.number != self._written:
                if self._is_writing_paused:
                    break
                return self._begin_writing(first)
            if not first.is_finished:
                break
            self._remove_first()
        if self._must_close:
            self._must_close = False
            return Close()
        return self._next_start()

    def _begin_writing(self, request: _Request) -> Write:
        self._written = request.number
        self._waiting_bytes -= request.waiting_bytes
        request.waiting_bytes = 0
        return Write(request.number)

    def _remove_first(self) -> None:
        request = self._requests.popleft()
        del self._by_number[request.number]
        self._held_bytes -= request.size
        self._started -= 1
        self._finished -= 1
        if request.closes:
            self._must_close = True

    def _next_start(self) -> Start | None:
        while self._started < len(self._requests):
            request = self._requests[self._started]
            if request.is_finished:
                self._started += 1
                continue
            if self._started and not self._may_start_behind_others(request):
                break
            self._started += 1
            return Start(request.number)
        return None

    def _may_start_behind_others(self, request: _Request) -> bool:
        # One that must run alone is begun as the first only.
        if not (request.may_overlap and self._requests[0].may_overlap):
            return False
        if self._started >= MAX_OVERLAPPING:
            return False
        running = max(self._started - self._finished, 0)
        expected = (running + 1) * self.largest_response
        return self.held_bytes + expected < MAX_HELD_BYTES

    def _close_behind(self, request: _Request) -> None:
        request.closes = True
        self._is_last_received = True
        self._drop_behind(self._requests.index(request) + 1)

    def _drop_behind(self, kept: int) -> None:
        """Drop all requests but the first ones; cancel those that were begun."""
        dropped = []
        while len(self._requests) > kept:
            request = self._requests.pop()
            del self._by_number[request.number]
            self._held_bytes -= request.size
            self._waiting_bytes -= request.waiting_bytes
            dropped.append(request.number)
        began = max(self._started - kept, 0)
        self._started -= began
        self._finished = sum(item.is_finished for item in self._requests)
        self._cancelled.extend(reversed(dropped))
