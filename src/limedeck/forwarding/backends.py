"""The back ends that a node knows, and the selection of one for a request."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from limedeck.forwarding.availability import Availability, Unavailable
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backoffs import BackoffLedger
from limedeck.forwarding.intermediaries import Intermediaries
from limedeck.forwarding.leaving import LeavingLedger
from limedeck.forwarding.limits import LimitLedger
from limedeck.forwarding.reachability import Reachability
from limedeck.forwarding.request_cost import ServiceWork
from limedeck.forwarding.sharing import ShareDrawing
from limedeck.identity import Seconds
from limedeck.model import Backend

DEFAULT_SERVICE_TIME: Seconds = 0.1
"""Assumed for a service from which no response has arrived yet."""
MIN_HEALTHY_FRACTION = 0.5
"""If a smaller fraction of a service's usable back ends is healthy, ejections are ignored: the
requests themselves may cause the failures, and the healthy back ends could not do all the work. The
panic threshold that Envoy's documentation gives."""
MAX_CONFIRMATION_AGE: Seconds = 1.5
"""A leader whose last confirmation by the store is at least this old cannot assign owners. Longer
than two confirmation intervals."""
RECENT_CONTACT: Seconds = 1.0
"""Time since the last response within which connections that are open are still used."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The address and instance name of a back end when it was last listed.

    Parameters
    ----------
    instance
        The name by which requests and orders identify the back end.
    """

    address: str
    instance: str


