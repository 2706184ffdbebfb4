"""What the leader makes of nodes' reports: overloaded back ends are told from failing ones."""

from __future__ import annotations

import pytest

from limedeck.api import control_pb2
from limedeck.forwarding import backends
from limedeck.model import Backend
from limedeck.node import backend_loads, load_exchange

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
    """A node's message: back end, outstanding requests, answers, failures."""
    message = control_pb2.BackendLoads()
    for name, outstanding, answers, failures in rows:
        message.backends.append(backend_loads.mark_of(name))
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
    """All nodes report; the other back ends answer two requests a round each."""
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
    """Found on zhbs-gate-large scale-1: owners of hot keys were excluded one after the other.

    Each one's keys, and so the flood, went to the next, and all of them reset new connections.
    """
    exchange = leader()
    assert not excluded_while(exchange, 0, 2, 0, 0.0, 4)
    assert not excluded_while(exchange, SLOTS + QUEUE, answers, 30, 1.0, 4)
    assert not excluded_while(exchange, 1, 2, 0, 2.0, 4)


def test_a_back_end_that_fails_with_room_is_excluded() -> None:
    exchange = leader()
    assert excluded_while(exchange, 1, 2, 5, 0.0, 8)


def test_a_back_end_with_a_queue_that_answers_nothing_is_excluded() -> None:
    exchange = leader()
    assert excluded_while(exchange, SLOTS + QUEUE, 0, 5, 0.0, 8)
