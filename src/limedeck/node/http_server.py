"""An HTTP server embedded in this process, on a listening socket that the process owns."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from limedeck.identity import Seconds
from limedeck.node import asgi, connection_memory, listener

IDLE_CONNECTION_TIMEOUT = 60
"""Time after which an idle connection of a caller is closed, in seconds."""


MAX_HEAD_SIZE = 128 * 1024
"""Bytes of a request's head, and of what is between and behind the parts of its body: eight times
the limit that is documented for callers. The library itself buffers a header, or a trailer, of any
size until it has ended."""
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class ServerConfig(uvicorn.Config):
    """The server's configuration, and the account that its connections count in."""

    connection_memory: connection_memory.ConnectionMemory | None = None


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """A caller's connection, closed with status 431 if headers or trailers are too large."""

    _is_reading_head = False
    _is_reading_message = False
    _header_bytes = 0
    _has_body_part = False
    _held: connection_memory.HeldConnection | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to count what the connection holds."""
        super().connection_made(transport)
        memory = getattr(self.config, "connection_memory", None)
        if memory is not None:
            self._held = memory.open(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no more."""
        if self._held is not None:
            self._held.close()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Count the bytes that wait for the caller to read them."""
        if self._held is not None:
            self._held.begin_unread()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Count no waiting bytes: the caller has read them."""
        if self._held is not None:
            self._held.end_unread()
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Process received bytes and check the size of headers and trailers."""
        self._has_body_part = False
        super().data_received(data)
        if not self._is_reading_message or self._has_body_part:
            return
        self._header_bytes += len(data)
        if self._header_bytes > MAX_HEAD_SIZE and not self.transport.is_closing():
            self.refuse_input(HEAD_TOO_LARGE, "head-too-large")

    def refuse_input(self, response: bytes, cause: str) -> None:
        """Respond to input that is no request, and close the connection."""
        self.transport.write(response)
        self.transport.close()

    def on_message_begin(self) -> None:
        """Start counting the bytes of a request."""
        self._is_reading_head = self._is_reading_message = True
        self._header_bytes = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers, which follow the body, are ignored."""
        if self._is_reading_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin the request: its head is complete."""
        self._is_reading_head = False
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Count anew behind a part of the body, whose size has a limit of its own."""
        self._has_body_part = True
        self._header_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop counting the bytes of the request."""
        self._is_reading_message = False
        super().on_message_complete()


class EmbeddedServer(uvicorn.Server):
    """Leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


async def serve(
    application: asgi.Application,
    listening: socket.socket,
    stop: anyio.Event,
    shutdown_timeout: Seconds,
    protocol: Callable[..., BoundedProtocol] = BoundedProtocol,
    memory: connection_memory.ConnectionMemory | None = None,
) -> None:
    """Serve an application until the event is set, then close its connections.

    Parameters
    ----------
    shutdown_timeout
        Time after the event in which responses in progress are completed.
    protocol
        Creates what handles a connection.
    memory
        The memory of the connections; None: it has no bound.
    """
    config = ServerConfig(
        application,
        http=protocol,  # type: ignore[arg-type]
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        log_level="critical",
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=IDLE_CONNECTION_TIMEOUT,
        timeout_graceful_shutdown=shutdown_timeout,  # type: ignore[arg-type]
        backlog=listener.LISTEN_BACKLOG,
    )
    config.connection_memory = memory
    server = EmbeddedServer(config)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_request_exit, stop, server)
        await server.serve([listening])
        tasks.cancel_scope.cancel()


async def _request_exit(stop: anyio.Event, server: EmbeddedServer) -> None:
    await stop.wait()
    server.should_exit = True
