"""Table watchers with a store that stops responding, drops its history and loses rows."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import anyio
import anyio.lowlevel
import pytest

from limedeck import versions
from limedeck.identity import Seconds
from limedeck.node.watchers import MAX_LAG, TEMPORARY_FEED_WAIT, TableSubscription, TableWatcher
from limedeck.store import feeds
from limedeck.store.rows import (
    HistoryGone,
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    StoreUnavailable,
    TableChanges,
    TableRead,
    WriteResult,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class ScriptedStore(RowStore):
    """A store whose feed is controlled by the test."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.version = 0
        self.silent = False
        self.failures: list[Exception] = []
        self.reads = 0
        self.waits: list[Seconds] = []
        self._changed = anyio.Event()

    @property
    def era(self) -> int:
        return versions.era_of(self.version)

    def put(self, key: str, value: bytes = b"x") -> None:
        self.version += 1
        self.rows[key] = StoredRow("t", "", key, value, self.version)
        self._wake()

    def drop(self, key: str) -> None:
        self.version += 1
        del self.rows[key]
        self._wake()

    def fail(self, error: Exception) -> None:
        self.failures.append(error)
        self._wake()

    def return_from_copy(self, rows: dict[str, StoredRow], version: int) -> None:
        """Go back to an earlier version; what was written since is lost."""
        era = self.era + 1
        self.rows = {
            key: dataclasses.replace(
                row, version=versions.store_version(era, versions.number_of(row.version))
            )
            for key, row in rows.items()
        }
        self.version = versions.store_version(era, versions.number_of(version))
        self.fail(HistoryGone())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def read(self, table: str, part: str = "") -> TableRead:
        self.reads += 1
        return TableRead(tuple(self.rows.values()), self.version, 0.0)

    async def changes(self, table: str, after: int, wait: Seconds) -> TableChanges:
        self.waits.append(wait)
        if self.silent:
            await anyio.sleep_forever()
        changed = self._changed
        if self.version == after and not self.failures:
            await changed.wait()
        if self.failures:
            raise self.failures.pop(0)
        rows = tuple(row for row in self.rows.values() if row.version > after)
        return TableChanges(rows, (), self.version)

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        raise NotImplementedError

    async def aclose(self) -> None:
        return


class Copy:
    """Keys that the watcher has passed to its user."""

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.completions = 0

    def follower(self) -> TableSubscription:
        return TableSubscription(
            "t",
            put=lambda row, source: self.keys.add(row.key),
            remove=lambda key: self.keys.discard(key),
            complete=self._complete,
            batch_time=0.0,
            feed_wait=20.0,
        )

    def _complete(self) -> None:
        self.completions += 1


def watcher_with_feed(store: ScriptedStore, copy: Copy) -> TableWatcher:
    """Return a watcher that keeps a feed."""
    watcher = TableWatcher(store, copy.follower())
    watcher.set_feeds(feeds.FeedMode.PERMANENT)
    return watcher


async def settle() -> None:
    for _ in range(50):
        await anyio.lowlevel.checkpoint()


async def test_a_watcher_receives_changes() -> None:
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    watcher = watcher_with_feed(store, copy)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await settle()
        store.put("b")
        await settle()
        assert copy.keys == {"a", "b"}
        assert watcher.newest == 2
        tasks.cancel_scope.cancel()


async def test_a_table_is_read_again_after_its_history_is_gone_and_lost_rows_are_removed() -> None:
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    store.put("b")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher_with_feed(store, copy).run)
        await settle()
        del store.rows["a"]
        store.fail(HistoryGone())
        await settle()
        assert copy.keys == {"b"}
        assert copy.completions == 2
        tasks.cancel_scope.cancel()


async def test_a_hanging_feed_is_abandoned_when_another_node_has_a_newer_version() -> None:
    """On trouble-1 of the second site, a feed died in a network cut and was waited on for 14 s."""
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    watcher = watcher_with_feed(store, copy)
    async with anyio.create_task_group() as tasks:
        store.silent = True
        tasks.start_soon(watcher.run)
        await settle()
        store.put("b")
        await settle()
        assert copy.keys == {"a"}
        watcher.handle_peer_version(2, 10.0)
        await settle()
        assert copy.keys == {"a"}, "a little lag is no sign of a dead feed"
        watcher.handle_peer_version(2, 10.0 + MAX_LAG + 0.1)
        await settle()
        assert copy.keys == {"a", "b"}
        tasks.cancel_scope.cancel()


async def test_a_feed_that_has_caught_up_is_not_abandoned() -> None:
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    watcher = watcher_with_feed(store, copy)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await settle()
        reads = store.reads
        watcher.handle_peer_version(2, 10.0)
        store.put("b")
        await settle()
        watcher.handle_peer_version(2, 20.0)
        await settle()
        assert store.reads == reads
        tasks.cancel_scope.cancel()


async def test_calls_are_retried_while_the_store_is_unavailable() -> None:
    store, copy = ScriptedStore(), Copy()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher_with_feed(store, copy).run)
        await settle()
        store.fail(StoreUnavailable("ReadTimeout"))
        await settle()
        store.put("a")
        await anyio.sleep(0.3)
        assert copy.keys == {"a"}
        tasks.cancel_scope.cancel()


