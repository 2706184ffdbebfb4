"""Estimates of back ends' load: cost by route, totals from the leader, shares by load."""

from __future__ import annotations

import random
import zlib
from collections import Counter

import pytest

from limedeck.api import control_pb2
from limedeck.errors import PeerProtocolError
from limedeck.forwarding import (
    backend_state,
    backends,
    budget,
    commands,
    load_leveling,
    request,
    request_cost,
)
from limedeck.forwarding.protocol import LoadReport
from limedeck.model import Backend, Route, Target
from limedeck.node import backend_loads
from limedeck.ownership import fleet_load
from limedeck.routing import outcomes

SLOTS = 4


def directory_of(*names: str) -> backends.BackendDirectory:
    directory = backends.BackendDirectory("z1", "n")
    for name in names:
        directory.put(Backend(name, "s", "127.0.0.1:1", "z1", SLOTS), 0.0)
    return directory


def state_in(directory: backends.BackendDirectory, name: str) -> backend_state.BackendState:
    state = directory.find(name)
    assert state is not None
    return state


def core_for(
    directory: backends.BackendDirectory, name: str, objective: float, now: float
) -> request.RequestCore:
    route = Route(name, "h", "/", False, 2.0, objective, 2, 0, (Target("s", 1),))
    allowance = budget.RetryAllowance(0.2, 30.0, 10.0)
    view = request.ServiceView("s", False, budget.RetryBudget(allowance))
    return request.RequestCore(b"r", route, view, directory, None, now + 1.0, now)


# ---------------------------------------------------------------------- cost by route


def test_a_new_route_is_not_refused_because_of_another_routes_service_time() -> None:
    """On klvs-gateway, 6,739 short requests were refused by the service time of long ones."""
    directory = directory_of("a")
    state = state_in(directory, "a")
    for step in range(50):
        state.record_response(0.24, None, step * 0.1, "long")
    short = core_for(directory, "short", 0.15, 10.0)
    assert isinstance(short.next_command(10.0, 3), commands.Attempt)


def test_a_routes_expected_time_is_its_own_cost_at_the_back_ends_speed() -> None:
    directory = directory_of("slow", "fast")
    slow, fast = state_in(directory, "slow"), state_in(directory, "fast")
    for step in range(400):
        now = step * 0.1
        slow.record_response(0.2 if step % 2 else 0.04, None, now, "long" if step % 2 else "short")
        fast.record_response(0.1 if step % 2 else 0.02, None, now, "long" if step % 2 else "short")
    for state, factor in ((slow, 2.0), (fast, 1.0)):
        assert state.expected_time_of("long", 100.0) == pytest.approx(0.1 * factor, rel=0.25)
        assert state.expected_time_of("short", 100.0) == pytest.approx(0.02 * factor, rel=0.25)


def test_the_only_route_of_a_service_has_the_mean_cost() -> None:
    measured = request_cost.ServiceWork()
    for ratio in (0.5, 1.5, 3.0, 0.7, 0.9, 1.1):
        measured.record("r", ratio)
    assert measured.relative("r") == 1.0
    assert measured.relative("other") == 1.0


def test_time_in_the_queue_does_not_count_as_service_time() -> None:
    directory = directory_of("a")
    state = state_in(directory, "a")
    for step in range(100):
        state.record_response(0.3, None, step * 0.1, "r", ahead=3 * SLOTS - 1)
    assert state.service_time == pytest.approx(0.1, rel=0.1)


# ---------------------------------------------------------------------- totals from the leader


def test_other_nodes_load_counts_until_it_expires() -> None:
    state = state_in(directory_of("a"), "a")
    state.outstanding = 2
    assert state.take_sample(5.0) is not None
    state.record_fleet_load(9, 0.0, 5.0)
    assert state.expected_load(5.1) == 9.0
    assert state.expected_load(5.1 + backend_state.FLEET_LOAD_LIFETIME) == 2.0


def test_a_back_ends_own_load_report_takes_precedence_over_the_leaders_total() -> None:
    state = state_in(directory_of("a"), "a")
    state.record_load(LoadReport(1, 0, SLOTS), 5.0)
    state.record_fleet_load(9, 0.0, 5.0)
    assert state.expected_load(5.0) == 1.0


def test_the_leaders_total_takes_precedence_once_it_is_newer_than_the_response() -> None:
    state = state_in(directory_of("a"), "a")
    state.record_load(LoadReport(1, 0, SLOTS), 5.0)
    state.record_fleet_load(9, 0.0, 5.5)
    assert state.expected_load(5.5) == 9.0
    assert state.expected_load(5.5 + backend_state.FLEET_LOAD_LIFETIME) < 1.0


