"""What a node that reaches no back end concludes about back ends, for itself and for others."""

from __future__ import annotations

import socket

import anyio
import pytest

from limedeck import clock, http_client
from limedeck.forwarding import budget
from limedeck.forwarding.backend_state import EXIT_COOLDOWN, FAILURES_TO_EJECT, BackendState
from limedeck.forwarding.reachability import CALM_ROUND_INTERVAL
from limedeck.forwarding.reachability_events import ProbeOutcome
from limedeck.model import Backend
from limedeck.node import (
    backend_paths,
    crash_watch,
    reachability_monitor,
    state,
    telemetry,
)
from limedeck.routing.outcomes import AttemptFailed, FailurePhase
from tests.unit import backend_access

pytestmark = pytest.mark.anyio
NOT_CONNECTED = AttemptFailed(FailurePhase.NOT_CONNECTED, "TimeoutError")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class PartitionableNode:
    """A node with back ends at the given ports, and its monitor."""

    def __init__(self, ports: list[int]) -> None:
        self.node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
        for port in ports:
            backend = Backend(f"b{port}", "s", f"127.0.0.1:{port}", "z1", 2)
            self.node.directory.put(backend, 0.0)
        client = http_client.HttpClient()
        counted = telemetry.Telemetry()
        self.monitor = reachability_monitor.ReachabilityMonitor(self.node, client, counted)
        self.paths = backend_access.paths_of(self.node, client, self.monitor)

    @property
    def backends(self) -> list[BackendState]:
        return list(self.node.directory.all_states())

    def partition(self) -> None:
        core = self.node.directory.reachability
        core.suspect(self.backends[0].backend.backend_id)
        listed = {item.backend.backend_id: "s" for item in self.backends}
        for backend_id in core.next_probes(listed, None, clock.steady_clock()):
            core.handle_probe(backend_id, ProbeOutcome.UNREACHED, clock.steady_clock())
        assert core.is_partitioned


def bound_socket(listens: bool) -> socket.socket:
    found = socket.socket()
    found.bind(("127.0.0.1", 0))
    if listens:
        found.listen()
    return found


def fail_often(paths: backend_paths.BackendPaths, backend: BackendState) -> None:
    for _ in range(FAILURES_TO_EJECT):
        paths.record_failure(backend, NOT_CONNECTED, True, clock.steady_clock())


async def test_partitioned_node_ejects_and_reports_no_back_end() -> None:
    tested = PartitionableNode([1])
    tested.partition()
    (backend,) = tested.backends
    fail_often(tested.paths, backend)
    assert not backend.is_ejected(clock.steady_clock())
    assert backend.take_sample(5.0) is None


@pytest.mark.parametrize("others_listen", [True, False], ids=["failed", "partitioned"])
async def test_failure_is_reported_once_probes_show_that_it_is_the_back_ends(
    others_listen: bool,
) -> None:
    sockets = [bound_socket(listens) for listens in (False, others_listen, others_listen)]
    tested = PartitionableNode([item.getsockname()[1] for item in sockets])
    failed = tested.backends[0]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tested.monitor.run)
        await anyio.sleep(0.0)
        fail_often(tested.paths, failed)
        assert failed.take_sample(5.0) is None
        await tested.monitor.wait_for_round(2.0)
        tasks.cancel_scope.cancel()
    for item in sockets:
        item.close()
    assert tested.node.directory.reachability.is_partitioned is not others_listen
    sample = failed.take_sample(5.0)
    assert (sample is not None and sample.failures > 0) is others_listen
    assert failed.is_ejected(clock.steady_clock()) is others_listen


@pytest.mark.parametrize("others_listen", [True, False], ids=["exited", "partitioned"])
async def test_refused_port_is_an_exit_only_if_the_node_reaches_others(
    others_listen: bool,
) -> None:
    sockets = [bound_socket(listens) for listens in (False, others_listen, others_listen)]
    tested = PartitionableNode([item.getsockname()[1] for item in sockets])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tested.monitor.run)
        await anyio.sleep(0.0)
        with pytest.raises(AttemptFailed) as caught:
            until = clock.steady_clock() + 1.0
            await tested.paths.check_port(tested.backends[0].backend, until)
        tasks.cancel_scope.cancel()
    for item in sockets:
        item.close()
    assert caught.value.by_other_end is others_listen


@pytest.mark.parametrize("others_listen", [True, False], ids=["exited", "partitioned"])
async def test_back_end_found_by_a_probe_to_have_exited_is_cold_from_its_return_on(
    others_listen: bool,
) -> None:
    sockets = [bound_socket(listens) for listens in (False, others_listen, others_listen)]
    tested = PartitionableNode([item.getsockname()[1] for item in sockets])
    exited = tested.backends[0]
    exited.cold_rate = 4.0
    watch = crash_watch.CrashWatch(tested.node, tested.paths, telemetry.Telemetry())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tested.monitor.run)
        tasks.start_soon(watch.run)
        await anyio.sleep(0.0)
        tested.monitor.suspect(exited.backend.backend_id)
        await tested.monitor.wait_for_round(2.0)
        await anyio.sleep(1.0)
        assert exited.is_cold(clock.steady_clock()) is others_listen
        if others_listen:
            sockets[0].listen()
            await tested.monitor.wait_for_round(2.0)
            remaining = exited.remaining_cold_time(clock.steady_clock())
            assert remaining > EXIT_COOLDOWN - 0.6
        tasks.cancel_scope.cancel()
    for item in sockets:
        item.close()


RESET = AttemptFailed(FailurePhase.AWAITING, "EndOfStream", by_other_end=True)


async def test_resets_are_reported_only_when_it_is_decided_whose_fault_they_are() -> None:
    sockets = [bound_socket(listens=True) for _ in range(4)]
    tested = PartitionableNode([item.getsockname()[1] for item in sockets])
    failed, other = tested.backends[:2]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tested.monitor.run)
        await anyio.sleep(0.0)
        tested.monitor.record_failed_exchange(failed.backend.backend_id)
        tested.paths.record_failure(failed, RESET, True, clock.steady_clock())
        await tested.monitor.wait_for_round(2.0)
        assert failed.take_sample(5.0) is None
        tested.monitor.record_response(other.backend.backend_id)
        # A round of probes is due that shows that connections are accepted.
        await anyio.sleep(CALM_ROUND_INTERVAL + 4 * reachability_monitor.CHECK_INTERVAL)
        assert failed.take_sample(5.0) is not None
        tasks.cancel_scope.cancel()
    for item in sockets:
        item.close()


async def test_node_in_doubt_stands_last_but_leads_on() -> None:
    tested = PartitionableNode([1, 2])
    now = clock.steady_clock()
    assert not tested.monitor.must_stand_last(leads=False, now=now)
    tested.monitor.record_failed_exchange(tested.backends[0].backend.backend_id)
    assert tested.monitor.must_stand_last(leads=False, now=now)
    assert not tested.monitor.must_stand_last(leads=True, now=now)
    tested.monitor.record_response(tested.backends[1].backend.backend_id)
    assert not tested.monitor.must_stand_last(leads=False, now=now)
    tested.partition()
    assert tested.monitor.must_stand_last(leads=True, now=now)


async def test_resets_by_an_overloaded_back_end_show_nothing_about_links() -> None:
    tested = PartitionableNode([1, 2])
    now = clock.steady_clock()
    for backend in tested.backends:
        backend.outstanding = 2 * backend.backend.slots
        tested.monitor.record_failed_exchange(backend.backend.backend_id)
    assert not tested.monitor.must_stand_last(leads=False, now=now)
