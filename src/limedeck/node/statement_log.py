"""Log lines and gauges for statements of back ends: limits, leaving, back-off."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import prometheus_client

from limedeck.forwarding import backoffs
from limedeck.forwarding.backends import BackendDirectory
from limedeck.identity import Seconds
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.telemetry import Telemetry

MAX_LINES_PER_SECOND = 10
"""For each type of event: a limit may change with every response and would flood the log."""


class StatementLog:
    """Logs and counts changes in a node's knowledge of back ends' statements."""

    def __init__(self, directory: BackendDirectory, telemetry: Telemetry) -> None:
        self._directory = directory
        self._telemetry = telemetry
        self._limit_lines = RateLimit(MAX_LINES_PER_SECOND)
        self._leaving_lines = RateLimit(MAX_LINES_PER_SECOND)
        self._backoff_lines = RateLimit(MAX_LINES_PER_SECOND)
        self._services: set[str] = set()
        self._log = get_logger("statements")

    def log_events(self, now: Seconds) -> None:
        """Log changes since the last call, update the gauges, and drop expired statements."""
        self._log_limits(now)
        self._log_leaving(now)
        self._log_backoffs(now)
        self._update_gauges(now)
        self._directory.drop_expired_statements(now)

    def _log_limits(self, now: Seconds) -> None:
        limits = self._directory.limits
        events, limits.events = limits.events, []
        for event in events:
            if not self._limit_lines.allows():
                break
            self._log.info(
                "limit_changed",
                backend=event.backend_id,
                former=event.former.rate if event.former is not None else None,
                limit=event.statement.rate,
                source=_source(event.from_peer),
                age=round(now - event.statement.received_at, 3),
            )

    def _log_leaving(self, now: Seconds) -> None:
        leaving = self._directory.leaving
        events, leaving.events = leaving.events, []
        for event in events:
            if not self._leaving_lines.allows():
                break
            self._log.info(
                "leaving_changed",
                backend=event.backend_id,
                leaves=event.statement.is_leaving,
                source=_source(event.from_peer),
                age=round(now - event.statement.received_at, 3),
            )

    def _log_backoffs(self, now: Seconds) -> None:
        ledger = self._directory.backoffs
        events, ledger.events = ledger.events, []
        for event in events:
            if not self._backoff_lines.allows():
                break
            match event:
                case backoffs.BackoffStarted(backend_id, backoff):
                    self._log.info(
                        "rest_began",
                        backend=backend_id,
                        seconds=round(backoff.requested, 3),
                        left=round(backoff.resume_at - now, 3),
                        age=round(now - backoff.received_at, 3),
                    )
                case backoffs.BackoffEnded(backend_id):
                    self._log.info("rest_ended", backend=backend_id)

    def _update_gauges(self, now: Seconds) -> None:
        directory = self._directory
        self._count(self._telemetry.limited, directory.limits.limited())
        self._count(self._telemetry.leaving, directory.leaving.leaving_backends())
        backing_off = [backend_id for backend_id, _ in directory.backoffs.active(now)]
        self._count(self._telemetry.backing_off, backing_off)

    def _count(self, gauge: prometheus_client.Gauge, backend_ids: Iterable[str]) -> None:
        counts: Counter[str] = Counter()
        for backend_id in backend_ids:
            state = self._directory.find(backend_id)
            if state is not None:
                counts[state.backend.service] += 1
        self._services |= counts.keys()
        for service in self._services:
            gauge.labels(service).set(counts[service])


def _source(from_peer: bool) -> str:
    return "node" if from_peer else "answer"
