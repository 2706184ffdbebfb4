"""Waiting, in a test with real sockets, for what must come about."""

from __future__ import annotations

from collections.abc import Callable

import anyio

PAUSE = 0.01
LOOKS = 2_000


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; fail after some twenty seconds."""
    for _ in range(LOOKS):
        if condition():
            return
        await anyio.sleep(PAUSE)
    raise AssertionError("it did not come about")
