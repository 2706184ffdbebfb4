"""What a node concludes from probes about the back ends that it reaches."""

from __future__ import annotations

import pytest

from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.commands import Attempt, RefusalReason, Refuse
from limedeck.forwarding.exchange_evidence import SILENCE
from limedeck.forwarding.intermediaries import Intermediary
from limedeck.forwarding.probe_choice import OTHERS_PER_ROUND, SIBLINGS_PER_ROUND
from limedeck.forwarding.reachability import (
    MAX_SUSPECTS_PER_ROUND,
    OVERDUE_ROUND_INTERVAL,
    Reachability,
)
from limedeck.forwarding.reachability_events import (
    BackendReached,
    BackendUnreached,
    PartitionBegan,
    PartitionEnded,
    ProbeOutcome,
    ReachabilityEvent,
)
from limedeck.forwarding.request import RequestCore, ServiceView
from limedeck.model import Backend, Route, Target
from limedeck.routing.outcomes import Outcome

MAX_PROBES_PER_ROUND = MAX_SUSPECTS_PER_ROUND + SIBLINGS_PER_ROUND + OTHERS_PER_ROUND
LISTED = {f"b{number}": "s" for number in range(8)}


def run_round(
    core: Reachability, outcome: ProbeOutcome, now: float, *exceptions: str
) -> list[ReachabilityEvent]:
    """Run a round in which all probes but those of the exceptions have the same outcome."""
    events: list[ReachabilityEvent] = []
    for backend_id in core.next_probes(LISTED, None, now):
        found = ProbeOutcome.UNREACHED if backend_id in exceptions else outcome
        events += core.handle_probe(backend_id, found, now)
    return events


def partitioned_node() -> Reachability:
    core = Reachability("n")
    core.suspect("b1")
    run_round(core, ProbeOutcome.UNREACHED, 1.0)
    assert core.is_partitioned
    return core


def test_node_without_failures_sends_no_probes() -> None:
    core = Reachability("n")
    core.record_response("b7", 10.0)
    assert core.next_probes(LISTED, 9.0, 10.0 + SILENCE / 2) == []
    assert core.next_probes(LISTED, None, 20.0) == []


def test_silence_of_all_back_ends_causes_probes() -> None:
    core = Reachability("n")
    core.record_response("b7", 10.0)
    assert core.next_probes(LISTED, 9.0, 10.0 + SILENCE)


def test_failed_back_end_does_not_make_the_node_partitioned() -> None:
    core = Reachability("n")
    core.suspect("b1")
    events = run_round(core, ProbeOutcome.REACHED, 1.0, "b1")
    assert events == [BackendUnreached("b1")]
    assert not core.is_partitioned
    assert core.is_unreached("b1")
    assert not core.is_unreached("b2")
    assert run_round(core, ProbeOutcome.REACHED, 3.0) == [BackendReached("b1", 2.0)]
    assert not core.is_unreached("b1")


def test_node_that_reaches_none_of_the_probed_back_ends_is_partitioned() -> None:
    core = Reachability("n")
    core.suspect("b1")
    (event,) = run_round(core, ProbeOutcome.UNREACHED, 1.0)
    assert isinstance(event, PartitionBegan)
    assert "b1" in event.probed
    assert all(core.is_unreached(backend_id) for backend_id in LISTED)


def test_response_on_an_open_connection_does_not_end_a_partition() -> None:
    core = partitioned_node()
    core.record_response("b7", 1.1)
    assert core.is_partitioned


def test_one_reached_back_end_ends_a_partition() -> None:
    core = partitioned_node()
    assert run_round(core, ProbeOutcome.REACHED, 3.0) == [PartitionEnded(2.0)]
    assert not core.is_unreached("b1")


def test_overloaded_back_ends_that_reset_connections_do_not_make_a_partition() -> None:
    core = Reachability("n")
    core.record_response("b7", 0.95)
    core.suspect("b1")
    assert run_round(core, ProbeOutcome.TURNED_AWAY, 1.0) == []
    assert not core.is_partitioned


def test_resets_of_all_connections_while_no_back_end_responds_make_a_partition() -> None:
    core = Reachability("n")
    core.record_response("b7", 0.5)
    core.suspect("b1")
    run_round(core, ProbeOutcome.TURNED_AWAY, 1.0)
    assert core.is_partitioned


def test_only_a_response_ends_a_partition_in_which_connections_were_reset() -> None:
    core = Reachability("n")
    core.suspect("b1")
    run_round(core, ProbeOutcome.TURNED_AWAY, 1.0)
    assert core.is_partitioned
    assert run_round(core, ProbeOutcome.REACHED, 3.0) == []
    assert core.is_partitioned
    assert core.exchanges.is_link_trial_due(3.0)
    assert core.record_response("b1", 3.1) == [PartitionEnded(3.1 - 1.0)]
    assert not core.is_partitioned


