"""Relative cost of the requests of each route at a service."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.05
"""Weight of one response among the earlier ones; about 20 give the mean of uneven work."""
MIN_SAMPLES = 5
"""Responses after which a route counts as measured; with fewer, chance prevails."""
SPEEDUP_SMOOTHING = 0.2
"""Weight of one response in the speedup: a dozen responses of a service show that it is well again,
while the service times of its single back ends still rest on older ones."""
MIN_SPEEDUP = 0.6
"""A speedup above this may be due to the variation of single requests, and is not used."""


@dataclass(slots=True)
class _Mean:
    """The mean of the first samples, then an exponential moving average."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        self.count += 1
        self.value += max(SMOOTHING, 1.0 / self.count) * (sample - self.value)


class ServiceWork:
    """Cost of each route's requests at one service; 1 is the mean over its present requests.

    The speed of back ends and the cost of a route's requests are measured separately: if a route is
    moved to another service, its requests keep their own cost, which must not be estimated from the
    other routes of that service.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Mean] = {}
        self._all = _Mean()
        self._recent_ratio = 1.0

    def relative(self, route: str) -> float:
        """Return the relative cost of a request of this route; 1 until it is measured."""
        if not self.is_measured(route) or self._all.value <= 0.0:
            return 1.0
        return self._routes[route].value / self._all.value

    def is_measured(self, route: str) -> bool:
        """Whether there were enough responses to requests of this route."""
        found = self._routes.get(route)
        return found is not None and found.count >= MIN_SAMPLES

    def record(self, route: str, ratio: float) -> None:
        """Record that a request took `ratio` times the back end's mean time, excluding queueing."""
        self._routes.setdefault(route, _Mean()).add(ratio)
        self._all.add(ratio)

    def record_speedup(self, ratio: float) -> None:
        """Record that a request took `ratio` times what was expected of its back end."""
        self._recent_ratio += SPEEDUP_SMOOTHING * (ratio - self._recent_ratio)

    @property
    def speedup(self) -> float:
        """Factor of the time that requests take now, by the newest responses of all back ends.

        Below 1 only: requests that are refused because they are expected to take long cannot show
        that they no longer do.
        """
        return self._recent_ratio if self._recent_ratio < MIN_SPEEDUP else 1.0
