"""Drives the protocol of a caller's connection with bytes, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import anyio
import uvicorn
from uvicorn.server import ServerState

from limedeck.held_memory import MemoryLimits, Purpose
from limedeck.memory_keeper import MemoryKeeper
from limedeck.node import asgi, http_messages, pipelined_protocol, telemetry
from limedeck.node.exchange_memory import ExchangeMemory
from limedeck.node.http_server import BoundedProtocol


def unbounded_memory() -> ExchangeMemory:
    """Return the memory of an exchange in a process without a bound."""
    return ExchangeMemory(MemoryKeeper(MemoryLimits()), Purpose.REQUESTS)


class FakeTransport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.reads = True
        self.protocol: Any = None
        self._closing = False

    def write(self, data: Any) -> None:
        assert not self._closing
        self.written += bytes(data)

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        self.reads = False

    def resume_reading(self) -> None:
        self.reads = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default


class Application:
    """Responds with method, path and length of the body; records what runs.

    Paths begin with `/safe` if they may overlap. `/close` in a path closes the connection, `/fail`
    raises an error; `/last` closes it behind the last request received.

    Parameters
    ----------
    is_gated
        Whether each request runs until `release` is called with its path.
    """

    def __init__(self, is_gated: bool = False) -> None:
        self.started: list[str] = []
        self.running: set[str] = set()
        self.left: list[str] = []
        self._is_gated = is_gated
        self._gates: dict[str, anyio.Event] = {}
        self.body_size = 0

    @staticmethod
    def may_overlap(scope: asgi.Scope) -> bool:
        return bool(scope["path"].startswith("/safe"))

    def release(self, path: str) -> None:
        self._gate(path).set()

    def _gate(self, path: str) -> anyio.Event:
        return self._gates.setdefault(path, anyio.Event())

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        path = scope["path"]
        if not self.may_overlap(scope):
            assert asgi.OVERLAPPING not in scope
            assert not self.running, (path, self.running)
        assert all(item.startswith("/safe") for item in self.running)
        self.started.append(path)
        self.running.add(path)
        try:
            await self._respond(scope, receive, send)
        finally:
            self.running.discard(path)

    async def _respond(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        path = scope["path"]
        try:
            body = await http_messages.read_body(receive, 1 << 24, unbounded_memory())
        except http_messages.CallerLeft:
            self.left.append(path)
            return
        if self._is_gated and not await self._wait_for_release(path, receive):
            self.left.append(path)
            return
        if "/fail" in path:
            raise RuntimeError("this request fails")
        if "/last" in path:
            scope[asgi.CLOSE_BEHIND_LAST]()
        headers = [(b"connection", b"close")] if "/close" in path else []
        text = b"%s %s %d." % (scope["method"].encode(), scope["raw_path"], len(body))
        await http_messages.send_response(send, 200, headers, text + b"x" * self.body_size)

    async def _wait_for_release(self, path: str, receive: asgi.Receive) -> bool:
        """Wait until the request is released; return False if its caller leaves before."""
        is_released = False
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await self._gate(path).wait()
            is_released = True
            tasks.cancel_scope.cancel()
        return is_released


class Connection:
    """One connection of a caller."""

    def __init__(self, application: Application) -> None:
        self.application = application
        self.transport = FakeTransport()
        self.telemetry = telemetry.Telemetry()
        config = uvicorn.Config(application, lifespan="off", log_config=None, ws="none")
        config.load()
        create: Callable[..., BoundedProtocol] = pipelined_protocol.caller_protocol(
            application.may_overlap, self.telemetry
        )
        self.state = ServerState()
        self.protocol = create(config=config, server_state=self.state, app_state={})
        self.transport.protocol = self.protocol
        self.protocol.connection_made(self.transport)

    async def send(self, *pieces: bytes) -> None:
        """Receive bytes from the caller, and let the application run."""
        for piece in pieces:
            if piece and not self.transport.is_closing():
                self.protocol.data_received(piece)
        await settle()

    async def release(self, *paths: str) -> None:
        for path in paths:
            self.application.release(path)
            await settle()

    def metric(self, name: str) -> float:
        value = self.telemetry.registry.get_sample_value(name)
        assert value is not None
        return value

    def refused_inputs(self) -> float:
        """Connections that were closed for what was received."""
        metrics = self.telemetry.broken_connections.collect()
        return sum(item.value for metric in metrics for item in metric.samples)

    def responses(self) -> list[tuple[int, bytes]]:
        """Statuses and bodies that were written; checks that nothing else was."""
        found = []
        rest = self.transport.written
        while rest:
            head, separator, rest = rest.partition(b"\r\n\r\n")
            assert separator
            assert head.startswith(b"HTTP/1.1 ")
            status = int(head[9:12])
            if status == 100:
                found.append((100, b""))
                continue
            lines = head.lower().split(b"\r\n")[1:]
            (length,) = [int(line[16:]) for line in lines if line.startswith(b"content-length: ")]
            assert len(rest) >= length or b"HEAD" in rest
            found.append((status, rest[:length]))
            rest = rest[length:]
        return found

    def closing_responses(self) -> list[bool]:
        """Whether each response says that it closes the connection."""
        heads = self.transport.written.split(b"HTTP/1.1 ")[1:]
        return [b"connection: close\r\n" in item for item in heads]


async def settle() -> None:
    """Let all tasks run until they wait."""
    for _ in range(12):
        await asyncio.sleep(0)
