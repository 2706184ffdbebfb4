"""All back ends that a node knows, and the choice of one for a request."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace

from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backoffs import BackoffLedger
from limedeck.forwarding.leaving import LeavingLedger, LeavingStatement
from limedeck.forwarding.limits import LimitLedger
from limedeck.forwarding.permits import Bound
from limedeck.forwarding.spread import spread_of
from limedeck.forwarding.stale_load import levelling_shares
from limedeck.forwarding.work import ServiceWork
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
FEWEST_ARRIVALS = 0.1
"""While hardly anything is under way, the best back end gets all of it."""


OWNER_STOP: Seconds = 2.0
"""Owners of keys in an evacuated zone are sent to for so long after this node heard of it: their
keys move meanwhile. Nodes hear within a second, two if the store turns them away."""


@dataclass(frozen=True, slots=True)
class Contact:
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
        self._contacts: dict[str, Contact] = {}
        self._lives: dict[str, str] = {}
        self._work: dict[str, ServiceWork] = {}
        self._cold_rates: dict[str, float] = {}
        self._evacuated: dict[str, Seconds] = {}
        self.limits = LimitLedger()
        self.leaving = LeavingLedger()
        self.backoffs = BackoffLedger(node_id)

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
        self._contacts[backend.backend_id] = Contact(backend.address, backend.name)
        state = self._states.get(backend.backend_id)
        if state is None:
            work = self._work.setdefault(backend.service, ServiceWork())
            state = BackendState(backend, work, now)
            self._states[backend.backend_id] = state
        else:
            self._services.get(state.backend.service, {}).pop(backend.backend_id, None)
            if state.backend.draining and not backend.draining:
                revocation = LeavingStatement(False, now, now)
                self.leaving.take(backend.backend_id, revocation)
            state.backend = backend
        state.cold_rate = self._cold_rates.get(backend.service, 0.0)
        state.note_listed(now)
        self._services.setdefault(backend.service, {})[backend.backend_id] = state

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

    def keep_rests(self, now: Seconds) -> None:
        """The store is away: back ends that have ended cannot be heard of."""
        for state in self._states.values():
            state.keep_rest(now)

    def drop_old_statements(self, now: Seconds) -> None:
        """Drop statements of back ends that are no longer listed, and expired back-offs."""
        self.limits.drop_unlisted(self._states, now)
        self.leaving.drop_unlisted(self._states, now)
        self.backoffs.drop_expired(self._states, now)

    def evacuate(self, zone: str, now: Seconds) -> None:
        """Nothing is to be sent to a zone's back ends any more."""
        self._evacuated.setdefault(zone, now)

    def end_evacuation(self, zone: str) -> None:
        """A zone's back ends may be used again."""
        self._evacuated.pop(zone, None)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """Zones whose back ends get nothing."""
        return tuple(self._evacuated)

    def is_closed_to_keys(self, state: BackendState, now: Seconds) -> bool:
        """Whether an owner is in an evacuated zone, and the time is over in which its keys move."""
        since = self._evacuated.get(state.backend.zone)
        return since is not None and now - since >= OWNER_STOP

    def owner_candidates(self, service: str, now: Seconds, may_move: bool) -> list[Backend]:
        """Return a service's back ends as a leader is to see them.

        One that is in an evacuated zone or cold is shown as leaving: its keys go to others, with
        handovers, as long as there are any.

        Parameters
        ----------
        may_move
            Keys that were given up can get another owner now. If not, those of a cold owner stay:
            it is warm before they would have one.
        """
        return [
            replace(state.backend, draining=True)
            if state.backend.zone in self._evacuated or (may_move and state.is_cold(now))
            else state.backend
            for state in self._services.get(service, {}).values()
        ]

    def find(self, backend_id: str) -> BackendState | None:
        """Return a back end's state."""
        return self._states.get(backend_id)

    def last_contact(self, backend_id: str) -> Contact | None:
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
            if not state.backend.draining
            and state.backend.backend_id not in excluded
            and state.backend.zone not in self._evacuated
            and not self.is_turning_away(state, now)
        ]
        # A cold one does a fifth of a warm one's work, and falls over with a little more.
        usable = [state for state in usable if not state.is_cold(now)] or usable
        healthy = [state for state in usable if not state.is_passed_over(now)]
        candidates = healthy if len(healthy) >= LEAST_HEALTHY * len(usable) else usable
        if not candidates:
            return None
        if any(state.tells_load for state in candidates):
            return self._better_of_two(candidates, request_id, now)
        return self._by_share(candidates, request_id, now)

    def bound_of(self, state: BackendState, now: Seconds) -> Bound | None:
        """Return what a back end takes from all nodes together, if that is little.

        This is the one place that tells how much may go to a back end: the lowest of what it names
        itself and of what a cold one bears.
        """
        rates = [state.cold_rate] if state.is_cold(now) else []
        named = self.limits.rate(state.backend.backend_id)
        if named is not None:
            rates.append(named)
        return Bound(state.backend.backend_id, min(rates)) if rates else None

    def is_turning_away(self, state: BackendState, now: Seconds) -> bool:
        """Whether a back end that bears little has no room, so that asking for a permit is no use.

        It counts only as long as there is a bound: nodes hear from each other that a limit is
        lifted, also those that were told to ask much later.
        """
        return now < state.turned_away_until and self.bound_of(state, now) is not None

    def _better_of_two(
        self, candidates: list[BackendState], request_id: bytes, now: Seconds
    ) -> BackendState:
        """The better of two that are drawn: one of this zone, one of all others.

        Many nodes know the same of a back end, and know it late. If each took the best one, that
        one would get the requests of all of them until its load was known anew. See M.
        Mitzenmacher, "How useful is old information?" (1997).
        """
        near = [state for state in candidates if state.backend.zone == self._zone] or candidates
        first = near[int(spread_of(b"1" + request_id) * len(near))]
        others = [state for state in candidates if state is not first] or [first]
        second = others[int(spread_of(b"2" + request_id) * len(others))]
        typical = self._typical_time(candidates)

        def cost(state: BackendState) -> float:
            if self._names_limit(state):
                return 0.0
            spread = spread_of(state.backend.backend_id.encode() + request_id)
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
            candidates[drawn_index(shares, spread_of(mark + request_id))] for mark in (b"1", b"2")
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
