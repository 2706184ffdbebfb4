"""One request's permits for back ends that bear little: asked for, held, or not to be had."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding.admission import LONGEST_RETRY_AFTER, Claim
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.commands import Command, RefusalReason, Refuse, RequestPermit, Wait
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.permits import (
    PERMIT_LIFETIME,
    Permit,
    PermitDenied,
    PermitRequest,
    PermitResponse,
    RateBound,
)
from limedeck.identity import Seconds

LONGEST_PATIENCE: Seconds = 0.08
"""The most urgent request waits so long for its turn; with the leader's answer, what is refused is
refused within a tenth of a second. Others wait a part of it, so that the urgent ones have the next
turns where there are too few."""
MAX_PAUSE: Seconds = 1.0
"""A node asks again after so long at the latest, though there may be no turn for longer: the limit
may have risen meanwhile."""
MOST_ASKS = 3
"""Back ends that turned a request away, after which it goes to one without a bound or is refused;
each ask costs its caller some milliseconds."""
RETURN_SPREAD: Seconds = 0.3
"""Callers that were turned away return within so long of each other at least."""


@dataclass(frozen=True, slots=True)
class _Held:
    """A permit, on this node's clock: from when and until when it is good."""

    backend_id: str
    turn: Seconds
    until: Seconds


class RequestPermits:
    """What one request knows of back ends that bear little."""

    def __init__(self, claim: Claim, directory: BackendDirectory) -> None:
        self._claim = claim
        self._directory = directory
        self._held: _Held | None = None
        self._turned_away: set[str] = set()

    def held_for(self, now: Seconds) -> BackendState | None:
        """Return the back end that the request holds a permit for."""
        if self._held is None or now > self._held.until:
            return None
        state = self._directory.find(self._held.backend_id)
        if state is None or self._directory.availability.check_permit_holder(state, now):
            return None
        return state

    def closed(self, service: str, now: Seconds) -> set[str]:
        """Return back ends that are not to be asked any more for this request."""
        if len(self._turned_away) < MOST_ASKS:
            return self._turned_away
        bounded = self._directory.of_service(service)
        return {
            state.backend.backend_id
            for state in bounded
            if self._directory.availability.rate_bound(state, now) is not None
        }

    def obtain(self, state: BackendState, now: Seconds) -> Command | None:
        """Do what it takes to send the request to a back end; None if it may be sent now."""
        bound = self._directory.availability.rate_bound(state, now)
        if bound is None:
            return None
        held = self._held
        if held is not None and held.backend_id == bound.backend_id and now <= held.until:
            return None if now >= held.turn else Wait(held.turn)
        if self._directory.availability.is_turning_away(state, now):
            return self.refusal(state.turned_away_until - now, bound)
        return RequestPermit(state, PermitRequest(bound, self._patience(now)), now)

    def take(self, asked: RequestPermit, answer: PermitResponse, now: Seconds) -> None:
        """Take in the answer."""
        backend_id = asked.state.backend.backend_id
        match answer:
            case Permit(wait):
                self._held = _Held(backend_id, now + wait, asked.requested_at + PERMIT_LIFETIME)
            case PermitDenied(pause):
                self._turned_away.add(backend_id)
                asked.state.turned_away_until = now + min(pause, MAX_PAUSE)

    def note_used(self) -> None:
        """The request is sent; another attempt needs another permit."""
        self._held = None

    def refusal(self, pause: Seconds, bound: RateBound) -> Refuse:
        """Refuse the request; its caller is told when there is room, and not all the same."""
        between = max(RETURN_SPREAD, 1.0 / bound.rate if bound.rate else LONGEST_RETRY_AFTER)
        retry_after = pause + between * hash_fraction(self._claim.request_id)
        return self._claim.refuse(
            RefusalReason.LIMITED, min(retry_after, LONGEST_RETRY_AFTER), bound
        )

    def refusal_by_all(self, service: str, now: Seconds) -> Refuse | None:
        """Refuse a request of which no back end has room; None if that is not why."""
        availability = self._directory.availability
        bounds: dict[RateBound, Seconds] = {}
        for state in self._directory.of_service(service):
            bound = availability.rate_bound(state, now)
            if bound is not None and not availability.check_permit_holder(state, now):
                bounds[bound] = max(state.turned_away_until - now, 0.0)
        if not bounds:
            return None
        soonest = min(bounds, key=bounds.__getitem__)
        together = RateBound(soonest.backend_id, sum(bound.rate for bound in bounds))
        return self.refusal(bounds[soonest], together)

    def _patience(self, now: Seconds) -> Seconds:
        """How long it waits for its turn: the less urgent, the shorter; who came back is urgent."""
        claim = self._claim
        rank = 0 if claim.is_client_retry else max(claim.route.priority, 0)
        left = LONGEST_PATIENCE - (now - claim.arrived_at)
        return max(min(LONGEST_PATIENCE / (1 + rank), left), 0.0)
