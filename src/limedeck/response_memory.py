"""Bounds the memory for the responses that a process is receiving.

A faulty server may send a body without end. A bound for each response alone would not keep the
process within its memory if it receives many of them at the same time.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import anyio

MAX_BYTES = 32 << 20
"""Bytes of all responses that are being received; about a tenth of a small machine's memory, since
a complete response is copied twice on its way to the caller."""


class ResponseTooLarge(Exception):
    """A response was given up since the responses in progress would exceed the memory for them."""


class Reservation:
    """The bytes of one response that is being received."""

    def __init__(self, memory: ResponseMemory, scope: anyio.CancelScope) -> None:
        self.size = 0
        self.is_revoked = False
        self._memory = memory
        self._scope = scope

    def grow_to(self, size: int) -> None:
        """Record how many bytes of the response have been received.

        Raises
        ------
        ResponseTooLarge
            The response was given up.
        """
        if not self.is_revoked:
            self._memory.total += size - self.size
            self.size = size
        if self._memory.total > self._memory.limit:
            self._memory.revoke_largest()
        if self.is_revoked:
            raise ResponseTooLarge

    def revoke(self) -> None:
        """Give the response up."""
        self._memory.total -= self.size
        self.size = 0
        self.is_revoked = True
        self._scope.cancel()


class ResponseMemory:
    """Memory for all responses in progress; the largest one is given up if it is exhausted.

    Attributes
    ----------
    limit
        Bytes of all responses in progress together.
    total
        Bytes of them that have been received.
    """

    def __init__(self, limit: int = MAX_BYTES) -> None:
        self.limit = limit
        self.total = 0
        self._reservations: set[Reservation] = set()

    @contextlib.contextmanager
    def reservation(self) -> Iterator[Reservation]:
        """Reserve memory for a response while it is being received.

        Raises
        ------
        ResponseTooLarge
            The response was the largest one when the memory was exhausted.
        """
        with anyio.CancelScope() as scope:
            reservation = Reservation(self, scope)
            self._reservations.add(reservation)
            try:
                yield reservation
            finally:
                self._reservations.discard(reservation)
                self.total -= reservation.size
        if reservation.is_revoked:
            raise ResponseTooLarge

    def revoke_largest(self) -> None:
        """Give the largest response up."""
        largest = max(self._reservations, key=lambda item: item.size)
        self._reservations.discard(largest)
        largest.revoke()
