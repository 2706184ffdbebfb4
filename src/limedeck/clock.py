"""The clock of all decisions: monotonic, never set, and running while a machine is suspended."""

from __future__ import annotations

import time

from limedeck.identity import Seconds


def steady_clock() -> Seconds:
    """Return the seconds since the machine started, including time spent suspended.

    While a machine is suspended, leases expire, deadlines pass, and another leader is elected
    elsewhere. With a clock that stops meanwhile, a resumed leader would take its leases and its
    leadership for valid. Changes of the time of day don't affect this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def time_suspended() -> Seconds:
    """Return for how many seconds the machine was suspended since its start.

    Timers do not count this time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
