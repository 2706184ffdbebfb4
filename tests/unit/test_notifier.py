"""News reach whoever waits for them, and whoever was busy when they came."""

from __future__ import annotations

import anyio
import pytest

from limedeck.node import notifier as notices

pytestmark = pytest.mark.anyio
LONG = 3600.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_news_that_came_while_one_was_busy_are_not_waited_for() -> None:
    """Found by reading: a leader that paused between two messages missed what changed meanwhile.

    Nodes of a large fleet then heard of a new owner with the next heartbeat, 0.3 s later.
    """
    notice = notices.Notifier()
    known = notice.count
    notice.give()
    with anyio.fail_after(LONG / 100):
        await notice.wait_beyond(known, LONG)


async def test_who_knows_all_waits_for_the_next_news() -> None:
    notice = notices.Notifier()
    notice.give()
    woken = []

    async def wait() -> None:
        await notice.wait_beyond(1, LONG)
        woken.append(notice.count)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        assert woken == []
        notice.give()
    assert woken == [2]


async def test_without_news_the_wait_ends() -> None:
    notice = notices.Notifier()
    await notice.wait_beyond(0, 0.0)
    assert notice.count == 0
