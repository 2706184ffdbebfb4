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


def open_listener(address: str) -> socket.socket:
    """Listen on an address."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
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