def test_totals_are_decoded_as_they_were_encoded() -> None:
    writer, reader = backend_loads.TotalsWriter(), backend_loads.TotalsReader()
    sent = backend_loads.SentTotals()
    listed = [
        fleet_load.BackendTotal(7, 0, 0.0),
        fleet_load.BackendTotal(3, 12, 0.26, excluded=True),
        fleet_load.BackendTotal(9, 4000, 0.0001),
    ]
    writer.write(listed)
    message = writer.message_for(sent)
    assert message is not None
    first, second, third = reader.read(message)
    assert first == listed[0]
    assert (second.backend, second.outstanding, second.excluded) == (3, 12, True)
    assert second.service_time == pytest.approx(0.26, rel=0.025)
    assert (third.outstanding, third.service_time) == (255, backend_loads.MIN_SERVICE_TIME)
    assert writer.message_for(sent) is None


def test_the_list_of_back_ends_is_sent_again_only_when_it_has_changed() -> None:
    writer, sent = backend_loads.TotalsWriter(), backend_loads.SentTotals()
    sizes = []
    for hashes in ([1, 2], [1, 2], [1, 2, 3]):
        writer.write([fleet_load.BackendTotal(backend, 1, 0.1) for backend in hashes])
        message = writer.message_for(sent)
        assert message is not None
        sizes.append(len(message.backends))
    assert sizes == [2, 0, 3]


def test_totals_of_300_back_ends_are_small() -> None:
    """Totals are sent to every node several times a second, mostly to other zones."""
    writer, sent = backend_loads.TotalsWriter(), backend_loads.SentTotals()
    generator = random.Random(3)
    message = None
    for _ in range(2):
        totals = [
            fleet_load.BackendTotal(backend, generator.randrange(5), generator.uniform(0.1, 0.6))
            for backend in range(300)
        ]
        writer.write(totals)
        message = writer.message_for(sent)
    assert message is not None
    assert message.ByteSize() < 400


@pytest.mark.parametrize(
    "message",
    [
        control_pb2.BackendTotals(listing=4, columns=zlib.compress(b"")),
        control_pb2.BackendTotals(listing=1, backends=[1], columns=b"not compressed"),
        control_pb2.BackendTotals(listing=1, backends=[1], columns=zlib.compress(b"123")),
        control_pb2.BackendTotals(listing=1, backends=[1, 2], columns=zlib.compress(b"123")),
    ],
)
def test_totals_that_do_not_fit_the_list_are_refused(message: control_pb2.BackendTotals) -> None:
    with pytest.raises(PeerProtocolError):
        backend_loads.TotalsReader().read(message)


def test_loads_add_up_over_nodes_and_a_lost_node_no_longer_counts() -> None:
    leader = fleet_load.FleetLoad()
    nodes = {}
    for name, outstanding in (("n1", 3), ("n2", 4)):
        directory = directory_of("a", "b")
        state = state_in(directory, "a")
        state.outstanding = outstanding
        state.record_response(0.1, None, 1.0, "r")
        nodes[name] = directory
        message = backend_loads.write_report(directory, 0.0)
        leader.record_report(name, backend_loads.read_report(message), 1.0)
    hashes = [backend_loads.backend_hash(name) for name in ("a", "b")]
    totals = leader.totals(hashes)
    assert [item.outstanding for item in totals] == [7, 0]
    assert totals[0].service_time == pytest.approx(0.1)
    backend_loads.apply_totals(totals, nodes["n1"], 2.0)
    assert state_in(nodes["n1"], "a").expected_load(2.0) == 7.0
    leader.forget("n2")
    assert leader.totals(hashes)[0].outstanding == 3


def test_a_new_leader_starts_from_the_service_times_that_it_received_as_follower() -> None:
    """On klvs-gateway scale-2, a new leader assigned a very hot key to a slow back end."""
    directory = directory_of("a", "b")
    state_in(directory, "a").record_fleet_load(0, 0.05, 1.0)
    leader = fleet_load.FleetLoad()
    leader.initialize(backend_loads.known_service_times(directory), 1.0)
    hashes = [backend_loads.backend_hash(name) for name in ("a", "b")]
    assert [item.service_time for item in leader.totals(hashes)] == [0.05, 0.0]


def test_a_report_lists_a_back_end_once_more_after_its_requests_have_ended() -> None:
    directory = directory_of("a")
    state = state_in(directory, "a")
    state.outstanding = 1
    assert len(backend_loads.write_report(directory, 0.0).backends) == 1
    state.outstanding = 0
    assert list(backend_loads.write_report(directory, 0.0).outstanding) == [0]
    assert not backend_loads.write_report(directory, 0.0).backends


def test_failures_are_reported_once() -> None:
    directory = directory_of("a")
    state_in(directory, "a").record_failure(1.0)
    state_in(directory, "a").record_failure(1.0, own_fault=False)
    (report,) = backend_loads.read_report(backend_loads.write_report(directory, 0.0))
    assert (report.answers, report.failures) == (0, 1)
    assert not backend_loads.write_report(directory, 0.0).backends


