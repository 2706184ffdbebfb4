"""Whether a request is sent to a back end now, by the estimated load there."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass, field

from limedeck.forwarding import turn_decision
from limedeck.forwarding.availability import Unavailable
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.commands import LoadEstimate, RefusalReason, Refuse, Wait
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.permits import RateBound
from limedeck.forwarding.route_mix import RouteMix
from limedeck.forwarding.turn_decision import RouteDemand
from limedeck.forwarding.turns import NoTurn, SendNow, Turn, TurnAt, TurnRequest
from limedeck.identity import NEVER, Seconds
from limedeck.model import Route
from limedeck.routing.run_evidence import RunLedger

RETRY_DELAY: Seconds = 0.05
"""Delay before the same owner is tried again; about the time in which a slot becomes free."""
RETRY_AFTER: Seconds = 0.1
"""Retry-After if it is unknown when there is room; about the time of one request."""
LAST_RETRY_FACTOR = 2.25
"""Multiple of the objective. With less time left than this, a caller that waits a third of it and
retries once more would be left with one and a half objectives, too little to be served in time."""
RETRY_SPREAD = 0.5
"""Part by which Retry-After times differ, so that refused callers do not return together."""
TURN_SPREAD = 0.5
"""Part by which the times differ after which waiting requests ask for their turn again."""
MAX_RETRY_AFTER: Seconds = 1.0
"""Limit of Retry-After: by then the estimate of a queue is older than the queue is long."""


@dataclass(slots=True)
class Claim:
    """What decides whether a request may still be sent or is refused.

    Parameters
    ----------
    keyed
        Whether it is for a key, which has one owner.
    arrived_at
        When it arrived, on this node's clock.
    until
        When its caller stops waiting, or its route's time is over.
    is_client_retry
        Whether the caller has sent the same request before.
    first_arrived_at
        When the caller made its first attempt, as far as this node can tell.
    ledger
        The attempts at it, and what they show.
    """

    request_id: bytes
    route: Route
    keyed: bool
    arrived_at: Seconds
    until: Seconds
    is_client_retry: bool = False
    ledger: RunLedger = field(default_factory=RunLedger)
    first_arrived_at: Seconds = NEVER

    def __post_init__(self) -> None:
        if self.first_arrived_at == NEVER:
            self.first_arrived_at = self.arrived_at

    @property
    def may_have_run(self) -> bool:
        """Whether a back end may have run the request."""
        return self.ledger.may_have_run

    def refuse(
        self,
        reason: RefusalReason,
        retry_after: Seconds,
        details: LoadEstimate | RateBound | Unavailable | None = None,
    ) -> Refuse:
        """Refuse the request, with a proof that it did not run if there is one."""
        ledger = self.ledger
        return Refuse(ledger.prove_not_run(), reason, retry_after, ledger.attempts, details)

    def check(self, state: BackendState, mix: RouteMix, now: Seconds) -> Refuse | Wait | None:
        """Return what a request does instead of being sent to a back end now; None: it is sent.

        Where routes of different priorities share a service, their requests get turns. Elsewhere a
        request that would miss its objective is refused while a retry can meet it.

        Parameters
        ----------
        mix
            The routes that share the service's back ends.
        """
        if self.may_have_run:
            return None
        if mix.has_priorities:
            return self._command(self._decide_turn(state, mix.routes, now), state, now)
        return self.refusal(state, now)

    def _decide_turn(self, state: BackendState, sharing: Sequence[Route], now: Seconds) -> Turn:
        def demand(route: Route) -> RouteDemand:
            work = state.work_time(route.name, now) or 0.0
            return RouteDemand(route.priority, route.objective - work)

        request = TurnRequest(
            self.route.objective,
            now - self.first_arrived_at,
            self.until - now,
            state.work_time(self.route.name, now),
            now - self.arrived_at,
            self.is_client_retry,
            hash_fraction(self.request_id + struct.pack("d", state.leader_data_at)),
        )
        allowance = turn_decision.queue_allowance(demand(self.route), map(demand, sharing))
        return turn_decision.decide(request, state.queue_estimate(now), allowance)

    def _command(self, turn: Turn, state: BackendState, now: Seconds) -> Refuse | Wait | None:
        match turn:
            case SendNow():
                state.waiting.discard(self.request_id)
                return None
            case TurnAt(delay, is_late):
                state.waiting.record(self.request_id, is_late, now)
                # Requests that wait for the same back end do not all ask at the same moment.
                spread = 1.0 + TURN_SPREAD * hash_fraction(self.request_id)
                return Wait(min(now + delay * spread, self.until))
            case NoTurn(room_in):
                state.waiting.discard(self.request_id)
                return self._overloaded(state, now, self._spread_over_callers(room_in))

    def refusal(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse a request that a back end is expected to reject or to serve too late."""
        return (
            self._refusal_if_full(state, now)
            or self._refusal_for_deadline(state, now)
            or self.early_refusal(state, now)
        )

    def _refusal_if_full(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse a request that a full back end would reject, or reset without a response.

        After a reset it is unknown whether the request has run. A rejection costs the caller a
        connection and the time of a response, and a key has no other back end.
        """
        is_full = state.is_full(now) or (self.keyed and state.is_known_full(now))
        if self.may_have_run or not is_full:
            return None
        return self._overloaded(state, now)

    def _refusal_for_deadline(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse a request that cannot be served in its remaining time, even a client retry."""
        expected = state.expected_time_of(self.route.name, now)
        if (
            self.may_have_run
            or expected is None
            or state.has_free_slot(now)
            or expected <= turn_decision.DEADLINE_MARGIN * (self.until - now)
        ):
            return None
        return self._overloaded(state, now)

    def early_refusal(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse a request that would miss its objective, as long as a retry can meet it.

        This keeps the back end's queue short enough for the requests that it accepts. A client
        retry with too little time left for another one is served, though late. A back end with a
        free slot has no queue to keep short, and only a request shows whether it is still slow.
        """
        if state.has_free_slot(now):
            return None
        elapsed = now - self.arrived_at
        objective = self.route.objective
        expected = state.expected_time_of(self.route.name, now)
        is_early = (
            elapsed <= turn_decision.EARLY_REFUSAL_FRACTION * objective and not self.may_have_run
        )
        is_last_retry = self.is_client_retry and self.until - now < LAST_RETRY_FACTOR * objective
        if is_last_retry or expected is None or not is_early or elapsed + expected <= objective:
            return None
        return self._overloaded(state, now)

    def _overloaded(
        self, state: BackendState, now: Seconds, retry_after: Seconds | None = None
    ) -> Refuse:
        expected = state.expected_time_of(self.route.name, now)
        details = LoadEstimate(
            state.backend.backend_id, expected, state.expected_load(now), state.load_age(now)
        )
        if retry_after is None:
            retry_after = self.time_until_room(state, now)
        return self.refuse(RefusalReason.OVERLOADED, retry_after, details)

    def time_until_room(self, state: BackendState, now: Seconds) -> Seconds:
        """Return the Retry-After time: the longer the queue, the later; spread over requests."""
        expected = state.expected_time_of(self.route.name, now)
        if expected is None:
            return RETRY_AFTER
        early = turn_decision.EARLY_REFUSAL_FRACTION * self.route.objective
        return self._spread_over_callers(now - self.arrived_at + expected - early)

    def _spread_over_callers(self, delay: Seconds) -> Seconds:
        spread = 1.0 + RETRY_SPREAD * hash_fraction(self.request_id)
        return min(max(delay * spread, RETRY_DELAY), MAX_RETRY_AFTER)
