"""What a node knows of each back end: its entry, its load, how fast it answers."""

from __future__ import annotations

import math
from collections.abc import Collection

import xxhash

from limedeck.forwarding.protocol import LoadReport
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend

DEFAULT_SERVICE_TIME: Seconds = 0.1
LATENCY_SMOOTHING = 0.15
LOAD_MEMORY: Seconds = 0.5
"""After so long, a reported load counts for a third only."""
FAILURES_TO_EJECT = 2
EJECTION_TIME: Seconds = 0.5
LONGEST_EJECTION: Seconds = 4.0
FULL_QUEUE = 4.0
"""Requests for each slot that a back end is taken to hold when it turns one away, at least."""
OTHER_ZONE_FACTOR = 1.6
"""A back end of another zone must be better by so much."""


class BackendState:
    """One back end as one node sees it.

    Attributes
    ----------
    outstanding
        Requests of this node that it has not answered.
    service_time
        Smoothed time to work on one request, in seconds.
    answers
        Whole answers since they were last reported.
    """

    def __init__(self, backend: Backend, now: Seconds) -> None:
        self.backend = backend
        self.seen_at = now
        self.outstanding = 0
        self.service_time: Seconds | None = None
        self.answers = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until: Seconds = NEVER
        self._others = 0.0
        self._reported_at: Seconds = NEVER

    def note_load(self, report: LoadReport, now: Seconds) -> None:
        """Take in the load that an answer told."""
        self._others = max(report.running + report.waiting - self.outstanding, 0.0)
        self._reported_at = now

    def note_answer(self, took: Seconds, load: LoadReport | None, now: Seconds) -> None:
        """An attempt was answered whole."""
        self.answers += 1
        self.failures = 0
        self.ejections = 0
        self.ejected_until = NEVER
        queued = (load.waiting if load else 0) / self.backend.slots
        sample = took / (1.0 + queued)
        if self.service_time is None:
            self.service_time = sample
        else:
            self.service_time += LATENCY_SMOOTHING * (sample - self.service_time)

    def note_failure(self, now: Seconds) -> None:
        """An attempt ended without an answer."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            span = EJECTION_TIME * 2.0 ** min(self.ejections, 10)
            self.ejected_until = now + min(span, LONGEST_EJECTION)
            self.ejections += 1

    def note_full(self, now: Seconds) -> None:
        """It turned a request away because its queue is full."""
        least = FULL_QUEUE * self.backend.slots - self.outstanding
        self._others = max(self._others if self._reported_at == now else 0.0, least, 0.0)
        self._reported_at = now

    def expected_load(self, now: Seconds) -> float:
        """Requests that are expected to be there now."""
        memory = math.exp(-(now - self._reported_at) / LOAD_MEMORY)
        return self.outstanding + self._others * memory

    def expected_time(self, now: Seconds, typical: Seconds) -> Seconds:
        """Time that one more request is expected to take."""
        work = self.service_time or typical
        slots = self.backend.slots
        ahead = self.expected_load(now)
        queued = max(ahead + 1.0 - slots, 0.0) / slots
        busy = min(ahead / slots, 1.0)
        return work * (1.0 + queued + 0.3 * busy) * self._warming(now)

    def queueing_time(self, now: Seconds) -> Seconds | None:
        """Time that one more request is expected to take; None if nothing was measured."""
        if self.service_time is None:
            return None
        return self.expected_time(now, self.service_time)

    def _warming(self, now: Seconds) -> float:
        age = now - self.seen_at
        return 2.0 if age < self.backend.warmup else 1.0


class BackendDirectory:
    """All back ends that the listing names, by service.

    Parameters
    ----------
    zone
        This node's zone.
    node_id
        Breaks ties differently on each node.
    """

    def __init__(self, zone: str, node_id: str) -> None:
        self._zone = zone
        self._node_id = node_id
        self._states: dict[str, BackendState] = {}
        self._services: dict[str, dict[str, BackendState]] = {}
        self._addresses: dict[str, str] = {}

    def put(self, backend: Backend, now: Seconds) -> None:
        """A back end's entry is new or has changed."""
        self._addresses[backend.backend_id] = backend.address
        state = self._states.get(backend.backend_id)
        if state is None:
            state = BackendState(backend, now)
            self._states[backend.backend_id] = state
        else:
            self._services.get(state.backend.service, {}).pop(backend.backend_id, None)
            state.backend = backend
        self._services.setdefault(backend.service, {})[backend.backend_id] = state

    def remove(self, backend_id: str) -> None:
        """A back end's entry is gone."""
        state = self._states.pop(backend_id, None)
        if state is not None:
            self._services[state.backend.service].pop(backend_id, None)

    def find(self, backend_id: str) -> BackendState | None:
        """Return a back end's state."""
        return self._states.get(backend_id)

    def last_address(self, backend_id: str) -> str | None:
        """Return where a back end was last listed, though its entry may be gone."""
        return self._addresses.get(backend_id)

    def addresses(self) -> set[str]:
        """Return where the listed back ends are."""
        return {state.backend.address for state in self._states.values()}

    def of_service(self, service: str) -> list[BackendState]:
        """Return a service's back ends."""
        return list(self._services.get(service, {}).values())

    def choose(
        self, service: str, excluded: Collection[str], request_id: bytes, now: Seconds
    ) -> BackendState | None:
        """Choose the back end that is expected to answer first; None when there is none."""
        usable = [
            state
            for state in self.of_service(service)
            if not state.backend.draining and state.backend.backend_id not in excluded
        ]
        healthy = [state for state in usable if state.ejected_until <= now]
        candidates = healthy or usable
        if not candidates:
            return None
        typical = self._typical_time(candidates)

        def cost(state: BackendState) -> float:
            near = state.backend.zone == self._zone
            spread = spread_of(state.backend.backend_id.encode() + request_id)
            time = state.expected_time(now, typical) * (1.0 + 0.1 * spread)
            return time if near else time * OTHER_ZONE_FACTOR

        return min(candidates, key=cost)

    def _typical_time(self, states: list[BackendState]) -> Seconds:
        known = [state.service_time for state in states if state.service_time is not None]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME


def spread_of(text: bytes) -> float:
    """A number from 0 to 1 that differs from text to text."""
    return xxhash.xxh32_intdigest(text) / float(1 << 32)
