"""Capacity to plan with for owners that state rate limits, smoothed to avoid repeated moves."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from limedeck.forwarding.permits import MIN_RATE
from limedeck.identity import Seconds

RISE_DELAY: Seconds = 5.0
"""Time for which a higher limit, or none, must have been stated before plans use it. A move delays
callers of its keys by a fraction of a second, and a limited back end states a new limit every
second."""


@dataclass(frozen=True, slots=True)
class _Planned:
    """Limit that plans use.

    Parameters
    ----------
    rate
        Requests per second.
    higher_since
        When the limits stated since began to be higher than `rate`; None if they are not.
    next_rate
        Lowest of these higher limits; None if no limit was stated in that time.
    """

    rate: float
    higher_since: Seconds | None = None
    next_rate: float | None = None


class PlannedLimits:
    """Rate limits of owners that plans use, in requests per second."""

    def __init__(self) -> None:
        self._planned: dict[str, _Planned] = {}

    def set(self, limits: Mapping[str, float], now: Seconds) -> None:
        """Set the limits in force; back ends that are not listed have no limit."""
        for backend_id in limits.keys() | self._planned.keys():
            planned = self._next(self._planned.get(backend_id), limits.get(backend_id), now)
            if planned is None:
                del self._planned[backend_id]
            else:
                self._planned[backend_id] = planned

    def capacity(self, backend_id: str, unlimited: float) -> float:
        """Return the requests per second to plan for a back end that can process `unlimited`."""
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
    """Return the lower of two limits; None means no limit."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)
