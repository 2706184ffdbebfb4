"""Idle connections that stop working without a reset, while new connections work.

Only the lack of acknowledgements shows it: without a timeout of its own, a request sent on such a
connection waits until its caller's deadline, although another back end could serve it.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from limedeck.clock import steady_clock
from limedeck.http_client import UNACKNOWLEDGED, HttpClient, HttpRequest
from limedeck.routing.outcomes import AttemptFailed, FailurePhase
from limedeck_lab.standins.silent_socket import drop_incoming

pytestmark = pytest.mark.anyio
EXCHANGE_TIMEOUT = 20.0
"""Far above the time after which an unresponsive connection must be ended."""
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
CONNECTION_COUNT = 3


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclass
class Server:
    """Responds to every request, and records its connections."""

    streams: list[SocketStream] = field(default_factory=list)

    async def serve(self, stream: SocketStream) -> None:
        self.streams.append(stream)
        async with stream:
            try:
                while True:
                    await stream.receive()
                    await anyio.sleep(0.05)
                    await stream.send(OK)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    def drop_received_packets(self) -> None:
        """Make all open connections drop everything that they receive."""
        for stream in self.streams:
            drop_incoming(stream.extra(SocketAttribute.raw_socket))


@asynccontextmanager
async def server() -> AsyncIterator[tuple[Server, HttpRequest]]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    backend = Server()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, backend.serve)
        yield backend, HttpRequest(f"127.0.0.1:{port}", b"GET", b"/x", [(b"host", b"h")])
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def exchange(client: HttpClient, request: HttpRequest) -> int:
    response = await client.exchange(request, steady_clock() + EXCHANGE_TIMEOUT)
    return response.status


async def open_connections(client: HttpClient, request: HttpRequest) -> None:
    """Leave the client with several idle connections."""
    async with anyio.create_task_group() as tasks:
        for _ in range(CONNECTION_COUNT):
            tasks.start_soon(exchange, client, request)


async def test_a_request_on_a_dead_connection_fails_long_before_its_deadline() -> None:
    async with server() as (backend, request):
        client = HttpClient()
        await open_connections(client, request)
        backend.drop_received_packets()
        with pytest.raises(AttemptFailed) as caught:
            await exchange(client, request)
        assert caught.value.phase is FailurePhase.AWAITING
        assert caught.value.problem == UNACKNOWLEDGED


async def test_the_next_request_gets_a_new_connection() -> None:
    """After one idle connection has failed, the others to the same address are closed as well."""
    async with server() as (backend, request):
        client = HttpClient()
        await open_connections(client, request)
        backend.drop_received_packets()
        with pytest.raises(AttemptFailed):
            await exchange(client, request)
        assert await exchange(client, request) == 200
        assert len(backend.streams) == CONNECTION_COUNT + 1


async def test_a_slow_response_does_not_end_the_connection() -> None:
    """Sent bytes are acknowledged, so a slow response is no sign of a dead connection."""
    async with server() as (backend, request):
        client = HttpClient()
        assert await exchange(client, request) == 200
        assert await exchange(client, request) == 200
        assert len(backend.streams) == 1
