"""What a request's core has its host do, and why a request is given up."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.forwarding.availability import Unavailable
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.permits import PermitRequest, RateBound
from limedeck.identity import Seconds
from limedeck.routing.outcomes import Outcome


class RefusalReason(enum.Enum):
    """Why a request was given up."""

    NO_OWNER = "no-owner"
    NO_BACKEND = "no-backend"
    REFUSED = "refused-by-back-end"
    OVERLOADED = "overloaded"
    UNREACHABLE = "back-end-unreachable"
    RESPONSE_LOST = "answer-lost"
    TIMED_OUT = "timed-out"
    STOPPED = "stopped"
    BAD_KEY = "bad-key"
    QUARANTINED = "quarantined"
    EVACUATED = "owner-in-evacuated-zone"
    COLD = "owner-is-cold"
    LIMITED = "limited"
    LEAVING = "leaving"
    BACKING_OFF = "backing-off"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Command: send the request to a back end.

    Parameters
    ----------
    until
        When the attempt is given up, on this node's clock.
    ahead
        Requests that the back end is believed to have.
    """

    state: BackendState
    until: Seconds
    ahead: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestPermit:
    """Command: ask whether this request may go to a back end that bears little.

    Parameters
    ----------
    requested_at
        When that was decided, on this node's clock: a permit is good for so long from then on.
    """

    state: BackendState
    permit_request: PermitRequest
    requested_at: Seconds


@dataclass(frozen=True, slots=True)
class Wait:
    """Command: ask again when owners or back ends have changed, at the latest at `until`."""

    until: Seconds


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """What a refusal rests on: one back end as it was believed to be, for the log.

    Parameters
    ----------
    expected
        Time that the request would take there, in seconds; None if too little is known.
    load
        Requests that are there.
    load_age
        How long ago the other nodes' part of them was heard, in seconds.
    """

    backend_id: str
    expected: Seconds | None
    load: float
    load_age: Seconds


@dataclass(frozen=True, slots=True)
class Refuse:
    """Command: give the request up at once.

    Parameters
    ----------
    retry_after
        In seconds, when the caller should come back.
    details
        The known state of a back end that caused the refusal: its queue, its bound, or why it
        may not receive requests. None for other causes.
    """

    outcome: Outcome
    reason: RefusalReason
    retry_after: Seconds
    details: LoadEstimate | RateBound | Unavailable | None = None


Command = Attempt | RequestPermit | Wait | Refuse
