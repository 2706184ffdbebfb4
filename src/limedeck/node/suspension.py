"""Detects that the machine was suspended, and aborts the exchanges that expired meanwhile."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio

from limedeck.clock import steady_clock, time_suspended
from limedeck.http_client import HttpClient
from limedeck.identity import Seconds
from limedeck.node.logs import get_logger
from limedeck.node.telemetry import Telemetry

CHECK_INTERVAL: Seconds = 0.05
"""Time between two checks, and so the longest additional delay of a time-out after a suspension.
Without the check, timers would fire late by the duration of the suspension."""
MIN_SUSPENSION: Seconds = 0.02
"""Smaller differences are ignored: the two clocks are read one after the other, and the process may
be descheduled in between."""


class SuspensionWatch:
    """Compares the clock that runs during a suspension with the one that timers use.

    Parameters
    ----------
    clients
        Their expired exchanges are aborted.
    suspended
        Returns how long the machine has been suspended so far.
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
        self._last_suspended = suspended()
        self._log = get_logger("node")

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Abort expired exchanges if the machine was suspended since the last check."""
        suspended = self._suspended()
        duration = suspended - self._last_suspended
        if duration < MIN_SUSPENSION:
            self._last_suspended = min(self._last_suspended, suspended)
            return
        self._last_suspended = suspended
        self._telemetry.suspended_seconds.inc(duration)
        self._log.warning("suspended", seconds=round(duration, 3))
        for client in self._clients:
            client.abort_expired(steady_clock())
