"""The leader's totals of nodes' reports: overloaded back ends are not taken for failing ones."""

from __future__ import annotations

import pytest

from limedeck.api import control_pb2
from limedeck.forwarding import backends
from limedeck.model import Backend
from limedeck.node import backend_loads, load_exchange
from limedeck.ownership import fleet_load

SLOTS = 2
QUEUE = 8
NODES = 100
OTHERS = [f"b-{number}" for number in range(9)]


def leader() -> load_exchange.LoadExchange:
    directory = backends.BackendDirectory("z1", "leader")
    for name in ["watched", *OTHERS]:
        directory.put(Backend(name, "s", "127.0.0.1:1", "z1", SLOTS), 0.0)
    return load_exchange.LoadExchange(directory, "leader")


def report(*rows: tuple[str, int, int, int]) -> control_pb2.BackendLoads:
    """A node's report, by back end: outstanding requests, responses, failures."""
    message = control_pb2.BackendLoads()
    for name, outstanding, answers, failures in rows:
        message.backends.append(backend_loads.backend_hash(name))
        message.outstanding.append(outstanding)
        message.answers.append(answers)
        message.service_times.append(200_000)
        message.failures.append(failures)
    return message


def excluded_while(
    exchange: load_exchange.LoadExchange,
    outstanding: int,
    answers: int,
    failures: int,
    start: float,
    rounds: int,
) -> bool:
    """Let all nodes report in rounds, with two responses of each other back end in each round."""
    ever = False
    for number in range(rounds):
        now = start + number * load_exchange.TOTALS_INTERVAL
        for node in range(NODES):
            rows = [("watched", int(node < outstanding), 0, 0)]
            if node < answers:
                rows.append(("watched", rows.pop()[1], 1, 0))
            if node >= NODES - failures:
                rows = [("watched", 0, 0, 1)]
            rows += [(name, 0, 2, 0) for name in OTHERS if node == 0]
            exchange.handle_report(f"n-{node}", report(*rows), now)
        ever = ever or exchange.refresh(now)["watched"].excluded
    return ever


@pytest.mark.parametrize("answers", [0, 3])
def test_an_overloaded_back_end_is_not_taken_for_a_failing_one(answers: int) -> None:
    """On zhbs-gate-large scale-1, owners of hot keys were excluded one after the other.

    The keys of each, and so the overload, moved to the next, and all of them reset new connections.
    """
    exchange = leader()
    assert not excluded_while(exchange, 0, 2, 0, 0.0, 4)
    assert not excluded_while(exchange, SLOTS + QUEUE, answers, 30, 1.0, 4)
    assert not excluded_while(exchange, 1, 2, 0, 2.0, 4)


def test_a_failing_back_end_with_free_slots_is_excluded() -> None:
    exchange = leader()
    assert excluded_while(exchange, 1, 2, 5, 0.0, 8)


def test_a_back_end_with_a_queue_and_no_responses_is_excluded() -> None:
    exchange = leader()
    assert excluded_while(exchange, SLOTS + QUEUE, 0, 5, 0.0, 8)


def test_the_service_time_of_an_idle_back_end_that_was_slow_once_decays() -> None:
    """Without decay, an idle back end of six got none of 60 requests a second while observed."""
    services = dict.fromkeys((1, 2, 3), "s") | {4: "other"}
    totals = [
        fleet_load.BackendTotal(1, 0, 0.05, responded_at=10.0),
        fleet_load.BackendTotal(2, 0, 0.02, responded_at=20.0),
        fleet_load.BackendTotal(3, 0, 0.02, responded_at=20.0),
        fleet_load.BackendTotal(4, 0, 0.30, responded_at=20.0),
    ]

    def times(now: float) -> list[float]:
        return [
            item.service_time
            for item in fleet_load.with_decayed_service_times(totals, services, now)
        ]

    assert times(10.0 + fleet_load.FRESH_TIME)[0] == 0.05
    late = times(20.0)
    assert late[0] < 0.024
    assert late[1:] == pytest.approx([0.02, 0.02, 0.30], rel=0.1)


def test_a_response_after_a_long_pause_outweighs_the_known_service_time() -> None:
    leader = fleet_load.FleetLoad()
    slow, fast = (fleet_load.BackendReport(1, 0, 1, time) for time in (0.05, 0.02))
    leader.record_report("n", [slow], 10.0)
    leader.record_report("n", [fast], 10.5)
    assert leader.service_time(1) == pytest.approx(0.0485)
    leader.record_report("n", [fast], 20.0)
    assert leader.service_time(1) == pytest.approx(0.02, abs=0.002)


def test_a_new_leaders_initial_service_times_count_as_fresh() -> None:
    leader = fleet_load.FleetLoad()
    leader.initialize({1: 0.05, 2: 0.02}, 100.0)
    totals = leader.totals([1, 2])
    aged = fleet_load.with_decayed_service_times(totals, {1: "s", 2: "s"}, 100.5)
    assert [item.service_time for item in aged] == [0.05, 0.02]


@pytest.mark.parametrize("partitioned", [True, False])
def test_failures_at_partitioned_nodes_exclude_no_back_end(partitioned: bool) -> None:
    exchange = leader()
    for number in range(6):
        now = number * load_exchange.TOTALS_INTERVAL
        sound = report(*((name, 0, 4, 0) for name in ["watched", *OTHERS]))
        exchange.handle_report("sound", sound, now)
        exchange.handle_report("cut-off", report(("watched", 0, 0, 6)), now, partitioned)
        totals = exchange.refresh(now)
    assert totals["watched"].excluded is not partitioned
