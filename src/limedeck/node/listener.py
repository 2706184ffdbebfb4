"""The socket that callers connect to, kept at hand so that a stop can shut it first."""

from __future__ import annotations

import socket

import anyio
import anyio.lowlevel

from limedeck.identity import Seconds

LISTEN_BACKLOG = 512
"""Connections that wait to be accepted: all callers of a node that return at once; an estimate."""
QUIET_TIME: Seconds = 0.25
"""After the listener is shut, so long for requests on connections taken just before."""


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


async def close_to_newcomers(listener: socket.socket) -> None:
    """Take no more connections, and let requests come in on those taken just before.

    The server's own stop closes every connection that has no request yet, among them those
    whose request is on its way.
    """
    await anyio.lowlevel.checkpoint()
    listener.shutdown(socket.SHUT_RDWR)
    await anyio.sleep(QUIET_TIME)
