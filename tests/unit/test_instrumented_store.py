"""Calls to the store are counted by kind, table and result."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import pytest

from limedeck.identity import Seconds
from limedeck.node.instrumented_store import InstrumentedStore
from limedeck.node.telemetry import Telemetry
from limedeck.store.rows import (
    HistoryGone,
    RowCondition,
    RowStore,
    RowWrite,
    StoreUnavailable,
    TableChanges,
    TableRead,
    WriteResult,
)


class BrokenStore(RowStore):
    """A store that fails after the first read and has dropped its history."""

    def __init__(self) -> None:
        self.reads = 0

    async def read(self, table: str, part: str = "") -> TableRead:
        self.reads += 1
        if self.reads > 1:
            raise StoreUnavailable("away")
        return TableRead((), 1, 0.0)

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        raise StoreUnavailable("away")

    async def changes(self, table: str, after: int, wait: Seconds) -> TableChanges:
        raise HistoryGone

    async def aclose(self) -> None:
        return


async def call_everything(store: RowStore) -> None:
    await store.read("t")
    with pytest.raises(StoreUnavailable):
        await store.read("t")
    with pytest.raises(StoreUnavailable):
        await store.transact([], [])
    with pytest.raises(HistoryGone):
        await store.changes("t", 1, 2.0)


def test_each_call_is_counted_once_and_its_error_is_raised() -> None:
    telemetry = Telemetry()
    store = InstrumentedStore(BrokenStore(), telemetry)
    anyio.run(call_everything, store)
    assert store.counts == {
        "read t done": 1,
        "read t StoreUnavailable": 1,
        "transact  StoreUnavailable": 1,
        "changes t HistoryGone": 1,
    }
    text = telemetry.exposition().decode()
    assert 'limedeck_store_calls_total{kind="read",result="done",table="t"} 1.0' in text
