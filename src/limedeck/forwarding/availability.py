"""Whether a request may be sent to a back end now, and if not, why and for how long.

Combines all sources: the back end's store entry, its responses, other nodes, operators, and the
leader's permits. Back-end selection, owners of keys, retries, requests that hold a permit, and
refusals all use these checks.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backoffs import BackoffLedger
from limedeck.forwarding.leaving import LeavingLedger
from limedeck.forwarding.limits import LimitLedger
from limedeck.forwarding.permits import RateBound
from limedeck.identity import Seconds

EVACUATED_OWNER_GRACE: Seconds = 2.0
"""How long an owner in an evacuated zone still receives requests while its keys move, counted from
when this node learned of the evacuation. Nodes learn of it within one second, or two if the store
rejects their reads."""
LEAVING_OWNER_GRACE: Seconds = 1.0
"""How long a leaving owner still receives requests while its keys move. Back ends continue to serve
for at least two seconds after their announcement."""


MAX_PROBES = 2
"""Concurrent requests from this node to a back end after a back-off, until one is served."""
PROBE_TIME: Seconds = 0.1
"""Expected response time of a probe; requests beyond `MAX_PROBES` are told to retry after it."""


class UnavailableCause(enum.Enum):
    """Why a back end may not receive requests."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    BACKING_OFF = "backing-off"
    COLD = "cold"
    NO_PERMIT = "no-permit"


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Why a back end may not receive a request now.

    Parameters
    ----------
    remaining
        Seconds until the cause ends; None if unknown.
    """

    backend_id: str
    cause: UnavailableCause
    remaining: Seconds | None = None


class Availability:
    """One node's checks of whether back ends may receive requests."""

    def __init__(
        self, limits: LimitLedger, leaving: LeavingLedger, backoffs: BackoffLedger
    ) -> None:
        self._limits = limits
        self._leaving = leaving
        self._backoffs = backoffs
        self._evacuated: dict[str, Seconds] = {}

    def evacuate(self, zone: str, now: Seconds) -> None:
        """Stop sending requests to a zone's back ends."""
        self._evacuated.setdefault(zone, now)

    def end_evacuation(self, zone: str) -> None:
        """Allow requests to a zone's back ends again."""
        self._evacuated.pop(zone, None)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """Zones whose back ends receive no requests."""
        return tuple(self._evacuated)

    def check_unkeyed(self, state: BackendState, now: Seconds) -> Unavailable | None:
        """Return why a back end may not receive an unkeyed request; None if it may."""
        backend = state.backend
        if self._leaving_since(state) is not None:
            return Unavailable(backend.backend_id, UnavailableCause.LEAVING)
        if backend.zone in self._evacuated:
            return Unavailable(backend.backend_id, UnavailableCause.EVACUATED)
        backing_off = self.check_backoff(state, now)
        if backing_off is not None:
            return backing_off
        if self.are_permits_denied(state, now):
            remaining = state.permits_denied_until - now
            return Unavailable(backend.backend_id, UnavailableCause.NO_PERMIT, remaining)
        return None

    def check_owner(self, state: BackendState, now: Seconds) -> Unavailable | None:
        """Return why a request may not be sent to the owner of its key; None if it may.

        Permits are not checked: no other back end can run the request, so it waits for one.
        """
        backend = state.backend
        leaving_since = self._leaving_since(state)
        if leaving_since is not None and now - leaving_since >= LEAVING_OWNER_GRACE:
            return Unavailable(backend.backend_id, UnavailableCause.LEAVING)
        evacuated_since = self._evacuated.get(backend.zone)
        if evacuated_since is not None and now - evacuated_since >= EVACUATED_OWNER_GRACE:
            return Unavailable(backend.backend_id, UnavailableCause.EVACUATED)
        backing_off = self.check_backoff(state, now)
        if backing_off is not None:
            return backing_off
        if state.is_cold(now):
            return Unavailable(
                backend.backend_id, UnavailableCause.COLD, state.remaining_cold_time(now)
            )
        return None

    def check_backoff(self, state: BackendState, now: Seconds) -> Unavailable | None:
        """Return why a back end's back-off rules out requests to it; None if it does not.

        After the back-off, at most `MAX_PROBES` requests are outstanding until one is served.
        """
        backend_id = state.backend.backend_id
        backoff = self._backoffs.find(backend_id)
        if backoff is None:
            return None
        if now < backoff.resume_at:
            return Unavailable(backend_id, UnavailableCause.BACKING_OFF, backoff.resume_at - now)
        if state.outstanding >= MAX_PROBES:
            return Unavailable(backend_id, UnavailableCause.BACKING_OFF, PROBE_TIME)
        return None

    def check_permit_holder(self, state: BackendState, now: Seconds) -> Unavailable | None:
        """Return why a request may no longer use its permit for a back end; None if it may."""
        unavailable = self.check_unkeyed(state, now)
        if unavailable is None or unavailable.cause is UnavailableCause.NO_PERMIT:
            return None
        return unavailable

    def soonest_available(self, states: Iterable[BackendState], now: Seconds) -> Unavailable | None:
        """Return the cause that ends first; None if a back end may be used or none exist."""
        soonest: Unavailable | None = None
        for state in states:
            unavailable = self.check_unkeyed(state, now)
            if unavailable is None:
                return None
            if soonest is None or _remaining(unavailable) < _remaining(soonest):
                soonest = unavailable
        return soonest

    def must_release_keys(self, state: BackendState, now: Seconds, may_move: bool) -> bool:
        """Whether the leader must move a back end's keys to others.

        Parameters
        ----------
        may_move
            Whether released keys can be assigned now. If not, a cold owner keeps its keys, since
            it warms up before they could be reassigned.
        """
        if self._leaving_since(state) is not None or state.backend.zone in self._evacuated:
            return True
        return may_move and state.is_cold(now)

    def rate_bound(self, state: BackendState, now: Seconds) -> RateBound | None:
        """Return a back end's request-rate bound across all nodes; None if it has none.

        The bound is the lower of the limit that it states and the cold rate while it is cold.
        """
        rates = [state.cold_rate] if state.is_cold(now) else []
        stated = self._limits.rate(state.backend.backend_id)
        if stated is not None:
            rates.append(stated)
        return RateBound(state.backend.backend_id, min(rates)) if rates else None

    def are_permits_denied(self, state: BackendState, now: Seconds) -> bool:
        """Whether permit requests for a back end are being denied.

        Ignored once the back end has no bound: a limit may be lifted before the retry time that the
        leader gave to this node.
        """
        return now < state.permits_denied_until and self.rate_bound(state, now) is not None

    def _leaving_since(self, state: BackendState) -> Seconds | None:
        """Return when this node first learned, by response or entry, that a back end is leaving."""
        announced_at = self._leaving.leaving_since(state.backend.backend_id)
        if state.draining_since is None or announced_at is None:
            return state.draining_since if announced_at is None else announced_at
        return min(state.draining_since, announced_at)


def _remaining(unavailable: Unavailable) -> Seconds:
    return math.inf if unavailable.remaining is None else unavailable.remaining
