"""Replicas of a table whose store returns from copies: nothing known is lost, and all agree."""

from __future__ import annotations

import dataclasses
import random

import pytest

from limedeck import versions
from limedeck.api import control_pb2
from limedeck.node import peer_tables, table_exchange, watchers
from limedeck.store import feeds, replica, rows
from tests.unit import test_table_exchange, test_watchers

STEP = 0.1
WRITER_RETURN_TIME = 2.0
LAPSE_TIME = 3.0
KEYS = [f"k{number}" for number in range(6)]


def sequence_of(value: bytes) -> replica.WriterSequence | None:
    return (int(value),)


class Node(test_table_exchange.Node):
    """A node whose rows hold the sequence of their writers."""

    def __init__(self, has_feed: bool = True) -> None:
        super().__init__()
        follower = watchers.TableSubscription(
            "t",
            self.put,
            self.user.remove,
            self.user.complete,
            0.0,
            20.0,
            sequence_of,
        )
        self.highest: dict[str, int] = {}
        self.has_feed = has_feed
        self.feed_version: versions.StoreVersion | None = None
        self.watcher = watchers.TableWatcher(test_watchers.ScriptedStore(), follower)
        self.watcher.set_feeds(feeds.FeedMode.PERMANENT if has_feed else feeds.FeedMode.NONE)
        self.replica = self.watcher.replica
        self.exchange = table_exchange.TableExchange([self.watcher])

    def put(self, row: rows.StoredRow, source: replica.Source) -> None:
        sequence = int(row.value)
        assert sequence >= self.highest.get(row.key, 0), "a row went back within a node's life"
        self.highest[row.key] = sequence
        self.user.put(row, source)


@dataclasses.dataclass
class Store:
    """A store that returns from copies."""

    era: int = 1
    number: int = 0
    rows: dict[str, tuple[bytes, int]] = dataclasses.field(default_factory=dict)
    gone: dict[str, int] = dataclasses.field(default_factory=dict)
    copies: list[tuple[float, int, dict[str, tuple[bytes, int]], dict[str, int]]] = (
        dataclasses.field(default_factory=list)
    )

    @property
    def version(self) -> versions.StoreVersion:
        return versions.store_version(self.era, self.number)

    def keep_copy(self, now: float) -> None:
        self.copies.append((now, self.number, dict(self.rows), dict(self.gone)))

    def put(self, key: str, value: bytes) -> None:
        self.number += 1
        self.gone.pop(key, None)
        self.rows[key] = (value, self.number)

    def drop(self, key: str) -> None:
        if self.rows.pop(key, None) is not None:
            self.number += 1
            self.gone[key] = self.number

    def return_from_copy(self, at: float) -> None:
        while len(self.copies) > 1 and self.copies[-1][0] > at:
            self.copies.pop()
        _, self.number, rows, gone = self.copies[-1]
        self.rows, self.gone = dict(rows), dict(gone)
        self.era += 1

    def snapshot(self) -> list[replica.Entry]:
        return [self._entry(key, number, value) for key, (value, number) in self.rows.items()]

    def changes(self, after: int) -> list[replica.Entry]:
        found = [item for item in self.snapshot() if versions.number_of(item.version) > after]
        found += [self._entry(key, at, None) for key, at in self.gone.items() if at > after]
        return sorted(found, key=lambda entry: entry.version)

    def _entry(self, key: str, number: int, value: bytes | None) -> replica.Entry:
        return replica.Entry(key, versions.store_version(self.era, number), value)


