"""Nodes that the store refuses receive changes from others: replicas and their updates."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest

from limedeck import errors
from limedeck.api import control_pb2
from limedeck.node import peer_tables, table_exchange, watchers
from limedeck.store import feeds, replica, rows
from tests.unit import test_watchers


@dataclasses.dataclass
class ReplicaUser:
    """Values that a replica has passed to its user."""

    values: dict[str, bytes] = dataclasses.field(default_factory=dict)
    completions: int = 0

    def put(self, row: rows.StoredRow, source: replica.Source) -> None:
        self.values[row.key] = row.value

    def remove(self, key: str) -> None:
        del self.values[key]

    def complete(self) -> None:
        self.completions += 1


class Node:
    """A node whose watcher never runs: the test takes the part of the store."""

    def __init__(self) -> None:
        self.user = ReplicaUser()
        follower = watchers.TableSubscription(
            "t", self.user.put, self.user.remove, self.user.complete, 0.0, 20.0
        )
        self.watcher = watchers.TableWatcher(test_watchers.ScriptedStore(), follower)
        self.watcher.set_feeds(feeds.FeedMode.PERMANENT)
        self.replica = self.watcher.replica
        self.exchange = table_exchange.TableExchange([self.watcher])

    def learns(self, now: float, *entries: replica.Entry) -> None:
        self.replica.apply_changes(entries, replica.Source.STORE, now)

    def reads(self, now: float, newest: int, *entries: replica.Entry) -> None:
        self.replica.apply_snapshot(entries, newest, replica.Source.STORE, now)


def entry(key: str, version: int, value: bytes | None = b"x") -> replica.Entry:
    return replica.Entry(key, version, value)


def exchange(leader: Node, follower: Node, now: float) -> int:
    """Exchange a report and a status on an old connection; return the size of the sent entries."""
    at_leader, at_follower = peer_tables.PeerTables(0.0), peer_tables.PeerTables(0.0)
    report, status = control_pb2.Report(), control_pb2.Status()
    follower.exchange.fill(report, at_follower, now)
    leader.exchange.apply(report, at_leader, now)
    leader.exchange.fill(status, at_leader, now)
    follower.exchange.apply(status, at_follower, now)
    return sum(len(update.entries) for update in status.news)


def test_a_node_that_the_store_refuses_receives_changes_from_the_leader() -> None:
    """In a test run, they learned of a leaving back end only when the store served them again."""
    leader, refused = Node(), Node()
    for node in (leader, refused):
        node.reads(1.0, 2, entry("a", 1), entry("b", 2))
    leader.learns(5.0, entry("a", 3, b"draining"))
    leader.learns(5.1, entry("b", 4, None))
    exchange(leader, refused, 5.0 + peer_tables.FEED_GRACE + 0.2)
    assert refused.user.values == {"a": b"draining"}
    assert refused.replica.newest == 4


def test_nodes_that_the_store_serves_are_sent_nothing() -> None:
    leader, served = Node(), Node()
    for node in (leader, served):
        node.reads(1.0, 1, entry("a", 1))
        node.learns(5.0, entry("a", 2))
    assert exchange(leader, served, 9.0) == 0
    leader.learns(9.0, entry("a", 3))
    assert exchange(leader, served, 9.0 + peer_tables.FEED_GRACE / 2) == 0


def test_a_node_with_an_empty_replica_is_sent_a_snapshot() -> None:
    leader, new = Node(), Node()
    leader.reads(1.0, 5, entry("a", 1), entry("b", 5))
    leader.learns(2.0, entry("a", 6, None))
    exchange(leader, new, 9.0)
    assert new.user.values == {"b": b"x"}
    assert new.user.completions == 1
    assert new.replica.is_complete


def test_a_node_that_missed_forgotten_changes_is_sent_a_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replica, "MAX_DROPPED_ROWS", 3)
    leader, behind = Node(), Node()
    for node in (leader, behind):
        node.reads(1.0, 9, *(entry(f"k{number}", number) for number in range(1, 10)))
    for number in range(1, 9):
        leader.learns(2.0, entry(f"k{number}", 10 + number, None))
    exchange(leader, behind, 9.0)
    assert behind.user.values == {"k9": b"x"}


def test_changes_from_another_node_are_passed_on_immediately() -> None:
    leader, refused = Node(), Node()
    for node in (leader, refused):
        node.reads(1.0, 1, entry("a", 1))
    leader.watcher.handle_update(replica.TableUpdate("t", (entry("a", 2, b"new"),), 2), 9.0)
    exchange(leader, refused, 9.0)
    assert refused.user.values == {"a": b"new"}


def test_a_new_connection_gives_the_other_node_time_to_read_the_store() -> None:
    leader = Node()
    leader.reads(1.0, 1, entry("a", 1))
    peer = peer_tables.PeerTables(since=9.0, has_reported=True)
    status = control_pb2.Status()
    leader.exchange.fill(status, peer, 9.0 + peer_tables.FEED_GRACE / 2)
    assert not status.news


def snapshots_sent(leader: Node, now: float, followers: int) -> int:
    """Connect nodes without feeds at the same time; return how many are sent a snapshot."""
    count = 0
    for _ in range(followers):
        peer = peer_tables.PeerTables(now, has_reported=True, keeps_feeds=False)
        status = control_pb2.Status()
        leader.exchange.fill(status, peer, now)
        count += len(status.news)
    return count


def large_table(rows_count: int) -> list[replica.Entry]:
    """Return rows like those of back ends, which are mostly alike."""
    text = (
        b'{"address":"10.1.64.%d:8648","info":{"backend":"s","version":"v1","slots":2,"zone":"z"}}'
    )
    return [
        entry(f"i-{number * 7919 % 65_536:x}", number + 1, text % number)
        for number in range(rows_count)
    ]


def test_a_starting_fleet_is_sent_the_tables_by_its_leader() -> None:
    """On zhbs-gate-large, 195 nodes read 300 rows from the store each time they started."""
    leader = Node()
    leader.exchange = table_exchange.TableExchange([leader.watcher], link=12.5e6)
    leader.reads(1.0, 300, *large_table(300))
    assert leader.replica.update_for(0) is not None
    assert snapshots_sent(leader, 1.2, 195) == 195


def test_a_leader_with_a_slow_link_spreads_snapshots_over_time() -> None:
    leader = Node()
    leader.exchange = table_exchange.TableExchange([leader.watcher], link=0.25e6)
    leader.reads(1.0, 300, *large_table(300))
    at_once = snapshots_sent(leader, 1.2, 195)
    assert 0 < at_once < 100
    assert 0 < snapshots_sent(leader, 1.7, 195) <= at_once


def test_a_table_that_is_too_large_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_exchange, "MAX_UPDATE_SIZE", 1_000)
    leader = Node()
    leader.reads(1.0, 300, *large_table(300))
    assert snapshots_sent(leader, 1.2, 3) == 0


def test_an_older_read_of_the_store_reverts_nothing() -> None:
    node = Node()
    node.reads(1.0, 2, entry("a", 1), entry("b", 2))
    node.watcher.handle_update(
        replica.TableUpdate("t", (entry("a", 5, b"new"), entry("c", 6)), 6), 2.0
    )
    node.reads(3.0, 4, entry("a", 4, b"old"))
    assert node.user.values == {"a": b"new", "c": b"x"}


@pytest.mark.parametrize("seed", range(20))
def test_replicas_agree_whatever_the_source_of_changes(seed: int) -> None:
    """Random changes; each node learns each from the store or, when refused, from the leader."""
    random_source = random.Random(seed)
    nodes = [Node() for _ in range(4)]
    for node in nodes:
        node.reads(0.0, 1, entry("k0", 1))
    version = itertools.count(2)
    refused: set[int] = set()
    missed: dict[int, list[replica.Entry]] = {index: [] for index in range(4)}
    for step in range(60):
        now = 1.0 + step
        if random_source.random() < 0.3:
            refused = {index for index in range(1, 4) if random_source.random() < 0.5}
        key = f"k{random_source.randrange(6)}"
        value = None if random_source.random() < 0.3 else b"%d" % step
        change = entry(key, next(version), value)
        for index, node in enumerate(nodes):
            missed[index].append(change)
            if index not in refused:
                node.learns(now, *missed[index])
                missed[index].clear()
        leader = nodes[0]
        for node in nodes[1:]:
            exchange(leader, node, now + peer_tables.FEED_GRACE + 0.1)
            assert node.user.values == leader.user.values
            assert node.replica.newest == leader.replica.newest


def test_an_update_that_cannot_be_decompressed_is_refused() -> None:
    status = control_pb2.Status(news=[control_pb2.TableNews(table="t", entries=b"no zlib")])
    with pytest.raises(errors.PeerProtocolError):
        table_exchange.TableExchange((Node().watcher,)).apply(
            status, peer_tables.PeerTables(0.0), 0.0
        )


class Connection:
    """A lasting connection between a leader and a follower that learns nothing from the store."""

    def __init__(
        self, leader: Node, follower: Node, now: float, follower_keeps_feeds: bool
    ) -> None:
        self.leader, self.follower = leader, follower
        self.at_leader = peer_tables.PeerTables(now)
        self.at_follower = peer_tables.PeerTables(now)
        self.follower_keeps_feeds = follower_keeps_feeds
        self.sent_bytes = 0

    def report(self, now: float) -> None:
        report = control_pb2.Report()
        self.follower.exchange.fill(report, self.at_follower, now)
        self.leader.exchange.apply(report, self.at_leader, now)
        self.at_leader.keeps_feeds = self.follower_keeps_feeds

    def status(self, now: float) -> None:
        status = control_pb2.Status()
        self.leader.exchange.fill(status, self.at_leader, now)
        self.sent_bytes += status.ByteSize()
        self.follower.exchange.apply(status, self.at_follower, now)


CONFIGURATION_DEADLINE = 2.0
STATUS_INTERVAL = 0.3
REPORT_INTERVAL = 0.25
STEP = 0.01


def run_configuration_storm(
    informed: Node,
    connections: list[Connection],
    interval: float,
    value: bytes = b"x",
    seconds: float = 6.0,
) -> float:
    """Change one row at an interval; return the longest time that any node lacked a version."""
    nodes = {id(node): node for item in connections for node in (item.leader, item.follower)}
    for node in nodes.values():
        node.reads(0.0, 1, entry("config", 1))
    acknowledged: list[tuple[float, int]] = []
    longest = 0.0
    for step in range(int((seconds + CONFIGURATION_DEADLINE) / STEP)):
        now = 1.0 + step * STEP
        if step * STEP < seconds and step % max(round(interval / STEP), 1) == 0:
            version = 2 + len(acknowledged)
            acknowledged.append((now, version))
            informed.learns(now, entry("config", version, b"%d" % version + value))
            for item in connections:
                item.status(now)
        for item in connections:
            if step % round(REPORT_INTERVAL / STEP) == 0:
                item.report(now)
            if step % round(STATUS_INTERVAL / STEP) == 0:
                item.status(now)
        for node in nodes.values():
            lacked = next(
                (at for at, version in acknowledged if version > node.watcher.newest), now
            )
            longest = max(longest, now - lacked)
    return longest


@pytest.mark.parametrize("interval", [0.01, 0.04, 0.1, 0.4, 0.55, 0.7, 1.0])
def test_an_observer_whose_feed_is_dead_receives_changes_in_quick_succession(
    interval: float,
) -> None:
    leader = Node()
    connections = [Connection(leader, Node(), 0.0, follower_keeps_feeds=True) for _ in range(2)]
    assert run_configuration_storm(leader, connections, interval) < CONFIGURATION_DEADLINE


@pytest.mark.parametrize("interval", [0.04, 0.4, 1.0])
@pytest.mark.parametrize("followers", [2, 10, 73, 194])
def test_a_configuration_too_large_to_be_sent_immediately_arrives_during_a_storm(
    interval: float, followers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(table_exchange, "MAX_UPDATE_SIZE", 1_000)
    leader = Node()
    value = random.Random(1).randbytes(2_000)
    connections = [
        Connection(leader, Node(), 0.0, follower_keeps_feeds=False) for _ in range(followers)
    ]
    seconds = 6.0 if followers < 50 else 2.0
    lacked = run_configuration_storm(leader, connections, interval, value, seconds)
    assert lacked < CONFIGURATION_DEADLINE


@pytest.mark.parametrize("interval", [0.04, 0.4, 1.0])
def test_a_leader_that_the_store_refuses_receives_changes_in_quick_succession(
    interval: float,
) -> None:
    leader, observer, other = Node(), Node(), Node()
    connections = [
        Connection(leader, observer, 0.0, follower_keeps_feeds=True),
        Connection(leader, other, 0.0, follower_keeps_feeds=False),
    ]
    assert run_configuration_storm(observer, connections, interval) < CONFIGURATION_DEADLINE


def test_a_storm_sends_each_node_no_more_than_one_version_for_each_of_its_reports() -> None:
    leader = Node()
    value = random.Random(1).randbytes(8_000)
    connection = Connection(leader, Node(), 0.0, follower_keeps_feeds=False)
    run_configuration_storm(leader, [connection], 0.02, value)
    reports = 8.0 / REPORT_INTERVAL
    assert connection.sent_bytes < (reports + 1) * len(value) * 1.2