async def test_without_a_feed_the_store_is_read_only_when_another_node_is_ahead() -> None:
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    watcher = TableWatcher(store, copy.follower())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await settle()
        assert store.reads == 0
        watcher.handle_peer_version(1, 10.0)
        await settle()
        assert store.reads == 0, "the other node sends the changes"
        watcher.handle_peer_version(1, 10.0 + MAX_LAG + 0.1)
        await settle()
        assert (copy.keys, store.reads) == ({"a"}, 1)
        store.put("b")
        watcher.handle_peer_version(1, 20.0)
        await settle()
        assert (copy.keys, store.reads) == ({"a"}, 1)
        watcher.handle_peer_version(2, 20.3)
        watcher.handle_peer_version(2, 20.3 + MAX_LAG + 0.1)
        await settle()
        assert (copy.keys, store.reads) == ({"a", "b"}, 2)
        tasks.cancel_scope.cancel()


async def test_a_resumed_feed_continues_from_the_known_version() -> None:
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    watcher = watcher_with_feed(store, copy)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await settle()
        watcher.set_feeds(feeds.FeedMode.NONE)
        await settle()
        store.put("b")
        await settle()
        assert copy.keys == {"a"}
        watcher.set_feeds(feeds.FeedMode.PERMANENT)
        await settle()
        assert (copy.keys, store.reads) == ({"a", "b"}, 1)
        tasks.cancel_scope.cancel()


async def test_a_dead_feed_is_replaced_by_a_restart() -> None:
    """In a random scenario of zhbs-gate-grown, the feed died in an outage, and then the leader."""
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    watcher = watcher_with_feed(store, copy)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await settle()
        store.silent = True
        store.put("b")
        await settle()
        store.put("c")
        await settle()
        assert copy.keys == {"a", "b"}
        store.silent = False
        await settle()
        assert copy.keys == {"a", "b"}
        watcher.restart_feed()
        await settle()
        assert copy.keys == {"a", "b", "c"}
        tasks.cancel_scope.cancel()


async def test_calls_of_a_temporary_feed_wait_for_a_shorter_time() -> None:
    store, copy = ScriptedStore(), Copy()
    watcher = TableWatcher(store, copy.follower())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        watcher.set_feeds(feeds.FeedMode.TEMPORARY)
        await settle()
        watcher.set_feeds(feeds.FeedMode.PERMANENT)
        await settle()
        assert store.waits == [TEMPORARY_FEED_WAIT, 20.0]
        tasks.cancel_scope.cancel()


async def test_a_temporary_feed_batches_changes_during_its_pause() -> None:
    """On zhbs-gate-large, each change woke the feeds of all 195 nodes: 10,500 calls a day."""
    calls = []
    for pause in (0.0, 3600.0):
        store, copy = ScriptedStore(), Copy()
        watcher = TableWatcher(store, copy.follower())
        watcher.set_feeds(feeds.FeedMode.TEMPORARY, temporary_feed_pause=pause)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            for number in range(20):
                store.put(f"{number}")
                await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        calls.append(store.reads + len(store.waits))
    assert calls[0] >= 10
    assert calls[1] == 1


@pytest.mark.parametrize(("nodes", "pause"), [(1, 0.0), (11, 0.04), (195, 0.65), (490, 0.8)])
def test_the_pause_of_temporary_feeds_grows_with_the_number_of_nodes(
    nodes: int, pause: float
) -> None:
    policy = feeds.FeedPolicy(0.0)
    policy.handle_status(False, 0.0, 1.0, nodes)
    assert policy.temporary_feed_pause() == pytest.approx(pause, abs=0.01)


async def test_a_feed_that_progresses_during_a_storm_of_changes_is_not_abandoned() -> None:
    store, copy = ScriptedStore(), Copy()
    store.put("a")
    watcher = watcher_with_feed(store, copy)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await settle()
        reads = store.reads
        for step in range(40):
            watcher.handle_peer_version(store.version + 1, 10.0 + step * 0.1)
            store.put("a")
            await settle()
        assert store.reads == reads
        tasks.cancel_scope.cancel()


async def test_a_change_after_the_store_returned_from_a_copy_is_applied() -> None:
    store, versions = ScriptedStore(), []
    copy = TableSubscription(
        "t",
        put=lambda row, source: versions.append(row.value),
        remove=lambda key: None,
        complete=lambda: None,
        batch_time=0.0,
        feed_wait=20.0,
    )
    store.put("a", b"1")
    watcher = TableWatcher(store, copy)
    watcher.set_feeds(feeds.FeedMode.PERMANENT)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await settle()
        rows, version = dict(store.rows), store.version
        for value in (b"2", b"3", b"4"):
            store.put("a", value)
            await settle()
        store.return_from_copy(rows, version)
        await settle()
        store.put("a", b"5")
        await settle()
        assert versions[-1] == b"5"
        tasks.cancel_scope.cancel()
