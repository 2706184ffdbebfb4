"""The only clock that decides anything: steady, never set, not stopped by a suspended machine."""

from __future__ import annotations

import time

from limedeck.identity import Seconds


def steady_clock() -> Seconds:
    """Seconds since the machine started, time spent suspended included.

    Other machines go on meanwhile: leases run out, deadlines pass, and another leader is elected.
    By a clock that stands still then, a leader that wakes up would take all of it for valid. No
    jump of the time of day shows in it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def time_suspended() -> Seconds:
    """Seconds that the machine was suspended since it started: timers have not counted them."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
