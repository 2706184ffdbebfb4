"""Follow tables of the store: read one whole, then its changes as they come."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import anyio

from limedeck import clock, errors
from limedeck.node import logs
from limedeck.store import feeds, replica, rows

if TYPE_CHECKING:
    from collections.abc import Callable

    from limedeck import identity


SHORTEST_PAUSE: identity.Seconds = 0.2
MAX_PAUSE: identity.Seconds = 1.0
LAG_PATIENCE: identity.Seconds = 0.6
"""Who is behind another node for so long does not wait any more to be told, or for its feed: two
intervals at which a leader tells."""
REFUSALS_LOGGED = 5
"""Lines a second about rows that cannot be read; another writer may write many."""
BRIEF_WAIT: identity.Seconds = 2.0
"""Longest time that a call waits for a change when nobody would show that the feed is dead."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableFollower:
    """How one table is followed.

    Parameters
    ----------
    put
        Called with each new or changed row, and where it was learned.
    remove
        Called with the key of each row that is gone.
    complete
        Called when the whole table is known.
    joining
        Pause between two calls, so that changes close together come in one answer.
    feed_wait
        Longest time that one call waits for a change.
    """

    table: str
    put: Callable[[rows.StoredRow, replica.Source], None]
    remove: Callable[[str], None]
    complete: Callable[[], None]
    joining: identity.Seconds
    feed_wait: identity.Seconds


class TableWatcher:
    """Keeps a replica of one table up to date for as long as the process runs."""

    def __init__(self, store: rows.RowStore, follower: TableFollower) -> None:
        self.replica = replica.TableReplica(follower.table, self._put, follower.remove)
        self._store = store
        self._follower = follower
        self._after: int | None = None
        self._feeds = feeds.FeedMode.NONE
        self._brief_pause: identity.Seconds = 0.0
        self._wanted = False
        self._wake = anyio.Event()
        self._lost = False
        self._behind_since: identity.Seconds | None = None
        self._waiting: anyio.CancelScope | None = None
        self._refusals = logs.RateLimit(REFUSALS_LOGGED)
        self._log = logs.get_logger("store")

    @property
    def table(self) -> str:
        """Which table this is."""
        return self._follower.table

    @property
    def newest(self) -> int:
        """Version of the newest change that is known."""
        return self.replica.newest

    async def run(self) -> None:
        """Follow the table until cancelled, while a feed is wanted or a reading."""
        pause = SHORTEST_PAUSE
        while True:
            if self._feeds is feeds.FeedMode.NONE and not self._wanted:
                await self._wake.wait()
                continue
            try:
                with anyio.CancelScope() as scope:
                    self._waiting = scope
                    await self._step()
                self._waiting = None
                if scope.cancelled_caught:
                    continue
            except rows.HistoryGone:
                self._log.info("history_gone", table=self.table)
                self._after = None
            except rows.StoreError as exc:
                self._note_lost(exc)
                await anyio.sleep(pause)
                pause = min(pause * 2, MAX_PAUSE)
                continue
            self._note_regained()
            pause = SHORTEST_PAUSE
            await anyio.sleep(self._pause_between_calls())

    def _pause_between_calls(self) -> identity.Seconds:
        if self._feeds is feeds.FeedMode.TEMPORARY:
            return max(self._follower.joining, self._brief_pause)
        return self._follower.joining

    def set_feeds(
        self, wanted: feeds.FeedMode, temporary_feed_pause: identity.Seconds = 0.0
    ) -> None:
        """Keep a feed from now on, or keep none and be told by another node.

        Parameters
        ----------
        brief_pause
            Least time between two calls of a brief feed, in seconds.
        """
        self._brief_pause = temporary_feed_pause
        if wanted is self._feeds:
            return
        self._feeds = wanted
        self._log.info("feed", table=self.table, feeds=wanted.value)
        self.restart_feed()

    def restart_feed(self) -> None:
        """Go on from what is known by a call of its own: the one that waits may be dead."""
        if self._waiting is not None:
            self._waiting.cancel()
        if self._feeds is not feeds.FeedMode.NONE:
            self._after = self.replica.newest if self.replica.is_complete else None
            self._awake()

    def handle_peer_version(self, newest: int, now: identity.Seconds) -> None:
        """Another node has seen a change of this version.

        Without a feed that node tells what is new, and only if it does not the table is read. A
        feed that waits and one that is dead look alike from here: it is given up if it is behind
        for long.
        """
        if not self._is_behind(newest):
            self._behind_since = None
            self._wanted = False
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > LAG_PATIENCE:
            self._log.warning("behind", table=self.table, after=self._after, told=newest)
            self._behind_since = None
            self._read_again()

    def _is_behind(self, newest: int) -> bool:
        if self._feeds is feeds.FeedMode.NONE:
            return newest > self.replica.newest or not self.replica.is_complete
        return self._after is not None and newest > self._after

    def _read_again(self) -> None:
        self._after = None
        if self._feeds is feeds.FeedMode.NONE:
            self._wanted = True
            self._awake()
        elif self._waiting is not None:
            self._waiting.cancel()

    def handle_update(self, news: replica.TableUpdate, now: identity.Seconds) -> None:
        """Another node tells what this one's replica lacks."""
        before = self.replica.newest
        self.replica.apply_update(news, now)
        if news.whole:
            self._follower.complete()
        if self.replica.newest > before:
            self._log.info(
                "table_told",
                table=self.table,
                entries=len(news.entries),
                whole=news.whole,
                version=news.newest,
            )

    def _awake(self) -> None:
        self._wake.set()
        self._wake = anyio.Event()

    async def _step(self) -> None:
        if self._after is None:
            await self._read_whole()
            return
        wait = self._follower.feed_wait
        if self._feeds is feeds.FeedMode.TEMPORARY:
            wait = min(wait, BRIEF_WAIT)
        changes = await self._store.changes(self.table, self._after, wait)
        entries = [replica.Entry(row.key, row.version, row.value) for row in changes.rows]
        entries += [replica.Entry(row.key, row.version, None) for row in changes.dropped]
        entries.sort(key=lambda entry: entry.version)
        self.replica.apply_changes(entries, replica.Source.STORE, clock.steady_clock())
        self._after = changes.version

    async def _read_whole(self) -> None:
        found = await self._store.read(self.table)
        entries = [replica.Entry(row.key, row.version, row.value) for row in found.rows]
        now = clock.steady_clock()
        self.replica.apply_snapshot(entries, found.version, replica.Source.STORE, now)
        self._after = found.version
        self._wanted = False
        self._follower.complete()

    def _put(self, row: rows.StoredRow, source: replica.Source) -> None:
        try:
            self._follower.put(row, source)
        except errors.PlatformProtocolError as exc:
            if self._refusals.allows():
                self._log.error("row_refused", table=row.table, key=row.key, problem=str(exc))

    def _note_lost(self, exc: rows.StoreError) -> None:
        if not self._lost:
            self._log.warning("store_lost", table=self.table, problem=str(exc))
        self._lost = True

    def _note_regained(self) -> None:
        if self._lost:
            self._log.info("store_regained", table=self.table)
        self._lost = False
