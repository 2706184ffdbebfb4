"""Log lines and metrics about the ownership that a leader manages."""

from __future__ import annotations

from limedeck.identity import NEVER, Seconds
from limedeck.node.logs import get_logger
from limedeck.node.telemetry import Telemetry
from limedeck.ownership.service import ServiceOwnership

BALANCE_LOG_INTERVAL: Seconds = 1.0
"""Interval between `balance` log lines of one service; on-call reads them by the second."""
MAX_LOGGED_BACKENDS = 12
"""Number of back ends, those with the highest use, that a `balance` log line names."""


class OwnershipLog:
    """Logs the changes and the balance of every service that a node leads."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._next_balance_log: dict[str, Seconds] = {}
        self._fencing_began: dict[str, Seconds] = {}
        self._max_tick_delay: Seconds = 0.0
        self._log = get_logger("control")

    def record_tick_delay(self, delay: Seconds) -> None:
        """Record by how much a tick of the leader's loop was late."""
        self._max_tick_delay = max(self._max_tick_delay, delay)

    def record_tick(self, name: str, term: int, core: ServiceOwnership, now: Seconds) -> None:
        """Log what has changed in a service since the last tick."""
        self._log_fencing(name, term, core, now)
        self._log_changes(name, core)
        self._log_balance(name, core, now)

    def clear(self) -> None:
        """Forget the state of services that this node does not lead any more."""
        self._fencing_began.clear()

    def _log_balance(self, name: str, core: ServiceOwnership, now: Seconds) -> None:
        if now < self._next_balance_log.get(name, NEVER) or not core.uses:
            return
        self._next_balance_log[name] = now + BALANCE_LOG_INTERVAL
        by_use = sorted(core.uses.items(), key=lambda item: -item[1])
        self._log.info(
            "balance",
            service=name,
            pieces=len(core.ranges),
            mean=round(sum(core.uses.values()) / len(core.uses), 2),
            service_time=round(core.typical_service_time(), 4),
            owners=len(core.uses),
            unheard=core.unresponsive_owners(now),
            tick_delay=round(self._max_tick_delay, 3),
            uses={backend_id: round(use, 2) for backend_id, use in by_use[:MAX_LOGGED_BACKENDS]},
        )
        self._max_tick_delay = 0.0

    def _log_fencing(self, name: str, term: int, core: ServiceOwnership, now: Seconds) -> None:
        """Log that back ends may hold unknown keys after a changed era, and the end of that."""
        began = self._fencing_began.get(name)
        if core.is_fencing and began is None:
            self._fencing_began[name] = now
            self._log.warning("era_fencing_began", service=name, term=term)
        elif began is not None and not core.is_fencing:
            del self._fencing_began[name]
            self._log.warning(
                "era_fencing_ended", service=name, term=term, seconds=round(now - began, 3)
            )

    def _log_changes(self, name: str, core: ServiceOwnership) -> None:
        for change in core.changes:
            self._telemetry.owner_changes.labels(change.cause.value).inc()
            self._log.info(
                "owner_changed",
                service=name,
                first=change.first,
                last=change.last,
                former=change.former,
                owner=change.owner,
                cause=change.cause.value,
            )
        core.changes.clear()
