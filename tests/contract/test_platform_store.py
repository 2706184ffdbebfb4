"""Adapter of the users' store: what is specific to its protocol (see also test_row_stores.py)."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import pytest
from starlette.requests import Request
from starlette.responses import Response

from limedeck import versions
from limedeck.platform.store import PlatformStore
from limedeck.store.rows import (
    EarlierEra,
    EraChanged,
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
from tests.contract.row_stores import TIMEOUT, served
from tests.system.platform_site import WORDS

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def connected(stand_in: RowStoreStandIn) -> AsyncIterator[PlatformStore]:
    async with served(stand_in.application()) as address:
        store = PlatformStore(address, TIMEOUT)
        yield store
        await store.aclose()


async def test_a_long_table_is_read_in_pages() -> None:
    stand_in = RowStoreStandIn(WORDS, page=3)
    for number in range(10):
        stand_in.put("t", f"k{number}", b"x")
    async with connected(stand_in) as store:
        assert len((await store.read("t")).rows) == 10


async def test_a_version_before_the_history_raises_history_gone() -> None:
    stand_in = RowStoreStandIn(WORDS, version=9, forgotten=5)
    async with connected(stand_in) as store:
        with pytest.raises(HistoryGone):
            await store.changes("t", 3, 0.1)


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (Fault.REFUSE, StoreRefused),
        (Fault.OVER_RATE, StoreRefused),
        (Fault.LOSE_RESPONSE, StoreUnavailable),
        (Fault.NONSENSE, StoreProtocolError),
    ],
)
async def test_each_failure_raises_its_error(fault: Fault, error: type[StoreError]) -> None:
    stand_in = RowStoreStandIn(WORDS)
    stand_in.put("t", "k", b"x")
    async with connected(stand_in) as store:
        stand_in.faults.append(fault)
        with pytest.raises(error):
            await store.read("t")
        assert len((await store.read("t")).rows) == 1


async def test_versions_of_a_store_that_returned_from_a_copy_are_above_all_earlier_ones() -> None:
    stand_in = RowStoreStandIn(WORDS, era=1)
    stand_in.put("t", "a", b"1")
    async with connected(stand_in) as store:
        await anyio.sleep(0.02)
        for value in (b"2", b"3"):
            stand_in.put("t", "a", value)
        earlier = await store.read("t")
        stand_in.return_from_copy(0.01)
        stand_in.version = 1
        later = await store.read("t")
        assert later.version > earlier.version
        assert (versions.era_of(later.version), versions.number_of(later.version)) == (2, 1)
        assert later.absent > earlier.version


async def test_a_feed_does_not_continue_in_a_later_era_even_if_the_store_has_its_version() -> None:
    stand_in = RowStoreStandIn(WORDS, era=1)
    stand_in.put("t", "a", b"1")
    async with connected(stand_in) as store:
        version = (await store.read("t")).version
        stand_in.era = 2
        with pytest.raises(HistoryGone):
            await store.changes("t", version, 0.0)
        with pytest.raises(HistoryGone):
            await store.changes("t", version, 0.0)


async def test_a_waiting_feed_call_ends_when_the_store_returns_from_a_copy() -> None:
    stand_in = RowStoreStandIn(WORDS, era=1)
    async with connected(stand_in) as store, anyio.create_task_group() as tasks:
        stand_in.put("t", "a", b"1")
        version = (await store.read("t")).version

        async def wait() -> None:
            with pytest.raises(HistoryGone):
                await store.changes("t", version, 5.0)

        tasks.start_soon(wait)
        await anyio.sleep(0.1)
        stand_in.return_from_copy(20.0)


async def test_a_condition_of_an_earlier_era_is_not_sent_in_a_later_one() -> None:
    stand_in = RowStoreStandIn(WORDS, era=1)
    row = RowKey("t", "", "a")
    stand_in.put("t", "a", b"1")
    async with connected(stand_in) as store:
        condition = RowCondition(row, (await store.read("t")).version)
        stand_in.era = 2
        await store.read("t")
        with pytest.raises(EraChanged):
            await store.transact([condition], [RowWrite(row, b"2")])
        assert stand_in.version == 1


async def test_a_transaction_whose_response_is_of_a_later_era_is_no_success() -> None:
    stand_in = RowStoreStandIn(WORDS, era=1)
    row = RowKey("t", "", "a")
    stand_in.put("t", "a", b"1")
    async with connected(stand_in) as store:
        condition = RowCondition(row, (await store.read("t")).version)
        stand_in.era = 2
        with pytest.raises(EraChanged):
            await store.transact([condition], [RowWrite(row, b"2")])
        assert store.era == 2


@pytest.mark.parametrize(
    ("headers", "error"),
    [
        (("0",), EarlierEra),
        (("-2",), StoreProtocolError),
        (("two",), StoreProtocolError),
        (("1", "2"), StoreProtocolError),
        (("",), StoreProtocolError),
        (("4096",), StoreProtocolError),
    ],
)
async def test_an_invalid_or_falling_era_changes_nothing(
    headers: tuple[str, ...], error: type[StoreError]
) -> None:
    stand_in = RowStoreStandIn(WORDS, era=1)
    stand_in.put("t", "a", b"1")
    async with connected(stand_in) as store:
        await store.read("t")
        stand_in.era_headers = headers
        with pytest.raises(error):
            await store.read("t")
        assert store.era == 1


async def test_a_response_without_an_era_is_of_the_latest_known_one() -> None:
    stand_in = RowStoreStandIn(WORDS, era=3)
    stand_in.put("t", "a", b"1")
    async with connected(stand_in) as store:
        known = await store.read("t")
        stand_in.era_headers = ()
        assert (await store.read("t")).version == known.version


async def test_pages_of_two_eras_are_not_one_read() -> None:
    stand_in = RowStoreStandIn(WORDS, page=1, era=1)
    for key in ("a", "b"):
        stand_in.put("t", key, b"1")
    async with connected(stand_in) as store, anyio.create_task_group() as tasks:
        stand_in.era_headers = None

        async def change_era() -> None:
            while store.era == 0:
                await anyio.lowlevel.checkpoint()
            stand_in.era = 2

        tasks.start_soon(change_era)
        with pytest.raises(HistoryGone):
            await store.read("t")


async def test_a_row_that_changes_between_two_pages_of_a_read_is_in_the_feed_after_it() -> None:
    stand_in = RowStoreStandIn(WORDS, page=1)
    for key in ("a", "b"):
        stand_in.put("t", key, b"1")
    answered = stand_in._read

    async def change_after_first_page(request: Request) -> Response:
        response = await answered(request)
        if "from" not in request.query_params:
            stand_in.put("t", "a", b"2")
        return response

    stand_in._read = change_after_first_page  # type: ignore[method-assign]
    async with connected(stand_in) as store:
        found = await store.read("t")
        changes = await store.changes("t", found.version, 1.0)
        assert [row.key for row in changes.rows] == ["a"]
