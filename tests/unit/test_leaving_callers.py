"""Callers who leave: no new attempt begins for them, and repeatable work ends at the back end."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from limedeck import http_client
from limedeck.forwarding.intermediaries import Intermediary
from limedeck.forwarding.reachability_events import ProbeOutcome
from limedeck.identity import Seconds
from limedeck.model import Backend, Configuration, Route, Service, Target
from limedeck.node import (
    asgi,
    http_messages,
    http_server,
    intermediary_server,
    pipelined_protocol,
    reachability_monitor,
    request_log,
    response_reader,
    settings,
    state,
    telemetry,
)
from limedeck.platform import headers
from limedeck.routing.outcomes import AttemptFailed, FailurePhase
from tests.unit.protocol_driver import unbounded_memory
from tests.unit.test_gateway import make_gateway, make_node_with_attempts

pytestmark = pytest.mark.anyio
CANCEL_TIME = 0.25
"""Seconds in which work for a caller who has left must end at the back end."""
COUNT = 5


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class SlowBackend:
    """Works on each request until its connection is closed; `failing` first ones get status 500."""

    def __init__(self, failing: int = 0) -> None:
        self.received: list[bytes] = []
        self.working = 0
        self._failing = failing

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        request_id = dict(scope["headers"])[headers.REQUEST_ID]
        self.received.append(request_id)
        await http_messages.read_body(receive, 1 << 20, unbounded_memory())
        if len(self.received) <= self._failing:
            signed = [(headers.REQUEST_ID, request_id), (headers.SIGNATURE, b"s")]
            await http_messages.send_response(send, 500, signed, b"")
            return
        self.working += 1
        while (await receive())["type"] != "http.disconnect":
            pass
        self.working -= 1


def listen() -> socket.socket:
    found = socket.create_server(("127.0.0.1", 0))
    found.setblocking(False)
    return found


def address_of(listening: socket.socket) -> str:
    host, port = listening.getsockname()[:2]
    return f"{host}:{port}"


@contextlib.asynccontextmanager
async def serving(
    backend: SlowBackend, repeatable: bool = True, through_another: bool = False
) -> AsyncIterator[tuple[state.NodeState, tuple[str, int]]]:
    """Serve callers at one node, whose back end is reached through another node if asked for."""
    stop = anyio.Event()
    with listen() as at_backend, listen() as at_node, listen() as at_other:
        address = address_of(at_backend)
        node = make_node_with_attempts({address: 200}, repeatable, attempts=3)
        node.service("s").keyed = False
        client = http_client.HttpClient()
        served = make_gateway(node, client)
        async with anyio.create_task_group() as tasks:
            if through_another:
                _mark_unreached(node, address, Intermediary(address_of(at_other), "z1"))
                other = _intermediary(address)
                tasks.start_soon(http_server.serve, other, at_other, stop, 0.1)
            protocol = pipelined_protocol.caller_protocol(served.may_overlap, telemetry.Telemetry())
            tasks.start_soon(http_server.serve, backend, at_backend, stop, 0.1)
            tasks.start_soon(http_server.serve, served, at_node, stop, 0.1, protocol)
            yield node, at_node.getsockname()[:2]
            stop.set()


def _mark_unreached(node: state.NodeState, address: str, intermediary: Intermediary) -> None:
    node.directory.intermediaries.set_known([intermediary])
    found = node.directory.reachability
    found.suspect(address)
    for backend_id in found.next_probes({address: "s"}, None, 1.0):
        found.handle_probe(backend_id, ProbeOutcome.UNREACHED, 1.0)
    assert found.is_unreached(address)


def _intermediary(address: str) -> intermediary_server.IntermediaryServer:
    node = make_node_with_attempts({address: 200}, repeatable=True, attempts=1)
    counted = telemetry.Telemetry()
    client = http_client.HttpClient()
    protocol = headers.PlatformProtocol()
    log = request_log.RequestLog(settings.LogSection(), counted)
    return intermediary_server.IntermediaryServer(
        node,
        protocol,
        client,
        response_reader.ResponseReader(node.directory, protocol, log),
        reachability_monitor.ReachabilityMonitor(node, client, counted),
        counted,
    )


def requests(count: int) -> bytes:
    lines = b"GET /x HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: 0123456789abcde%d\r\n\r\n"
    return b"".join(lines % number for number in range(count))


async def leave(stream: SocketStream, is_reset: bool) -> None:
    if is_reset:
        sock = stream.extra(SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    await stream.aclose()


async def wait_until(condition: Callable[[], bool], seconds: Seconds) -> None:
    began = time.monotonic()
    while not condition():
        assert time.monotonic() - began < seconds
        await anyio.sleep(0.01)


@pytest.mark.parametrize("is_reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("through_another", [False, True], ids=["direct", "through-another-node"])
@pytest.mark.parametrize("count", [1, COUNT])
async def test_repeatable_work_ends_at_the_back_end(
    count: int, through_another: bool, is_reset: bool
) -> None:
    backend = SlowBackend()
    async with serving(backend, through_another=through_another) as (node, address):
        stream = await anyio.connect_tcp(*address)
        await stream.send(requests(count))
        await wait_until(lambda: backend.working == count, 2.0)
        await leave(stream, is_reset)
        await wait_until(lambda: backend.working == 0, CANCEL_TIME)
        assert len(backend.received) == count
        assert node.in_flight == 0


@pytest.mark.parametrize("is_reset", [False, True], ids=["close", "reset"])
async def test_repeatable_work_of_a_retry_ends(is_reset: bool) -> None:
    backend = SlowBackend(failing=1)
    async with serving(backend) as (node, address):
        # The retry goes to another back end, at the same address.
        (known,) = node.directory.all_states()
        node.directory.put(Backend("other", "s", known.backend.address, "z1", 2), 0.0)
        stream = await anyio.connect_tcp(*address)
        await stream.send(requests(1))
        await wait_until(lambda: backend.working == 1, 2.0)
        assert len(backend.received) == 2
        await leave(stream, is_reset)
        await wait_until(lambda: backend.working == 0, CANCEL_TIME)
        await anyio.sleep(0.3)
        assert len(backend.received) == 2


@pytest.mark.parametrize("repeatable", [True, False])
async def test_request_that_waits_for_an_owner_makes_no_attempt(repeatable: bool) -> None:
    backend = SlowBackend()
    async with serving(backend, repeatable) as (node, address):
        route = Route("r", "host", "/", repeatable, 5.0, 1.0, 3, 1, (Target("k", 1),))
        node.set_configuration(Configuration(2, (route,), {"k": Service("k", 100, keyed=True)}))
        stream = await anyio.connect_tcp(*address)
        keyed = requests(1).replace(b"\r\n\r\n", b"\r\nX-Shard-Key: 7\r\n\r\n")
        await stream.send(keyed)
        await wait_until(lambda: node.in_flight == 1, 2.0)
        await leave(stream, is_reset=False)
        if repeatable:
            await wait_until(lambda: node.in_flight == 0, CANCEL_TIME)
        else:
            await anyio.sleep(CANCEL_TIME)
            node.notify()
            await wait_until(lambda: node.in_flight == 0, CANCEL_TIME)
        assert backend.received == []


class FailingClient(http_client.HttpClient):
    """Fails to connect to any address once `may_fail` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.requested: list[str] = []
        self.may_fail = anyio.Event()

    async def exchange(
        self, request: http_client.HttpRequest, until: Seconds
    ) -> http_client.HttpResponse:
        self.requested.append(request.address)
        await self.may_fail.wait()
        raise AttemptFailed(FailurePhase.NOT_CONNECTED, "refused", by_other_end=False)


