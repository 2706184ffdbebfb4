"""Times in messages between nodes: how long ago, since nodes' clocks have nothing in common."""

from __future__ import annotations

from limedeck.identity import Seconds

MILLISECONDS = 1000
LONGEST_AGE: Seconds = 1_000_000.0
"""What a message can hold; far above what is remembered."""


def age_of(at: Seconds, now: Seconds) -> int:
    """Return how long ago a time was, in milliseconds."""
    return round(min(max(now - at, 0.0), LONGEST_AGE) * MILLISECONDS)


def time_of(age: int, now: Seconds) -> Seconds:
    """Return the time that was so many milliseconds ago."""
    return now - age / MILLISECONDS
