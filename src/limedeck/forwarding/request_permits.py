"""One request's permits for rate-bounded back ends: requested, held or denied."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding.admission import MAX_RETRY_AFTER, Claim
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

MAX_PERMIT_WAIT: Seconds = 0.08
"""Longest time that the most urgent requests wait for their turn. With the leader's response time,
requests are refused within a tenth of a second. Others wait for a part of it, so that urgent
requests get the next turns where there are too few."""
MAX_PAUSE: Seconds = 1.0
"""Longest time before a node requests another permit, though there may be no turn for longer: the
limit may have risen meanwhile."""
MAX_PERMIT_DENIALS = 3
"""After so many denials a request is sent to a back end without a bound or is refused; each permit
request costs its caller some milliseconds."""
RETRY_SPREAD: Seconds = 0.3
"""Shortest interval over which refused callers are spread when they return."""


@dataclass(frozen=True, slots=True)
class _HeldPermit:
    """A permit and the period in which it is valid, on this node's clock."""

    backend_id: str
    usable_from: Seconds
    expires_at: Seconds


class RequestPermits:
    """One request's permits, and the back ends for which it was denied one."""

    def __init__(self, claim: Claim, directory: BackendDirectory) -> None:
        self._claim = claim
        self._directory = directory
        self._held: _HeldPermit | None = None
        self._denied_by: set[str] = set()

    def permitted_backend(self, now: Seconds) -> BackendState | None:
        """Return the back end for which the request holds a permit; None if it holds none."""
        if self._held is None or now > self._held.expires_at:
            return None
        state = self._directory.find(self._held.backend_id)
        if state is None or self._directory.availability.check_permit_holder(state, now):
            return None
        return state

    def exhausted_backends(self, service: str, now: Seconds) -> set[str]:
        """Return the back ends for which this request should not request permits any more."""
        if len(self._denied_by) < MAX_PERMIT_DENIALS:
            return self._denied_by
        bounded = self._directory.of_service(service)
        return {
            state.backend.backend_id
            for state in bounded
            if self._directory.availability.rate_bound(state, now) is not None
        }

    def obtain(self, state: BackendState, now: Seconds) -> Command | None:
        """Return the command needed before sending to a back end; None if it may be sent now."""
        bound = self._directory.availability.rate_bound(state, now)
        if bound is None:
            return None
        held = self._held
        if held is not None and held.backend_id == bound.backend_id and now <= held.expires_at:
            return None if now >= held.usable_from else Wait(held.usable_from)
        if self._directory.availability.are_permits_denied(state, now):
            return self.refusal(state.permits_denied_until - now, bound)
        return RequestPermit(state, PermitRequest(bound, self._max_wait(now)), now)

    def handle_response(
        self, command: RequestPermit, response: PermitResponse, now: Seconds
    ) -> None:
        """Record the response to a permit request."""
        backend_id = command.state.backend.backend_id
        match response:
            case Permit(wait):
                self._held = _HeldPermit(
                    backend_id, now + wait, command.requested_at + PERMIT_LIFETIME
                )
            case PermitDenied(pause):
                self._denied_by.add(backend_id)
                command.state.permits_denied_until = now + min(pause, MAX_PAUSE)

    def record_used(self) -> None:
        """Use up the permit as the request is sent; another attempt needs another permit."""
        self._held = None

    def refusal(self, pause: Seconds, bound: RateBound) -> Refuse:
        """Refuse the request with a time to retry, which is spread over callers."""
        between = max(RETRY_SPREAD, 1.0 / bound.rate if bound.rate else MAX_RETRY_AFTER)
        retry_after = pause + between * hash_fraction(self._claim.request_id)
        return self._claim.refuse(RefusalReason.LIMITED, min(retry_after, MAX_RETRY_AFTER), bound)

    def refusal_by_all(self, service: str, now: Seconds) -> Refuse | None:
        """Refuse the request if bounded back ends could take it later; None if there are none."""
        availability = self._directory.availability
        bounds: dict[RateBound, Seconds] = {}
        for state in self._directory.of_service(service):
            bound = availability.rate_bound(state, now)
            if bound is not None and not availability.check_permit_holder(state, now):
                bounds[bound] = max(state.permits_denied_until - now, 0.0)
        if not bounds:
            return None
        soonest = min(bounds, key=bounds.__getitem__)
        together = RateBound(soonest.backend_id, sum(bound.rate for bound in bounds))
        return self.refusal(bounds[soonest], together)

    def _max_wait(self, now: Seconds) -> Seconds:
        """Return the longest wait for a turn: longer if urgent, longest for client retries."""
        claim = self._claim
        rank = 0 if claim.is_client_retry else max(claim.route.priority, 0)
        left = MAX_PERMIT_WAIT - (now - claim.arrived_at)
        return max(min(MAX_PERMIT_WAIT / (1 + rank), left), 0.0)
