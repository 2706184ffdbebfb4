"""Changes wake waiting tasks and are not missed by tasks that were busy."""

from __future__ import annotations

import anyio
import pytest

from limedeck.node import notifier as notifiers

pytestmark = pytest.mark.anyio
LONG = 3600.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_wait_returns_immediately_after_a_change_that_was_missed() -> None:
    """Otherwise a leader that pauses between two messages misses the changes in the meantime.

    Nodes of a large fleet then received a new owner with the next heartbeat, 0.3 s later.
    """
    notifier = notifiers.Notifier()
    known = notifier.count
    notifier.notify()
    with anyio.fail_after(LONG / 100):
        await notifier.wait_past(known, LONG)


async def test_wait_lasts_until_the_next_change() -> None:
    notifier = notifiers.Notifier()
    notifier.notify()
    woken = []

    async def wait() -> None:
        await notifier.wait_past(1, LONG)
        woken.append(notifier.count)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        assert woken == []
        notifier.notify()
    assert woken == [2]


async def test_wait_ends_after_the_time_out() -> None:
    notifier = notifiers.Notifier()
    await notifier.wait_past(0, 0.0)
    assert notifier.count == 0
