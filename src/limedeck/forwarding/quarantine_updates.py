"""Updates between nodes on requests that crash back ends, and the events for a node's log."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding.request_content import RequestFingerprints
from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class CrashUpdate:
    """A back end crashed with these requests in flight.

    Parameters
    ----------
    at
        On the clock of the node that holds this object.
    """

    backend_id: str
    at: Seconds
    requests: frozenset[RequestFingerprints]


@dataclass(frozen=True, slots=True)
class ServedUpdate:
    """A request with this suspect fingerprint was served."""

    request: int
    at: Seconds


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Requests with a fingerprint are refused until a time, and admitted as trials then.

    Parameters
    ----------
    request
        The fingerprint.
    level
        Earlier quarantines of this request that were followed by a crash.
    began, ends
        On the clock of the node that holds this object.
    """

    request: int
    level: int
    began: Seconds
    ends: Seconds


QuarantineUpdate = CrashUpdate | ServedUpdate | Quarantine


@dataclass(frozen=True, slots=True)
class BackendCrashed:
    """Event for logs: a back end was found to have crashed."""

    backend_id: str
    lost: int


@dataclass(frozen=True, slots=True)
class QuarantineBegan:
    """Event for logs: a request is refused from now on."""

    quarantine: Quarantine
    from_peer: bool


@dataclass(frozen=True, slots=True)
class QuarantineEnded:
    """Event for logs: a request is not refused any more, since a back end responded to it."""

    request: int


Event = BackendCrashed | QuarantineBegan | QuarantineEnded
