"""News for many tasks that wait."""

from __future__ import annotations

import anyio

from limedeck.identity import Seconds


class Notifier:
    """Wakes all that wait for news, and whoever did not wait when they came.

    Attributes
    ----------
    count
        How often news came.
    """

    def __init__(self) -> None:
        self.count = 0
        self._event = anyio.Event()

    def give(self) -> None:
        """There are news."""
        self.count += 1
        self._event.set()
        self._event = anyio.Event()

    async def wait_beyond(self, known: int, longest: Seconds) -> None:
        """Wait until news came after those that are known, for at most so long."""
        if self.count > known:
            return
        event = self._event
        with anyio.move_on_after(longest):
            await event.wait()
