"""Decisions for one request: which back end to try, when to wait, when to refuse it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.api.peer_pb2 import Backend
from limedeck.config.replica import ConfigReplica
from limedeck.errors import InvariantViolation
from limedeck.identity import Seconds
from limedeck.keyspace.slices import NO_OWNER
from limedeck.routing.backends import BackendStates
from limedeck.routing.outcomes import (
    SURELY_NOT_RUN,
    AttemptHistory,
    Decision,
    FailurePhase,
    Outcome,
    decide,
)
from limedeck.routing.route_table import RouteTable
from limedeck.routing.rules import RequestTarget
from limedeck.routing.run_evidence import RecordedAttempt, RunLedger

MIN_ATTEMPT_TIME: Seconds = 0.002
"""An attempt is not started with less time than this before the deadline."""
RETRY_DELAY: Seconds = 0.02
"""Delay before the request is sent to the same owner again."""
RETRY_AFTER: Seconds = 1.0
"""Retry-After of the refusals that are decided here."""
RETRY_TOKENS_PER_REQUEST = 0.1
"""Retries are limited to this fraction of the requests, plus a small reserve."""
RETRY_TOKENS_PER_SECOND = 1.0
"""Allows a service with few requests to retry after a burst of failures."""
MAX_RETRY_TOKENS = 10.0
"""Capacity of the token bucket, which is full at the start."""


class RefusalReason(enum.Enum):
    """Why a request was refused; the value is the last part of the problem document's type."""

    NO_OWNER = "no-owner"
    NO_CAPACITY = "no-capacity"
    QUEUE_FULL = "queue-full"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_REFUSED = "backend-refused"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    RESPONSE_LOST = "answer-lost"


@dataclass(frozen=True)
class Attempt:
    """Command: send the request to a back end.

    Parameters
    ----------
    route_version
        Version of the assignment that names it as the owner; zero for a service without owners.
    deadline
        When the caller stops waiting, on this node's clock.
    """

    backend: Backend
    route_version: int
    deadline: Seconds


@dataclass(frozen=True)
class Wait:
    """Command: decide again when routes or capacity have changed, at the latest at `until`."""

    until: Seconds


@dataclass(frozen=True)
class Refuse:
    """Command: refuse the request.

    Parameters
    ----------
    retry_after
        Time in seconds after which the caller should retry.
    """

    outcome: Outcome
    reason: RefusalReason
    retry_after: Seconds


