"""A back end's limit holds over all nodes, whatever each of them believes of the others."""

from __future__ import annotations

import pytest

from limedeck.forwarding.permits import (
    FULL_RATE_CONFIRMATION_AGE,
    MIN_RATE,
    UNCONFIRMED_PART,
    Permit,
    PermitDenied,
    PermitIssuer,
    PermitRequest,
    RateBound,
)
from tests.unit.permit_world import PermitWorld

WINDOW = 4.0
BINDS_AFTER = 3.0
NODES = [3, 11, 74, 195]
SEEDS = range(3)


def allowed(limit: float) -> float:
    return 1.5 * limit * WINDOW + 5


def world(seed: int, nodes: int, limit: float, rate: float = 60.0) -> PermitWorld:
    """Nodes that follow a leader, and a back end that has just named its limit."""
    made = PermitWorld(seed, nodes, rate)
    made.elect(made.nodes)
    made.env.run(until=3.0)
    made.limit = limit
    return made


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("limit", [0.0, 0.3, 3.2, 4.2, 40.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_all_nodes_together_keep_to_it_and_use_most_of_it(
    nodes: int, limit: float, seed: int
) -> None:
    played = world(seed, nodes, limit, max(60.0, 3 * limit))
    played.env.run(until=3.0 + BINDS_AFTER)
    before = len(played.arrivals)
    played.env.run(until=36.0)
    assert played.most_in(WINDOW, 3.0 + BINDS_AFTER) <= allowed(limit)
    got = (len(played.arrivals) - before) / 30.0
    assert 0.7 * limit <= got <= max(1.1 * limit, 2.0 * MIN_RATE)
    assert played.slowest_refusal <= 0.15


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("seed", SEEDS)
def test_without_a_leader_nothing_is_sent_and_its_successor_goes_on(nodes: int, seed: int) -> None:
    played = world(seed, nodes, 4.2)
    played.env.run(until=8.0)
    for node in played.nodes:
        node.leader = None
    played.env.run(until=9.0)
    before = len(played.arrivals)
    played.env.run(until=11.0)
    assert len(played.arrivals) == before
    played.elect(played.nodes)
    played.env.run(until=13.0)
    before = len(played.arrivals)
    played.env.run(until=23.0)
    assert played.most_in(WINDOW, 6.0) <= allowed(4.2)
    assert len(played.arrivals) - before >= 0.7 * 4.2 * 10.0


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("limit", [0.3, 4.2, 40.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_two_leaders_of_which_one_was_replaced_unheard_keep_to_it_together(
    nodes: int, limit: float, seed: int
) -> None:
    """Half of the nodes, with the former leader, are cut off from the store and the others."""
    played = world(seed, nodes, limit, max(60.0, 3 * limit))
    played.env.run(until=7.0)
    former = played.nodes[0].leader
    assert former is not None
    former.reaches_store = False
    played.elect(played.nodes[: nodes // 2])
    played.env.run(until=30.0)
    assert played.most_in(WINDOW, 3.0 + BINDS_AFTER) <= allowed(limit)


@pytest.mark.parametrize("nodes", NODES)
def test_leaders_that_follow_each_other_fast_do_not_add_up(nodes: int) -> None:
    """Each leads for a second, and some nodes go on hearing each that was replaced."""
    played = world(1, nodes, 4.2)
    for number in range(12):
        played.elect(played.nodes[number % 3 :])
        played.env.run(until=4.0 + number)
    assert played.most_in(WINDOW, 3.0 + BINDS_AFTER) <= allowed(4.2)


@pytest.mark.parametrize("nodes", NODES)
def test_a_limit_that_falls_binds_at_once_and_one_that_rises_is_used(nodes: int) -> None:
    played = world(2, nodes, 40.0, 120.0)
    played.env.run(until=8.0)
    played.limit = 3.0
    played.env.run(until=20.0)
    assert played.most_in(WINDOW, 8.0 + 0.7) <= allowed(3.0)
    played.limit = 40.0
    played.env.run(until=22.0)
    before = len(played.arrivals)
    played.env.run(until=32.0)
    assert len(played.arrivals) - before >= 0.7 * 40.0 * 10.0
    played.limit = None
    played.env.run(until=34.0)
    before = len(played.arrivals)
    played.env.run(until=36.0)
    assert len(played.arrivals) - before >= 0.7 * 120.0 * 2.0


def lent(lender: PermitIssuer, rate: float, silence: float, start: float, end: float) -> int:
    """Permits that are lent to nodes that ask all the time."""
    steps = range(round(start * 1000), round(end * 1000))
    ask = PermitRequest(RateBound("a", rate), 0.0)
    answers = [lender.issue(ask, None, silence, step / 1000) for step in steps]
    return sum(isinstance(answer, Permit) for answer in answers)


def test_a_leader_lends_the_full_rate_only_while_it_is_surely_the_only_one() -> None:
    for silence, part in ((0.0, 1.0), (FULL_RATE_CONFIRMATION_AGE, UNCONFIRMED_PART)):
        lender = PermitIssuer(0.0)
        assert lent(lender, 4.0, silence, FULL_RATE_CONFIRMATION_AGE, 101.2) == pytest.approx(
            400 * part, abs=2
        )
    assert lent(PermitIssuer(0.0), 4.0, 0.0, 0.0, FULL_RATE_CONFIRMATION_AGE) <= 2


def test_one_that_takes_nothing_is_asked_now_and_then_also_while_the_store_is_away() -> None:
    """Else it could not say for 40 s that it is well again."""
    for silence in (0.0, 100.0):
        assert lent(PermitIssuer(0.0), 0.0, silence, 10.0, 50.0) == pytest.approx(10, abs=1)


def test_a_lender_goes_by_the_lower_of_what_both_believe() -> None:
    lender = PermitIssuer(0.0)
    ask = PermitRequest(RateBound("a", 40.0), 0.0)
    assert isinstance(lender.issue(ask, 2.0, 0.0, 10.0), Permit)
    answers = [lender.issue(ask, 2.0, 0.0, 10.0 + step / 100) for step in range(1, 25)]
    assert all(isinstance(answer, PermitDenied) for answer in answers)


def test_the_urgent_have_the_next_turn() -> None:
    lender = PermitIssuer(0.0)
    bound = RateBound("a", 10.0)
    while isinstance(lender.issue(PermitRequest(bound, 0.0), None, 0.0, 10.0), Permit):
        continue
    patient = lender.issue(PermitRequest(bound, 0.08), None, 0.0, 10.05)
    assert isinstance(patient, Permit)
    assert 0.0 < patient.wait <= 0.08
    assert isinstance(lender.issue(PermitRequest(bound, 0.04), None, 0.0, 10.05), PermitDenied)
