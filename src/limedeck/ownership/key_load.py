"""How many requests each key had lately, as the leader hears from all nodes."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable

from limedeck.identity import Seconds

MEMORY: Seconds = 3.0
"""After so long, a request counts for a third."""
LARGEST_EXPONENT = 40.0
"""Stored weights grow with time; they are scaled down when they have grown so much."""
NEGLIGIBLE = 0.02
"""A key with less than this is forgotten."""
PRUNE_INTERVAL: Seconds = 2.0


class KeyLoad:
    """Requests a second by key, with exponentially fading memory.

    Weights are stored as if at `_origin`, so that fading costs nothing for keys without requests.
    """

    def __init__(self, now: Seconds) -> None:
        self._weights: dict[int, float] = {}
        self._positions: list[int] = []
        self._origin = now
        self._pruned_at = now

    def add(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """Take in requests by key."""
        self._rescale(now)
        factor = math.exp((now - self._origin) / MEMORY)
        for position, count in counts:
            if position not in self._weights:
                insort(self._positions, position)
                self._weights[position] = 0.0
            self._weights[position] += count * factor

    def rates(self, first: int, last: int, now: Seconds) -> list[tuple[int, float]]:
        """Requests a second of each key from `first` to `last` that had any, in order."""
        factor = math.exp(-(now - self._origin) / MEMORY) / MEMORY
        start = bisect_left(self._positions, first)
        end = bisect_left(self._positions, last + 1)
        return [
            (position, self._weights[position] * factor) for position in self._positions[start:end]
        ]

    def total(self, first: int, last: int, now: Seconds) -> float:
        """Requests a second of all keys from `first` to `last`."""
        return sum(rate for _, rate in self.rates(first, last, now))

    def _rescale(self, now: Seconds) -> None:
        exponent = (now - self._origin) / MEMORY
        if exponent < LARGEST_EXPONENT and now - self._pruned_at < PRUNE_INTERVAL:
            return
        factor = math.exp(-exponent)
        kept = {
            position: weight * factor
            for position, weight in self._weights.items()
            if weight * factor > NEGLIGIBLE
        }
        self._weights = kept
        self._positions = sorted(kept)
        self._origin = now
        self._pruned_at = now
