"""One router's state of each back end, and the choice of one for a request without an owner."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import Backend, Service
from limedeck.identity import NEVER, Seconds
from limedeck.keyspace.hashing import rendezvous_weight

FAILURES_TO_EJECT = 3
"""Consecutive failures that cause an ejection."""
BASE_EJECTION_TIME: Seconds = 1.0
"""Duration of a back end's first ejection; doubled for each one that follows."""
MAX_EJECTION_TIME: Seconds = 30.0
LATENCY_SMOOTHING = 0.2
"""Weight of one response in the smoothed latency."""
SLOW_START_TIME: Seconds = 5.0
SLOW_START_WEIGHT = 0.2
"""Lowest weight of a back end during its slow start; the full weight is 1."""


@dataclass
class BackendState:
    """One router's state of one back end.

    Parameters
    ----------
    outstanding
        Requests of this router that have not ended.
    failures
        Consecutive failed attempts since the last response or ejection.
    ejections
        Consecutive ejections since the last response.
    ejected_until
        Until then it gets no requests of services without owners, unless every candidate is
        ejected.
    first_seen_at
        When this router first considered it for a request; its slow start begins then.
    latency
        Smoothed time to a complete response, in seconds; zero before the first one.
    """

    outstanding: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: Seconds = NEVER
    first_seen_at: Seconds = NEVER
    latency: Seconds = 0.0

    def record_response(self, took: Seconds) -> None:
        """Record that an attempt ended with a response."""
        self.failures = 0
        self.ejections = 0
        if self.latency == 0.0:
            self.latency = took
        else:
            self.latency += LATENCY_SMOOTHING * (took - self.latency)

    def record_failure(self, now: Seconds) -> None:
        """Record that an attempt got no response, or was rejected for lack of capacity."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return
        self.failures = 0
        duration = min(BASE_EJECTION_TIME * 2.0**self.ejections, MAX_EJECTION_TIME)
        self.ejections += 1
        self.ejected_until = now + duration


class BackendStates:
    """One router's states of all back ends.

    Parameters
    ----------
    router_count
        Number of live routers, which share the connections that a back end allows.
    """

    def __init__(self, router_count: int = 1) -> None:
        self.router_count = router_count
        self._states: dict[str, BackendState] = {}

    def state(self, backend_id: str) -> BackendState:
        """Return a back end's state, which is created if there is none."""
        return self._states.setdefault(backend_id, BackendState())

    def connection_share(self, service: Service) -> int:
        """Return how many connections to one back end this router may use: at least one."""
        return max(service.limits.backend_connections // max(self.router_count, 1), 1)

    def has_room(self, service: Service, backend_id: str) -> bool:
        """Whether this router may send one more request to a back end now."""
        return self.state(backend_id).outstanding < self.connection_share(service)

    def retain(self, backend_ids: Collection[str]) -> None:
        """Drop the states of back ends that are no longer configured."""
        for backend_id in [item for item in self._states if item not in backend_ids]:
            del self._states[backend_id]

    def choose(
        self,
        service: Service,
        backends: Sequence[Backend],
        excluded: Collection[str],
        request_id: str,
        now: Seconds,
    ) -> Backend | None:
        """Choose a back end for a request that needs no owner, or None if none has room.

        The least loaded back end that is not draining, ejected or excluded is chosen; if all
        candidates are ejected, ejections are ignored. Ties are broken by the request's id.
        """
        usable = [
            item
            for item in backends
            if not item.draining
            and item.backend_id not in excluded
            and self.has_room(service, item.backend_id)
        ]
        healthy = [item for item in usable if self.state(item.backend_id).ejected_until <= now]
        candidates = healthy or usable
        if not candidates:
            return None
        return min(candidates, key=lambda item: self._rank(item, request_id, now))

    def _rank(self, backend: Backend, request_id: str, now: Seconds) -> tuple[float, int]:
        state = self.state(backend.backend_id)
        if state.first_seen_at == NEVER:
            state.first_seen_at = now
        age = (now - state.first_seen_at) / SLOW_START_TIME
        weight = min(1.0, max(age, SLOW_START_WEIGHT))
        load = (state.outstanding + 1) / weight
        return load, -rendezvous_weight(backend.backend_id, request_id)
