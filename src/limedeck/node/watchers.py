"""Watches tables of the store: reads a snapshot of each, then its changes as they occur."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import anyio

from limedeck import clock, errors, versions
from limedeck.node import logs
from limedeck.store import feeds, replica, rows

if TYPE_CHECKING:
    from collections.abc import Callable

    from limedeck import identity


MIN_PAUSE: identity.Seconds = 0.2
MAX_PAUSE: identity.Seconds = 1.0
MAX_LAG: identity.Seconds = 0.6
"""A node whose replica is behind another node's for longer than this reads the table, and waits no
more for an update or for its feed: two heartbeat intervals of the leader."""
REFUSALS_LOGGED_PER_SECOND = 5
"""Limit for log lines about invalid rows; another writer may write many of them."""
SETTLING_DELAY = (0.5, 2.5)
"""Bounds in seconds of the time for which a node without feeds waits longer than one with feeds
until it reads a table after a changed era; spreads the reads of hundreds of nodes."""
TEMPORARY_FEED_WAIT: identity.Seconds = 2.0
"""Longest wait of a call for changes while no other node could reveal that the feed is dead."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableSubscription:
    """How one table is watched.

    Parameters
    ----------
    put
        Called with each new or changed row and the source of the change.
    remove
        Called with the key of each dropped row.
    complete
        Called when the whole table is known.
    batch_time
        Pause between two calls, so that changes close together arrive in one response.
    feed_wait
        Longest time that one call waits for a change.
    sequence_of
        Returns the writer's sequence in a row's value; None if it tells none.
    """

    table: str
    put: Callable[[rows.StoredRow, replica.Source], None]
    remove: Callable[[str], None]
    complete: Callable[[], None]
    batch_time: identity.Seconds
    feed_wait: identity.Seconds
    sequence_of: Callable[[bytes], replica.WriterSequence | None] = lambda value: None


