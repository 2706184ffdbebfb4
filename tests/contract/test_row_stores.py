"""Contract of every row store, over HTTP: the users' platform and limedeck's own table."""

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


async def test_a_written_row_is_read_and_appears_in_the_feed(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        before = await store.read("t")
        written = await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"\x00\xff")])
        found = await store.read("t")
        assert [(row.key, row.value, row.version) for row in found.rows] == [
            ("k", b"\x00\xff", written.version)
        ]
        assert before.store_time < written.store_time < found.store_time
        changes = await store.changes("t", 0, 0.1)
        assert [(row.value, row.version) for row in changes.rows] == [
            (b"\x00\xff", written.version)
        ]
        assert changes.version == written.version


async def test_a_failed_condition_returns_the_current_rows(
    stand_in: ServedStore,
) -> None:
    async with stand_in.connected() as store:
        await write(store, ROW, b"1")
        with pytest.raises(ConditionFailed) as caught:
            await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"2")])
        assert [(row.key, row.value) for row in caught.value.rows] == [("k", b"1")]


async def test_a_failed_condition_on_one_of_several_rows_prevents_all_writes(
    stand_in: ServedStore,
) -> None:
    async with stand_in.connected() as store:
        version = await write(store, ROW, b"1")
        conditions = [RowCondition(ROW, version), RowCondition(OTHER, 7)]
        with pytest.raises(ConditionFailed):
            await store.transact(conditions, [RowWrite(ROW, b"2")])
        assert (await store.read("t")).rows[0].value == b"1"


async def test_versions_increase_with_every_transaction_of_the_store(stand_in: ServedStore) -> None:
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


async def test_a_dropped_row_is_absent_and_appears_in_the_feed(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        written = await write(store, ROW, b"1")
        dropped = await write(store, ROW, None)
        assert (await store.read("t")).rows == ()
        changes = await store.changes("t", written, 0.1)
        assert (changes.rows, changes.dropped) == ((), (DroppedRow(ROW.key, dropped),))
        await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"2")])


async def test_a_change_of_another_table_does_not_appear_in_the_feed(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        version = await write(store, ROW, b"1")
        await write(store, OTHER, b"1")
        changes = await store.changes("t", version, 0.05)
        assert (changes.rows, changes.dropped) == ((), ())


async def test_a_waiting_feed_returns_a_change(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store, anyio.create_task_group() as tasks:
        version = await write(store, ROW, b"1")

        async def change_later() -> None:
            await anyio.sleep(0.1)
            await write(store, ROW, b"2")

        tasks.start_soon(change_later)
        changes = await store.changes("t", version, 10.0)
        assert [row.value for row in changes.rows] == [b"2"]


async def test_a_write_whose_response_is_lost_was_done_and_its_retry_conflicts(
    stand_in: ServedStore,
) -> None:
    async with stand_in.connected() as store:
        conditions = [RowCondition(ROW, ABSENT)]
        stand_in.lose_next_response()
        with pytest.raises(StoreUnavailable):
            await store.transact(conditions, [RowWrite(ROW, b"1")])
        with pytest.raises(ConditionFailed) as caught:
            await store.transact(conditions, [RowWrite(ROW, b"1")])
        assert caught.value.rows[0].value == b"1"


async def test_a_refused_call_does_nothing(stand_in: ServedStore) -> None:
    async with stand_in.connected() as store:
        stand_in.refuse_next_call()
        with pytest.raises(StoreRefused):
            await write(store, ROW, b"1")
        assert (await store.read("t")).rows == ()


async def test_a_store_without_a_listener_is_unavailable(stand_in: ServedStore) -> None:
    store = stand_in.client("127.0.0.1:1")
    with pytest.raises(StoreUnavailable):
        await store.read("t")
    await store.aclose()


async def test_a_version_newer_than_the_store_raises_history_gone() -> None:
    """A feed meets one after the table was lost and created again."""
    async with TableRows().connected() as store:
        await write(store, ROW, b"1")
        with pytest.raises(HistoryGone):
            await store.changes("t", 99, 0.1)
