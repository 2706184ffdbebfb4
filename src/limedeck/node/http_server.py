"""An HTTP server inside this process, on a socket that the process keeps at hand."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import anyio
import uvicorn

from limedeck.identity import Seconds
from limedeck.node import asgi, listener

KEEP_ALIVE = 60
"""Seconds that an idle connection of a caller is kept; an estimate."""


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
        http="httptools",
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