class Fleet:
    """A leader, two observers and followers, of which each message may be lost with its connection.

    Parameters
    ----------
    writers
        Sequence of each live writer, by the key of its row.
    """

    def __init__(self, seed: int, node_count: int) -> None:
        self.random = random.Random(seed)
        self.now = 1.0
        self.store = Store()
        self.writers = dict.fromkeys(KEYS, 1)
        for key in KEYS:
            self.store.put(key, b"1")
        self.store.keep_copy(self.now)
        self.nodes = [Node(index < 3) for index in range(node_count)]
        self.connections = [self._connect(index) for index in range(1, node_count)]
        self.rewrites: list[tuple[float, str]] = []
        self.lapses: list[tuple[float, str]] = []

    def _connect(self, index: int) -> test_table_exchange.Connection:
        node = self.nodes[index]
        return test_table_exchange.Connection(self.nodes[0], node, self.now, node.has_feed)

    def write(self, key: str) -> None:
        self.writers[key] += 1
        self.store.put(key, b"%d" % self.writers[key])

    def end_writer(self, key: str) -> None:
        self.writers.pop(key, None)
        self.store.drop(key)

    def return_store(self, seconds: float) -> None:
        self.store.return_from_copy(self.now - seconds)
        for key in self.writers:
            delay = self.random.uniform(0.0, WRITER_RETURN_TIME)
            self.rewrites.append((self.now + delay, key))
        self.lapses += [(self.now + LAPSE_TIME, key) for key in KEYS]

    def step(self, is_lossy: bool) -> None:
        self.now += STEP
        self._do_due_writes()
        self.store.keep_copy(self.now)
        for node in self.nodes:
            if node.has_feed and (not is_lossy or self.random.random() < 0.7):
                self._follow_store(node)
        for index in range(1, len(self.nodes)):
            if is_lossy and self.random.random() < 0.05:
                self.connections[index - 1] = self._connect(index)
            if not is_lossy or self.random.random() < 0.8:
                self.connections[index - 1].report(self.now)
                self.connections[index - 1].status(self.now)
        for node in self.nodes:
            if node.replica.needs_settling(self.now):
                self._read(node)

    def _do_due_writes(self) -> None:
        for due, key in [item for item in self.rewrites if item[0] <= self.now]:
            self.rewrites.remove((due, key))
            if key in self.writers:
                self.write(key)
        for due, key in [item for item in self.lapses if item[0] <= self.now]:
            self.lapses.remove((due, key))
            if key not in self.writers:
                self.store.drop(key)

    def _follow_store(self, node: Node) -> None:
        after = node.feed_version
        if after is None or versions.era_of(after) != self.store.era:
            self._read(node)
            return
        changes = self.store.changes(versions.number_of(after))
        node.replica.apply_changes(changes, replica.Source.STORE, self.now)
        node.feed_version = self.store.version

    def _read(self, node: Node) -> None:
        entries, newest = self.store.snapshot(), self.store.version
        node.replica.apply_snapshot(entries, newest, replica.Source.STORE, self.now)
        node.feed_version = newest

    def values(self) -> dict[str, bytes]:
        return {key: value for key, (value, _) in self.store.rows.items()}


@pytest.mark.parametrize(
    ("node_count", "seed"),
    [(3, seed) for seed in range(12)]
    + [(11, seed) for seed in range(8)]
    + [(74, seed) for seed in range(2)]
    + [(195, 1)],
)
def test_replicas_agree_with_a_store_that_returned_from_copies(node_count: int, seed: int) -> None:
    fleet = Fleet(seed, node_count)
    for _ in range(10):
        fleet.step(is_lossy=False)
    for _ in range(80 if node_count < 50 else 40):
        drawn = fleet.random.random()
        key = fleet.random.choice(KEYS)
        if drawn < 0.06:
            fleet.return_store(fleet.random.uniform(0.1, 6.0))
        elif drawn < 0.12:
            fleet.end_writer(key)
        elif drawn < 0.5 and key in fleet.writers:
            fleet.write(key)
        elif drawn < 0.53 and node_count > 3:
            index = fleet.random.randrange(3, node_count)
            fleet.nodes[index] = Node(has_feed=False)
            fleet.connections[index - 1] = fleet._connect(index)
        fleet.step(is_lossy=True)
    for _ in range(90):
        fleet.step(is_lossy=False)
    assert {key: int(value) for key, value in fleet.values().items()} == fleet.writers
    for node in fleet.nodes:
        assert node.user.values == fleet.values()