def test_probes_of_a_paused_process_show_nothing() -> None:
    core = Reachability("n")
    core.suspect("b1")
    assert run_round(core, ProbeOutcome.UNKNOWN, 1.0) == []
    assert not core.is_partitioned


@pytest.mark.parametrize("count", [1, 2, 300])
def test_rounds_are_bounded_and_spread_over_all_back_ends(count: int) -> None:
    listed = {f"b{number}": "s" for number in range(count)}
    core = Reachability("n")
    probed = set()
    now = 0.0
    core.suspect("b0")
    for _ in range(40):
        now += 0.3
        chosen = core.next_probes(listed, None, now)
        assert len(chosen) == len(set(chosen)) <= MAX_PROBES_PER_ROUND
        assert len(chosen) >= min(count, OTHERS_PER_ROUND)
        probed |= set(chosen)
        for backend_id in chosen:
            core.handle_probe(backend_id, ProbeOutcome.UNREACHED, now)
    assert len(probed) >= min(count, 40)


def test_unlisted_back_end_is_forgotten() -> None:
    core = Reachability("n")
    core.suspect("b1")
    run_round(core, ProbeOutcome.REACHED, 1.0, "b1")
    core.next_probes({item: "s" for item in LISTED if item != "b1"}, None, 1.1)
    assert not core.is_unreached("b1")


def test_node_without_any_way_to_back_ends_refuses_at_once_and_truly() -> None:
    directory = BackendDirectory("z1", "n")
    directory.put(Backend("b", "s", "127.0.0.1:1", "z1", 2), 0.0)
    route = Route("r", "host", "/", True, 5.0, 1.0, 3, 1, (Target("s", 1),))
    service = ServiceView("s", False, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    directory.reachability.suspect("b")
    for backend_id in directory.reachability.next_probes({"b": "s"}, None, 5.0):
        directory.reachability.handle_probe(backend_id, ProbeOutcome.UNREACHED, 5.0)
    core = RequestCore(b"id", route, service, directory, None, 8.0, 5.1)
    command = core.next_command(5.1, 1)
    assert isinstance(command, Refuse)
    assert (command.outcome, command.reason) == (Outcome.NOT_RUN, RefusalReason.UNREACHABLE)
    assert 0.0 < command.retry_after < 1.0
    directory.intermediaries.set_known([Intermediary("10.0.0.1:1", "z1")])
    assert isinstance(core.next_command(5.2, 1), Attempt)


def test_late_responses_of_back_ends_that_are_reached_cause_few_probes() -> None:
    core = Reachability("n")
    rounds = 0
    for tick in range(400):
        now = 10.0 + tick * 0.05
        core.record_response("b7", now)
        core.suspect_overdue(["b1", "b2"], now)
        chosen = core.next_probes(LISTED, None, now)
        rounds += bool(chosen)
        for backend_id in chosen:
            core.handle_probe(backend_id, ProbeOutcome.REACHED, now)
    assert 1 <= rounds <= 20.0 / OVERDUE_ROUND_INTERVAL + 1


@pytest.mark.parametrize("count", [5, 20, 195])
def test_loss_of_a_whole_service_does_not_pass_for_a_partition(count: int) -> None:
    lost = {f"a{number}" for number in range(count)}
    listed = {**dict.fromkeys(lost, "a"), "b1": "b", "b2": "b", "c1": "c"}
    core = Reachability("n")
    now = 0.0
    for backend_id in listed:
        core.record_response(backend_id, now)
    for backend_id in sorted(lost):
        now += 0.3
        core.record_response("b1", now)
        core.record_response("c1", now)
        core.suspect(backend_id)
        for probed in core.next_probes(listed, None, now):
            outcome = ProbeOutcome.UNREACHED if probed in lost else ProbeOutcome.REACHED
            core.handle_probe(probed, outcome, now)
        assert not core.is_partitioned
    assert set(core.unreached_backends) <= lost
    assert len(core.unreached_backends) >= 0.9 * count


def test_slow_request_at_a_quiet_node_causes_few_probes() -> None:
    core = Reachability("n")
    core.record_response("b7", 10.0)
    rounds = 0
    for tick in range(100):
        now = 10.0 + tick * 0.05
        chosen = core.next_probes(LISTED, 10.0, now)
        rounds += bool(chosen)
        for backend_id in chosen:
            core.handle_probe(backend_id, ProbeOutcome.REACHED, now)
    assert 1 <= rounds <= 5
