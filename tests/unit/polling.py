"""Polls for a condition in tests with real sockets."""

from __future__ import annotations

from collections.abc import Callable

import anyio

POLL_INTERVAL = 0.01  # seconds
MAX_POLLS = 2_000


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; fail after about 20 s."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await anyio.sleep(POLL_INTERVAL)
    raise AssertionError("the condition did not hold within about 20 s")
