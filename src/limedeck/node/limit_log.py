"""Log lines and figures of the limits that back ends name."""

from __future__ import annotations

from collections import Counter

from limedeck.forwarding.backends import BackendDirectory
from limedeck.identity import Seconds
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.telemetry import Telemetry

LINES_PER_SECOND = 10
"""A limit that differs from answer to answer changes as often as its back end answers."""


class LimitLog:
    """Tells what a node believes of limits whenever that changes."""

    def __init__(self, directory: BackendDirectory, telemetry: Telemetry) -> None:
        self._directory = directory
        self._telemetry = telemetry
        self._lines = RateLimit(LINES_PER_SECOND)
        self._services: set[str] = set()
        self._log = get_logger("limits")

    def tell(self, now: Seconds) -> None:
        """Write what has changed since the last call."""
        limits = self._directory.limits
        events, limits.events = limits.events, []
        for event in events:
            if not self._lines.allows():
                break
            self._log.info(
                "limit_changed",
                backend=event.backend_id,
                former=event.former,
                limit=event.statement.rate,
                source="node" if event.told else "answer",
                age=round(now - event.statement.heard_at, 3),
            )
        self._count()
        self._directory.drop_unlisted_limits(now)

    def _count(self) -> None:
        counts: Counter[str] = Counter()
        for backend_id in self._directory.limits.limited():
            state = self._directory.find(backend_id)
            if state is not None:
                counts[state.backend.service] += 1
        self._services |= counts.keys()
        for service in self._services:
            self._telemetry.limited.labels(service).set(counts[service])
