"""The memory of one exchange: its request's body, and its response until it is written."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import anyio

from limedeck.errors import LimedeckError
from limedeck.held_memory import Purpose
from limedeck.identity import Seconds
from limedeck.memory_keeper import Hold, MemoryKeeper

SMALL_MESSAGE_BYTES = 4096
"""Bodies up to this size count as part of their connection, which holds one at a time."""
LONGEST_PAUSE: Seconds = 0.5
"""Time for which reading a body is paused until there is memory; then the request is refused, so
that its caller can still go to another node."""
PAUSE_STEP: Seconds = 0.02
"""Interval at which a paused reader looks for memory."""
MAX_LENGTH_DIGITS = 16
"""Longest stated length of a body that is read as a number."""


class MemoryExhausted(LimedeckError):
    """There is no memory for a request's body; the request was sent to no back end."""


class ExchangeMemory:
    """What one exchange holds beside its connection.

    Parameters
    ----------
    purpose
        What the request's body counts as.
    """

    __slots__ = ("_body", "_expected", "_keeper", "_purpose", "_response")

    def __init__(self, keeper: MemoryKeeper, purpose: Purpose) -> None:
        self._keeper = keeper
        self._purpose = purpose
        self._body: Hold | None = None
        self._response: Hold | None = None
        self._expected = 0

    def check_room(self, headers: dict[bytes, bytes]) -> None:
        """Check that there is room for a body of the length that the headers state.

        Raises
        ------
        MemoryExhausted
            There is no room.
        """
        stated = headers.get(b"content-length", b"")
        size = int(stated) if stated.isdigit() and len(stated) <= MAX_LENGTH_DIGITS else 0
        account = self._keeper.account
        if not account.has_room(self._purpose, size):
            raise MemoryExhausted(f"{account.total} bytes are held, no room for {size} more")

    @contextlib.contextmanager
    def receiving_body(self) -> Iterator[None]:
        """Hold memory for a body; the block is cancelled if the body is given up."""
        with anyio.CancelScope() as scope:
            self._body = self._keeper.open(self._purpose, scope.cancel)
            yield
            # A back end may have the request from now on.
            self._body.holder.is_needed = True

    def grow_body(self, size: int) -> None:
        """Record how much of the body has been received.

        Raises
        ------
        MemoryExhausted
            The body was given up.
        """
        if self._body is not None:
            self._body.resize(size)
            if not self._body.is_open:
                raise MemoryExhausted(f"a body was given up after {size} bytes")

    async def wait_for_room(self) -> None:
        """Wait while there is little memory, so that the caller's connection is not read.

        Raises
        ------
        MemoryExhausted
            There was too little memory for `LONGEST_PAUSE`.
        """
        paused: Seconds = 0.0
        while not self._keeper.account.has_room(self._purpose):
            if paused >= LONGEST_PAUSE:
                raise MemoryExhausted(f"no memory for more of a body for {paused:.2f} s")
            await anyio.sleep(PAUSE_STEP)
            paused += PAUSE_STEP

    async def expect_response(self, size: int) -> None:
        """Wait until there is room for a response of about this size, and reserve it.

        Raises
        ------
        MemoryExhausted
            There was no room for `LONGEST_PAUSE`.
        """
        account = self._keeper.account
        if size <= SMALL_MESSAGE_BYTES:
            return
        paused: Seconds = 0.0
        while not account.has_room_for_response(size):
            if paused >= LONGEST_PAUSE:
                raise MemoryExhausted(f"no memory for a response of about {size} bytes")
            await anyio.sleep(PAUSE_STEP)
            paused += PAUSE_STEP
        account.promised += size
        self._expected = size

    def keep_response(self, size: int) -> None:
        """Count a response of which the bytes counted as being received until now."""
        self._withdraw_expectation()
        if size <= SMALL_MESSAGE_BYTES:
            return
        if self._response is None:
            self._response = self._keeper.open(Purpose.RECEIVED, _keep)
            self._response.holder.is_needed = True
        self._response.record(size)

    def release_response(self) -> None:
        """Count the response no more: it is about to be written."""
        if self._response is not None:
            self._response.close()
            self._response = None

    def close(self) -> None:
        """Hold nothing any more: the response is written."""
        self._withdraw_expectation()
        self.release_response()
        if self._body is not None:
            self._body.close()

    def _withdraw_expectation(self) -> None:
        self._keeper.account.promised -= self._expected
        self._expected = 0


def _keep() -> None:
    """Give nothing up: what is needed is never broken off."""
