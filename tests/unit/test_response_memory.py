"""Many responses without end at the same time, against one bound."""

from __future__ import annotations

import contextlib
import socket
import tracemalloc
from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest

from limedeck import clock, http_client, response_memory
from limedeck.node import http_server
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

pytestmark = pytest.mark.anyio
LIMIT = 1 << 20
CHUNK = 64 * 1024
BODY = b"x" * 1000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def serve_response(scope: Any, receive: Any, send: Any) -> None:
    """Respond without end to any path but `/sound`."""
    is_sound = scope["path"] == "/sound"
    headers = [(b"content-length", b"%d" % len(BODY))] if is_sound else []
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    if is_sound:
        await send({"type": "http.response.body", "body": BODY})
        return
    with contextlib.suppress(OSError):
        for _ in range(1000):
            await send({"type": "http.response.body", "body": bytes(CHUNK), "more_body": True})
            await anyio.sleep(0.005)


@contextlib.asynccontextmanager
async def server() -> AsyncIterator[str]:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1024)
        listener.setblocking(False)
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(http_server.serve, serve_response, listener, stop, 0.1)
            yield f"127.0.0.1:{listener.getsockname()[1]}"
            stop.set()


def request(address: str, path: bytes) -> http_client.HttpRequest:
    return http_client.HttpRequest(address, b"GET", path, [(b"host", address.encode())])


@pytest.mark.parametrize("count", [1, 40])
async def test_endless_responses_together_stay_within_one_bound(count: int) -> None:
    memory = response_memory.ResponseMemory(LIMIT)
    client = http_client.HttpClient(connect_timeout=20.0, memory=memory)
    failures: list[AttemptFailed] = []
    largest = 0

    async def receive_endless(address: str) -> None:
        with pytest.raises(AttemptFailed) as caught:
            await client.exchange(request(address, b"/endless"), clock.steady_clock() + 20.0)
        failures.append(caught.value)

    async def watch() -> None:
        nonlocal largest
        while len(failures) < count:
            largest = max(largest, memory.total)
            await anyio.sleep(0.002)

    tracemalloc.start()
    async with server() as address:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            for _ in range(count):
                tasks.start_soon(receive_endless, address)
            response = await client.exchange(
                request(address, b"/sound"), clock.steady_clock() + 20.0
            )
            assert response.body == BODY
        peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert largest <= LIMIT
    assert memory.total == 0
    assert all(item.phase is FailurePhase.RECEIVING for item in failures)
    # A buffer that grows is copied.
    assert peak < 2 * LIMIT + count * 8 * CHUNK


async def test_the_largest_response_is_given_up_and_the_others_go_on() -> None:
    memory = response_memory.ResponseMemory(100)
    given_up = []

    async def receive(name: str, sizes: list[int]) -> None:
        try:
            with memory.reservation(lambda: None) as reservation:
                for size in sizes:
                    reservation.grow_to(size)
                    await anyio.sleep(0.01)
        except response_memory.ResponseTooLarge:
            given_up.append(name)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(receive, "small", [10, 20, 30, 40])
        tasks.start_soon(receive, "large", [50, 60, 70, 80])
    assert given_up == ["large"]
    assert memory.total == 0


async def test_cancelled_exchange_frees_its_memory() -> None:
    memory = response_memory.ResponseMemory(LIMIT)
    with anyio.move_on_after(0.01):
        with memory.reservation(lambda: None) as reservation:
            reservation.grow_to(LIMIT // 2)
            await anyio.sleep(5.0)
    assert memory.total == 0
