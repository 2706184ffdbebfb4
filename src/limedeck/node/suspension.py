"""Notices that the machine was suspended, and ends what its timers would end too late."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio

from limedeck.clock import steady_clock, time_suspended
from limedeck.http_client import HttpClient
from limedeck.identity import Seconds
from limedeck.node.logs import get_logger
from limedeck.node.telemetry import Telemetry

TICK: Seconds = 0.05
"""Between two looks. Callers wait so much longer at most for the answer that their time is over;
without a look, as long as the machine was suspended."""
SHORTEST: Seconds = 0.02
"""The two clocks are read one after the other, and a turn of the processor may fall between."""


class SuspensionWatch:
    """Compares the clock that goes on with the one that timers follow.

    Parameters
    ----------
    clients
        Whose exchanges are given up when their time is over.
    suspended
        Seconds that the machine was suspended so far.
    """

    def __init__(
        self,
        clients: Sequence[HttpClient],
        telemetry: Telemetry,
        suspended: Callable[[], Seconds] = time_suspended,
    ) -> None:
        self._clients = clients
        self._telemetry = telemetry
        self._suspended = suspended
        self._known = suspended()
        self._log = get_logger("node")

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await anyio.sleep(TICK)
            self.look()

    def look(self) -> None:
        """Give up what is overdue if the machine was suspended since the last look."""
        suspended = self._suspended()
        span = suspended - self._known
        if span < SHORTEST:
            self._known = min(self._known, suspended)
            return
        self._known = suspended
        self._telemetry.suspended_seconds.inc(span)
        self._log.warning("suspended", seconds=round(span, 3))
        for client in self._clients:
            client.abort_expired(steady_clock())
