"""How many requests each key had lately, as the leader hears from all nodes."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable

from limedeck.identity import Seconds

DECAY_TIME: Seconds = 3.0
"""After so long, a request counts for a third."""
SHORT_DECAY_TIME: Seconds = 1.0
"""For loads that show a surge soon, and less surely."""
LONG_DECAY_TIME: Seconds = 8.0
"""For small differences that last: they show above chance only after some seconds."""
MIN_MEASURED_TIME: Seconds = 0.5
"""The first requests that are heard of came within so long: the interval of reports."""
MAX_EXPONENT = 40.0
"""Stored weights grow with time; they are scaled down when they have grown so much."""
MIN_WEIGHT = 0.02
"""A key with less than this is forgotten."""
PRUNE_INTERVAL: Seconds = 2.0
"""Between two looks for such keys, which cost a pass over all; an estimate."""


class KeyLoad:
    """Requests a second by key, with exponentially fading memory.

    Weights are stored as if at `_origin`, so that fading costs nothing for keys without requests.

    Parameters
    ----------
    memory
        After so long, in seconds, a request counts for a third.
    """

    def __init__(self, now: Seconds, decay_time: Seconds = DECAY_TIME) -> None:
        self._decay_time = decay_time
        self._measured_since = now
        self._weights: dict[int, float] = {}
        self._positions: list[int] = []
        self._origin = now
        self._pruned_at = now

    def add(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """Take in requests by key."""
        self._rescale(now)
        if not self._weights:
            self._measured_since = now - MIN_MEASURED_TIME
        factor = math.exp((now - self._origin) / self._decay_time)
        for position, count in counts:
            if position not in self._weights:
                insort(self._positions, position)
                self._weights[position] = 0.0
            self._weights[position] += count * factor

    def rates(self, first: int, last: int, now: Seconds) -> list[tuple[int, float]]:
        """Requests a second of each key from `first` to `last` that had any, in order."""
        factor = math.exp(-(now - self._origin) / self._decay_time) / self._effective_time(now)
        start = bisect_left(self._positions, first)
        end = bisect_left(self._positions, last + 1)
        return [
            (position, self._weights[position] * factor) for position in self._positions[start:end]
        ]

    def total(self, first: int, last: int, now: Seconds) -> float:
        """Requests a second of all keys from `first` to `last`."""
        return sum(rate for _, rate in self.rates(first, last, now))

    def deviation(self, rate: float, now: Seconds) -> float:
        """Standard deviation of a measured rate, in requests a second: requests come at random."""
        return math.sqrt(max(rate, 0.0) / (2.0 * self._effective_time(now)))

    def _effective_time(self, now: Seconds) -> Seconds:
        """Time that the memory covers; short while the first requests are not long ago."""
        age = max(now - self._measured_since, MIN_MEASURED_TIME)
        return self._decay_time * -math.expm1(-age / self._decay_time)

    def _rescale(self, now: Seconds) -> None:
        exponent = (now - self._origin) / self._decay_time
        if exponent < MAX_EXPONENT and now - self._pruned_at < PRUNE_INTERVAL:
            return
        factor = math.exp(-exponent)
        kept = {
            position: weight * factor
            for position, weight in self._weights.items()
            if weight * factor > MIN_WEIGHT
        }
        self._weights = kept
        self._positions = sorted(kept)
        self._origin = now
        self._pruned_at = now
