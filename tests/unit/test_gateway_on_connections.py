"""How the gateway goes by what the connection of a caller tells it."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from limedeck import clock
from limedeck.node import asgi, caller_statuses, gateway
from limedeck.platform import headers
from tests.unit.test_gateway import REQUEST_ID, make_client, make_gateway, make_node

pytestmark = pytest.mark.anyio
DEADLINE = (b"x-deadline-ms", b"500")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_scope(**keys: object) -> asgi.Scope:
    scope: asgi.Scope = {
        "client": ("127.0.0.1", 1),
        "type": "http",
        "method": "GET",
        "raw_path": b"/x",
        "query_string": b"",
        "headers": [(b"host", b"host"), (headers.REQUEST_ID, REQUEST_ID), DEADLINE],
    }
    return scope | {f"limedeck.{name}": value for name, value in keys.items()}


async def exchange(served: gateway.CallerGateway, scope: asgi.Scope) -> tuple[int, bool]:
    """Send a request; return the status, and whether the response closes the connection."""
    starts: list[dict[str, Any]] = []
    messages = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop()
        await anyio.sleep_forever()
        raise AssertionError

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            starts.append(message)

    await served(scope, receive, send)
    (start,) = starts
    return start["status"], (b"connection", b"close") in start["headers"]


@pytest.mark.parametrize("is_followed", [False, True])
async def test_stopping_node_closes_behind_the_last_request(is_followed: bool) -> None:
    node = make_node({"a:1": 200}, repeatable=True)
    node.stopping = True
    closed: list[bool] = []
    keys = {"close_behind_last": lambda: closed.append(True)} if is_followed else {}
    status, closes = await exchange(make_gateway(node, make_client(200)), make_scope(**keys))
    assert status == 200
    assert (closes, closed) == ((False, [True]) if is_followed else (True, []))


async def test_followed_response_of_a_serving_node_closes_nothing() -> None:
    node = make_node({"a:1": 200}, repeatable=True)
    closed: list[bool] = []
    scope = make_scope(close_behind_last=lambda: closed.append(True))
    assert await exchange(make_gateway(node, make_client(200)), scope) == (200, False)
    assert closed == []


async def test_request_that_became_unrepeatable_is_not_run_beside_others() -> None:
    """It could be given up halfway, and its caller would take it for unread."""
    client = make_client(200)
    served = make_gateway(make_node({"a:1": 200}, repeatable=False), client)
    status, _ = await exchange(served, make_scope(overlapping=True))
    assert status == caller_statuses.NOT_RUN_STATUS
    assert client.requested == []


async def test_deadline_counts_from_when_a_request_was_received() -> None:
    client = make_client(200)
    served = make_gateway(make_node({"a:1": 200}, repeatable=False), client)
    now = clock.steady_clock()
    status, _ = await exchange(served, make_scope(received_at=now - 0.6))
    assert status != 200
    assert client.requested == []
    assert (await exchange(served, make_scope(received_at=now - 0.1)))[0] == 200


@pytest.mark.parametrize("repeatable", [True, False])
async def test_requests_of_repeatable_routes_may_overlap(repeatable: bool) -> None:
    served = make_gateway(make_node({"a:1": 200}, repeatable=repeatable), make_client(200))
    assert served.may_overlap(make_scope()) is repeatable
    unknown = make_scope()
    unknown["headers"] = [(b"host", b"other")]
    assert not served.may_overlap(unknown)
