"""What is told of requests that end back ends: between nodes, and to a node's log."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding.request_content import RequestFingerprints
from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class CrashUpdate:
    """A back end has ended with these requests under way, on the clock of whoever holds this."""

    backend_id: str
    at: Seconds
    requests: frozenset[RequestFingerprints]


@dataclass(frozen=True, slots=True)
class ServedUpdate:
    """A request with this sign, which is a suspect's, was served."""

    request: int
    at: Seconds


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Requests with a sign are refused until a time, and tried then.

    Parameters
    ----------
    request
        The sign.
    level
        Quarantines of this request before it that ended in a crash.
    began, ends
        On the clock of whoever holds this.
    """

    request: int
    level: int
    began: Seconds
    ends: Seconds


QuarantineUpdate = CrashUpdate | ServedUpdate | Quarantine


@dataclass(frozen=True, slots=True)
class BackendEnded:
    """Event for logs: a back end was found to have ended."""

    backend_id: str
    lost: int


@dataclass(frozen=True, slots=True)
class QuarantineBegan:
    """Event for logs: a request is refused from now on."""

    quarantine: Quarantine
    from_peer: bool


@dataclass(frozen=True, slots=True)
class QuarantineEnded:
    """Event for logs: a request is not refused any more, since a back end has answered it."""

    request: int


Event = BackendEnded | QuarantineBegan | QuarantineEnded
