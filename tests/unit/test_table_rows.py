"""Rows over a transactional table: races, the clock that users share, drops of long ago."""

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
TIMES = 25


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def add_one(store: TableRowStore) -> int:
    """Count up under a condition, again until it is done."""
    while True:
        rows = (await store.read("t")).rows
        count = int(rows[0].value) if rows else 0
        condition = RowCondition(ROW, rows[0].version if rows else 0)
        try:
            written = await store.transact([condition], [RowWrite(ROW, b"%d" % (count + 1))])
        except (ConditionFailed, StoreContended):
            continue
        return written.version


async def test_transactions_that_meet_are_all_done_once_and_in_an_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An adapter that trusted the rows' own revisions would give two transactions one version."""
    monkeypatch.setattr(table_rows, "CONTENTION_PAUSE", 0.0)
    table = FaultyTable()
    versions: list[int] = []

    async def count() -> None:
        store = TableRowStore(table)
        for _ in range(TIMES):
            versions.append(await add_one(store))

    async with anyio.create_task_group() as tasks:
        for _ in range(WRITERS):
            tasks.start_soon(count)
    assert len(set(versions)) == WRITERS * TIMES
    assert (await TableRowStore(table).read("t")).rows[0].value == b"%d" % (WRITERS * TIMES)


async def test_writers_of_different_rows_get_different_versions() -> None:
    table = FaultyTable()
    versions: list[int] = []

    async def put(number: int) -> None:
        write = RowWrite(RowKey("t", "", f"k{number}"), b"x")
        versions.append((await TableRowStore(table).transact([], [write])).version)

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(put, number)
    assert sorted(versions) == [1, 2, 3, 4, 5, 6]


class BusyTable(FaultyTable):
    """Somebody else is always faster."""

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        head = next(write for write in writes if write.key == table_rows.HEAD_KEY)
        self.rows.transact([], [head])
        return await super().transact(conditions, writes)


async def test_a_transaction_that_loses_every_race_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(table_rows, "CONTENTION_PAUSE", 0.0)
    with pytest.raises(StoreContended):
        await TableRowStore(BusyTable()).transact([], [RowWrite(ROW, b"1")])


async def test_a_transaction_that_was_lost_on_its_way_is_not_done_later() -> None:
    """Whoever wrote meanwhile has raised the head's revision."""
    table = FaultyTable()
    store = TableRowStore(table)
    await store.transact([], [RowWrite(ROW, b"1")])
    late: list[tuple[Sequence[Condition], Sequence[Write]]] = []

    async def keep_back(conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        late.append((conditions, writes))
        raise StoreUnavailable("lost")

    sound, table.transact = table.transact, keep_back  # type: ignore[method-assign]
    with pytest.raises(StoreUnavailable):
        await store.transact([], [RowWrite(ROW, b"2")])
    table.transact = sound  # type: ignore[method-assign]
    await store.transact([], [RowWrite(RowKey("u", "", "x"), b"3")])
    with pytest.raises(Exception, match="row-head"):
        await table.transact(*late[0])
    assert (await store.read("t")).rows[0].value == b"1"


async def test_drops_of_long_ago_are_forgotten_and_the_feed_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(table_rows, "DROPS_KEPT", 3)
    table = FaultyTable()
    store = TableRowStore(table)
    rows = [RowKey("t", "", f"k{number}") for number in range(8)]
    first = (await store.transact([], [RowWrite(row, b"x") for row in rows])).version
    for row in rows:
        await store.transact([], [RowWrite(row, None)])
    with pytest.raises(HistoryGone):
        await store.changes("t", first, 0.0)
    told = await store.changes("t", first + 4, 0.0)
    assert [row.key for row in told.dropped] == ["k4", "k5", "k6", "k7"]
    assert len(table.rows.read([], table_rows.ROW_PREFIX)) == 4


async def test_a_row_that_another_program_wrote_is_an_error_of_its_own() -> None:
    table = FaultyTable()
    table.rows.transact([], [Write("row/t//k", b"{")])
    with pytest.raises(StoreProtocolError):
        await TableRowStore(table).read("t")


def test_the_shared_clock_is_never_ahead_of_who_carried_it_on() -> None:
    clock = ObservedClock()
    clock.note(100.0, 5.0)
    assert clock.read(7.0) == 102.0
    clock.note(101.0, 8.0)
    assert clock.read(8.0) == 103.0
    clock.note(110.0, 9.0)
    assert clock.read(10.0) == 111.0


async def test_what_was_written_long_before_anybody_looked_is_taken_for_new() -> None:
    """An age that is told too low makes a node wait; too high, it would replace a sound leader."""
    table = FaultyTable()
    written = await TableRowStore(table).transact([], [RowWrite(ROW, b"1")])
    found = await TableRowStore(table).read("t")
    assert found.store_time - written.store_time < 1.0
