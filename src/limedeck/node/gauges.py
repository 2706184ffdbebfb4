"""Updates the gauges that show a node's present state."""

from __future__ import annotations

from limedeck.forwarding.waiting_requests import NONE_WAITING
from limedeck.identity import Seconds
from limedeck.memory_keeper import MemoryKeeper
from limedeck.node.memory_log import MemoryLog
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry


class Gauges:
    """Reads the state of one node at intervals."""

    def __init__(
        self, state: NodeState, telemetry: Telemetry, memory: MemoryKeeper, memory_log: MemoryLog
    ) -> None:
        self._state = state
        self._telemetry = telemetry
        self._memory = memory
        self._memory_log = memory_log

    def update(self, now: Seconds) -> None:
        """Set all gauges."""
        directory = self._state.directory
        self._memory_log.update_gauges(self._memory.account)
        self._telemetry.evacuated.set(len(directory.availability.evacuated))
        self._telemetry.cold.set(sum(state.is_cold(now) for state in directory.all_states()))
        for service in self._state.services:
            self._update_waiting(service, now)

    def _update_waiting(self, service: str, now: Seconds) -> None:
        states = self._state.directory.of_service(service)
        total = sum((state.waiting.counts(now) for state in states), NONE_WAITING)
        self._telemetry.waiting.labels(service, "no").set(total.in_time)
        self._telemetry.waiting.labels(service, "yes").set(total.late)
