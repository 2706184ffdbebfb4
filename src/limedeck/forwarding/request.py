"""Decisions for one request: which back end to try, when to wait, when to refuse it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from limedeck.errors import InvariantViolation
from limedeck.forwarding import availability, refusals
from limedeck.forwarding.admission import RETRY_AFTER, RETRY_DELAY, Claim
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryBudget
from limedeck.forwarding.commands import (
    Attempt,
    Command,
    RefusalReason,
    Refuse,
    RequestPermit,
    Wait,
)
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.owners import OwnerMap
from limedeck.forwarding.permits import PermitResponse
from limedeck.forwarding.request_guard import RequestGuard
from limedeck.forwarding.request_permits import RequestPermits
from limedeck.forwarding.route_mix import RouteMix
from limedeck.identity import Seconds
from limedeck.model import Route
from limedeck.routing.outcomes import (
    NO_LOAD_PHASES,
    REJECTED_PHASES,
    SURELY_NOT_RUN,
    AttemptHistory,
    Decision,
    FailurePhase,
    decide,
)
from limedeck.routing.run_evidence import RecordedAttempt

MIN_ATTEMPT_TIME: Seconds = 0.005
"""An attempt is not started with less time than this left."""
MAX_BACKOFF_REJECTIONS = 3
"""A request that this many back ends reject with a back-off is refused, so that it does not spend
several retries of the budget that all nodes share."""
CLIENT_RETRY_WAIT_FRACTION = 0.85
"""A request whose caller will wait less than this fraction of the longest wait seen on its route is
taken for a client retry: callers of a route wait equally long, and what is left after a refusal is
below this fraction."""
LONGEST_WAIT_DECAY = 0.98
"""Factor by which the longest wait of a route is lowered with each request: a single caller that
waits ten times as long as the others counts for some hundred requests."""
NEW_OWNER_DELAY: Seconds = 0.3
"""Time from the end of a lost owner's lease until nodes know the next owner: the write to the
store, a grant, and the interval of updates in a large fleet, as in the logs of 195 nodes."""
MAX_OWNER_RETRY_AFTER: Seconds = 4.0
"""Limit of Retry-After for keys of a lost owner; above the longest lease, so that it cuts off only
wrong times from a leader."""


@dataclass(slots=True)
class ServiceView:
    """State that the requests for one service share at a node.

    Parameters
    ----------
    keyed
        Whether each key has one owner.
    key_counts
        Requests by key since the last report; client retries are not counted again.
    longest_waits
        By route, the longest time that a caller was ready to wait, in seconds.
    mix
        The routes that share its back ends.
    """

    name: str
    keyed: bool
    budget: RetryBudget
    owners: OwnerMap = field(default_factory=OwnerMap)
    key_counts: Counter[int] = field(default_factory=Counter)
    longest_waits: dict[str, Seconds] = field(default_factory=dict)
    mix: RouteMix = field(default_factory=RouteMix)

    def time_since_first_attempt(self, route: str, wait: Seconds) -> Seconds:
        """Return how long ago a caller that will wait so long made its first attempt."""
        return max(self.longest_waits.get(route, wait) - wait, 0.0)

    def record_wait(self, route: str, wait: Seconds) -> bool:
        """Record how long a caller will wait; return whether its request is taken for a client
        retry.
        """
        longest = max(LONGEST_WAIT_DECAY * self.longest_waits.get(route, 0.0), wait)
        self.longest_waits[route] = longest
        return wait < CLIENT_RETRY_WAIT_FRACTION * longest


class RequestCore:
    """Decides what to do with one request.

    Parameters
    ----------
    position
        Position of the request's key; None if it has none.
    deadline
        When the caller stops waiting, on this node's clock.
    is_client_retry
        Whether the caller has sent the same request before.
    guard
        Checks whether the request is known to crash back ends.
    """

    def __init__(
        self,
        request_id: bytes,
        route: Route,
        service: ServiceView,
        directory: BackendDirectory,
        position: int | None,
        deadline: Seconds,
        now: Seconds,
        is_client_retry: bool = False,
        guard: RequestGuard | None = None,
    ) -> None:
        until = min(deadline, now + route.timeout)
        waited = service.time_since_first_attempt(route.name, deadline - now)
        self.claim = Claim(
            request_id,
            route,
            service.keyed,
            now,
            until,
            is_client_retry,
            first_arrived_at=now - waited if is_client_retry else now,
        )
        service.mix.record(route)
        self.guard = guard
        self.request_id = request_id
        self.route = route
        self.service = service
        self.position = position
        self.attempts = 0
        self._permits = RequestPermits(self.claim, directory)
        self._reached_backend = False
        self._backoff_rejections = 0
        self._directory = directory
        self._waiting_since: Seconds | None = None
        self._longest_move_wait = refusals.longest_move_wait(route.objective)
        self._excluded: set[str] = set()
        self._stale_version = -1
        self._not_before: Seconds = now
        self._in_flight: Attempt | None = None
        self._recorded: RecordedAttempt | None = None

    def next_command(self, now: Seconds, sharing_nodes: int) -> Command:
        """Decide what to do: at the start, after a `Wait`, and after a failure."""
        if now + MIN_ATTEMPT_TIME >= self.claim.until:
            return self._refuse(RefusalReason.TIMED_OUT, RETRY_AFTER)
        if self._directory.is_cut_off(now, self.route.repeatable):
            return refusals.cut_off(self.claim)
        guard_command = self._check_guard(self.guard, now) if self.guard else None
        if guard_command is not None:
            return guard_command
        if not self.service.keyed:
            return self._try_any(now, sharing_nodes)
        if self.position is None:
            return self._refuse(RefusalReason.BAD_KEY, RETRY_AFTER)
        return self._try_owner(self.position, now, sharing_nodes)

    def _check_guard(self, guard: RequestGuard, now: Seconds) -> Command | None:
        """Refuse a quarantined request; let a suspect one wait for the evaluation of crashes."""
        refused_for = guard.refused_for(now)
        if refused_for is not None:
            return self._refuse(RefusalReason.QUARANTINED, refused_for)
        blocked_until = guard.blocked_until(now)
        return None if blocked_until is None else Wait(min(blocked_until, self.claim.until))

    def handle_permit(
        self, command: RequestPermit, response: PermitResponse, now: Seconds, sharing_nodes: int
    ) -> Command:
        """Decide what follows the response to a `RequestPermit`."""
        self._permits.handle_response(command, response, now)
        return self.next_command(now, sharing_nodes)

    def give_up(self) -> Refuse:
        """Refuse the request now, whatever is in flight: this process is about to exit."""
        return self._refuse(RefusalReason.STOPPED, RETRY_AFTER)

    def handle_failure(
        self, phase: FailurePhase, now: Seconds, sharing_nodes: int, wrong_owner: bool = False
    ) -> Command:
        """Decide what follows a failed attempt.

        Parameters
        ----------
        wrong_owner
            Whether the back end rejected the request because it does not own the key, or because
            it is another instance.
        """
        attempt, recorded = self._in_flight, self._recorded
        if attempt is None or recorded is None:
            raise InvariantViolation("failure-follows-attempt", self.request_id.decode("latin-1"))
        self._in_flight = self._recorded = None
        recorded.phase = phase
        self._reached_backend = self._reached_backend or phase not in NO_LOAD_PHASES
        history = AttemptHistory(
            repeatable=self.route.repeatable,
            may_have_run=self.claim.may_have_run,
            time_left=now + MIN_ATTEMPT_TIME < self.claim.until,
            budget_left=self.attempts < self.route.max_attempts,
        )
        decision = decide(phase, history)
        backing_off = self._directory.availability.check_backoff(attempt.state, now)
        if decision is not Decision.RETRY:
            if backing_off is not None and self.service.keyed and not wrong_owner:
                return self._refuse_for_owner(backing_off, now)
            reason = _reason_for(phase, history.time_left)
            retry_after = self._retry_after(reason, attempt.state, now, wrong_owner)
            return self._refuse(reason, retry_after)
        backend_id = attempt.state.backend.backend_id
        self._excluded.add(backend_id)
        if backing_off is not None and phase in REJECTED_PHASES and not wrong_owner:
            self._backoff_rejections += 1
        elif phase in REJECTED_PHASES and not wrong_owner:
            self._record_rejection(attempt.state, phase, now)
            refusal = self._refusal_after_rejection(attempt.state, now)
            if refusal is not None:
                return refusal
        self._stale_version = self.service.owners.version
        self._not_before = now + (refusals.MAX_MOVE_WAIT if wrong_owner else RETRY_DELAY)
        return self.next_command(now, sharing_nodes)

    def _record_rejection(self, state: BackendState, phase: FailurePhase, now: Seconds) -> None:
        """Record a rejection; an owner is taken for full unless its requests wait for turns.

        So is a back end that turned a connection away: it did not say why.
        """
        is_owner = self.service.keyed and not self.service.mix.has_priorities
        if phase is FailurePhase.TURNED_AWAY or is_owner:
            state.record_queue_full(now)
        else:
            state.record_rejection(now)

    def _refusal_after_rejection(self, state: BackendState, now: Seconds) -> Refuse | None:
        """Refuse a request that the owner of its key rejected, if it would be served too late."""
        if not self.service.keyed or self.service.mix.has_priorities:
            return None
        return self.claim.early_refusal(state, now)

    def _try_owner(self, position: int, now: Seconds, sharing_nodes: int) -> Command:
        owners = self.service.owners
        owner = owners.owner(position)
        state = self._directory.find(owner) if owner else None
        stale = owners.version == self._stale_version and now < self._not_before
        unavailable = self._directory.availability.check_owner(state, now) if state else None
        if unavailable is not None:
            return self._refuse_for_owner(unavailable, now)
        if state is None or stale:
            return self._refusal_for_lost_owner(position, now) or self._wait_for_owner(state, now)
        return self._attempt_if_admitted(state, now, sharing_nodes)

    def _refuse_for_owner(self, unavailable: availability.Unavailable, now: Seconds) -> Refuse:
        can_move = self._directory.can_assign_owners(now)
        return refusals.owner_unavailable(self.claim, unavailable, can_move)

    def _refusal_for_lost_owner(self, position: int, now: Seconds) -> Refuse | None:
        """Refuse a request at once if it cannot be served before a lost owner's lease has ended.

        Callers make few retries, and would have used them up by then.
        """
        free_at = self.service.owners.free_at(position)
        if free_at is None or free_at - now <= self._longest_move_wait:
            return None
        spread = refusals.RETRY_SPREAD * hash_fraction(self.request_id)
        retry_after = free_at - now + NEW_OWNER_DELAY + spread
        return self._refuse(RefusalReason.NO_OWNER, min(retry_after, MAX_OWNER_RETRY_AFTER))

    def _wait_for_owner(self, state: BackendState | None, now: Seconds) -> Command:
        if state is None and not self._directory.can_assign_owners(now):
            return refusals.no_owner(self.claim)
        if self._waiting_since is None:
            self._waiting_since = now
        wait_end = min(self._waiting_since + self._longest_move_wait, self.claim.until)
        if now >= wait_end:
            return self._refuse(RefusalReason.NO_OWNER, refusals.NO_OWNER_RETRY_AFTER)
        return Wait(min(max(self._not_before, now + RETRY_DELAY), wait_end))

    def _try_any(self, now: Seconds, sharing_nodes: int) -> Command:
        service = self.service.name
        state = self._permits.permitted_backend(now)
        if state is None:
            excluded = self._excluded | self._permits.exhausted_backends(service, now)
            state = self._directory.choose(service, excluded, self.request_id, now)
        if state is not None and self._backoff_rejections < MAX_BACKOFF_REJECTIONS:
            return self._attempt_if_admitted(state, now, sharing_nodes)
        soonest = self._directory.soonest_available_of(service, now)
        if soonest is not None and soonest.cause is availability.UnavailableCause.BACKING_OFF:
            return refusals.service_unavailable(self.claim, soonest)
        if self._excluded:
            return self._refuse(RefusalReason.REFUSED, RETRY_AFTER)
        refusal = self._permits.refusal_by_all(service, now)
        return refusal or refusals.service_unavailable(self.claim, soonest)

    def _attempt_if_admitted(
        self, state: BackendState, now: Seconds, sharing_nodes: int
    ) -> Command:
        """Send the request, unless it is refused or needs a permit for the back end first."""
        blocking_command: Command | None = self.claim.check(state, self.service.mix, now)
        blocking_command = blocking_command or self._permits.obtain(state, now)
        return blocking_command or self._attempt(state, now, sharing_nodes)

    def _attempt(self, state: BackendState, now: Seconds, sharing_nodes: int) -> Command:
        if self.claim.may_have_run and not self.route.repeatable:
            raise InvariantViolation("runs-at-most-once", self.request_id.decode("latin-1"))
        # The budget bounds the load that retries add to back ends. Attempts that reached none add
        # no load: while back ends crashed one after another, closed ports used up the retries of
        # requests that other back ends would have served.
        if self._reached_backend and not self.service.budget.try_acquire(now, sharing_nodes):
            return self._refuse(RefusalReason.REFUSED, RETRY_AFTER)
        if self.guard is not None:
            self.guard.record_sent(now)
        self.attempts += 1
        self._permits.record_used()
        self._waiting_since = None
        self._recorded = self.claim.ledger.begin_attempt(state.backend.backend_id)
        self._in_flight = Attempt(state, self.claim.until, state.expected_load(now))
        return self._in_flight

    def _retry_after(
        self, reason: RefusalReason, state: BackendState, now: Seconds, wrong_owner: bool
    ) -> Seconds:
        """Return the Retry-After time after a failed attempt; a key has only this one owner."""
        if not self.service.keyed:
            return RETRY_AFTER
        if wrong_owner:
            return refusals.NO_OWNER_RETRY_AFTER
        if reason is RefusalReason.UNREACHABLE:
            return refusals.LOST_OWNER_RETRY_AFTER
        if reason is RefusalReason.REFUSED:
            state.record_queue_full(now)
            return self.claim.time_until_room(state, now)
        return RETRY_AFTER

    def _refuse(self, reason: RefusalReason, retry_after: Seconds) -> Refuse:
        return self.claim.refuse(reason, retry_after)


def _reason_for(phase: FailurePhase, time_left: bool) -> RefusalReason:
    if not time_left:
        return RefusalReason.TIMED_OUT
    if phase in REJECTED_PHASES:
        return RefusalReason.REFUSED
    if phase in SURELY_NOT_RUN:
        return RefusalReason.UNREACHABLE
    if phase is FailurePhase.UNPROVEN_STATUS:
        return RefusalReason.UNPROVEN_STATUS
    return RefusalReason.RESPONSE_LOST
