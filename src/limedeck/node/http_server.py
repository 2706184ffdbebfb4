"""An HTTP server inside this process, on a socket that the process keeps at hand."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from limedeck.identity import Seconds
from limedeck.node import asgi, listener

KEEP_ALIVE = 60
"""Seconds that an idle connection of a caller is kept; an estimate."""


MAX_HEAD_SIZE = 128 * 1024
"""Bytes of a request's head, eight times what callers are told that they may send. The library
keeps whatever comes until the head has ended."""
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """A caller's connection; one whose request's head does not end is answered and closed."""

    _reads_head = False
    _head_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        super().data_received(data)
        if not self._reads_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_SIZE and not self.transport.is_closing():
            self.transport.write(HEAD_TOO_LARGE)
            self.transport.close()

    def on_message_begin(self) -> None:
        """A request's head begins."""
        self._reads_head = True
        self._head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """The head has ended."""
        self._reads_head = False
        super().on_headers_complete()


class EmbeddedServer(uvicorn.Server):
    """Leaves signals to the process around it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Handle none."""
        yield


async def serve(
    application: asgi.Application,
    listening: socket.socket,
    stop: anyio.Event,
    last_answers: Seconds,
) -> None:
    """Serve an application until the event is set, and end its connections then.

    Parameters
    ----------
    last_answers
        Time for answers that are being written then.
    """
    cfg = uvicorn.Config(
        application,
        http=BoundedProtocol,
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        log_level="critical",
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE,
        timeout_graceful_shutdown=last_answers,  # type: ignore[arg-type]
        backlog=listener.LISTEN_BACKLOG,
    )
    server = EmbeddedServer(cfg)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_when, stop, server)
        await server.serve([listening])
        tasks.cancel_scope.cancel()


async def _stop_when(stop: anyio.Event, server: EmbeddedServer) -> None:
    await stop.wait()
    server.should_exit = True
