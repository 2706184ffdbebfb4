"""HTTP messages by which one node makes attempts through another.

An attempt is the request as it would be sent to the back end, with additional headers. The response
is that of the back end, or none: the headers then say why. Both nodes remove these headers again.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.errors import PeerProtocolError
from limedeck.forwarding.protocol import Headers
from limedeck.http_client import HttpResponse
from limedeck.identity import Seconds
from limedeck.routing.outcomes import AttemptFailed, FailurePhase
from limedeck.routing.run_evidence import evidence_of

PREFIX = b"limedeck-attempt-"
BACKEND = PREFIX + b"backend"
KIND = PREFIX + b"kind"
TIME_LEFT = PREFIX + b"time-left"
REPEATABLE = PREFIX + b"repeatable"
WATCHED = PREFIX + b"watched"
RESULT = PREFIX + b"result"
PHASE = PREFIX + b"phase"
PROBLEM = PREFIX + b"problem"
BY_OTHER_END = PREFIX + b"by-other-end"
REQUEST = PREFIX + b"request"
YES = b"1"
NO = b"0"
MS_PER_SECOND = 1000.0
NO_RESPONSE_STATUS = 502
UNREACHED = "unreached"
"""Problem of an attempt at a back end that the other node knows not to reach either."""
MAX_TIME_LEFT_DIGITS = 9
UNSENT_PHASES = frozenset(
    {FailurePhase.NOT_CONNECTED, FailurePhase.NOT_SENT, FailurePhase.TURNED_AWAY}
)
"""Phases by which another node may show that a request did not run: it knows what it sent. What a
back end states about a request is read from the response itself."""


class AttemptKind(enum.Enum):
    """What the other node is asked to do.

    REQUEST
        Send the request to the back end.
    PROBE
        Only connect to the back end.
    """

    REQUEST = "request"
    PROBE = "probe"


class AttemptResult(enum.Enum):
    """What the other node did.

    RESPONSE
        It returns the back end's response.
    FAILED
        It made the attempt, which failed.
    UNABLE
        It made no attempt: it cannot be used as an intermediary now.
    """

    RESPONSE = "response"
    FAILED = "failed"
    UNABLE = "unable"


class IntermediaryUnable(Exception):
    """The other node made no attempt, and can make none now."""


@dataclass(frozen=True, slots=True)
class ForwardedAttempt:
    """An attempt that one node asks another one to make.

    Parameters
    ----------
    time_left
        Seconds until the attempt is to be aborted.
    repeatable
        Whether the attempt is cancelled when the node that asked for it goes away.
    watched
        See `HttpRequest`.
    """

    backend_id: str
    time_left: Seconds
    kind: AttemptKind = AttemptKind.REQUEST
    repeatable: bool = True
    watched: bool = False


def without_attempt_headers(headers: Headers) -> Headers:
    """Return the headers that do not belong to these messages."""
    return [(name, value) for name, value in headers if not name.startswith(PREFIX)]


def attempt_headers(attempt: ForwardedAttempt, request_id: bytes) -> Headers:
    """Return the headers that describe an attempt at a request."""
    return [
        (REQUEST, request_id),
        (BACKEND, attempt.backend_id.encode()),
        (KIND, attempt.kind.value.encode()),
        (TIME_LEFT, b"%d" % max(attempt.time_left * MS_PER_SECOND, 1.0)),
        (REPEATABLE, YES if attempt.repeatable else NO),
        (WATCHED, YES if attempt.watched else NO),
    ]


def request_header(headers: Headers) -> tuple[bytes, bytes]:
    """Return the header by which the result of a described attempt names its request."""
    return (REQUEST, dict(headers).get(REQUEST, b""))


def read_attempt(headers: Headers) -> ForwardedAttempt:
    """Read the description of an attempt.

    Raises
    ------
    PeerProtocolError
        The headers do not describe one.
    """
    found = dict(headers)
    time_left = found.get(TIME_LEFT, b"")
    try:
        kind = AttemptKind(found.get(KIND, b"").decode())
        backend_id = found.get(BACKEND, b"").decode()
    except ValueError as error:
        raise PeerProtocolError(f"forwarded attempt: {error}") from error
    if not backend_id or not time_left.isdigit() or len(time_left) > MAX_TIME_LEFT_DIGITS:
        raise PeerProtocolError("forwarded attempt names no back end or no time")
    return ForwardedAttempt(
        backend_id,
        int(time_left) / MS_PER_SECOND,
        kind,
        found.get(REPEATABLE) == YES,
        found.get(WATCHED) == YES,
    )


def result_headers(result: AttemptResult, error: AttemptFailed | None = None) -> Headers:
    """Return the headers that describe the result of an attempt."""
    headers = [(RESULT, result.value.encode())]
    if error is not None:
        headers += [
            (PHASE, error.phase.value.encode()),
            (PROBLEM, error.problem.encode("ascii", "replace")),
            (BY_OTHER_END, YES if error.by_other_end else NO),
        ]
    return headers


def read_result(response: HttpResponse, request_id: bytes) -> HttpResponse:
    """Return the back end's response to a request.

    Raises
    ------
    AttemptFailed
        The attempt failed at the other node, or its message cannot be read, or is about another
        request: the other node may then have sent this one on.
    IntermediaryUnable
        The other node made no attempt.
    """
    found = dict(response.headers)
    try:
        result = AttemptResult(found.get(RESULT, b"").decode())
        if result is not AttemptResult.RESPONSE and found.get(REQUEST) != request_id:
            raise AttemptFailed(FailurePhase.AWAITING, "result of another request")
        if result is AttemptResult.UNABLE:
            raise IntermediaryUnable
        if result is AttemptResult.FAILED:
            raise _read_failure(found)
    except ValueError as error:
        raise AttemptFailed(FailurePhase.AWAITING, f"unreadable result: {error}") from error
    return HttpResponse(response.status, without_attempt_headers(response.headers), response.body)


def _read_failure(found: dict[bytes, bytes]) -> AttemptFailed:
    """Read how an attempt failed at another node; `ValueError` if that cannot be read."""
    phase = FailurePhase(found.get(PHASE, b"").decode())
    if evidence_of(phase) is not None and phase not in UNSENT_PHASES:
        raise ValueError(f"{phase.value} without the response")
    return AttemptFailed(phase, found.get(PROBLEM, b"").decode(), found.get(BY_OTHER_END) == YES)
