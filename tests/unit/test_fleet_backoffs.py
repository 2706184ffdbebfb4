"""Detection of rejecting back ends from the back-offs that nodes report."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limedeck.ownership.fleet_backoffs import OWNER_COOLDOWN, FleetBackoffs
from limedeck.ownership.fleet_load import BackendReport

BACKEND = 7


def backoff_report(remaining: float) -> list[BackendReport]:
    return [BackendReport(BACKEND, 0, 0, 0.0, 0, remaining)]


def served_report() -> list[BackendReport]:
    return [BackendReport(BACKEND, 1, 1, 0.02)]


def fleet_of_nodes(nodes: int) -> FleetBackoffs:
    fleet = FleetBackoffs()
    for number in range(nodes):
        fleet.record_report(f"n{number}", [], 0.0)
    return fleet


def test_backoff_of_one_node_is_not_sufficient() -> None:
    fleet = fleet_of_nodes(11)
    fleet.record_report("n0", backoff_report(3.0), 1.0)
    assert fleet.update_rejecting(1.0) == set()


def test_back_end_that_rejects_several_nodes_and_serves_none_is_rejecting() -> None:
    fleet = fleet_of_nodes(11)
    for node in ("n0", "n1"):
        fleet.record_report(node, backoff_report(3.0), 1.0)
    assert fleet.update_rejecting(1.0) == {BACKEND}
    assert fleet.update_rejecting(4.0) == set()


def test_back_end_that_serves_more_nodes_than_it_rejects_is_not_rejecting() -> None:
    fleet = fleet_of_nodes(11)
    for node in ("n0", "n1"):
        fleet.record_report(node, backoff_report(3.0), 1.0)
    for node in ("n2", "n3", "n4"):
        fleet.record_report(node, served_report(), 1.0)
    assert fleet.update_rejecting(1.0) == set()


def test_backoff_of_the_only_node_is_sufficient() -> None:
    fleet = fleet_of_nodes(1)
    fleet.record_report("n0", backoff_report(3.0), 1.0)
    assert fleet.update_rejecting(1.0) == {BACKEND}


def test_back_end_is_avoided_as_owner_until_the_cooldown_ends() -> None:
    fleet = fleet_of_nodes(2)
    for node in ("n0", "n1"):
        fleet.record_report(node, backoff_report(1.0), 1.0)
    assert fleet.update_rejecting(1.0) == {BACKEND}
    for node in ("n0", "n1"):
        fleet.record_report(node, [], 2.0)
    assert fleet.update_rejecting(2.0) == set()
    assert fleet.avoided_owners(1.0 + OWNER_COOLDOWN - 0.1) == {BACKEND}
    assert fleet.avoided_owners(1.0 + OWNER_COOLDOWN) == set()


@pytest.mark.parametrize("ending", ["forget", "report"])
def test_node_that_disconnects_or_stops_backing_off_is_not_counted(ending: str) -> None:
    fleet = fleet_of_nodes(3)
    for node in ("n0", "n1"):
        fleet.record_report(node, backoff_report(9.0), 1.0)
    if ending == "forget":
        fleet.forget("n1")
    else:
        fleet.record_report("n1", [], 1.1)
    assert fleet.update_rejecting(1.2) == set()


@given(
    st.lists(
        st.tuples(
            st.integers(0, 10), st.floats(0.0, 20.0), st.sampled_from(["off", "served", "-"])
        ),
        max_size=40,
    )
)
def test_records_of_recovered_back_ends_are_dropped(
    events: list[tuple[int, float, str]],
) -> None:
    fleet = fleet_of_nodes(11)
    reports = {"off": backoff_report(3.0), "served": served_report(), "-": []}
    for number, at, kind in sorted(events, key=lambda item: item[1]):
        fleet.record_report(f"n{number}", reports[kind], at)
        fleet.update_rejecting(at)
    for number in range(11):
        fleet.record_report(f"n{number}", [], 30.0)
    fleet.update_rejecting(30.0 + OWNER_COOLDOWN)
    assert fleet.avoided_owners(30.0 + OWNER_COOLDOWN) == set()
    assert fleet.update_rejecting(30.0 + OWNER_COOLDOWN) == set()
