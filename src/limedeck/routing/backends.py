"""What a router knows of each back end from its own requests, and its share of them."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import Backend, Service
from limedeck.identity import NEVER, Seconds
from limedeck.keyspace.hashing import rendezvous_weight

FAILURES_TO_EJECT = 3
BASE_EJECTION_TIME: Seconds = 1.0
MAX_EJECTION_TIME: Seconds = 30.0
LATENCY_SMOOTHING = 0.2
SLOW_START_TIME: Seconds = 5.0
SLOW_START_WEIGHT = 0.2


@dataclass
class BackendState:
    """One back end in one router's eyes.

    Parameters
    ----------
    outstanding
        Requests this router has sent and not seen the end of.
    failures
        Attempts in a row without an answer.
    ejected_until
        It gets no requests of services that need no owner until then.
    first_seen_at
        When this router first chose it, for the slow start.
    latency
        Smoothed time to a whole answer, in seconds.
    """

    outstanding: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: Seconds = NEVER
    first_seen_at: Seconds = NEVER
    latency: Seconds = 0.0

    def record_response(self, took: Seconds) -> None:
        """An attempt ended with an answer."""
        self.failures = 0
        self.ejections = 0
        if self.latency == 0.0:
            self.latency = took
        else:
            self.latency += LATENCY_SMOOTHING * (took - self.latency)

    def record_failure(self, now: Seconds) -> None:
        """An attempt ended without an answer, or with a refusal for want of capacity."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return
        self.failures = 0
        span = min(BASE_EJECTION_TIME * 2.0**self.ejections, MAX_EJECTION_TIME)
        self.ejections += 1
        self.ejected_until = now + span


class BackendStates:
    """All back ends a router has dealt with.

    Parameters
    ----------
    router_count
        Live routers, which share each back end's connections.
    """

    def __init__(self, router_count: int = 1) -> None:
        self.router_count = router_count
        self._states: dict[str, BackendState] = {}

    def state(self, backend_id: str) -> BackendState:
        """Return a back end's state."""
        return self._states.setdefault(backend_id, BackendState())

    def connection_share(self, service: Service) -> int:
        """Connections to one back end that this router may use."""
        return max(service.limits.backend_connections // max(self.router_count, 1), 1)

    def has_room(self, service: Service, backend_id: str) -> bool:
        """Whether this router may send one more request to a back end now."""
        return self.state(backend_id).outstanding < self.connection_share(service)

    def forget_except(self, backend_ids: Collection[str]) -> None:
        """Drop the states of back ends that are configured no more."""
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
        """Choose a back end for a request that needs no owner, or None when none has room.

        The least loaded of those that are not draining, ejected or excluded is taken; when all of
        these are ejected, ejections are passed over. Ties are broken by the request's id.
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
