"""Times in messages between nodes, sent as ages since the clocks of nodes are unrelated."""

from __future__ import annotations

from limedeck.identity import Seconds

MILLISECONDS = 1000
MAX_AGE: Seconds = 1_000_000.0
"""Ages are capped to fit the message field; far above the age of anything that is kept."""


def age_of(at: Seconds, now: Seconds) -> int:
    """Return the age of a time in milliseconds."""
    return round(min(max(now - at, 0.0), MAX_AGE) * MILLISECONDS)


def time_of(age: int, now: Seconds) -> Seconds:
    """Return the time that has the given age in milliseconds."""
    return now - age / MILLISECONDS
