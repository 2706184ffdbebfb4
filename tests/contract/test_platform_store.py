"""Adapter of the users' store: what is specific to its protocol (see also test_row_stores.py)."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from limedeck.platform.store import PlatformStore
from limedeck.store.rows import (
    HistoryGone,
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
