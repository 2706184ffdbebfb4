"""Which routes share a service's back ends, by its recent requests.

The configuration may lead many routes to a service that hardly has requests on most of them. Room
is kept only for routes that have some.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.model import Route

MIN_SHARE = 0.05
"""Part of a service's recent requests from which on a route counts as sharing its back ends."""
MAX_COUNT = 200.0
"""Requests of one route after which all counts are halved, so that only recent ones count."""
MIN_COUNT = 1.0
"""Routes with a smaller count are forgotten when counts are halved."""
UPDATE_INTERVAL = 16
"""Requests after which the routes are determined anew."""


@dataclass(slots=True)
class _RecentRequests:
    route: Route
    count: float


class RouteMix:
    """Counts the recent requests of one service at one node by route.

    Attributes
    ----------
    routes
        The routes that share the service's back ends.
    has_priorities
        Whether their priorities differ.
    """

    def __init__(self) -> None:
        self.routes: Sequence[Route] = ()
        self.has_priorities = False
        self._recent: dict[str, _RecentRequests] = {}
        self._until_update = 0

    def record(self, route: Route) -> None:
        """Record that a request of a route arrived."""
        recent = self._recent.setdefault(route.name, _RecentRequests(route, 0.0))
        recent.route = route
        recent.count += 1.0
        self._until_update -= 1
        if recent.count >= MAX_COUNT:
            self._halve()
        if self._until_update <= 0:
            self._update()

    def _halve(self) -> None:
        for item in self._recent.values():
            item.count /= 2.0
        self._recent = {
            name: item for name, item in self._recent.items() if item.count >= MIN_COUNT
        }

    def _update(self) -> None:
        self._until_update = UPDATE_INTERVAL
        total = sum(item.count for item in self._recent.values())
        self.routes = [
            item.route for item in self._recent.values() if item.count >= MIN_SHARE * total
        ]
        self.has_priorities = len({route.priority for route in self.routes}) > 1
