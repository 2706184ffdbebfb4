"""Follow tables of the store: read one whole, then its changes as they come."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from limedeck.errors import PlatformProtocolError
from limedeck.identity import Seconds
from limedeck.node.logs import get_logger
from limedeck.store.rows import HistoryGone, RowStore, StoredRow, StoreError

SHORTEST_PAUSE: Seconds = 0.2
LONGEST_PAUSE: Seconds = 1.0
LAG_PATIENCE: Seconds = 0.6


@dataclass(frozen=True, slots=True)
class TableFollower:
    """How one table is followed.

    Parameters
    ----------
    put
        Called with each new or changed row.
    remove
        Called with the key of each row that is gone.
    complete
        Called when the whole table has been read.
    joining
        Pause between two calls, so that changes close together come in one answer.
    feed_wait
        Longest time that one call waits for a change.
    """

    table: str
    put: Callable[[StoredRow], None]
    remove: Callable[[str], None]
    complete: Callable[[], None]
    joining: Seconds
    feed_wait: Seconds


class TableWatcher:
    """Keeps a copy of one table up to date for as long as the process runs."""

    def __init__(self, store: RowStore, follower: TableFollower) -> None:
        self.newest = 0
        """Version of the newest change that was seen."""
        self._store = store
        self._follower = follower
        self._keys: dict[str, int] = {}
        self._after: int | None = None
        self._lost = False
        self._behind_since: Seconds | None = None
        self._waiting = anyio.CancelScope()
        self._log = get_logger("store")

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = SHORTEST_PAUSE
        while True:
            try:
                with anyio.CancelScope() as self._waiting:
                    await self._step()
                if self._waiting.cancelled_caught:
                    continue
            except HistoryGone:
                self._log.info("history_gone", table=self._follower.table)
                self._after = None
            except StoreError as error:
                self._note_lost(error)
                await anyio.sleep(pause)
                pause = min(pause * 2, LONGEST_PAUSE)
                continue
            self._note_regained()
            pause = SHORTEST_PAUSE
            await anyio.sleep(self._follower.joining)

    def handle_told(self, newest: int, now: Seconds) -> None:
        """Another node has seen a change of this version; read anew if this one is behind for long.

        A feed that waits and one that is dead look alike from here.
        """
        if self._after is None or newest <= self._after:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > LAG_PATIENCE:
            self._log.warning("feed_behind", table=self.table, after=self._after, told=newest)
            self._behind_since = None
            self._after = None
            self._waiting.cancel()

    @property
    def table(self) -> str:
        """Which table this is."""
        return self._follower.table

    async def _step(self) -> None:
        if self._after is None:
            await self._read_whole()
            return
        changes = await self._store.changes(
            self._follower.table, self._after, self._follower.feed_wait
        )
        for row in changes.rows:
            self._put(row)
        for key in changes.gone:
            self._remove(key.key)
        self._after = changes.version
        self.newest = max(self.newest, changes.newest)

    async def _read_whole(self) -> None:
        found = await self._store.read(self._follower.table)
        for row in found.rows:
            self._put(row)
        for key in set(self._keys) - {row.key for row in found.rows}:
            self._remove(key)
        self._after = found.version
        self.newest = max([self.newest, *(row.version for row in found.rows)])
        self._follower.complete()

    def _put(self, row: StoredRow) -> None:
        if self._keys.get(row.key) == row.version:
            return
        self._keys[row.key] = row.version
        try:
            self._follower.put(row)
        except PlatformProtocolError as error:
            self._log.error("row_refused", table=row.table, key=row.key, problem=str(error))

    def _remove(self, key: str) -> None:
        if self._keys.pop(key, None) is not None:
            self._follower.remove(key)

    def _note_lost(self, error: StoreError) -> None:
        if not self._lost:
            self._log.warning("store_lost", table=self._follower.table, problem=str(error))
        self._lost = True

    def _note_regained(self) -> None:
        if self._lost:
            self._log.info("store_regained", table=self._follower.table)
        self._lost = False
