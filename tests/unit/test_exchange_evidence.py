"""What failed requests show about links that accept connections."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.exchange_evidence import (
    CONFIRMING_RESPONSES,
    DECISION_TIME,
    EVIDENCE_LIFETIME,
    LINK_TRIAL_INTERVAL,
    MAX_LINK_TRIAL_WAIT,
    OVERDUE_SILENCE,
    SILENCE,
)
from limedeck.forwarding.reachability import Reachability
from limedeck.forwarding.reachability_events import (
    ExchangesFailing,
    PartitionBegan,
    PartitionEnded,
    PartitionEvidence,
    ProbeOutcome,
    ReachabilityEvent,
)
from limedeck.model import Backend

LISTED = {f"b{number}": "s" if number < 4 else "t" for number in range(8)}
TRIED = ("b0", "b1", "b4")
"""Back ends of both services."""
FAILED_AT = 10.1


def responding_node() -> Reachability:
    """Return a node to which back ends of both services responded at 10.0."""
    core = Reachability("n")
    for backend_id in LISTED:
        core.record_response(backend_id, 10.0)
    return core


def probe(core: Reachability, now: float) -> list[ReachabilityEvent]:
    """Run a round of probes that reaches all its back ends."""
    events: list[ReachabilityEvent] = []
    for backend_id in core.next_probes(LISTED, None, now):
        events += core.handle_probe(backend_id, ProbeOutcome.REACHED, now)
    return events


def fail(core: Reachability, backend_ids: Iterable[str] = TRIED) -> None:
    """Let requests fail by resets, and probes succeed."""
    for backend_id in backend_ids:
        core.exchanges.record_failure(backend_id, FAILED_AT)
        core.suspect(backend_id)
    probe(core, FAILED_AT + 0.1)


def suspecting_node() -> Reachability:
    core = responding_node()
    fail(core)
    assert core.evaluate_exchanges([], LISTED, 10.3) == [ExchangesFailing(TRIED)]
    return core


def cut_off_node() -> Reachability:
    core = suspecting_node()
    for _ in range(CONFIRMING_RESPONSES):
        core.record_served_by_other(10.4)
    assert core.is_partitioned
    return core


def test_resets_of_all_requests_while_others_are_served_show_a_partition() -> None:
    core = suspecting_node()
    assert core.is_doubted
    assert not core.is_partitioned
    events: list[ReachabilityEvent] = []
    for _ in range(CONFIRMING_RESPONSES):
        events += core.record_served_by_other(10.4)
    assert events == [PartitionBegan(TRIED, PartitionEvidence.EXCHANGES)]
    assert all(core.is_unreached(backend_id) for backend_id in LISTED)


def test_failures_soon_after_a_round_of_probes_are_not_left_undecided_for_long() -> None:
    core = responding_node()
    core.suspect("b7")
    assert core.next_probes(LISTED, None, 10.05)
    for backend_id in LISTED:
        core.handle_probe(backend_id, ProbeOutcome.REACHED, 10.05)
    fail(core)
    core.suspect("b0")
    probe(core, 10.35)
    assert core.evaluate_exchanges([], LISTED, 10.35) == [ExchangesFailing(TRIED)]


def test_requests_held_without_a_byte_raise_a_suspicion() -> None:
    core = responding_node()
    assert core.evaluate_exchanges(TRIED, LISTED, 10.0 + SILENCE) == []
    now = 10.0 + OVERDUE_SILENCE
    assert core.evaluate_exchanges(TRIED, LISTED, now) == []
    core.suspect("b0")
    probe(core, now + 0.1)
    assert core.evaluate_exchanges(TRIED, LISTED, now + 0.1) == [ExchangesFailing(TRIED)]


@pytest.mark.parametrize(
    "failing",
    [("b0",), ("b0", "b1", "b2", "b3")],
    ids=["one-back-end", "one-of-two-services"],
)
def test_failures_at_some_back_ends_raise_no_suspicion(failing: tuple[str, ...]) -> None:
    core = responding_node()
    fail(core, failing)
    assert core.evaluate_exchanges([], LISTED, 10.5) == []
    assert not core.is_doubted


def test_a_crashed_or_overloaded_service_does_not_pass_for_a_partition() -> None:
    core = responding_node()
    for tick in range(100):
        now = 10.1 + 0.05 * tick
        core.exchanges.record_failure(f"b{tick % 4}", now)
        core.suspect(f"b{tick % 4}")
        if tick % 4 == 0:
            core.record_response("b5", now)
        probe(core, now)
        assert core.evaluate_exchanges(["b1", "b2"], LISTED, now) == []
    assert not core.is_doubted


def test_services_that_fail_for_all_nodes_are_no_partition() -> None:
    core = suspecting_node()
    core.evaluate_exchanges([], LISTED, 10.3 + EVIDENCE_LIFETIME)
    assert not core.is_doubted
    assert core.record_served_by_other(12.4) == []
    assert not core.is_partitioned


def test_links_that_accept_no_connection_are_left_to_probes() -> None:
    core = responding_node()
    for backend_id in TRIED:
        core.exchanges.record_failure(backend_id, FAILED_AT)
    assert core.evaluate_exchanges([], LISTED, 10.5) == []


def test_probes_do_not_end_a_partition_in_which_connections_are_accepted() -> None:
    core = cut_off_node()
    core.exchanges.record_link_trial(10.9)
    assert probe(core, 11.0) == []
    assert core.is_partitioned


def test_response_on_an_own_connection_ends_it() -> None:
    core = cut_off_node()
    (event,) = core.record_response("b3", 12.4)
    assert isinstance(event, PartitionEnded)
    assert event.lasted == pytest.approx(2.0)
    assert not core.is_partitioned
    assert not core.is_doubted


def test_probe_ends_it_if_no_request_may_be_a_link_trial() -> None:
    core = cut_off_node()
    (event,) = probe(core, 10.4 + MAX_LINK_TRIAL_WAIT)
    assert isinstance(event, PartitionEnded)


def test_link_trials_are_bounded() -> None:
    core = cut_off_node()
    trials = 0
    for tick in range(200):
        now = 11.0 + 0.01 * tick
        if core.exchanges.is_link_trial_due(now):
            core.exchanges.record_link_trial(now)
            trials += 1
    assert 2.0 / LINK_TRIAL_INTERVAL - 1 <= trials <= 2.0 / LINK_TRIAL_INTERVAL + 1
    assert not responding_node().exchanges.is_link_trial_due(20.0)


def test_node_without_other_nodes_lets_only_requests_pass_that_can_be_link_trials() -> None:
    directory = BackendDirectory("z1", "n")
    for backend_id, service in LISTED.items():
        directory.put(Backend(backend_id, service, "127.0.0.1:1", "z1", 2), 0.0)
    directory.reachability = cut_off_node()
    now = 10.3 + LINK_TRIAL_INTERVAL + 5.0
    assert directory.is_cut_off(now, is_repeatable=False)
    assert not directory.is_cut_off(now, is_repeatable=True)
    directory.reachability.exchanges.record_link_trial(now)
    assert directory.is_cut_off(now, is_repeatable=True)


def test_lost_orders_leave_a_leader_in_doubt_until_a_back_end_responds() -> None:
    core = responding_node()
    core.exchanges.record_failure("b0", FAILED_AT)
    assert not core.is_in_doubt(10.0 + SILENCE / 2)
    assert core.is_in_doubt(10.0 + 2 * SILENCE)
    assert core.is_in_doubt(FAILED_AT + DECISION_TIME)
    assert not core.is_in_doubt(FAILED_AT + EVIDENCE_LIFETIME)
    core.record_response("b1", FAILED_AT + 0.4)
    assert not core.is_in_doubt(FAILED_AT + 0.8)


def test_faults_are_undecided_for_a_while_only() -> None:
    core = responding_node()
    fail(core, ["b0"])
    assert core.exchanges.is_undecided(FAILED_AT + 0.1)
    assert not core.exchanges.is_undecided(FAILED_AT + DECISION_TIME)
    core.record_response("b1", FAILED_AT + 0.2)
    assert not core.exchanges.is_undecided(FAILED_AT + 0.3)
