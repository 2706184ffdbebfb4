"""What owners that name limits are planned to bear: one that wavers moves no keys to and fro."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from limedeck.forwarding.permits import MIN_RATE
from limedeck.identity import Seconds

RISE_DELAY: Seconds = 5.0
"""A limit that rises or is lifted is planned with once it has held for so long: a move costs its
keys' callers a fraction of a second, and a back end in need names another limit every second."""


@dataclass(frozen=True, slots=True)
class _Planned:
    """A limit that is planned with, and since when every later one was above it."""

    rate: float
    higher_since: Seconds | None = None
    next_rate: float | None = None


class PlannedLimits:
    """Requests a second that owners are planned to get at most."""

    def __init__(self) -> None:
        self._planned: dict[str, _Planned] = {}

    def set(self, limits: Mapping[str, float], now: Seconds) -> None:
        """Take in the limits in force; whoever has none here names none."""
        for backend_id in limits.keys() | self._planned.keys():
            planned = self._next(self._planned.get(backend_id), limits.get(backend_id), now)
            if planned is None:
                del self._planned[backend_id]
            else:
                self._planned[backend_id] = planned

    def capacity(self, backend_id: str, unlimited: float) -> float:
        """Return the requests a second that a back end bears, of those it could work on."""
        planned = self._planned.get(backend_id)
        return unlimited if planned is None else min(unlimited, max(planned.rate, MIN_RATE))

    def _next(self, planned: _Planned | None, limit: float | None, now: Seconds) -> _Planned | None:
        if planned is None or (limit is not None and limit <= planned.rate):
            return None if limit is None else _Planned(limit)
        since = now if planned.higher_since is None else planned.higher_since
        lowest = limit if planned.higher_since is None else _stricter(planned.next_rate, limit)
        if now - since < RISE_DELAY:
            return _Planned(planned.rate, since, lowest)
        return None if lowest is None else _Planned(lowest)


def _stricter(one: float | None, other: float | None) -> float | None:
    """Return the stricter of two limits; None names none."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)
