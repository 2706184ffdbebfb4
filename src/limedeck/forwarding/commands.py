"""Commands from a request's core to its host, and why a request is refused."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.forwarding.availability import Unavailable
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.permits import PermitRequest, RateBound
from limedeck.identity import Seconds
from limedeck.routing.outcomes import Outcome
from limedeck.routing.run_evidence import NotRunProof, RecordedAttempt


class RefusalReason(enum.Enum):
    """Why a request was refused."""

    NO_OWNER = "no-owner"
    NO_BACKEND = "no-backend"
    REFUSED = "refused-by-back-end"
    OVERLOADED = "overloaded"
    UNREACHABLE = "back-end-unreachable"
    RESPONSE_LOST = "answer-lost"
    UNPROVEN_STATUS = "unproven-status"
    TIMED_OUT = "timed-out"
    STOPPED = "stopped"
    BAD_KEY = "bad-key"
    QUARANTINED = "quarantined"
    EVACUATED = "owner-in-evacuated-zone"
    COLD = "owner-is-cold"
    LIMITED = "limited"
    LEAVING = "leaving"
    BACKING_OFF = "backing-off"
    MEMORY_EXHAUSTED = "memory-exhausted"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Command: send the request to a back end.

    Parameters
    ----------
    until
        When the attempt is aborted, on this node's clock.
    ahead
        Estimated number of requests at the back end.
    """

    state: BackendState
    until: Seconds
    ahead: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestPermit:
    """Command: request a permit to send this request to a rate-bound back end.

    Parameters
    ----------
    requested_at
        When this was decided, on this node's clock; the permit's lifetime begins then.
    """

    state: BackendState
    permit_request: PermitRequest
    requested_at: Seconds


@dataclass(frozen=True, slots=True)
class Wait:
    """Command: decide again when owners or back ends have changed, at the latest at `until`."""

    until: Seconds


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """The estimated load of a back end behind a refusal, for the log.

    Parameters
    ----------
    expected
        Time that the request would take there, in seconds; None if too little is known.
    load
        Requests that are there.
    load_age
        Age of what is known of the other nodes' part of them, in seconds.
    """

    backend_id: str
    expected: Seconds | None
    load: float
    load_age: Seconds


@dataclass(frozen=True, slots=True)
class Refuse:
    """Command: refuse the request at once.

    Parameters
    ----------
    proof
        Shows that the request did not run; None if it may have run.
    retry_after
        Seconds after which the caller should retry.
    attempts
        The attempts at the request, for the log.
    details
        The known state of a back end that caused the refusal: its queue, its rate bound, or why
        it may not receive requests. None for other causes.
    """

    proof: NotRunProof | None
    reason: RefusalReason
    retry_after: Seconds
    attempts: tuple[RecordedAttempt, ...] = ()
    details: LoadEstimate | RateBound | Unavailable | None = None

    @property
    def outcome(self) -> Outcome:
        """What the caller is told about its request."""
        return Outcome.UNKNOWN if self.proof is None else Outcome.NOT_RUN


Command = Attempt | RequestPermit | Wait | Refuse
