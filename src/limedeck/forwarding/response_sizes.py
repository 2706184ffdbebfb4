"""How large the responses of a route are expected to be."""

from __future__ import annotations

NEWEST_WEIGHT = 1 / 8
"""Weight of the newest response. The sum of many expectations is what counts, so the mean does."""


class ResponseSizes:
    """Mean sizes of the latest responses of each route, in bytes."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Record the size of a response."""
        mean = self._means.get(route, float(size))
        self._means[route] = mean + (size - mean) * NEWEST_WEIGHT

    def expected(self, route: str) -> int:
        """Return the expected size; zero if no response is known."""
        return int(self._means.get(route, 0.0))
