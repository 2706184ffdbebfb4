"""The clock that leases are counted by."""

from __future__ import annotations

import time

from limedeck.identity import Incarnation, Seconds


def boot_clock() -> Seconds:
    """Seconds since the machine started, time spent suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_incarnation() -> Incarnation:
    """Number this run of the process: larger than that of every earlier run on the machine."""
    return Incarnation(time.time_ns())
