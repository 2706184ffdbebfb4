"""A suspended machine: its timers stand still, and everything else in the world goes on."""

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
    """A machine that can be suspended: only the clock that counts that goes on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.asleep: Seconds = 0.0
        real: Callable[[int], float] = time.clock_gettime

        def clock_gettime(which: int) -> float:
            return real(which) + (self.asleep if which == time.CLOCK_BOOTTIME else 0.0)

        monkeypatch.setattr(time, "clock_gettime", clock_gettime)


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    return Machine(monkeypatch)


def test_the_steady_clock_counts_the_time_that_the_machine_was_suspended(machine: Machine) -> None:
    """A leader that slept for 30 s took its term for confirmed a moment ago, and renewed leases."""
    before, slept = clock.steady_clock(), clock.time_suspended()
    machine.asleep += 30.0
    assert clock.steady_clock() - before >= 30.0
    assert clock.time_suspended() - slept == pytest.approx(30.0, abs=0.5)


async def _accept_silently(stream: SocketStream) -> None:
    async with stream:
        await anyio.sleep_forever()


async def test_a_request_whose_time_ended_in_its_sleep_is_given_up_on_waking(
    machine: Machine,
) -> None:
    (port,) = processes.free_ports(1)
    client = http_client.HttpClient()
    counted = telemetry.Telemetry()
    watch = suspension.SuspensionWatch([client], counted)
    problems: list[str] = []

    async def ask(left: Seconds) -> None:
        request = http_client.HttpRequest(f"127.0.0.1:{port}", b"GET", b"/", [(b"host", b"h")])
        try:
            await client.exchange(request, clock.steady_clock() + left)
        except AttemptFailed as error:
            problems.append(error.problem)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _accept_silently)
        tasks.start_soon(ask, LONG)
        tasks.start_soon(ask, 3 * LONG)
        await polling.until(lambda: len(client._under_way) == 2)
        watch.look()
        await anyio.sleep(0.05)
        assert problems == []
        machine.asleep += LONG
        watch.look()
        await polling.until(lambda: bool(problems))
        assert problems == [http_client.OUT_OF_TIME]
        tasks.cancel_scope.cancel()
    told = counted.registry.get_sample_value("limedeck_suspended_seconds_total")
    # Two clocks are read one after the other: some microseconds lie between them.
    assert told == pytest.approx(LONG, abs=0.001), told


async def test_nothing_is_sent_when_the_time_ended_while_a_connection_came_up(
    machine: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A grant that was begun before the machine slept reached its back end after it."""
    (port,) = processes.free_ports(1)
    client = http_client.HttpClient()
    opened = client._open

    async def open_and_sleep(address: str, until: Seconds) -> http_client._Connection:
        connection = await opened(address, until)
        machine.asleep += LONG
        return connection

    monkeypatch.setattr(client, "_open", open_and_sleep)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _accept_silently)
        request = http_client.HttpRequest(f"127.0.0.1:{port}", b"GET", b"/", [(b"host", b"h")])
        with pytest.raises(AttemptFailed) as failed:
            await client.exchange(request, clock.steady_clock() + 5.0)
        assert failed.value.phase is FailurePhase.NOT_SENT
        tasks.cancel_scope.cancel()
