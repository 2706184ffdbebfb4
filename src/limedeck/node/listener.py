"""The listening socket for callers, which a graceful shutdown closes before the HTTP server."""

from __future__ import annotations

import socket

import anyio
import anyio.lowlevel

from limedeck.identity import Seconds

LISTEN_BACKLOG = 512
"""Connections waiting to be accepted: enough for all callers of a node reconnecting at once."""
LATE_REQUEST_TIME: Seconds = 0.25
"""After the listener is closed, requests may still arrive for this long on connections that were
accepted just before."""


SEND_BUFFER_BYTES = 32 * 1024
"""Kernel's send buffer of a connection if memory is bounded, which the kernel doubles. Without a
size the kernel takes megabytes for a caller that does not read, outside the node's account. At a
round trip of 20 ms it still carries 3 MB a second."""
RECEIVE_BUFFER_BYTES = 64 * 1024
"""The same for what a caller sends while its connection is not read."""


def open_listener(address: str, bounds_buffers: bool = False) -> socket.socket:
    """Listen on an address.

    Parameters
    ----------
    bounds_buffers
        Whether the kernel's buffers of each connection have a fixed size.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if bounds_buffers:
        # Accepted connections inherit both; the window is negotiated from the second.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind((host, int(port)))
    listener.setblocking(False)
    listener.listen(LISTEN_BACKLOG)
    return listener


async def stop_accepting(listener: socket.socket) -> None:
    """Accept no more connections, and wait for requests on those that were accepted just before.

    The HTTP server's own shutdown closes every connection that has no request yet, including
    those whose request is on its way.
    """
    await anyio.lowlevel.checkpoint()
    listener.shutdown(socket.SHUT_RDWR)
    await anyio.sleep(LATE_REQUEST_TIME)