def entry(key: str, era: int, number: int, value: bytes | None) -> replica.Entry:
    return replica.Entry(key, versions.store_version(era, number), value)


def read(node: Node, now: float, era: int, number: int, *entries: replica.Entry) -> None:
    newest = versions.store_version(era, number)
    node.replica.apply_snapshot(entries, newest, replica.Source.STORE, now)


def node_that_knows(*entries: replica.Entry) -> Node:
    node = Node()
    read(node, 1.0, 1, 20, *entries)
    return node


def test_a_row_that_the_copy_shows_in_an_earlier_state_is_held_until_its_writer_writes_it() -> None:
    node = node_that_knows(entry("a", 1, 9, b"5"))
    read(node, 2.0, 2, 7, entry("a", 2, 4, b"3"))
    assert node.user.values == {"a": b"5"}
    node.learns(3.0, entry("a", 2, 8, b"4"))
    assert node.user.values == {"a": b"5"}
    node.learns(4.0, entry("a", 2, 9, b"5"))
    node.learns(5.0, entry("a", 2, 10, b"6"))
    assert node.user.values == {"a": b"6"}


def test_a_row_that_the_copy_lacks_is_held_until_writers_have_written_theirs_again() -> None:
    node = node_that_knows(entry("a", 1, 9, b"1"), entry("b", 1, 10, b"1"))
    read(node, 2.0, 2, 7)
    assert node.user.values.keys() == {"a", "b"}
    node.learns(3.0, entry("a", 2, 8, b"2"))
    settled = 2.0 + replica.ROW_RETURN_TIME
    assert node.replica.needs_settling(settled)
    read(node, settled, 2, 8, entry("a", 2, 8, b"2"))
    assert node.user.values.keys() == {"a"}


def test_a_row_that_was_dropped_does_not_come_back_with_the_copy() -> None:
    node = node_that_knows(entry("a", 1, 9, b"1"))
    node.learns(1.5, entry("a", 1, 21, None))
    read(node, 2.0, 2, 7, entry("a", 2, 4, b"7"))
    assert not node.user.values
    read(node, 6.0, 2, 8, entry("a", 2, 4, b"7"))
    assert not node.user.values
    read(node, 7.0, 2, 9, entry("a", 2, 4, b"8"))
    assert node.user.values == {"a": b"8"}, "its writer is alive"


def test_a_late_response_of_an_earlier_era_changes_nothing() -> None:
    node = node_that_knows(entry("a", 1, 9, b"1"))
    read(node, 2.0, 2, 7, entry("a", 2, 8, b"3"))
    read(node, 2.1, 1, 30, entry("a", 1, 29, b"2"), entry("b", 1, 30, b"1"))
    assert node.user.values == {"a": b"3"}


def test_a_node_that_started_from_the_copy_is_sent_what_the_leader_holds() -> None:
    leader = node_that_knows(entry("a", 1, 9, b"5"))
    started = Node()
    for node in (leader, started):
        read(node, 2.0, 2, 7, entry("a", 2, 4, b"3"))
    assert started.user.values == {"a": b"3"}
    test_table_exchange.exchange(leader, started, 2.1)
    assert started.user.values == {"a": b"5"}


def test_a_node_that_hears_of_a_later_era_does_not_continue_its_feed() -> None:
    node = node_that_knows(entry("a", 1, 9, b"5"))
    node.watcher._feed_version = node.replica.newest
    status = control_pb2.Status()
    status.tables.add(table="t", version=versions.store_version(2, 3))
    node.exchange.apply(status, peer_tables.PeerTables(0.0), 2.0)
    assert node.watcher._feed_version is None
