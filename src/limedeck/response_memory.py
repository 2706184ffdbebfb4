"""Bounds the memory for the responses that a process is receiving.

A faulty server may send a body without end. A bound for each response alone would not keep the
process within its memory if it receives many of them at the same time.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import anyio

from limedeck.held_memory import MemoryLimits, Purpose
from limedeck.memory_keeper import Hold, MemoryKeeper

MAX_BYTES = 32 << 20
"""Bytes of all responses that are being received; about a tenth of a small machine's memory, since
a complete response is copied on its way to the caller."""


class ResponseTooLarge(Exception):
    """A response was given up since the responses in progress would exceed the memory for them."""


class Reservation:
    """The bytes of one response that is being received."""

    def __init__(self, hold: Hold) -> None:
        self._hold = hold

    @property
    def is_revoked(self) -> bool:
        """Whether the response was given up."""
        return not self._hold.is_open

    def grow_to(self, size: int) -> None:
        """Record how many bytes of the response have been received.

        Raises
        ------
        ResponseTooLarge
            The response was given up.
        """
        self._hold.resize(size)
        if self.is_revoked:
            raise ResponseTooLarge


class ResponseMemory:
    """Memory for all responses in progress; the largest one is given up if it is exhausted.

    Parameters
    ----------
    limit
        Bytes of all responses in progress together, if there is no keeper.
    keeper
        The account that the responses count in; None: one of their own.
    """

    def __init__(self, limit: int = MAX_BYTES, keeper: MemoryKeeper | None = None) -> None:
        limits = MemoryLimits(by_purpose={Purpose.RECEIVED: limit})
        self._keeper = keeper if keeper is not None else MemoryKeeper(limits)

    @property
    def total(self) -> int:
        """Bytes that have been received of all responses in progress."""
        return self._keeper.account.totals[Purpose.RECEIVED]

    @contextlib.contextmanager
    def reservation(self, discard: Callable[[], object]) -> Iterator[Reservation]:
        """Reserve memory for a response while it is being received.

        Parameters
        ----------
        discard
            Frees what has been received; called at once when the response is given up, since its
            task may take its turn only after many others have received more.

        Raises
        ------
        ResponseTooLarge
            The response was the largest one when the memory was exhausted.
        """
        with anyio.CancelScope() as scope:

            def give_up() -> None:
                discard()
                scope.cancel()

            hold = self._keeper.open(Purpose.RECEIVED, give_up)
            reservation = Reservation(hold)
            try:
                yield reservation
            finally:
                is_revoked = reservation.is_revoked
                hold.close()
        if is_revoked:
            raise ResponseTooLarge
