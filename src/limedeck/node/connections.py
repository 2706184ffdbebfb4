"""Time-outs and message sending shared by all connections between nodes."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from limedeck import addresses
from limedeck.api.control_pb2 import ControlMessage
from limedeck.errors import PeerProtocolError
from limedeck.identity import Seconds
from limedeck.node.framing import encode_frame

CONNECT_TIMEOUT: Seconds = 0.7
"""A new leader on a slow machine takes this long to accept all nodes of a large site at once."""
SEND_TIMEOUT: Seconds = 1.0
"""A node that accepts no data for this long is considered lost; below `RECEIVE_TIMEOUT`."""
RECEIVE_TIMEOUT: Seconds = 1.5
"""A connection on which nothing was received for this long is closed."""

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    PeerProtocolError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""The errors by which a connection may end."""


async def connect_to_node(address: str, own_host: str) -> SocketStream:
    """Open a connection to another node.

    Parameters
    ----------
    address
        The other node's address, as a record or a message states it.
    own_host
        Source address of the connection.

    Raises
    ------
    PeerProtocolError
        The address is invalid.
    OSError
        No connection was established.
    """
    try:
        host, port = addresses.parse_address(address)
    except addresses.InvalidAddress as error:
        raise PeerProtocolError(str(error)) from error
    return await anyio.connect_tcp(host, port, local_host=own_host)


class FrameSender:
    """Sends the messages of several tasks on one connection, one at a time."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._lock = anyio.Lock()

    async def send(self, message: ControlMessage) -> None:
        """Send a complete message.

        Raises
        ------
        TimeoutError
            The other node accepts no data.
        """
        async with self._lock:
            with anyio.fail_after(SEND_TIMEOUT):
                await self._stream.send(encode_frame(message))
