"""Notifications for several waiting tasks."""

from __future__ import annotations

import anyio

from limedeck.identity import Seconds


class Notifier:
    """Wakes all tasks that wait for changes, and counts changes for tasks that are not waiting.

    Attributes
    ----------
    count
        The number of changes so far.
    """

    def __init__(self) -> None:
        self.count = 0
        self._event = anyio.Event()

    def notify(self) -> None:
        """Record a change, and wake all waiting tasks."""
        self.count += 1
        self._event.set()
        self._event = anyio.Event()

    async def wait_past(self, known: int, timeout: Seconds) -> None:
        """Wait until there are more changes than the known ones, for at most the given time."""
        if self.count > known:
            return
        event = self._event
        with anyio.move_on_after(timeout):
            await event.wait()
