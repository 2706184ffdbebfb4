"""The adapter of the users' store against a stand-in that speaks its protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from hypercorn.asyncio import serve
from hypercorn.config import Config, Sockets

from limedeck.node.listener import open_listener
from limedeck.platform.store import PlatformStore
from limedeck.store.rows import (
    ABSENT,
    ConditionFailed,
    DroppedRow,
    HistoryGone,
    RowCondition,
    RowKey,
    RowWrite,
    StoreError,
    StoreProtocolError,
    StoreRefused,
    StoreUnavailable,
)
from limedeck_lab.standins.row_store import Fault, RowStoreStandIn
from tests.system.platform_site import WORDS

pytestmark = pytest.mark.anyio
TIMEOUT = 0.5
ROW = RowKey("t", "", "k")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def connected(stand_in: RowStoreStandIn) -> AsyncIterator[PlatformStore]:
    listener = open_listener("127.0.0.1:0")
    port = listener.getsockname()[1]

    class Own(Config):
        def create_sockets(self) -> Sockets:
            return Sockets([], [listener], [])

    config = Own()
    config.graceful_timeout = 5.0
    config.errorlog = None
    stop = anyio.Event()
    store = PlatformStore(f"127.0.0.1:{port}", TIMEOUT)
    async with anyio.create_task_group() as tasks:

        async def run() -> None:
            await serve(stand_in.application(), config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

        tasks.start_soon(run)
        yield store
        await store.aclose()
        stop.set()


async def test_a_row_is_written_read_and_told() -> None:
    stand_in = RowStoreStandIn(WORDS)
    async with connected(stand_in) as store:
        written = await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"\x00\xff")])
        found = await store.read("t")
        assert [(row.key, row.value, row.version) for row in found.rows] == [
            ("k", b"\x00\xff", written.version)
        ]
        assert found.store_time >= written.store_time > 0
        told = await store.changes("t", 0, 0.1)
        assert [row.value for row in told.rows] == [b"\x00\xff"]
        assert told.version == written.version
        assert [row.version for row in told.rows] == [written.version]


async def test_a_condition_that_does_not_hold_shows_the_rows_as_they_are() -> None:
    stand_in = RowStoreStandIn(WORDS)
    async with connected(stand_in) as store:
        await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"1")])
        with pytest.raises(ConditionFailed) as caught:
            await store.transact([RowCondition(ROW, ABSENT)], [RowWrite(ROW, b"2")])
        assert [(row.key, row.value) for row in caught.value.rows] == [("k", b"1")]


async def test_conditions_over_several_rows_are_all_or_nothing() -> None:
    stand_in = RowStoreStandIn(WORDS)
    other = RowKey("u", "", "x")
    async with connected(stand_in) as store:
        await store.transact([], [RowWrite(ROW, b"1")])
        with pytest.raises(ConditionFailed):
            await store.transact(
                [RowCondition(ROW, 1), RowCondition(other, 7)], [RowWrite(ROW, b"2")]
            )
        assert (await store.read("t")).rows[0].value == b"1"


async def test_a_long_table_is_read_page_by_page() -> None:
    stand_in = RowStoreStandIn(WORDS, page=3)
    for number in range(10):
        stand_in.put("t", f"k{number}", b"x")
    async with connected(stand_in) as store:
        assert len((await store.read("t")).rows) == 10


async def test_dropped_rows_are_told() -> None:
    stand_in = RowStoreStandIn(WORDS)
    stand_in.put("t", "k", b"x")
    stand_in.drop("t", "", "k")
    async with connected(stand_in) as store:
        told = await store.changes("t", 1, 0.1)
        assert (told.rows, told.dropped) == ((), (DroppedRow(ROW.key, 2),))


async def test_a_forgotten_history_is_said() -> None:
    stand_in = RowStoreStandIn(WORDS, version=9, forgotten=5)
    async with connected(stand_in) as store:
        with pytest.raises(HistoryGone):
            await store.changes("t", 3, 0.1)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (Fault.REFUSE, StoreRefused),
        (Fault.OVER_RATE, StoreRefused),
        (Fault.LOSE_ANSWER, StoreUnavailable),
        (Fault.NONSENSE, StoreProtocolError),
    ],
)
async def test_each_failure_has_its_type(fault: Fault, error: type[StoreError]) -> None:
    stand_in = RowStoreStandIn(WORDS)
    stand_in.put("t", "k", b"x")
    async with connected(stand_in) as store:
        stand_in.faults.append(fault)
        with pytest.raises(error):
            await store.read("t")
        assert len((await store.read("t")).rows) == 1


async def test_a_write_whose_answer_is_lost_was_done_and_its_repetition_conflicts() -> None:
    stand_in = RowStoreStandIn(WORDS)
    async with connected(stand_in) as store:
        stand_in.faults.append(Fault.LOSE_ANSWER)
        conditions = [RowCondition(ROW, ABSENT)]
        with pytest.raises(StoreUnavailable):
            await store.transact(conditions, [RowWrite(ROW, b"1")])
        with pytest.raises(ConditionFailed) as caught:
            await store.transact(conditions, [RowWrite(ROW, b"1")])
        assert caught.value.rows[0].value == b"1"


async def test_a_store_that_is_not_there_is_unavailable() -> None:
    store = PlatformStore("127.0.0.1:1", TIMEOUT)
    with pytest.raises(StoreUnavailable):
        await store.read("t")
    await store.aclose()
