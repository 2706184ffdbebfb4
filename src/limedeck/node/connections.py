"""What all connections between nodes have in common."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from limedeck.api.control_pb2 import ControlMessage
from limedeck.errors import PeerProtocolError
from limedeck.identity import Seconds
from limedeck.node.framing import encode_frame

CONNECT_TIMEOUT: Seconds = 0.7
"""A new leader on a slow machine takes so long to accept all nodes of a large site at once."""
SEND_TIMEOUT: Seconds = 1.0
"""A node that takes nothing for so long is gone; below `SILENCE_LIMIT`, an estimate."""
SILENCE_LIMIT: Seconds = 1.5
"""A connection on which nothing came for so long is given up."""

ENDED = (
    OSError,
    TimeoutError,
    PeerProtocolError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""All ways in which a connection may end."""


class FrameSender:
    """Sends messages of several tasks on one connection, one after the other."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._lock = anyio.Lock()

    async def send(self, message: ControlMessage) -> None:
        """Send a message whole.

        Raises
        ------
        TimeoutError
            The other node takes nothing.
        """
        async with self._lock:
            with anyio.fail_after(SEND_TIMEOUT):
                await self._stream.send(encode_frame(message))
