"""The only clock that decides anything: steady, never set."""

from __future__ import annotations

import time

from limedeck.identity import Seconds


def steady_clock() -> Seconds:
    """Seconds since some moment in the past; no jump of the time of day shows in it."""
    return time.monotonic()