class TableWatcher:
    """Keeps a replica of one table up to date for as long as the process runs."""

    def __init__(self, store: rows.RowStore, follower: TableSubscription) -> None:
        self.replica = replica.TableReplica(
            follower.table, self._put, follower.remove, follower.sequence_of
        )
        self.replica.on_held = self._record_held
        self._store = store
        self._follower = follower
        self._feed_version: versions.StoreVersion | None = None
        self._feeds = feeds.FeedMode.NONE
        self._temporary_feed_pause: identity.Seconds = 0.0
        self._read_wanted = False
        self._wake = anyio.Event()
        self._store_lost = False
        self._lacked_version: versions.StoreVersion | None = None
        self._behind_since: identity.Seconds = 0.0
        self._step_scope: anyio.CancelScope | None = None
        self._refusals = logs.RateLimit(REFUSALS_LOGGED_PER_SECOND)
        self._settling_delay = random.uniform(*SETTLING_DELAY)
        self._log = logs.get_logger("store")

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._follower.table

    @property
    def newest(self) -> versions.StoreVersion:
        """Version of the newest known change."""
        return self.replica.newest

    async def run(self) -> None:
        """Run until cancelled; call the store only while a feed or a read of the table is due."""
        pause = MIN_PAUSE
        while True:
            if self._feeds is feeds.FeedMode.NONE and not self._read_wanted:
                await self._wake.wait()
                continue
            try:
                with anyio.CancelScope() as scope:
                    self._step_scope = scope
                    await self._step()
                self._step_scope = None
                if scope.cancelled_caught:
                    continue
            except rows.HistoryGone:
                self._log.info("history_gone", table=self.table)
                self._feed_version = None
            except rows.StoreError as exc:
                self._record_store_lost(exc)
                await anyio.sleep(pause)
                pause = min(pause * 2, MAX_PAUSE)
                continue
            self._record_store_regained()
            pause = MIN_PAUSE
            await anyio.sleep(self._pause_between_calls())

    def _pause_between_calls(self) -> identity.Seconds:
        if self._feeds is feeds.FeedMode.TEMPORARY:
            return max(self._follower.batch_time, self._temporary_feed_pause)
        return self._follower.batch_time

    def set_feeds(
        self, wanted: feeds.FeedMode, temporary_feed_pause: identity.Seconds = 0.0
    ) -> None:
        """Keep a feed from now on, or keep none and rely on updates from another node.

        Parameters
        ----------
        temporary_feed_pause
            Minimum time between two calls of a temporary feed, in seconds.
        """
        self._temporary_feed_pause = temporary_feed_pause
        if wanted is self._feeds:
            return
        self._feeds = wanted
        self._log.info("feed", table=self.table, feeds=wanted.value)
        self.restart_feed()

    def restart_feed(self) -> None:
        """Continue from the replica's version with a new call; the waiting one may be dead."""
        if self._step_scope is not None:
            self._step_scope.cancel()
        if self._feeds is not feeds.FeedMode.NONE:
            self._feed_version = self.replica.newest if self.replica.is_complete else None
            self._wake_up()

    def handle_peer_version(self, newest: versions.StoreVersion, now: identity.Seconds) -> None:
        """Handle the newest version of the table that another node knows.

        Without a feed, the other node sends the changes, and the table is read only if it does
        not. A feed that waits for changes cannot be told from a dead one, so it is abandoned if it
        stays behind for longer than `MAX_LAG`.
        """
        if not self._is_behind(newest):
            self._lacked_version = None
            self._read_wanted = False
        elif self._is_feed_of_earlier_era(newest):
            self._log.warning("era_announced", table=self.table, era=versions.era_of(newest))
            self._lacked_version = None
            self._read_again()
        elif self._lacked_version is None or not self._is_behind(self._lacked_version):
            # Newer changes do not count: a feed that progresses is behind all through a storm.
            self._lacked_version = newest
            self._behind_since = now
        elif now - self._behind_since > MAX_LAG:
            self._log.warning("behind", table=self.table, after=self._feed_version, told=newest)
            self._lacked_version = None
            self._read_again()

    def _is_feed_of_earlier_era(self, newest: versions.StoreVersion) -> bool:
        if self._feed_version is None or self._feeds is feeds.FeedMode.NONE:
            return False
        return versions.era_of(newest) > versions.era_of(self._feed_version)

    def settle(self, now: identity.Seconds) -> None:
        """Read the table if the store has returned from a copy and rows are still held since.

        Nodes without feeds wait some more, each for another time: others send them most changes.
        """
        delay = 0.0 if self._feeds is not feeds.FeedMode.NONE else self._settling_delay
        is_reading = self._read_wanted
        if self._feeds is not feeds.FeedMode.NONE:
            is_reading = self._feed_version is None
        if self.replica.needs_settling(now - delay) and not is_reading:
            self._log.info("table_settled", table=self.table, era=self.replica.era)
            self._read_again()

    def _is_behind(self, newest: versions.StoreVersion) -> bool:
        if self._feeds is feeds.FeedMode.NONE:
            return newest > self.replica.newest or not self.replica.is_complete
        return self._feed_version is not None and newest > self._feed_version

    def _read_again(self) -> None:
        self._feed_version = None
        if self._feeds is feeds.FeedMode.NONE:
            self._read_wanted = True
            self._wake_up()
        elif self._step_scope is not None:
            self._step_scope.cancel()

    def handle_update(self, update: replica.TableUpdate, now: identity.Seconds) -> None:
        """Apply the changes that another node sent because this node's replica lacked them."""
        before = self.replica.newest
        self.replica.apply_update(update, now)
        if update.whole:
            self._follower.complete()
        if self.replica.newest > before:
            self._log.info(
                "table_told",
                table=self.table,
                entries=len(update.entries),
                whole=update.whole,
                version=update.newest,
            )

    def _wake_up(self) -> None:
        self._wake.set()
        self._wake = anyio.Event()

    async def _step(self) -> None:
        if self._feed_version is None:
            await self._read_table()
            return
        wait = self._follower.feed_wait
        if self._feeds is feeds.FeedMode.TEMPORARY:
            wait = min(wait, TEMPORARY_FEED_WAIT)
        changes = await self._store.changes(self.table, self._feed_version, wait)
        entries = [replica.Entry(row.key, row.version, row.value) for row in changes.rows]
        entries += [replica.Entry(row.key, row.version, None) for row in changes.dropped]
        entries.sort(key=lambda entry: entry.version)
        self.replica.apply_changes(entries, replica.Source.STORE, clock.steady_clock())
        self._feed_version = changes.version

    async def _read_table(self) -> None:
        found = await self._store.read(self.table)
        entries = [replica.Entry(row.key, row.version, row.value) for row in found.rows]
        now = clock.steady_clock()
        era = versions.era_of(found.version)
        if self.replica.is_complete and era > self.replica.era:
            self._log.warning(
                "era_changed",
                table=self.table,
                former=self.replica.era,
                era=era,
                after=versions.number_of(self.replica.newest),
                version=versions.number_of(found.version),
                rows=len(entries),
            )
        self.replica.apply_snapshot(entries, found.version, replica.Source.STORE, now)
        self._feed_version = found.version
        self._read_wanted = False
        self._follower.complete()

    def _put(self, row: rows.StoredRow, source: replica.Source) -> None:
        try:
            self._follower.put(row, source)
        except errors.PlatformProtocolError as exc:
            if self._refusals.allows():
                self._log.error("row_refused", table=row.table, key=row.key, problem=str(exc))

    def _record_held(self, key: str, is_held: bool) -> None:
        if is_held:
            self._log.info("row_held", table=self.table, key=key, era=self.replica.era)
        else:
            self._log.info("row_hold_ended", table=self.table, key=key, era=self.replica.era)

    def _record_store_lost(self, exc: rows.StoreError) -> None:
        if not self._store_lost:
            self._log.warning("store_lost", table=self.table, problem=str(exc))
        self._store_lost = True

    def _record_store_regained(self) -> None:
        if self._store_lost:
            self._log.info("store_regained", table=self.table)
        self._store_lost = False
