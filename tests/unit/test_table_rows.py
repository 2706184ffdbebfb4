"""Rows on top of a transactional table: conflicts, the shared clock, pruning of dropped rows."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import pytest

from limedeck.store import table_rows
from limedeck.store.rows import (
    ConditionFailed,
    HistoryGone,
    RowCondition,
    RowKey,
    RowWrite,
    StoreContended,
    StoreProtocolError,
    StoreUnavailable,
)
from limedeck.store.table import Condition, Write
from limedeck.store.table_rows import ObservedClock, TableRowStore
from tests.unit.faulty_table import FaultyTable

pytestmark = pytest.mark.anyio
ROW = RowKey("t", "", "k")
WRITERS = 4
WRITES_EACH = 25


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def increment(store: TableRowStore) -> int:
    """Increment a counter under a condition; retry until the transaction is done."""
    while True:
        rows = (await store.read("t")).rows
        count = int(rows[0].value) if rows else 0
        condition = RowCondition(ROW, rows[0].version if rows else 0)
        try:
            written = await store.transact([condition], [RowWrite(ROW, b"%d" % (count + 1))])
        except (ConditionFailed, StoreContended):
            continue
        return written.version


async def test_concurrent_transactions_are_each_done_once_with_a_version_of_their_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With the rows' own revisions as versions, two transactions could get the same version."""
    monkeypatch.setattr(table_rows, "CONTENTION_PAUSE", 0.0)
    table = FaultyTable()
    versions: list[int] = []

    async def count() -> None:
        store = TableRowStore(table)
        for _ in range(WRITES_EACH):
            versions.append(await increment(store))

    async with anyio.create_task_group() as tasks:
        for _ in range(WRITERS):
            tasks.start_soon(count)
    assert len(set(versions)) == WRITERS * WRITES_EACH
    assert (await TableRowStore(table).read("t")).rows[0].value == b"%d" % (WRITERS * WRITES_EACH)


async def test_concurrent_writers_of_different_rows_get_different_versions() -> None:
    table = FaultyTable()
    versions: list[int] = []

    async def put(number: int) -> None:
        write = RowWrite(RowKey("t", "", f"k{number}"), b"x")
        versions.append((await TableRowStore(table).transact([], [write])).version)

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(put, number)
    assert sorted(versions) == [1, 2, 3, 4, 5, 6]


class ConflictingTable(FaultyTable):
    """A table in which another transaction always comes first."""

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        head = next(write for write in writes if write.key == table_rows.HEAD_KEY)
        self.rows.transact([], [head])
        return await super().transact(conditions, writes)


async def test_a_transaction_that_conflicts_at_every_attempt_raises_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(table_rows, "CONTENTION_PAUSE", 0.0)
    with pytest.raises(StoreContended):
        await TableRowStore(ConflictingTable()).transact([], [RowWrite(ROW, b"1")])


async def test_a_delayed_transaction_is_rejected_after_a_newer_one() -> None:
    """The newer transaction has increased the head's revision, on which the delayed one depends."""
    table = FaultyTable()
    store = TableRowStore(table)
    await store.transact([], [RowWrite(ROW, b"1")])
    delayed: list[tuple[Sequence[Condition], Sequence[Write]]] = []

    async def delay_transaction(conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        delayed.append((conditions, writes))
        raise StoreUnavailable("lost")

    original, table.transact = table.transact, delay_transaction  # type: ignore[method-assign]
    with pytest.raises(StoreUnavailable):
        await store.transact([], [RowWrite(ROW, b"2")])
    table.transact = original  # type: ignore[method-assign]
    await store.transact([], [RowWrite(RowKey("u", "", "x"), b"3")])
    with pytest.raises(Exception, match="row-head"):
        await table.transact(*delayed[0])
    assert (await store.read("t")).rows[0].value == b"1"


async def test_old_dropped_rows_are_pruned_and_the_feed_reports_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(table_rows, "MAX_DROPPED_ROWS", 3)
    table = FaultyTable()
    store = TableRowStore(table)
    rows = [RowKey("t", "", f"k{number}") for number in range(8)]
    first = (await store.transact([], [RowWrite(row, b"x") for row in rows])).version
    for row in rows:
        await store.transact([], [RowWrite(row, None)])
    with pytest.raises(HistoryGone):
        await store.changes("t", first, 0.0)
    found = await store.changes("t", first + 4, 0.0)
    assert [row.key for row in found.dropped] == ["k4", "k5", "k6", "k7"]
    assert len(table.rows.read([], table_rows.ROW_PREFIX)) == 4


async def test_an_invalid_row_raises_a_protocol_error() -> None:
    table = FaultyTable()
    table.rows.transact([], [Write("row/t//k", b"{")])
    with pytest.raises(StoreProtocolError):
        await TableRowStore(table).read("t")


def test_the_shared_clock_never_goes_back() -> None:
    clock = ObservedClock()
    clock.record(100.0, 5.0)
    assert clock.read(7.0) == 102.0
    clock.record(101.0, 8.0)
    assert clock.read(8.0) == 103.0
    clock.record(110.0, 9.0)
    assert clock.read(10.0) == 111.0


async def test_the_age_of_a_row_is_counted_from_the_first_read() -> None:
    """An age that is too low makes a node wait; one too high would replace a healthy leader."""
    table = FaultyTable()
    written = await TableRowStore(table).transact([], [RowWrite(ROW, b"1")])
    found = await TableRowStore(table).read("t")
    assert found.store_time - written.store_time < 1.0