@pytest.mark.parametrize("has_intermediary", [False, True])
async def test_no_attempt_follows_one_that_fails_after_its_caller_left(
    has_intermediary: bool,
) -> None:
    """Attempts that may not be cancelled go on; another one is not begun, here or elsewhere."""
    client = FailingClient()
    node = make_node_with_attempts({"a:1": 200, "b:1": 200}, repeatable=False, attempts=3)
    if has_intermediary:
        node.directory.intermediaries.set_known([Intermediary("i:1", "z1")])
    served = make_gateway(node, client)
    left = anyio.Event()
    messages = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive() -> asgi.Message:
        if messages:
            return messages.pop()
        await left.wait()
        return {"type": "http.disconnect"}

    async def send(message: asgi.Message) -> None:
        raise AssertionError(message)

    scope: asgi.Scope = {
        "type": "http",
        "method": "GET",
        "raw_path": b"/x",
        "query_string": b"",
        "headers": [(b"host", b"host"), (headers.REQUEST_ID, b"0123456789abcdef")],
    }
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(served, scope, receive, send)
        await anyio.wait_all_tasks_blocked()
        assert len(client.requested) == 1
        left.set()
        await anyio.wait_all_tasks_blocked()
        client.may_fail.set()
    assert len(client.requested) == 1
    assert node.in_flight == 0