def test_a_back_end_that_the_leader_excludes_is_not_chosen_until_the_totals_expire() -> None:
    directory = directory_of("a", "b")
    state_in(directory, "a").record_fleet_load(0, 0.1, 5.0, excluded=True)
    picks = {directory.choose("s", (), b"%d" % number, 5.1) for number in range(40)}
    assert picks == {state_in(directory, "b")}
    assert not state_in(directory, "a").is_ejected(5.0 + backend_state.FLEET_LOAD_LIFETIME)
    state_in(directory, "a").record_fleet_load(0, 0.1, 5.2)
    assert not state_in(directory, "a").is_ejected(5.2)


def test_a_report_with_lists_of_unequal_length_is_refused() -> None:
    message = control_pb2.BackendLoads(backends=[1, 2], outstanding=[1])
    with pytest.raises(PeerProtocolError):
        backend_loads.read_report(message)


# ---------------------------------------------------------------------- shares


def test_shares_level_the_use_of_back_ends() -> None:
    shares = load_leveling.levelling_shares([8.0, 2.0, 0.0], [1.0, 1.0, 2.0], 6.0)
    assert shares == pytest.approx([0.0, 2.0 / 3.0, 16.0 / 3.0])
    assert sum(shares) == pytest.approx(6.0)


def test_nodes_with_the_same_stale_loads_do_not_all_choose_the_same_back_end() -> None:
    """Eleven nodes that each chose the least loaded one would swamp it before the next report."""
    names = [f"b{number}" for number in range(6)]
    directory = directory_of(*names)
    loads = (5, 5, 4, 4, 3, 3)
    for name, load in zip(names, loads, strict=True):
        state_in(directory, name).record_fleet_load(load, 0.4, 10.0)
    chosen: Counter[str] = Counter()
    for number in range(400):
        state = directory.choose("s", (), b"%d" % number, 10.1)
        assert state is not None
        chosen[state.backend.backend_id] += 1
    assert len(chosen) == len(names)
    assert chosen["b5"] > 1.5 * chosen["b0"]


def test_shares_level_random_loads() -> None:
    generator = random.Random(7)
    for _ in range(200):
        count = generator.randint(1, 12)
        loads = [generator.uniform(0.0, 20.0) for _ in range(count)]
        capacities = [generator.uniform(1.0, 90.0) for _ in range(count)]
        arrivals = generator.uniform(0.1, 50.0)
        shares = load_leveling.levelling_shares(loads, capacities, arrivals)
        assert sum(shares) == pytest.approx(arrivals)
        uses = [(a + b) / c for a, b, c in zip(loads, shares, capacities, strict=True)]
        given = [use for use, share in zip(uses, shares, strict=True) if share > 0]
        assert max(given) == pytest.approx(min(given))
        assert all(use >= max(given) - 1e-9 for use in uses)


# ---------------------------------------------------------------------- refusals


def test_a_client_retry_is_recognised_by_its_remaining_time() -> None:
    view = request.ServiceView("s", False, budget.RetryBudget(budget.RetryAllowance(0.2, 9, 10)))
    assert not view.record_wait("r", 0.5)
    assert not view.record_wait("r", 0.49)
    assert view.record_wait("r", 0.35)
    assert not view.record_wait("other", 0.35)


def busy_directory(load: int) -> backends.BackendDirectory:
    directory = directory_of("a")
    state = state_in(directory, "a")
    for step in range(20):
        state.record_response(0.1, None, step * 0.1, "r")
    state.record_fleet_load(load, 0.1, 10.0)
    return directory


def test_a_request_that_cannot_be_retried_again_is_served_late_instead_of_refused() -> None:
    directory = busy_directory(3 * SLOTS)
    first = core_for(directory, "r", 0.2, 10.0)
    command = first.next_command(10.0, 3)
    assert isinstance(command, commands.Refuse)
    assert command.outcome is outcomes.Outcome.NOT_RUN
    assert isinstance(command.details, commands.LoadEstimate)
    assert (command.details.backend_id, command.details.load) == ("a", 3 * SLOTS)
    again = core_for(directory, "r", 0.2, 10.0)
    again.claim.is_client_retry = True
    assert isinstance(again.next_command(10.0, 3), commands.Refuse)
    again.claim.until = 10.4
    assert isinstance(again.next_command(10.0, 3), commands.Attempt)


def test_nothing_is_sent_to_a_back_end_whose_queue_is_full() -> None:
    directory = busy_directory(int(backend_state.ASSUMED_FULL_LOAD_PER_SLOT) * SLOTS)
    core = core_for(directory, "r", 5.0, 10.0)
    core.claim.is_client_retry = True
    command = core.next_command(10.0, 3)
    assert isinstance(command, commands.Refuse)
    assert (command.outcome, command.reason) == (
        outcomes.Outcome.NOT_RUN,
        commands.RefusalReason.OVERLOADED,
    )
