"""A server whose callers send several requests at once, on real connections."""

from __future__ import annotations

import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from limedeck.node import asgi, http_messages, http_server, pipelined_protocol, telemetry
from limedeck.node.response_order import MAX_OVERLAPPING

pytestmark = pytest.mark.anyio
WORK = 0.15
"""Seconds that each request takes."""
FIVE_AT_ONCE = 0.3
"""Seconds in which five requests of one connection must be answered."""
LEAVE_TIME = 0.25
"""Seconds in which work for a caller who has left must end."""


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": request.param}


class Worker:
    """Works on each request for a time that its query states, or for `WORK`.

    Parameters
    ----------
    together
        Requests that may overlap do not end before so many of them have run at the same time, since
        the start or the last request that may not.
    """

    def __init__(self, together: int = 0) -> None:
        self._together = together
        self._ran_together = anyio.Event()
        self.ran_alone: list[bool] = []
        self.started: list[str] = []
        self.running: set[str] = set()
        self.ended_at: float = 0.0
        self.is_stopping = False

    @staticmethod
    def may_overlap(scope: asgi.Scope) -> bool:
        return bool(scope["path"].startswith("/safe"))

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        path = scope["path"]
        self.started.append(path)
        self.running.add(path)
        if not self.may_overlap(scope):
            self._ran_together = anyio.Event()
            self.ran_alone.append(self.running == {path})
        elif len(self.running) >= self._together:
            self._ran_together.set()
        is_done = False
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await anyio.sleep(float(scope["query_string"] or WORK))
            if self.may_overlap(scope):
                await self._ran_together.wait()
            is_done = True
            tasks.cancel_scope.cancel()
        self.running.discard(path)
        self.ended_at = time.monotonic()
        if not is_done:
            return
        headers = [(b"connection", b"close")] if "/close" in path else []
        if self.is_stopping and not headers:
            close_behind_last = scope.get(asgi.CLOSE_BEHIND_LAST)
            if close_behind_last is None:
                headers.append((b"connection", b"close"))
            else:
                close_behind_last()
        await http_messages.send_response(send, 200, headers, b"<%s>" % scope["raw_path"])


@asynccontextmanager
async def serving(worker: Worker) -> AsyncIterator[tuple[tuple[str, int], anyio.Event]]:
    stop = anyio.Event()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        async with anyio.create_task_group() as tasks:
            protocol = pipelined_protocol.caller_protocol(worker.may_overlap, telemetry.Telemetry())
            tasks.start_soon(http_server.serve, worker, listening, stop, 2.0, protocol)
            yield listening.getsockname()[:2], stop
            stop.set()


def requests(*paths: str) -> bytes:
    return b"".join(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path.encode() for path in paths)


async def read_responses(stream: SocketStream, count: int) -> list[str]:
    """Read until so many responses have arrived or the connection ends; return their paths."""
    received = b""
    with anyio.fail_after(10.0):
        while received.count(b">") < count:
            try:
                received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                break
    return [part.partition(b">")[0].decode() for part in received.split(b"<")[1:]]


async def test_five_at_once_are_answered_in_the_time_of_two() -> None:
    paths = [f"/safe/{number}" for number in range(5)]
    async with serving(Worker()) as (address, _), await anyio.connect_tcp(*address) as stream:
        began = time.monotonic()
        await stream.send(requests(*paths))
        assert await read_responses(stream, 5) == paths
        assert time.monotonic() - began < FIVE_AT_ONCE


async def test_fifty_at_once_are_answered_in_order() -> None:
    paths = [f"/safe/{number}" for number in range(50)]
    slow = [f"{path}?{WORK * (1 + index % 3) / 3}" for index, path in enumerate(paths)]
    worker = Worker(together=50)
    async with serving(worker) as (address, _), await anyio.connect_tcp(*address) as stream:
        await stream.send(requests(*slow))
        assert await read_responses(stream, 50) == paths


async def test_slow_first_one_holds_back_no_work() -> None:
    worker = Worker()
    async with serving(worker) as (address, _), await anyio.connect_tcp(*address) as stream:
        await stream.send(requests("/safe/0?0.4", "/safe/1?0.01", "/safe/2?0.01"))
        await anyio.sleep(0.2)
        assert worker.running == {"/safe/0"}
        assert await read_responses(stream, 3) == ["/safe/0", "/safe/1", "/safe/2"]


async def test_mixed_requests_run_alone_where_they_must() -> None:
    worker = Worker(together=2)
    paths = ["/safe/0", "/safe/1", "/unsafe/2", "/safe/3", "/safe/4"]
    async with serving(worker) as (address, _), await anyio.connect_tcp(*address) as stream:
        await stream.send(requests(*paths))
        assert await read_responses(stream, 5) == paths
    assert worker.ran_alone == [True]
    assert worker.started[2] == "/unsafe/2"


async def test_nothing_behind_a_closing_response_is_answered_or_left_running() -> None:
    worker = Worker()
    paths = ["/safe/0", "/safe/close?0.05", "/safe/2?5", "/unsafe/3", "/safe/4"]
    async with serving(worker) as (address, _), await anyio.connect_tcp(*address) as stream:
        await stream.send(requests(*paths))
        assert await read_responses(stream, 5) == ["/safe/0", "/safe/close"]
        assert worker.running == set()
        assert worker.started == ["/safe/0", "/safe/close", "/safe/2"]


async def test_stop_in_the_middle_answers_what_was_received() -> None:
    worker = Worker()
    paths = ["/safe/0", "/safe/1", "/unsafe/2", "/safe/3"]
    async with serving(worker) as (address, stop), await anyio.connect_tcp(*address) as stream:
        await stream.send(requests(*paths))
        await anyio.sleep(0.05)
        worker.is_stopping = True
        stop.set()
        assert await read_responses(stream, 5) == paths


async def test_stop_without_shutdown_closes_behind_the_last_only() -> None:
    worker = Worker()
    paths = ["/safe/0", "/safe/1", "/unsafe/2", "/safe/3"]
    async with serving(worker) as (address, _), await anyio.connect_tcp(*address) as stream:
        worker.is_stopping = True
        await stream.send(requests(*paths))
        received = b""
        with anyio.fail_after(10.0):
            try:
                while True:
                    received += await stream.receive()
            except anyio.EndOfStream:
                pass
        heads = received.split(b"HTTP/1.1 ")[1:]
        assert [b"connection: close" in head for head in heads] == [False, False, False, True]


@pytest.mark.parametrize("count", [5, MAX_OVERLAPPING + 40])
@pytest.mark.parametrize("is_reset", [False, True], ids=["close", "reset"])
async def test_work_for_a_caller_who_has_left_ends(count: int, is_reset: bool) -> None:
    """Beyond the bound, the connection is not being read."""
    worker = Worker()
    async with serving(worker) as (address, _):
        stream = await anyio.connect_tcp(*address)
        await stream.send(requests(*[f"/safe/{number}?5" for number in range(count)]))
        await anyio.sleep(0.1)
        assert len(worker.running) == min(count, MAX_OVERLAPPING)
        if is_reset:
            sock = stream.extra(SocketAttribute.raw_socket)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        await stream.aclose()
        left_at = time.monotonic()
        while worker.running:
            assert time.monotonic() - left_at < LEAVE_TIME
            await anyio.sleep(0.01)
    assert len(worker.started) == min(count, MAX_OVERLAPPING)