class BackendDirectory:
    """The listed back ends, by service.

    Attributes
    ----------
    limits
        Request-rate limits that back ends state.
    leaving
        Back ends that have announced that they are leaving.
    backoffs
        Back-off periods that back ends have requested from this node.
    availability
        Checks of whether back ends may receive requests.
    reachability
        Which back ends this node reaches.
    intermediaries
        Nodes through which it reaches the others.

    Parameters
    ----------
    zone
        This node's zone.
    node_id
        Determines when this node sends requests again after a back-off.
    """

    def __init__(self, zone: str, node_id: str) -> None:
        self._zone = zone
        self._node_id = node_id
        self._states: dict[str, BackendState] = {}
        self._services: dict[str, dict[str, BackendState]] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._ids_by_instance: dict[str, str] = {}
        self._work: dict[str, ServiceWork] = {}
        self._drawings: dict[str, ShareDrawing] = {}
        self._cold_rates: dict[str, float] = {}
        self._draining_ids: set[str] = set()
        self._store_confirmed_at: Seconds | None = None
        self.reachability = Reachability(node_id)
        self.intermediaries = Intermediaries(zone)
        self.limits = LimitLedger()
        self.leaving = LeavingLedger()
        self.backoffs = BackoffLedger(node_id)
        self.availability = Availability(self.limits, self.leaving, self.backoffs)

    def put(self, backend: Backend, now: Seconds) -> None:
        """Record a new or changed entry of a back end.

        An entry of another incarnation of the same instance removes the state of the former one: it
        owns no keys and has no state from before.
        """
        former = self._ids_by_instance.get(backend.name)
        if former is not None and former != backend.backend_id:
            self.remove(former)
            self.leaving.forget(former)
            self.backoffs.forget(former)
        self._ids_by_instance[backend.name] = backend.backend_id
        self._endpoints[backend.backend_id] = Endpoint(backend.address, backend.name)
        state = self._states.get(backend.backend_id)
        if state is None:
            work = self._work.setdefault(backend.service, ServiceWork())
            state = BackendState(backend, work, now)
            self._states[backend.backend_id] = state
        else:
            self._services.get(state.backend.service, {}).pop(backend.backend_id, None)
            state.backend = backend
        self._record_draining(backend, now)
        state.cold_rate = self._cold_rates.get(backend.service, 0.0)
        state.record_listed(now)
        self._services.setdefault(backend.service, {})[backend.backend_id] = state

    def _record_draining(self, backend: Backend, now: Seconds) -> None:
        """Revoke the leaving announcement when the entry changes back from draining."""
        if backend.draining:
            self._draining_ids.add(backend.backend_id)
        elif backend.backend_id in self._draining_ids:
            self._draining_ids.discard(backend.backend_id)
            self.leaving.revoke(backend.backend_id, now)

    def remove(self, backend_id: str) -> None:
        """Remove a back end whose entry is gone."""
        state = self._states.pop(backend_id, None)
        if state is not None:
            self._services[state.backend.service].pop(backend_id, None)
            self._ids_by_instance.pop(state.backend.name, None)
            self.limits.forget(backend_id)

    def remove_instance(self, name: str) -> str | None:
        """Remove an instance whose entry is gone or names no back end; return its back end's id."""
        backend_id = self._ids_by_instance.get(name)
        if backend_id is not None:
            self.remove(backend_id)
        return backend_id

    def set_cold_rates(self, rates: Mapping[str, float]) -> None:
        """Set the cold rates in requests a second, by service; zero: no bound."""
        self._cold_rates = dict(rates)
        for state in self._states.values():
            state.cold_rate = self._cold_rates.get(state.backend.service, 0.0)

    def extend_exit_cooldowns(self, now: Seconds) -> None:
        """Extend exit cooldowns while the store is unreachable and no entries can change."""
        for state in self._states.values():
            state.extend_exit_cooldown(now)

    def drop_expired_statements(self, now: Seconds) -> None:
        """Drop statements of back ends that are no longer listed, and expired back-offs."""
        self.limits.drop_unlisted(self._states, now)
        self.leaving.drop_unlisted(self._states, now)
        self.backoffs.drop_expired(self._states, now)
        known = self._states.keys() | set(self.leaving.leaving_backends())
        self._draining_ids &= known

    def record_store_confirmation(self, silence: Seconds, now: Seconds) -> None:
        """Record that the store last confirmed the leader `silence` seconds ago."""
        known = self._store_confirmed_at
        confirmed_at = now - silence
        self._store_confirmed_at = confirmed_at if known is None else max(known, confirmed_at)

    def can_assign_owners(self, now: Seconds) -> bool:
        """Whether keys without an owner are expected to be assigned one soon.

        This requires a recent confirmation of the leader by the store, since assignments are
        written to the store before they take effect.
        """
        confirmed_at = self._store_confirmed_at
        return confirmed_at is None or now - confirmed_at < MAX_CONFIRMATION_AGE

    def is_cut_off(self, now: Seconds, is_repeatable: bool = False) -> bool:
        """Whether no back end can be reached, by this node or through another one.

        Parameters
        ----------
        is_repeatable
            Whether the request could be used to find out whether a link works again.
        """
        if is_repeatable and self.reachability.exchanges.is_link_trial_due(now):
            return False
        is_partitioned = self.reachability.is_partitioned
        has_contact = self.reachability.had_contact_since(now - RECENT_CONTACT)
        return is_partitioned and not has_contact and not self.intermediaries.has_any(now)

    def soonest_available_of(self, service: str, now: Seconds) -> Unavailable | None:
        """Return the cause that ends first; None if a back end may be used or none exist."""
        return self.availability.soonest_available(self.of_service(service), now)

    def owner_candidates(self, service: str, now: Seconds, may_move: bool) -> list[Backend]:
        """Return a service's back ends as the leader should see them.

        A back end that is leaving, cold, or in an evacuated zone is shown as draining, so that its
        keys are handed over to others if there are any.

        Parameters
        ----------
        may_move
            Whether released keys can be assigned now. If not, a cold owner keeps its keys, since
            it warms up before they could be reassigned.
        """
        return [
            replace(
                state.backend, draining=self.availability.must_release_keys(state, now, may_move)
            )
            for state in self._services.get(service, {}).values()
        ]

    def find(self, backend_id: str) -> BackendState | None:
        """Return a back end's state."""
        return self._states.get(backend_id)

    def last_endpoint(self, backend_id: str) -> Endpoint | None:
        """Return a back end's last known endpoint, even if its entry is gone."""
        return self._endpoints.get(backend_id)

    def addresses(self) -> set[str]:
        """Return the addresses of the listed back ends."""
        return {state.backend.address for state in self._states.values()}

    def all_states(self) -> Collection[BackendState]:
        """Return all back ends that are listed."""
        return self._states.values()

    def of_service(self, service: str) -> list[BackendState]:
        """Return a service's back ends."""
        return list(self._services.get(service, {}).values())

    def choose(
        self, service: str, excluded: Collection[str], request_id: bytes, now: Seconds
    ) -> BackendState | None:
        """Choose a back end that is expected to respond soon; None if none is usable."""
        usable = [
            state
            for state in self.of_service(service)
            if state.backend.backend_id not in excluded
            and self.availability.check_unkeyed(state, now) is None
        ]
        # A cold back end does a fifth of a warm one's work, and fails with slightly more.
        usable = [state for state in usable if not state.is_cold(now)] or usable
        healthy = [state for state in usable if not state.is_ejected(now)]
        candidates = healthy if len(healthy) >= MIN_HEALTHY_FRACTION * len(usable) else usable
        if not candidates:
            return None
        limited = [self._states_limit(state) for state in candidates]
        typical = self._typical_time(candidates)
        drawing = self._drawings.setdefault(service, ShareDrawing(self._zone))
        return drawing.draw(candidates, limited, typical, request_id, now)

    def share(self, state: BackendState) -> float | None:
        """Return the part of its service's unkeyed requests that a back end got at last."""
        drawing = self._drawings.get(state.backend.service)
        return None if drawing is None else drawing.share(state)

    def _states_limit(self, state: BackendState) -> bool:
        """Whether a back end states a limit, and is preferred if drawn, however slow it appears.

        Its limit already bounds its requests. A back end that gets none because it was slow cannot
        state that it has recovered: an idle one of six got none for eight seconds at 60 requests a
        second.
        """
        return self.limits.rate(state.backend.backend_id) is not None

    def _typical_time(self, states: list[BackendState]) -> Seconds:
        known = [
            time
            for state in states
            if (time := state.speed.lasting or state.service_time) is not None
        ]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME
