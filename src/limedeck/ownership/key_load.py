"""Recent requests per second of each key, as reported to the leader by all nodes."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable

from limedeck.identity import Seconds

DECAY_TIME: Seconds = 3.0
"""Time constant after which the weight of a request has decayed to about a third (1/e)."""
SHORT_DECAY_TIME: Seconds = 1.0
"""Time constant for loads that show a sudden increase early, with more random variation."""
LONG_DECAY_TIME: Seconds = 8.0
"""Time constant for small lasting differences, which become significant only after seconds."""
MIN_MEASURED_TIME: Seconds = 0.5
"""Time in which the first reported requests are taken to have arrived: the report interval."""
MAX_EXPONENT = 40.0
"""Exponent of the growth of stored weights at which they are scaled down."""
MIN_WEIGHT = 0.02
"""Keys with a smaller weight are dropped."""
PRUNE_INTERVAL: Seconds = 2.0
"""Interval at which such keys are dropped, which takes a pass over all keys."""


class KeyLoad:
    """Requests per second by key, exponentially weighted.

    Weights are stored relative to `_origin`, so that decay costs nothing for keys without requests.

    Parameters
    ----------
    decay_time
        Time constant after which the weight of a request has decayed to about a third (1/e).
    """

    def __init__(self, now: Seconds, decay_time: Seconds = DECAY_TIME) -> None:
        self._decay_time = decay_time
        self._measured_since = now
        self._weights: dict[int, float] = {}
        self._positions: list[int] = []
        self._origin = now
        self._pruned_at = now

    def add(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """Add requests by key."""
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
        """Return the requests per second of each key from `first` to `last` that had any."""
        factor = math.exp(-(now - self._origin) / self._decay_time) / self._effective_time(now)
        start = bisect_left(self._positions, first)
        end = bisect_left(self._positions, last + 1)
        return [
            (position, self._weights[position] * factor) for position in self._positions[start:end]
        ]

    def total(self, first: int, last: int, now: Seconds) -> float:
        """Return the requests per second of all keys from `first` to `last`."""
        return sum(rate for _, rate in self.rates(first, last, now))

    def deviation(self, rate: float, now: Seconds) -> float:
        """Return the standard deviation of a measured rate, for requests that arrive at random."""
        return math.sqrt(max(rate, 0.0) / (2.0 * self._effective_time(now)))

    def _effective_time(self, now: Seconds) -> Seconds:
        """Return the time over which weights add up; shorter soon after the first requests."""
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
