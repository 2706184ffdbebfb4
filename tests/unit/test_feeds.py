"""Which nodes keep feeds of the store."""

from __future__ import annotations

import pytest

from limedeck.store import feeds

HEARTBEAT = 0.3


def send_statuses(policy: feeds.FeedPolicy, start: float, end: float, silence: float = 0.5) -> None:
    now = start
    while now <= end:
        policy.handle_status(False, silence, now)
        now += HEARTBEAT


def test_a_node_that_gets_statuses_keeps_no_feeds() -> None:
    policy = feeds.FeedPolicy(0.0)
    send_statuses(policy, 0.5, 20.0)
    assert policy.feeds(leads=False, now=20.0) is feeds.FeedMode.NONE


def test_a_new_node_waits_for_a_status_before_it_keeps_feeds() -> None:
    policy = feeds.FeedPolicy(0.0)
    assert policy.feeds(leads=False, now=feeds.INITIAL_STATUS_TIMEOUT - 0.1) is feeds.FeedMode.NONE
    assert (
        policy.feeds(leads=False, now=feeds.INITIAL_STATUS_TIMEOUT + 0.1)
        is feeds.FeedMode.TEMPORARY
    )


def test_a_node_keeps_feeds_when_statuses_stop() -> None:
    policy = feeds.FeedPolicy(0.0)
    send_statuses(policy, 0.0, 10.0)
    assert (
        policy.feeds(leads=False, now=10.0 + feeds.STATUS_TIMEOUT + 0.01)
        is feeds.FeedMode.TEMPORARY
    )


def test_a_node_keeps_feeds_when_its_leader_misses_the_store() -> None:
    policy = feeds.FeedPolicy(0.0)
    send_statuses(policy, 0.0, 10.0)
    policy.handle_status(False, feeds.MAX_LEADER_STORE_SILENCE + 0.01, 10.0)
    assert policy.feeds(leads=False, now=10.0) is feeds.FeedMode.TEMPORARY


def test_nodes_resume_feeds_gradually_when_their_leader_misses_the_store() -> None:
    """78 nodes that all resumed feeds at once made 5,000 calls in an outage of five seconds."""
    nodes = [feeds.FeedPolicy(0.0, number / 78) for number in range(78)]
    feed_counts = []
    for silence in (1.3, 1.8, 2.3, 5.0):
        for policy in nodes:
            policy.handle_status(False, silence, 10.0, len(nodes))
        feeding = [
            policy.feeds(leads=False, now=10.0) is feeds.FeedMode.TEMPORARY for policy in nodes
        ]
        feed_counts.append(sum(feeding))
    assert 1 <= feed_counts[0] <= 2
    assert feed_counts[1] <= 4
    assert feed_counts[2] <= 8
    assert feed_counts[3] == len(nodes)


def test_a_node_keeps_resumed_feeds_for_a_minimum_time() -> None:
    policy = feeds.FeedPolicy(0.0)
    assert policy.feeds(leads=False, now=2.0) is feeds.FeedMode.TEMPORARY
    policy.handle_status(False, 0.1, 2.1)
    assert policy.feeds(leads=False, now=2.2) is feeds.FeedMode.TEMPORARY
    send_statuses(policy, 2.1, 2.0 + feeds.MIN_FEED_TIME)
    assert policy.feeds(leads=False, now=2.0 + feeds.MIN_FEED_TIME + 0.1) is feeds.FeedMode.NONE


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
def test_observers_are_chosen_in_other_zones_first(
    zones: dict[str, str], expected: set[str]
) -> None:
    assert feeds.choose_observers(zones, "x") == expected
