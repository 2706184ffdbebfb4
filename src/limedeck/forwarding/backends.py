"""All back ends that a node knows, and the choice of one for a request."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace

from limedeck.forwarding.availability import Availability, Unavailable
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backoffs import BackoffLedger
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.leaving import LeavingLedger
from limedeck.forwarding.limits import LimitLedger
from limedeck.forwarding.load_leveling import levelling_shares
from limedeck.forwarding.request_cost import ServiceWork
from limedeck.identity import Seconds
from limedeck.model import Backend

DEFAULT_SERVICE_TIME: Seconds = 0.1
"""Of a service that no answer has come from yet; an estimate."""
OTHER_ZONE_FACTOR = 1.6
"""A back end of another zone must be better by so much, if each tells its load."""
NEARLY_EQUAL = 0.1
"""Expected times that differ by less than this part are taken for equal at times; an estimate."""
OTHER_ZONE_LOAD = 1.5
"""If loads are known late, a back end of another zone counts as having so many more a slot: it is
used once the near ones are busy. At 0.25, bytes between zones cost 0.016 more of a day's worth."""
REPORT_DELAY: Seconds = 0.3
"""Age that loads told by the leader have when the next ones come; see `node.leader_link`."""
LEAST_HEALTHY = 0.5
"""With fewer of a service's back ends left, none is passed over for its failures: they may be the
requests' own fault, and the healthy ones could not do all the work. The panic threshold that
Envoy's documentation gives."""
MAX_CONFIRMATION_AGE: Seconds = 1.5
"""A leader whose last confirmation by the store is at least this old cannot assign owners. Longer
than two confirmation intervals."""
FEWEST_ARRIVALS = 0.1
"""While hardly anything is under way, the best back end gets all of it."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """How a back end was reached when it was last listed.

    Parameters
    ----------
    instance
        The name by which requests and orders say whom they mean.
    """

    address: str
    instance: str


class BackendDirectory:
    """All back ends that the listing names, by service.

    Attributes
    ----------
    limits
        What back ends in need take.
    leaving
        Back ends that have announced that they are leaving.
    backoffs
        Back-off periods that back ends have requested from this node.
    availability
        Checks of whether back ends may receive requests.

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
        self._contacts: dict[str, Endpoint] = {}
        self._lives: dict[str, str] = {}
        self._work: dict[str, ServiceWork] = {}
        self._cold_rates: dict[str, float] = {}
        self._draining_ids: set[str] = set()
        self._store_confirmed_at: Seconds | None = None
        self.limits = LimitLedger()
        self.leaving = LeavingLedger()
        self.backoffs = BackoffLedger(node_id)
        self.availability = Availability(self.limits, self.leaving, self.backoffs)

    def put(self, backend: Backend, now: Seconds) -> None:
        """A back end's entry is new or has changed.

        An entry of another life of the same instance ends what is known of the former one: it holds
        and knows nothing of before.
        """
        former = self._lives.get(backend.name)
        if former is not None and former != backend.backend_id:
            self.remove(former)
            self.leaving.forget(former)
            self.backoffs.forget(former)
        self._lives[backend.name] = backend.backend_id
        self._contacts[backend.backend_id] = Endpoint(backend.address, backend.name)
        state = self._states.get(backend.backend_id)
        if state is None:
            work = self._work.setdefault(backend.service, ServiceWork())
            state = BackendState(backend, work, now)
            self._states[backend.backend_id] = state
        else:
            self._services.get(state.backend.service, {}).pop(backend.backend_id, None)
            state.backend = backend
        self._note_draining(backend, now)
        state.cold_rate = self._cold_rates.get(backend.service, 0.0)
        state.note_listed(now)
        self._services.setdefault(backend.service, {})[backend.backend_id] = state

    def _note_draining(self, backend: Backend, now: Seconds) -> None:
        """Revoke the leaving announcement when the entry changes back from draining."""
        if backend.draining:
            self._draining_ids.add(backend.backend_id)
        elif backend.backend_id in self._draining_ids:
            self._draining_ids.discard(backend.backend_id)
            self.leaving.revoke(backend.backend_id, now)

    def remove(self, backend_id: str) -> None:
        """A back end's entry is gone."""
        state = self._states.pop(backend_id, None)
        if state is not None:
            self._services[state.backend.service].pop(backend_id, None)
            self._lives.pop(state.backend.name, None)
            self.limits.forget(backend_id)

    def remove_instance(self, name: str) -> str | None:
        """An instance's entry is gone, or names no back end any more; return its id, if it had."""
        backend_id = self._lives.get(name)
        if backend_id is not None:
            self.remove(backend_id)
        return backend_id

    def set_cold_rates(self, rates: Mapping[str, float]) -> None:
        """Take in what cold back ends bear, in requests a second, by service; zero: no bound."""
        self._cold_rates = dict(rates)
        for state in self._states.values():
            state.cold_rate = self._cold_rates.get(state.backend.service, 0.0)

    def extend_exit_cooldowns(self, now: Seconds) -> None:
        """The store is away: back ends that have ended cannot be heard of."""
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

    def soonest_available_of(self, service: str, now: Seconds) -> Unavailable | None:
        """Return the cause that ends first; None if a back end may be used or none exist."""
        return self.availability.soonest_available(self.of_service(service), now)

    def owner_candidates(self, service: str, now: Seconds, may_move: bool) -> list[Backend]:
        """Return a service's back ends as a leader is to see them.

        A back end that is leaving, cold, or in an evacuated zone is shown as draining, so that its
        keys are handed over to others if there are any.

        Parameters
        ----------
        may_move
            Keys that were given up can get another owner now. If not, those of a cold owner stay:
            it is warm before they would have one.
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
        """Return how a back end was last reached, though its entry may be gone."""
        return self._contacts.get(backend_id)

    def addresses(self) -> set[str]:
        """Return where the listed back ends are."""
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
        """Choose a back end that is expected to answer soon; None when there is none."""
        usable = [
            state
            for state in self.of_service(service)
            if state.backend.backend_id not in excluded
            and self.availability.check_unkeyed(state, now) is None
        ]
        # A cold one does a fifth of a warm one's work, and falls over with a little more.
        usable = [state for state in usable if not state.is_cold(now)] or usable
        healthy = [state for state in usable if not state.is_ejected(now)]
        candidates = healthy if len(healthy) >= LEAST_HEALTHY * len(usable) else usable
        if not candidates:
            return None
        if any(state.tells_load for state in candidates):
            return self._better_of_two(candidates, request_id, now)
        return self._by_share(candidates, request_id, now)

    def _better_of_two(
        self, candidates: list[BackendState], request_id: bytes, now: Seconds
    ) -> BackendState:
        """The better of two that are drawn: one of this zone, one of all others.

        Many nodes know the same of a back end, and know it late. If each took the best one, that
        one would get the requests of all of them until its load was known anew. See M.
        Mitzenmacher, "How useful is old information?" (1997).
        """
        near = [state for state in candidates if state.backend.zone == self._zone] or candidates
        first = near[int(hash_fraction(b"1" + request_id) * len(near))]
        others = [state for state in candidates if state is not first] or [first]
        second = others[int(hash_fraction(b"2" + request_id) * len(others))]
        typical = self._typical_time(candidates)

        def cost(state: BackendState) -> float:
            if self._names_limit(state):
                return 0.0
            spread = hash_fraction(state.backend.backend_id.encode() + request_id)
            time = state.expected_time(now, typical) * (1.0 + NEARLY_EQUAL * spread)
            time *= state.relative_pace(now)
            return time if state.backend.zone == self._zone else time * OTHER_ZONE_FACTOR

        return min(first, second, key=cost)

    def _by_share(
        self, candidates: list[BackendState], request_id: bytes, now: Seconds
    ) -> BackendState:
        """The better of two drawn by shares that level a load which is known late.

        Until loads are known anew, a part of the requests that are there will have been answered,
        and as many others will have come.
        """
        typical = self._typical_time(candidates)
        present = [state.expected_load(now) for state in candidates]
        remaining = math.exp(-REPORT_DELAY / typical)
        arrivals = max(sum(present) * (1.0 - remaining), FEWEST_ARRIVALS)
        loads = [load * remaining for load in present]
        weighed = [
            load
            if state.backend.zone == self._zone
            else load + OTHER_ZONE_LOAD * state.backend.slots
            for state, load in zip(candidates, loads, strict=True)
        ]
        capacities = [state.capacity(now, typical) for state in candidates]
        fastest = max(capacities)
        capacities = [
            fastest if self._names_limit(state) else capacity
            for state, capacity in zip(candidates, capacities, strict=True)
        ]
        shares = levelling_shares(weighed, capacities, arrivals)
        drawn = [
            candidates[drawn_index(shares, hash_fraction(mark + request_id))]
            for mark in (b"1", b"2")
        ]

        def cost(state: BackendState) -> float:
            if self._names_limit(state):
                return -1.0
            return state.outstanding * (state.service_time or typical)

        return min(drawn, key=cost)

    def _names_limit(self, state: BackendState) -> bool:
        """Whether a back end that is drawn is to be asked a permit for, however slow it looks.

        What it takes it has named itself. One that is passed over for its speed, as an idle one of
        six was for eight seconds at 60 requests a second, could not say that it is well again.
        """
        return self.limits.rate(state.backend.backend_id) is not None

    def _typical_time(self, states: list[BackendState]) -> Seconds:
        known = [state.service_time for state in states if state.service_time is not None]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME


def drawn_index(shares: Sequence[float], point: float) -> int:
    """Return the index of the share that holds `point`, a part of all shares from 0 to 1."""
    left = point * sum(shares)
    for index, share in enumerate(shares):
        left -= share
        if left < 0.0:
            return index
    return max(range(len(shares)), key=shares.__getitem__)
