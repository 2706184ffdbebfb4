"""Incarnation numbers, one for each run of a process."""

from __future__ import annotations

import time

from limedeck.identity import Incarnation


def new_incarnation() -> Incarnation:
    """Return this run's number, larger than that of every earlier run on the machine."""
    return Incarnation(time.time_ns())
