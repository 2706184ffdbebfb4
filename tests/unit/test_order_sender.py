"""Orders to back ends, and which response is taken for that to an order."""

from __future__ import annotations

import dataclasses
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


async def test_late_response_to_a_grant_is_not_taken_for_that_to_a_release() -> None:
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
        tasks.start_soon(listener.serve, serve_with_surplus)
        await sender.send_grant("s", owners, orders.Grant("b", 0, 9, 1, 4.0))
        await sender.send_release("s", owners, orders.Release("b", 10, 19, 2))
        tasks.cancel_scope.cancel()
    await listener.aclose()
    assert (core.grants, core.handovers) == ([False], ["real"])
