"""Which nodes keep feeds of the store."""

from __future__ import annotations

import pytest

from limedeck.store import feeds

HEARTBEAT = 0.3


def told_for(policy: feeds.FeedPolicy, start: float, end: float, silence: float = 0.5) -> None:
    now = start
    while now <= end:
        policy.handle_status(False, silence, now)
        now += HEARTBEAT


def test_a_node_that_is_told_keeps_no_feeds() -> None:
    policy = feeds.FeedPolicy(0.0)
    told_for(policy, 0.5, 20.0)
    assert policy.feeds(leads=False, now=20.0) is feeds.FeedMode.NONE


def test_a_new_node_waits_a_little_to_be_told() -> None:
    policy = feeds.FeedPolicy(0.0)
    assert policy.feeds(leads=False, now=feeds.START_PATIENCE - 0.1) is feeds.FeedMode.NONE
    assert policy.feeds(leads=False, now=feeds.START_PATIENCE + 0.1) is feeds.FeedMode.TEMPORARY


def test_a_silent_leader_is_not_waited_for() -> None:
    policy = feeds.FeedPolicy(0.0)
    told_for(policy, 0.0, 10.0)
    assert (
        policy.feeds(leads=False, now=10.0 + feeds.TOLD_PATIENCE + 0.01) is feeds.FeedMode.TEMPORARY
    )


def test_a_leader_that_misses_the_store_tells_nothing() -> None:
    policy = feeds.FeedPolicy(0.0)
    told_for(policy, 0.0, 10.0)
    policy.handle_status(False, feeds.LEADER_STORE_SILENCE + 0.01, 10.0)
    assert policy.feeds(leads=False, now=10.0) is feeds.FeedMode.TEMPORARY


def test_few_of_many_nodes_ask_a_store_that_their_leader_misses() -> None:
    """Found on klvs-gateway-grown: 78 nodes made 5,000 calls in an outage of five seconds."""
    nodes = [feeds.FeedPolicy(0.0, number / 78) for number in range(78)]
    asking = []
    for silence in (1.3, 1.8, 2.3, 5.0):
        for policy in nodes:
            policy.handle_status(False, silence, 10.0, len(nodes))
        keep = [policy.feeds(leads=False, now=10.0) is feeds.FeedMode.TEMPORARY for policy in nodes]
        asking.append(sum(keep))
    assert 1 <= asking[0] <= 2
    assert asking[1] <= 4
    assert asking[2] <= 8
    assert asking[3] == len(nodes)


def test_a_node_that_went_back_to_feeds_stays_a_while() -> None:
    policy = feeds.FeedPolicy(0.0)
    assert policy.feeds(leads=False, now=2.0) is feeds.FeedMode.TEMPORARY
    policy.handle_status(False, 0.1, 2.1)
    assert policy.feeds(leads=False, now=2.2) is feeds.FeedMode.TEMPORARY
    told_for(policy, 2.1, 2.0 + feeds.SHORTEST_STAY)
    assert policy.feeds(leads=False, now=2.0 + feeds.SHORTEST_STAY + 0.1) is feeds.FeedMode.NONE


@pytest.mark.parametrize("leads", [True, False])
def test_leader_and_observers_keep_feeds(leads: bool) -> None:
    policy = feeds.FeedPolicy(0.0)
    policy.handle_status(not leads, 0.1, 0.5)
    assert policy.feeds(leads, 0.6) is feeds.FeedMode.PERMANENT


@pytest.mark.parametrize(
    ("zones", "expected"),
    [
        ({}, set()),
        ({"a": "x"}, {"a"}),
        ({"a": "x", "b": "x", "c": "y", "d": "z"}, {"c", "d"}),
        ({"a": "x", "b": "x", "c": "y"}, {"c", "a"}),
        ({"a": "y", "b": "z", "c": "w"}, {"a", "b"}),
    ],
)
def test_observers_stand_in_other_zones_first(zones: dict[str, str], expected: set[str]) -> None:
    assert feeds.choose_observers(zones, "x") == expected
