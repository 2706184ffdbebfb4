"""Responses that the router itself produces, as problem+json with typed outcomes."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from limedeck.routing.outcomes import Outcome
from limedeck.routing.request import RefusalReason, Refuse

OUTCOME_HEADER = b"limedeck-outcome"
REASON_HEADER = b"limedeck-reason"
REQUEST_ID_HEADER = b"limedeck-request-id"
PROBLEM_TYPE = "urn:limedeck:problem:"
PROBLEM_CONTENT_TYPE = b"application/problem+json"

STATUS_OF_REASON = {
    RefusalReason.NO_OWNER: 503,
    RefusalReason.NO_CAPACITY: 503,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.BACKEND_UNREACHABLE: 503,
    RefusalReason.BACKEND_REFUSED: 503,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.RESPONSE_LOST: 502,
}


@dataclass(frozen=True)
class BufferedResponse:
    """A response that is held whole in memory."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def problem(
    status: int,
    reason: str,
    detail: str,
    outcome: Outcome,
    retry_after: float | None = None,
) -> BufferedResponse:
    """Build a problem+json response.

    Parameters
    ----------
    reason
        Last part of the problem's type, also the ``limedeck-reason`` header.
    retry_after
        Seconds after which the caller should try again.
    """
    body = json.dumps(
        {
            "type": PROBLEM_TYPE + reason,
            "title": reason.replace("-", " "),
            "status": status,
            "detail": detail,
            "outcome": outcome.value,
        }
    ).encode()
    headers = [
        (b"content-type", PROBLEM_CONTENT_TYPE),
        (b"content-length", str(len(body)).encode()),
        (OUTCOME_HEADER, outcome.value.encode()),
        (REASON_HEADER, reason.encode()),
    ]
    if retry_after is not None:
        headers.append((b"retry-after", str(math.ceil(retry_after)).encode()))
    return BufferedResponse(status, headers, body)


def refusal(refuse: Refuse) -> BufferedResponse:
    """Build the response to a request that was given up."""
    detail = "the request was not run"
    if refuse.outcome is Outcome.UNKNOWN:
        detail = "the request may have been run"
    status = STATUS_OF_REASON[refuse.reason]
    return problem(
        status, refuse.reason.value, detail, refuse.outcome, retry_after=refuse.retry_after
    )
