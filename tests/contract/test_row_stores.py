"""What every store of rows does, over HTTP: the users' platform's and the product's own table."""

from __future__ import annotations

import anyio
import pytest

from limedeck.store.rows import (
    ABSENT,
    ConditionFailed,
    DroppedRow,
    HistoryGone,
    RowCondition,
    RowKey,
    RowStore,
    RowWrite,
    StoreRefused,
    StoreUnavailable,
)
from tests.contract.row_stores import PlatformRows, ServedStore, TableRows

pytestmark = pytest.mark.anyio
ROW = RowKey("t", "", "k")
OTHER = RowKey("u", "", "x")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(params=[PlatformRows, TableRows], ids=["platform", "table"])
def stand_in(request: pytest.FixtureRequest) -> ServedStore:
    made: ServedStore = request.param()
    return made


async def write(store: RowStore, row: RowKey, value: bytes | None) -> int:
    return (await store.transact([], [RowWrite(row, value)])).version


async def test_a_row_is_written_read_and_told(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        before = await store.read("t")
        written = await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"\x00\xff")])
        found = await store.read("t")
        assert [(row.key, row.value, row.version) for row in found.rows] == [
            ("k", b"\x00\xff", written.version)
        ]
        assert before.store_time < written.store_time < found.store_time
        told = await store.changes("t", 0, 0.1)
        assert [(row.value, row.version) for row in told.rows] == [(b"\x00\xff", written.version)]
        assert told.version == written.version


async def test_a_condition_that_does_not_hold_shows_the_rows_as_they_are(
    stand_in: ServedStore,
) -> None:
    async with stand_in.connected() as store:
        await write(store, ROW, b"1")
        with pytest.raises(ConditionFailed) as caught:
            await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"2")])
        assert [(row.key, row.value) for row in caught.value.rows] == [("k", b"1")]


async def test_conditions_over_several_rows_are_all_or_nothing(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        version = await write(store, ROW, b"1")
        conditions = [RowCondition(ROW, version), RowCondition(OTHER, 7)]
        with pytest.raises(ConditionFailed):
            await store.transact(conditions, [RowWrite(ROW, b"2")])
        assert (await store.read("t")).rows[0].value == b"1"


async def test_versions_rise_with_every_transaction_of_the_store(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        versions = [await write(store, row, b"1") for row in (ROW, OTHER, ROW, OTHER)]
        assert versions == sorted(set(versions))
        assert (await store.read("t")).version == versions[-1]


async def test_parts_and_tables_with_any_name_are_kept_apart(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        rows = [RowKey("t", "", "a/b"), RowKey("t", "a", "b"), RowKey("t/a", "", "b%2F")]
        for number, row in enumerate(rows):
            await write(store, row, b"%d" % number)
        assert [row.key for row in (await store.read("t")).rows] == ["a/b"]
        assert [row.value for row in (await store.read("t", "a")).rows] == [b"1"]
        assert [row.key for row in (await store.read("t/a")).rows] == ["b%2F"]


async def test_a_dropped_row_is_gone_and_is_told(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        written = await write(store, ROW, b"1")
        dropped = await write(store, ROW, None)
        assert (await store.read("t")).rows == ()
        told = await store.changes("t", written, 0.1)
        assert (told.rows, told.dropped) == ((), (DroppedRow(ROW.key, dropped),))
        await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"2")])


async def test_a_change_of_another_table_is_not_told(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        version = await write(store, ROW, b"1")
        await write(store, OTHER, b"1")
        told = await store.changes("t", version, 0.05)
        assert (told.rows, told.dropped) == ((), ())


async def test_who_waits_is_told_of_a_change(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store, anyio.create_task_group() as tasks:
        version = await write(store, ROW, b"1")

        async def change_later() -> None:
            await anyio.sleep(0.1)
            await write(store, ROW, b"2")

        tasks.start_soon(change_later)
        told = await store.changes("t", version, 10.0)
        assert [row.value for row in told.rows] == [b"2"]


async def test_a_write_whose_answer_is_lost_was_done_and_its_repetition_conflicts(
    stand_in: ServedStore,
) -> None:
    async with stand_in.connected() as store:
        conditions = [RowCondition(ROW, ABSENT)]
        stand_in.lose_next_answer()
        with pytest.raises(StoreUnavailable):
            await store.transact(conditions, [RowWrite(ROW, b"1")])
        with pytest.raises(ConditionFailed) as caught:
            await store.transact(conditions, [RowWrite(ROW, b"1")])
        assert caught.value.rows[0].value == b"1"


async def test_a_call_that_is_refused_does_nothing(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        stand_in.refuse_next_call()
        with pytest.raises(StoreRefused):
            await write(store, ROW, b"1")
        assert (await store.read("t")).rows == ()


async def test_a_store_that_is_not_there_is_unavailable(stand_in: ServedStore) -> None:
    store = stand_in.client("127.0.0.1:1")
    with pytest.raises(StoreUnavailable):
        await store.read("t")
    await store.aclose()


async def test_a_version_from_another_history_is_not_gone_on_from() -> None:
    """As after the table was lost and set up anew."""
    async with TableRows().connected() as store:
        await write(store, ROW, b"1")
        with pytest.raises(HistoryGone):
            await store.changes("t", 99, 0.1)
