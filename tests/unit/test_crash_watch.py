"""A probe of the port distinguishes an exited back end from one that dropped a connection."""

from __future__ import annotations

import anyio
import pytest

from limedeck import http_client
from limedeck.forwarding import budget, request_content
from limedeck.model import Backend
from limedeck.node import crash_watch, state, telemetry
from limedeck_lab import processes
from tests.unit import backend_access, polling

pytestmark = pytest.mark.anyio
CONTENT = request_content.RequestContent(b"GET", "h", b"/x", "127.0.0.1", b"")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_watch(node: state.NodeState) -> crash_watch.CrashWatch:
    return crash_watch.CrashWatch(
        node, backend_access.paths_of(node, http_client.HttpClient()), telemetry.Telemetry()
    )


def node_with(backend: Backend) -> state.NodeState:
    node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
    node.directory.put(backend, 0.0)
    return node


async def test_closed_port_shows_that_the_process_has_exited() -> None:
    backend = Backend("b", "s", f"127.0.0.1:{processes.free_ports(1)[0]}", "z1", 2)
    node = node_with(backend)
    watch = make_watch(node)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        await anyio.wait_all_tasks_blocked()
        watch.record_lost_request(backend, CONTENT)
        await polling.until(lambda: node.quarantine.suspects_any)
        tasks.cancel_scope.cancel()


async def test_back_end_that_still_listens_has_not_exited() -> None:
    """Overloaded back ends reset connections: a later exit is not attributed to the request."""
    (port,) = processes.free_ports(1)
    backend = Backend("b", "s", f"127.0.0.1:{port}", "z1", 2)
    node = node_with(backend)
    watch = make_watch(node)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    accepted = 0

    async def accept(stream: anyio.abc.SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        await stream.aclose()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        tasks.start_soon(watch.run)
        await anyio.wait_all_tasks_blocked()
        for _ in range(50):
            watch.record_lost_request(backend, CONTENT)
        await polling.until(lambda: accepted >= len(crash_watch.PROBE_DELAYS))
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    await listener.aclose()
    # Fifty lost connections cause no more probes than one.
    assert accepted == len(crash_watch.PROBE_DELAYS)
    watch.record_refused_connection(backend)
    assert not node.quarantine.suspects_any
