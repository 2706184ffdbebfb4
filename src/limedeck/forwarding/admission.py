"""Whether one request is worth sending to one back end now, by what is believed of its queue."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding.availability import Unavailable
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.commands import LoadEstimate, RefusalReason, Refuse
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.permits import RateBound
from limedeck.identity import Seconds
from limedeck.model import Route
from limedeck.routing.outcomes import Outcome

RETRY_DELAY: Seconds = 0.05
"""Before the same owner is asked again; about the time that frees a slot."""
RETRY_AFTER: Seconds = 0.1
"""If nothing is known of when there is room; about the time of one request. An estimate."""
LAST_RETURN = 2.25
"""Objectives: with less time left than this, a caller that waits a third of it and comes back once
more would be left with one and a half objectives, too little to be served in time."""
HOPELESS = 1.5
"""A request that is expected to take so many times what is left to it is not sent: its caller would
wait to its deadline for nothing. An estimate: the work of one route varies, so that one which is
expected to take just what is left is answered in about half of the cases."""
EARLY_PART = 0.25
"""A request may be refused for its objective's sake within this part of the objective."""
LONGEST_RETRY_AFTER: Seconds = 1.0
"""What is believed of a queue is older than it is long by then; an estimate."""


@dataclass(slots=True)
class Claim:
    """What a request may still ask for.

    Parameters
    ----------
    keyed
        It is for a key, which has one owner.
    arrived_at
        When it came in, on this node's clock.
    until
        When its caller stops waiting, or its route's time is over.
    is_client_retry
        The caller was here before with the same request and has come back.
    may_have_run
        A back end may have run it.
    """

    request_id: bytes
    route: Route
    keyed: bool
    arrived_at: Seconds
    until: Seconds
    is_client_retry: bool = False
    may_have_run: bool = False

    def refuse(
        self,
        reason: RefusalReason,
        retry_after: Seconds,
        details: LoadEstimate | RateBound | Unavailable | None = None,
    ) -> Refuse:
        """Give the request up, with what is known of whether it has run."""
        outcome = Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN
        return Refuse(outcome, reason, retry_after, details)

    def refusal(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse what would be lost at this back end, or is expected to miss its objective."""
        return (
            self._refusal_by_full(state, now)
            or self._refusal_by_deadline(state, now)
            or self.early_refusal(state, now)
        )

    def _refusal_by_full(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse what a full back end would turn away, or reset without a word.

        After a reset nobody knows whether the request has run. One that is turned away costs its
        caller a connection and an answer's time; a key has no other back end.
        """
        is_full = state.is_full(now) or (self.keyed and state.is_known_full(now))
        if self.may_have_run or not is_full:
            return None
        return self._overloaded(state, now)

    def _refusal_by_deadline(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse at once what its time cannot suffice for, also if the caller has come back."""
        expected = state.expected_time_of(self.route.name, now)
        if self.may_have_run or expected is None or expected <= HOPELESS * (self.until - now):
            return None
        return self._overloaded(state, now)

    def early_refusal(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse what would miss its objective, as long as a second try can meet it.

        The back end keeps a queue that is short enough for the requests it takes. A caller that
        has come back with too little time for another return is served, though late.
        """
        elapsed = now - self.arrived_at
        objective = self.route.objective
        expected = state.expected_time_of(self.route.name, now)
        is_early = elapsed <= EARLY_PART * objective and not self.may_have_run
        is_last = self.is_client_retry and self.until - now < LAST_RETURN * objective
        if is_last or expected is None or not is_early or elapsed + expected <= objective:
            return None
        return self._overloaded(state, now)

    def _overloaded(self, state: BackendState, now: Seconds) -> Refuse:
        expected = state.expected_time_of(self.route.name, now)
        details = LoadEstimate(
            state.backend.backend_id, expected, state.expected_load(now), state.load_age(now)
        )
        retry_after = self.time_until_room(state, now)
        return self.refuse(RefusalReason.OVERLOADED, retry_after, details)

    def time_until_room(self, state: BackendState, now: Seconds) -> Seconds:
        """When a caller should come back: the longer the queue, the later, and not all at once."""
        expected = state.expected_time_of(self.route.name, now)
        if expected is None:
            return RETRY_AFTER
        too_long = now - self.arrived_at + expected - EARLY_PART * self.route.objective
        spread = 1.0 + 0.5 * hash_fraction(self.request_id)
        return min(max(too_long * spread, RETRY_DELAY), LONGEST_RETRY_AFTER)