RequestCommand = Attempt | Wait | Refuse


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests, plus a low constant rate."""

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS
        self._refilled_at: Seconds | None = None

    def record_request(self, now: Seconds) -> None:
        """Record that a request arrived, and refill the bucket."""
        elapsed = now - self._refilled_at if self._refilled_at is not None else 0.0
        self._refilled_at = now
        earned = RETRY_TOKENS_PER_REQUEST + elapsed * RETRY_TOKENS_PER_SECOND
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + earned)

    @property
    def has_tokens(self) -> bool:
        """Whether a retry is allowed."""
        return self._tokens >= 1.0

    def take(self) -> None:
        """Use up one retry."""
        self._tokens -= 1.0


@dataclass(frozen=True)
class RoutingLimits:
    """Limits of one router.

    Parameters
    ----------
    longest_wait
        Longest time that a request waits for an owner or for capacity, in seconds.
    waiting_requests
        Most requests of a service that may wait at the same time.
    """

    longest_wait: Seconds = 4.0
    waiting_requests: int = 1_000


@dataclass(frozen=True)
class RouterView:
    """State of a router on which the decisions for a request are based."""

    config: ConfigReplica
    routes: RouteTable
    backends: BackendStates
    limits: RoutingLimits


class RequestCore:
    """Decisions for one request.

    Parameters
    ----------
    deadline
        When the caller stops waiting, on this node's clock.
    budget
        The service's retry budget at this router.
    """

    def __init__(
        self,
        request_id: str,
        target: RequestTarget,
        deadline: Seconds,
        view: RouterView,
        budget: RetryBudget,
        now: Seconds,
    ) -> None:
        self.request_id = request_id
        self.target = target
        self.deadline = deadline
        self.attempts = 0
        self._view = view
        self._budget = budget
        self._wait_end = min(deadline, now + view.limits.longest_wait)
        self._excluded: set[str] = set()
        self._stale_version = 0
        self._not_before: Seconds = now
        self._ledger = RunLedger()
        self._in_flight: Attempt | None = None
        self._recorded: RecordedAttempt | None = None

    @property
    def in_flight(self) -> Attempt | None:
        """The attempt that has not ended, or None."""
        return self._in_flight

    def next_command(self, now: Seconds) -> RequestCommand:
        """Decide what to do: at the start, and after a `Wait`."""
        if now + MIN_ATTEMPT_TIME >= self.deadline:
            return self._refuse(RefusalReason.DEADLINE_EXCEEDED)
        if self.target.place is None:
            return self._try_any(now)
        return self._try_owner(now)

    def handle_failure(
        self, phase: FailurePhase, now: Seconds, not_owner: bool = False
    ) -> RequestCommand:
        """Decide what follows a failed attempt.

        Parameters
        ----------
        not_owner
            Whether the back end refused the request because it does not own the key.
        """
        attempt, recorded = self._in_flight, self._recorded
        if attempt is None or recorded is None:
            raise InvariantViolation("failure-follows-attempt", self.request_id)
        self._in_flight = self._recorded = None
        recorded.phase = phase
        history = AttemptHistory(
            repeatable=self.target.repeatable,
            may_have_run=self._ledger.may_have_run,
            time_left=now + MIN_ATTEMPT_TIME < self.deadline,
            budget_left=not_owner or self._budget.has_tokens,
        )
        decision = decide(phase, history)
        if decision is not Decision.RETRY:
            return self._refuse(_reason_for(phase, history.time_left))
        if not not_owner:
            self._budget.take()
        self._exclude(attempt, now)
        return self.next_command(now)

    def _exclude(self, attempt: Attempt, now: Seconds) -> None:
        self._excluded.add(attempt.backend.backend_id)
        self._stale_version = attempt.route_version
        self._not_before = now + RETRY_DELAY

    def _try_owner(self, now: Seconds) -> RequestCommand:
        place = self.target.place
        assert place is not None
        route = self._view.routes.locate(place.group, place.position)
        if route is None or route.slice.owner == NO_OWNER:
            return self._wait(now, RefusalReason.NO_OWNER)
        owner = self._view.config.backend(route.slice.owner)
        if owner is None:
            return self._wait(now, RefusalReason.NO_OWNER)
        if route.version <= self._stale_version and now < self._not_before:
            return self._wait(now, RefusalReason.NO_OWNER)
        if not self._view.backends.has_room(self.target.service, owner.backend_id):
            return self._wait(now, RefusalReason.NO_CAPACITY)
        return self._attempt(owner, route.version)

    def _try_any(self, now: Seconds) -> RequestCommand:
        service = self.target.service
        backends = self._view.config.backends_of(service.name)
        chosen = self._view.backends.choose(service, backends, self._excluded, self.request_id, now)
        if chosen is not None:
            return self._attempt(chosen, 0)
        if self._excluded:
            self._excluded.clear()
        return self._wait(now, RefusalReason.NO_CAPACITY)

    def _attempt(self, backend: Backend, version: int) -> Attempt:
        if self._ledger.may_have_run and not self.target.repeatable:
            raise InvariantViolation("unrepeatable-runs-once", self.request_id)
        self.attempts += 1
        self._recorded = self._ledger.begin_attempt(backend.backend_id)
        self._in_flight = Attempt(backend, version, self.deadline)
        return self._in_flight

    def _wait(self, now: Seconds, reason: RefusalReason) -> RequestCommand:
        if now >= self._wait_end:
            return self._refuse(reason)
        delay = max(self._not_before - now, RETRY_DELAY)
        return Wait(min(now + delay, self._wait_end))

    def _refuse(self, reason: RefusalReason) -> Refuse:
        proof = self._ledger.prove_not_run()
        outcome = Outcome.UNKNOWN if proof is None else Outcome.NOT_RUN
        return Refuse(outcome, reason, RETRY_AFTER)


def _reason_for(phase: FailurePhase, time_left: bool) -> RefusalReason:
    if not time_left:
        return RefusalReason.DEADLINE_EXCEEDED
    if phase is FailurePhase.REFUSED:
        return RefusalReason.BACKEND_REFUSED
    if phase in SURELY_NOT_RUN:
        return RefusalReason.BACKEND_UNREACHABLE
    return RefusalReason.RESPONSE_LOST
