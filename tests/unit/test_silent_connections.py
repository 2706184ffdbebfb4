"""Kept connections that have gone silent, without a reset, while new ones work.

Nothing shows it but the time that passes: without a bound of its own, a request sent on such a
connection waits until its caller's deadline, although it could be served elsewhere.
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
from limedeck_lab.standins.silent_socket import make_deaf

pytestmark = pytest.mark.anyio
PATIENCE = 20.0
"""Far above the time after which a silent connection must be given up."""
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
TOGETHER = 3


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclass
class Server:
    """Answers every request, and counts its connections."""

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

    def go_silent(self) -> None:
        """All connections that are open now hear nothing more."""
        for stream in self.streams:
            make_deaf(stream.extra(SocketAttribute.raw_socket))


@asynccontextmanager
async def server() -> AsyncIterator[tuple[Server, HttpRequest]]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    found = Server()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, found.serve)
        yield found, HttpRequest(f"127.0.0.1:{port}", b"GET", b"/x", [(b"host", b"h")])
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def exchange(client: HttpClient, request: HttpRequest) -> int:
    answer = await client.exchange(request, steady_clock() + PATIENCE)
    return answer.status


async def keep_connections(client: HttpClient, request: HttpRequest) -> None:
    """Leave the client with several kept connections."""
    async with anyio.create_task_group() as tasks:
        for _ in range(TOGETHER):
            tasks.start_soon(exchange, client, request)


async def test_a_request_on_a_silent_connection_fails_long_before_its_deadline() -> None:
    async with server() as (found, request):
        client = HttpClient()
        await keep_connections(client, request)
        found.go_silent()
        with pytest.raises(AttemptFailed) as caught:
            await exchange(client, request)
        assert caught.value.phase is FailurePhase.AWAITING
        assert caught.value.problem == UNACKNOWLEDGED


async def test_the_next_request_gets_a_new_connection() -> None:
    """One kept connection that went silent says enough of the others to the same address."""
    async with server() as (found, request):
        client = HttpClient()
        await keep_connections(client, request)
        found.go_silent()
        with pytest.raises(AttemptFailed):
            await exchange(client, request)
        assert await exchange(client, request) == 200
        assert len(found.streams) == TOGETHER + 1


async def test_a_connection_that_is_slow_to_answer_is_waited_for() -> None:
    """Its bytes are acknowledged: only the answer takes its time."""
    async with server() as (found, request):
        client = HttpClient()
        assert await exchange(client, request) == 200
        assert await exchange(client, request) == 200
        assert len(found.streams) == 1
