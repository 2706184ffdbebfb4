"""Orders to back ends, and which response is taken for that to an order."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import cast

import anyio
import anyio.abc
import pytest

from limedeck import http_client
from limedeck.forwarding import budget
from limedeck.model import Backend
from limedeck.node import order_sender, reachability_monitor, state, telemetry
from limedeck.ownership import orders, service
from limedeck.platform import grants

pytestmark = pytest.mark.anyio
Serve = Callable[[anyio.abc.SocketStream], Awaitable[None]]
LATE_RESPONSE_TIME = 0.1
"""Seconds after a surplus response until the response to the order."""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclasses.dataclass
class RecordingCore:
    """Takes what an order sender passes on."""

    grants: list[bool] = dataclasses.field(default_factory=list)
    handovers: list[str] = dataclasses.field(default_factory=list)

    def handle_grant_response(
        self, order: orders.Grant, done: bool, fenced_off: bool, sent_at: float, now: float
    ) -> None:
        self.grants.append(done)

    def handle_release_response(
        self, order: orders.Release, done: bool, handover: str, now: float
    ) -> None:
        if done:
            self.handovers.append(handover)

    def handle_order_lost(self, order: orders.Grant | orders.Release, now: float) -> None:
        """Take it for lost."""


async def serve_with_surplus(stream: anyio.abc.SocketStream) -> None:
    """Respond to grants late and after a surplus response, and to releases with a handover."""
    async with stream, anyio.create_task_group() as tasks:
        while True:
            try:
                received = await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                tasks.cancel_scope.cancel()
                return
            if b"/v1/release" in received:
                tasks.start_soon(_send, stream, b"x-handover: real\r\n", 2 * LATE_RESPONSE_TIME)
                continue
            await stream.send(b"HTTP/1.1 503 Surplus\r\ncontent-length: 0\r\n\r\n")
            tasks.start_soon(_send, stream, b"", LATE_RESPONSE_TIME)


async def _send(stream: anyio.abc.SocketStream, header: bytes, delay: float) -> None:
    await anyio.sleep(delay)
    await stream.send(b"HTTP/1.1 200 OK\r\n" + header + b"content-length: 0\r\n\r\n")


async def serve_with_repeated_grant_response(stream: anyio.abc.SocketStream) -> None:
    """Respond to grants, and once more as a release arrives, which is carried out later."""
    has_granted = False
    async with stream, anyio.create_task_group() as tasks:
        while True:
            try:
                received = await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                tasks.cancel_scope.cancel()
                return
            if b"/v1/release" in received:
                if has_granted:
                    await _send(stream, b"", 0.0)
                tasks.start_soon(_send, stream, b"x-handover: real\r\n", LATE_RESPONSE_TIME)
                continue
            has_granted = True
            await _send(stream, b"", 0.0)


async def serve_without_handover(stream: anyio.abc.SocketStream) -> None:
    """Respond to each order that it is carried out, and to releases without a handover."""
    async with stream:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                await stream.receive()
                await _send(stream, b"", 0.0)


@pytest.mark.parametrize(
    ("serve", "expected"),
    [
        pytest.param(serve_with_surplus, ([False], ["real"]), id="late"),
        pytest.param(serve_with_repeated_grant_response, ([True], ["real"]), id="repeated"),
        pytest.param(serve_without_handover, ([True], [""]), id="no-handover"),
    ],
)
async def test_response_to_a_grant_is_not_taken_for_that_to_a_release(
    serve: Serve, expected: tuple[list[bool], list[str]]
) -> None:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
    node.directory.put(Backend("b", "s", f"127.0.0.1:{port}", "z1", 2), 0.0)
    client = http_client.HttpClient()
    counted = telemetry.Telemetry()
    monitor = reachability_monitor.ReachabilityMonitor(node, client, counted)
    sender = order_sender.OrderSender(
        node.directory, grants.PlatformOrders(), client, 1.0, counted, monitor
    )
    core = RecordingCore()
    owners = cast(service.ServiceOwnership, core)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        await sender.send_grant("s", owners, orders.Grant("b", 0, 9, 1, 4.0))
        await sender.send_release("s", owners, orders.Release("b", 10, 19, 2))
        tasks.cancel_scope.cancel()
    await listener.aclose()
    assert (core.grants, core.handovers) == expected
