"""Counts what connections hold in this process, and breaks off those that do not read."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from limedeck.held_memory import Purpose
from limedeck.http_client import RESET_ON_CLOSE
from limedeck.memory_keeper import Hold, MemoryKeeper

CONNECTION_BYTES = 16_000
"""What a connection takes by itself: its transport, its protocol and the parser."""
UNREAD_BYTES = 16_384
"""Unread bytes of a connection up to which they do not count as a response that waits for a reader;
a response that is read at once leaves none."""


class ConnectionMemory:
    """The memory of a server's connections."""

    def __init__(self, keeper: MemoryKeeper) -> None:
        self.keeper = keeper

    def open(self, transport: asyncio.Transport) -> HeldConnection:
        """Count a connection from now on."""
        return HeldConnection(self.keeper, transport)


class HeldConnection:
    """What one connection holds."""

    __slots__ = ("_connection", "_keeper", "_transport", "_unread")

    def __init__(self, keeper: MemoryKeeper, transport: asyncio.Transport) -> None:
        transport.set_write_buffer_limits(UNREAD_BYTES)
        self._keeper = keeper
        self._transport = transport
        self._unread: Hold | None = None
        self._connection = keeper.open(Purpose.CONNECTIONS, self._reset)
        self._connection.resize(CONNECTION_BYTES)

    def begin_unread(self) -> None:
        """Count the bytes that are written and not read yet, until `end_unread`."""
        if self._unread is None and self._connection.is_open:
            measure = self._transport.get_write_buffer_size
            self._unread = self._keeper.open(Purpose.UNREAD, self._reset, measure)
            self._unread.resize(measure())

    def end_unread(self) -> None:
        """Count no unread bytes any more."""
        if self._unread is not None:
            self._unread.close()
            self._unread = None

    def close(self) -> None:
        """Count nothing any more: the connection is closed."""
        self.end_unread()
        self._connection.close()

    def _reset(self) -> None:
        """Reset the connection, which also discards what the kernel holds for its reader."""
        raw = self._transport.get_extra_info("socket")
        with contextlib.suppress(AttributeError, OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()
