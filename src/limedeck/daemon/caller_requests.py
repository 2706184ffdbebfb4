"""Callers' requests as they come in: read whole, checked, matched to a service."""

from __future__ import annotations

import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from limedeck.config.replica import ConfigReplica
from limedeck.daemon.problems import WholeAnswer, problem
from limedeck.errors import LimedeckError, MissingKey, UnknownService
from limedeck.identity import Seconds
from limedeck.node.asgi import Receive, Scope
from limedeck.routing.outcomes import Outcome
from limedeck.routing.rules import RequestTarget, deadline_of, match_request

LONGEST_REQUEST_ID = 128
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
    }
)
OWN_PREFIX = b"limedeck-"


class CallerDisconnected(LimedeckError):
    """The caller went away before its request was read."""


@dataclass
class RequestRefused(LimedeckError):
    """A request is refused before it is routed; nothing was run."""

    answer: WholeAnswer
    reason: str


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, read whole."""

    request_id: str
    names_own_id: bool
    method: str
    target: RequestTarget
    headers: list[tuple[str, str]]
    body: bytes
    deadline: Seconds


async def read_request(
    config: ConfigReplica, scope: Scope, receive: Receive, now: Seconds
) -> CallerRequest:
    """Read a request whole and find what it is for.

    Raises
    ------
    RequestRefused
        It cannot be routed; the error holds the answer.
    CallerDisconnected
        The caller went away.
    """
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    raw_path = scope.get("raw_path") or scope["path"].encode()
    query = scope["query_string"].decode("latin-1")
    method = scope["method"]
    try:
        target = match_request(config, method, raw_path.decode("latin-1"), query, headers)
    except UnknownService as error:
        raise refused_request(404, "unknown-service", str(error)) from error
    except MissingKey as error:
        raise refused_request(400, "missing-key", str(error)) from error
    try:
        deadline = deadline_of(target.service, headers.get("limedeck-deadline-ms"), now)
    except ValueError as error:
        detail = "limedeck-deadline-ms must be a positive number of milliseconds"
        raise refused_request(400, "invalid-deadline", detail) from error
    own_id = headers.get("limedeck-request-id", "")
    if len(own_id) > LONGEST_REQUEST_ID:
        raise refused_request(400, "invalid-request-id", f"above {LONGEST_REQUEST_ID} characters")
    body = await read_body(receive, headers, target.service.limits.maximum_body_bytes)
    return CallerRequest(
        request_id=own_id or uuid.uuid4().hex,
        names_own_id=bool(own_id),
        method=method,
        target=target,
        headers=forwarded_headers(scope["headers"]),
        body=body,
        deadline=deadline,
    )


async def read_body(receive: Receive, headers: dict[str, str], limit: int) -> bytes:
    """Read a body of at most so many bytes."""
    announced = headers.get("content-length", "0")
    if announced.isdigit() and int(announced) > limit:
        raise refused_request(413, "body-too-large", f"the body may have {limit} bytes")
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        body += message.get("body", b"")
        if len(body) > limit:
            raise refused_request(413, "body-too-large", f"the body may have {limit} bytes")
        if not message.get("more_body", False):
            return bytes(body)


def forwarded_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Headers that a back end gets: those of the request itself, not of its connection."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
        if name not in HOP_BY_HOP and not name.startswith((OWN_PREFIX, b":"))
    ]


def refused_request(status: int, reason: str, detail: str) -> RequestRefused:
    """Refuse a request that nothing was done for."""
    return RequestRefused(problem(status, reason, detail, Outcome.NOT_RUN), reason)
