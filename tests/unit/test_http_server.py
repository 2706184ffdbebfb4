"""The HTTP server for callers, tested with raw bytes on real connections."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketStream

from limedeck.node import asgi, http_server, listener
from limedeck_lab import processes

pytestmark = pytest.mark.anyio
HEAD = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def echo(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Respond with the path and the length of the body; /wait waits for a disconnect."""
    body = b""
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    if scope["path"] == "/wait":
        assert (await receive())["type"] == "http.disconnect"
        caller_left.set()
        return
    if scope["path"] == "/close":
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": 503, "headers": headers})
        await send({"type": "http.response.body", "body": b""})
        return
    text = b"%s %s %d" % (scope["raw_path"], scope["query_string"], len(body))
    headers = [(b"content-length", b"%d" % len(text))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": text})


async def echo_headers(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Respond with the names of the headers once the whole request has arrived."""
    while (await receive()).get("more_body", False):
        pass
    names = b",".join(name for name, _ in scope["headers"])
    headers = [(b"content-length", b"%d" % len(names))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": names})


caller_left = anyio.Event()


@asynccontextmanager
async def serving(
    application: asgi.Application = echo,
) -> AsyncIterator[tuple[str, int, anyio.Event]]:
    (port,) = processes.free_ports(1)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        listening = listener.open_listener(f"127.0.0.1:{port}")
        tasks.start_soon(http_server.serve, application, listening, stop, 0.2)
        yield "127.0.0.1", port, stop
        stop.set()


async def read_until(stream: SocketStream, end: bytes) -> bytes:
    """Read until the received data ends with these bytes or the connection is closed."""
    received = b""
    with anyio.fail_after(10.0):
        while not received.endswith(end):
            try:
                received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                break
    return received


async def test_requests_on_one_connection_get_responses_in_order() -> None:
    """Two pipelined requests, and one whose long body is sent together with its head."""
    async with serving() as (host, port, _), await anyio.connect_tcp(host, port) as stream:
        one = HEAD + b"Content-Length: 3\r\n\r\nabc"
        other = HEAD.replace(b"/a", b"/c") + b"Content-Length: 0\r\n\r\n"
        await stream.send(one + other)
        received = await read_until(stream, b"/c b=1 0")
        assert received.index(b"/a b=1 3") < received.index(b"/c b=1 0")
        body = b"x" * (2 * http_server.MAX_HEAD_SIZE)
        await stream.send(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        assert (await read_until(stream, b"/a b=1 %d" % len(body))).startswith(b"HTTP/1.1 200 ")
        chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        await stream.send(chunked)
        assert (await read_until(stream, b"/a b=1 3")).startswith(b"HTTP/1.1 200 ")


CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"


@pytest.mark.parametrize(
    "endless",
    [
        b"GET /" + b"a" * 999,
        HEAD + b"X: " + b"a" * 999,
        HEAD + b"X: 1\r\n" * 99,
        CHUNKED + b"2;x=" + b"a" * 999,
        CHUNKED + b"0\r\n" + b"a" * 999,
        CHUNKED + b"0\r\nX: " + b"a" * 999,
        CHUNKED + b"0\r\n" + b"X: 1\r\n" * 99,
    ],
    ids=["target", "header", "headers", "extension", "trailer-name", "trailer", "trailers"],
)
async def test_request_whose_head_or_trailer_never_ends_is_refused(endless: bytes) -> None:
    async with serving() as (host, port, _), await anyio.connect_tcp(host, port) as stream:
        sent = 0
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            await stream.send(endless)
            while sent < 4 * http_server.MAX_HEAD_SIZE:
                await stream.send(b"X: 1\r\n" * 500 if endless.endswith(b"\n") else b"a" * 3000)
                sent += 3000
                await anyio.sleep(0.001)
            while True:
                await stream.receive()
        assert sent < 4 * http_server.MAX_HEAD_SIZE


@pytest.mark.parametrize(
    "ambiguous",
    [
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        HEAD + b"Content-Length: +3\r\n\r\nabc",
        b"no such protocol\r\n\r\n",
    ],
)
async def test_ambiguous_request_is_refused(ambiguous: bytes) -> None:
    async with serving() as (host, port, _), await anyio.connect_tcp(host, port) as stream:
        await stream.send(ambiguous)
        assert (await read_until(stream, b"never")).startswith(b"HTTP/1.1 400 ")


async def test_connection_close_by_application_and_by_caller() -> None:
    async with serving() as (host, port, _):
        async with await anyio.connect_tcp(host, port) as stream:
            await stream.send(b"GET /close HTTP/1.1\r\nHost: h\r\n\r\n")
            received = await read_until(stream, b"never")
            assert b"503" in received and received.count(b"onnection: close") == 1
        async with await anyio.connect_tcp(host, port) as stream:
            await stream.send(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
            await anyio.sleep(0.05)
        with anyio.fail_after(10.0):
            await caller_left.wait()


async def test_shutdown_closes_idle_connections() -> None:
    async with serving() as (host, port, stop), await anyio.connect_tcp(host, port) as stream:
        await stream.send(HEAD + b"Content-Length: 0\r\n\r\n")
        await read_until(stream, b"/a b=1 0")
        stop.set()
        assert await read_until(stream, b"never") == b""


async def test_trailers_are_not_taken_for_headers() -> None:
    async with serving(echo_headers) as (host, port, _), await anyio.connect_tcp(host, port) as one:
        await one.send(CHUNKED + b"0\r\nX-Deadline-Ms: 5\r\n\r\n")
        received = await read_until(one, b"host,x-id,transfer-encoding")
        assert received.endswith(b"\r\n\r\nhost,x-id,transfer-encoding")
