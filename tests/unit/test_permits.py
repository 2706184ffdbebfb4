"""The limit of a back end is kept by all nodes together, whatever each knows of the others."""

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
TIME_UNTIL_LIMIT_APPLIES = 3.0
NODES = [3, 11, 74, 195]
SEEDS = range(3)


def max_allowed(limit: float) -> float:
    return 1.5 * limit * WINDOW + 5


def create_world(seed: int, nodes: int, limit: float, rate: float = 60.0) -> PermitWorld:
    """Create nodes that follow a leader, and a back end that has just stated its limit."""
    made = PermitWorld(seed, nodes, rate)
    made.elect(made.nodes)
    made.env.run(until=3.0)
    made.limit = limit
    return made


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("limit", [0.0, 0.3, 3.2, 4.2, 40.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_together_keep_the_limit_and_use_most_of_it(
    nodes: int, limit: float, seed: int
) -> None:
    world = create_world(seed, nodes, limit, max(60.0, 3 * limit))
    world.env.run(until=3.0 + TIME_UNTIL_LIMIT_APPLIES)
    before = len(world.arrivals)
    world.env.run(until=36.0)
    assert world.max_arrivals(WINDOW, 3.0 + TIME_UNTIL_LIMIT_APPLIES) <= max_allowed(limit)
    requests_per_second = (len(world.arrivals) - before) / 30.0
    assert 0.7 * limit <= requests_per_second <= max(1.1 * limit, 2.0 * MIN_RATE)
    assert world.slowest_refusal <= 0.15


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_sent_without_a_leader_and_its_successor_issues_permits(
    nodes: int, seed: int
) -> None:
    world = create_world(seed, nodes, 4.2)
    world.env.run(until=8.0)
    for node in world.nodes:
        node.leader = None
    world.env.run(until=9.0)
    before = len(world.arrivals)
    world.env.run(until=11.0)
    assert len(world.arrivals) == before
    world.elect(world.nodes)
    world.env.run(until=13.0)
    before = len(world.arrivals)
    world.env.run(until=23.0)
    assert world.max_arrivals(WINDOW, 6.0) <= max_allowed(4.2)
    assert len(world.arrivals) - before >= 0.7 * 4.2 * 10.0


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("limit", [0.3, 4.2, 40.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_replaced_leader_and_its_successor_together_keep_the_limit(
    nodes: int, limit: float, seed: int
) -> None:
    """Half of the nodes, with the former leader, are cut off from the store and the other nodes."""
    world = create_world(seed, nodes, limit, max(60.0, 3 * limit))
    world.env.run(until=7.0)
    former = world.nodes[0].leader
    assert former is not None
    former.reaches_store = False
    world.elect(world.nodes[: nodes // 2])
    world.env.run(until=30.0)
    assert world.max_arrivals(WINDOW, 3.0 + TIME_UNTIL_LIMIT_APPLIES) <= max_allowed(limit)


@pytest.mark.parametrize("nodes", NODES)
def test_leaders_in_quick_succession_together_keep_the_limit(nodes: int) -> None:
    """Each leads for a second, and some nodes continue to follow leaders that were replaced."""
    world = create_world(1, nodes, 4.2)
    for number in range(12):
        world.elect(world.nodes[number % 3 :])
        world.env.run(until=4.0 + number)
    assert world.max_arrivals(WINDOW, 3.0 + TIME_UNTIL_LIMIT_APPLIES) <= max_allowed(4.2)


@pytest.mark.parametrize("nodes", NODES)
def test_lowered_limit_applies_at_once_and_raised_limit_is_used(nodes: int) -> None:
    world = create_world(2, nodes, 40.0, 120.0)
    world.env.run(until=8.0)
    world.limit = 3.0
    world.env.run(until=20.0)
    assert world.max_arrivals(WINDOW, 8.0 + 0.7) <= max_allowed(3.0)
    world.limit = 40.0
    world.env.run(until=22.0)
    before = len(world.arrivals)
    world.env.run(until=32.0)
    assert len(world.arrivals) - before >= 0.7 * 40.0 * 10.0
    world.limit = None
    world.env.run(until=34.0)
    before = len(world.arrivals)
    world.env.run(until=36.0)
    assert len(world.arrivals) - before >= 0.7 * 120.0 * 2.0


def count_issued(
    issuer: PermitIssuer, rate: float, silence: float, start: float, end: float
) -> int:
    """Return the number of permits issued if nodes request them all the time."""
    steps = range(round(start * 1000), round(end * 1000))
    permit_request = PermitRequest(RateBound("a", rate), 0.0)
    responses = [issuer.issue(permit_request, None, silence, step / 1000) for step in steps]
    return sum(isinstance(response, Permit) for response in responses)


def test_leader_issues_the_full_rate_only_while_it_is_the_only_leader() -> None:
    for silence, part in ((0.0, 1.0), (FULL_RATE_CONFIRMATION_AGE, UNCONFIRMED_PART)):
        issuer = PermitIssuer(0.0)
        assert count_issued(
            issuer, 4.0, silence, FULL_RATE_CONFIRMATION_AGE, 101.2
        ) == pytest.approx(400 * part, abs=2)
    assert count_issued(PermitIssuer(0.0), 4.0, 0.0, 0.0, FULL_RATE_CONFIRMATION_AGE) <= 2


def test_permits_are_issued_for_a_limit_of_zero_even_while_the_store_is_unreachable() -> None:
    """Without requests the back end could not state for 40 s that it has recovered."""
    for silence in (0.0, 100.0):
        assert count_issued(PermitIssuer(0.0), 0.0, silence, 10.0, 50.0) == pytest.approx(10, abs=1)


def test_issuer_uses_the_lower_of_both_known_bounds() -> None:
    issuer = PermitIssuer(0.0)
    permit_request = PermitRequest(RateBound("a", 40.0), 0.0)
    assert isinstance(issuer.issue(permit_request, 2.0, 0.0, 10.0), Permit)
    responses = [issuer.issue(permit_request, 2.0, 0.0, 10.0 + step / 100) for step in range(1, 25)]
    assert all(isinstance(response, PermitDenied) for response in responses)


def test_urgent_requests_get_the_next_turn() -> None:
    issuer = PermitIssuer(0.0)
    bound = RateBound("a", 10.0)
    while isinstance(issuer.issue(PermitRequest(bound, 0.0), None, 0.0, 10.0), Permit):
        continue
    waiting = issuer.issue(PermitRequest(bound, 0.08), None, 0.0, 10.05)
    assert isinstance(waiting, Permit)
    assert 0.0 < waiting.wait <= 0.08
    assert isinstance(issuer.issue(PermitRequest(bound, 0.04), None, 0.0, 10.05), PermitDenied)
