"""Responses whose head is cut off: none of them is taken for a complete one."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import AsyncIterator

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from limedeck import http_client
from limedeck.clock import steady_clock
from limedeck.daemon import backend_client, httpx_client
from limedeck.platform import store
from limedeck.routing.outcomes import AttemptFailed
from limedeck.store import rows

pytestmark = pytest.mark.anyio
TIMEOUT = 5.0
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\ncontent-length: 2\r\nx-last: value\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\ntransfer-encoding: chunked\r\n\r\n",
    "no-length": b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-last: value\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\ncontent-length: 0\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\nx-attempt-id: r1\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\nx-attempt-id: r1\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\ncontent-length: 0\r\n\r\n",
}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class CuttingBackend:
    """Sends a part of a head in response to each request, and then ends the connection.

    Parameters
    ----------
    head, is_reset
        The head, and whether the connection is reset instead of closed.

    Attributes
    ----------
    sent
        Bytes of the head that are sent.
    """

    def __init__(self, head: bytes, is_reset: bool) -> None:
        self._head = head
        self._is_reset = is_reset
        self.sent = 0

    async def serve(self, stream: SocketStream) -> None:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.receive()
            if self.sent:
                await stream.send(self._head[: self.sent])
            if self._is_reset:
                raw = stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                # The bytes are to be read before the reset, which would discard them.
                await anyio.sleep(0.01)
        await anyio.aclose_forcefully(stream)

    @contextlib.asynccontextmanager
    async def listening(self) -> AsyncIterator[str]:
        """Serve at the address that this returns."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.serve)
            yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
async def test_head_that_is_cut_at_any_byte_fails_the_attempt(
    head: bytes, method: bytes, is_reset: bool
) -> None:
    backend = CuttingBackend(head, is_reset)
    client = http_client.HttpClient()
    async with backend.listening() as address:
        request = http_client.HttpRequest(address, method, b"/x", [(b"host", b"h")])
        for backend.sent in range(len(head)):
            with pytest.raises(AttemptFailed):
                await client.exchange(request, steady_clock() + TIMEOUT)


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("name", ["empty", "no-content", "interim"])
async def test_whole_head_without_a_body_is_a_response(name: str, method: bytes) -> None:
    backend = CuttingBackend(HEADS[name], is_reset=False)
    backend.sent = len(HEADS[name])
    async with backend.listening() as address:
        request = http_client.HttpRequest(address, method, b"/x", [(b"host", b"h")])
        response = await http_client.HttpClient().exchange(request, steady_clock() + TIMEOUT)
    assert (response.status, response.body) == (204 if name == "no-content" else 200, b"")


@pytest.mark.parametrize("name", ["length", "chunked", "no-length"])
async def test_whole_head_of_a_body_that_is_reset_fails_the_attempt(name: str) -> None:
    backend = CuttingBackend(HEADS[name], is_reset=True)
    backend.sent = len(HEADS[name])
    async with backend.listening() as address:
        request = http_client.HttpRequest(address, b"GET", b"/x", [(b"host", b"h")])
        with pytest.raises(AttemptFailed):
            await http_client.HttpClient().exchange(request, steady_clock() + TIMEOUT)


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
async def test_head_that_is_cut_at_any_byte_fails_an_attempt_of_the_daemon(
    head: bytes, is_reset: bool
) -> None:
    backend = CuttingBackend(head, is_reset)
    async with backend.listening() as address:
        for backend.sent in range(len(head)):
            client = httpx_client.HttpxBackendClient()
            request = backend_client.BackendRequest(address, "GET", "/x", [], b"")
            with pytest.raises(AttemptFailed):
                response = await client.send(request, TIMEOUT)
                _ = [chunk async for chunk in response.chunks()]
            await client.aclose()


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
async def test_head_of_the_stores_response_that_is_cut_at_any_byte_is_no_result(
    is_reset: bool,
) -> None:
    backend = CuttingBackend(HEADS["empty"], is_reset)
    async with backend.listening() as address:
        client = store.PlatformStore(address, TIMEOUT)
        for backend.sent in range(len(HEADS["empty"])):
            with pytest.raises(rows.StoreUnavailable):
                await client.read("servers")
