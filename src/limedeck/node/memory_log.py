"""Log lines and metrics of what a node holds in memory."""

from __future__ import annotations

from limedeck.held_memory import BreakOff, MemoryAccount
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.telemetry import Telemetry

LINES_PER_SECOND = 10


class MemoryLog:
    """Logs and counts what is given up for its memory."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._limit = RateLimit(LINES_PER_SECOND)
        self._log = get_logger("memory")

    def record_break_off(self, command: BreakOff) -> None:
        """Record that a holder was broken off."""
        purpose, cause = command.holder.purpose.value, command.cause.value
        self._telemetry.broken_off.labels(purpose, cause).inc()
        if self._limit.allows():
            self._log.warning(
                "broken_off",
                purpose=purpose,
                cause=cause,
                bytes=command.size,
                age=round(command.age, 3),
                idle=round(command.idle, 3),
            )

    def update_gauges(self, account: MemoryAccount) -> None:
        """Update the metrics of what is held."""
        for purpose, size in account.totals.items():
            self._telemetry.held_bytes.labels(purpose.value).set(size)
