"""Counts calls to the store by kind, table and result, since every call has a cost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from limedeck.identity import Seconds
from limedeck.node.logs import get_logger
from limedeck.node.telemetry import Telemetry
from limedeck.store.rows import (
    ConditionFailed,
    HistoryGone,
    RowCondition,
    RowStore,
    RowWrite,
    StoreError,
    TableChanges,
    TableRead,
    WriteResult,
)


class InstrumentedStore(RowStore):
    """Passes calls on to a store and counts them.

    Attributes
    ----------
    counts
        Calls by kind, table and result since the process started.
    """

    def __init__(self, store: RowStore, telemetry: Telemetry) -> None:
        self.counts: Counter[str] = Counter()
        self._store = store
        self._telemetry = telemetry
        self._logged_era = 0
        self._log = get_logger("store")

    @property
    def era(self) -> int:
        return self._store.era

    async def read(self, table: str, part: str = "") -> TableRead:
        try:
            found = await self._store.read(table, part)
        except StoreError as error:
            self._count("read", table, type(error).__name__)
            raise
        self._count("read", table, "done")
        return found

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        table = writes[0].row.table if writes else ""
        try:
            written = await self._store.transact(conditions, writes)
        except (ConditionFailed, StoreError) as error:
            self._count("transact", table, type(error).__name__)
            raise
        self._count("transact", table, "done")
        return written

    async def changes(self, table: str, after: int, wait: Seconds) -> TableChanges:
        try:
            found = await self._store.changes(table, after, wait)
        except (HistoryGone, StoreError) as error:
            self._count("changes", table, type(error).__name__)
            raise
        self._count("changes", table, "done")
        return found

    async def aclose(self) -> None:
        await self._store.aclose()

    def _count(self, kind: str, table: str, result: str) -> None:
        self._record_era()
        self.counts[f"{kind} {table} {result}"] += 1
        self._telemetry.store_calls.labels(kind, table, result).inc()

    def _record_era(self) -> None:
        if self.era == self._logged_era:
            return
        self._log.info("store_era", former=self._logged_era, era=self.era)
        self._telemetry.store_era.set(self.era)
        self._logged_era = self.era
