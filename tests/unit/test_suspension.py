"""A suspended machine, whose timers stop while other machines continue."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import SocketStream

from limedeck import clock, http_client
from limedeck.identity import Seconds
from limedeck.node import suspension, telemetry
from limedeck.routing.outcomes import AttemptFailed, FailurePhase
from limedeck_lab import processes
from tests.unit import polling

pytestmark = pytest.mark.anyio
LONG = 600.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Machine:
    """Simulates suspension: only the clock that includes suspended time advances."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspended: Seconds = 0.0
        real: Callable[[int], float] = time.clock_gettime

        def clock_gettime(which: int) -> float:
            return real(which) + (self.suspended if which == time.CLOCK_BOOTTIME else 0.0)

        monkeypatch.setattr(time, "clock_gettime", clock_gettime)


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    return Machine(monkeypatch)


def test_steady_clock_includes_suspended_time(machine: Machine) -> None:
    """Otherwise a leader that was suspended for 30 s believes that its term was just confirmed.

    It then renews leases.
    """
    before, suspended_before = clock.steady_clock(), clock.time_suspended()
    machine.suspended += 30.0
    assert clock.steady_clock() - before >= 30.0
    assert clock.time_suspended() - suspended_before == pytest.approx(30.0, abs=0.5)


async def _accept_silently(stream: SocketStream) -> None:
    async with stream:
        await anyio.sleep_forever()


async def test_request_that_expired_during_a_suspension_is_aborted_after_it(
    machine: Machine,
) -> None:
    (port,) = processes.free_ports(1)
    client = http_client.HttpClient()
    metrics = telemetry.Telemetry()
    watch = suspension.SuspensionWatch([client], metrics)
    problems: list[str] = []

    async def exchange(time_left: Seconds) -> None:
        request = http_client.HttpRequest(f"127.0.0.1:{port}", b"GET", b"/", [(b"host", b"h")])
        try:
            await client.exchange(request, clock.steady_clock() + time_left)
        except AttemptFailed as error:
            problems.append(error.problem)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _accept_silently)
        tasks.start_soon(exchange, LONG)
        tasks.start_soon(exchange, 3 * LONG)
        await polling.until(lambda: len(client._active) == 2)
        watch.check()
        await anyio.sleep(0.05)
        assert problems == []
        machine.suspended += LONG
        watch.check()
        await polling.until(lambda: bool(problems))
        assert problems == [http_client.DEADLINE_EXCEEDED]
        tasks.cancel_scope.cancel()
    counted_seconds = metrics.registry.get_sample_value("limedeck_suspended_seconds_total")
    # The two clocks are read one after the other, some microseconds apart.
    assert counted_seconds == pytest.approx(LONG, abs=0.001), counted_seconds


async def test_request_that_expires_while_connecting_is_not_sent(
    machine: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise a grant that is started before a suspension reaches its back end after it."""
    (port,) = processes.free_ports(1)
    client = http_client.HttpClient()
    opened = client._open

    async def open_and_suspend(address: str, until: Seconds) -> http_client._Connection:
        connection = await opened(address, until)
        machine.suspended += LONG
        return connection

    monkeypatch.setattr(client, "_open", open_and_suspend)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _accept_silently)
        request = http_client.HttpRequest(f"127.0.0.1:{port}", b"GET", b"/", [(b"host", b"h")])
        with pytest.raises(AttemptFailed) as failed:
            await client.exchange(request, clock.steady_clock() + 5.0)
        assert failed.value.phase is FailurePhase.NOT_SENT
        tasks.cancel_scope.cancel()
