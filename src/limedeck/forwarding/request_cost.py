"""How much work the requests of each route are at a service, relative to each other."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.05
"""Weight of one answer among the earlier ones; some 20 answers tell the mean of uneven work."""
FEWEST_SAMPLES = 5
"""A route counts as measured after so many answers; fewer tell chance rather than work."""


@dataclass(slots=True)
class _Mean:
    """A mean of the first samples that goes over into a smoothed one."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        self.count += 1
        self.value += max(SMOOTHING, 1.0 / self.count) * (sample - self.value)


class ServiceWork:
    """Work of each route's requests at one service; 1 is the mean over its present requests.

    How fast a back end is and how much work a route's requests are is learnt apart: a route that
    is sent to another service brings its own work with it, and must not be judged by what the
    other routes of that service need.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Mean] = {}
        self._all = _Mean()

    def relative(self, route: str) -> float:
        """Work of a request of this route; 1 while little is known of it."""
        if not self.is_measured(route) or self._all.value <= 0.0:
            return 1.0
        return self._routes[route].value / self._all.value

    def is_measured(self, route: str) -> bool:
        """Whether enough requests of this route were answered here."""
        found = self._routes.get(route)
        return found is not None and found.count >= FEWEST_SAMPLES

    def record(self, route: str, ratio: float) -> None:
        """A request took `ratio` times as long as the back end's mean, without its queue."""
        self._routes.setdefault(route, _Mean()).add(ratio)
        self._all.add(ratio)
