"""The numbers of a process's runs."""

from __future__ import annotations

import time

from limedeck.identity import Incarnation


def new_incarnation() -> Incarnation:
    """Number this run of the process: larger than that of every earlier run on the machine."""
    return Incarnation(time.time_ns())
