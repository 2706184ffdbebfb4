"""Parts of HTTP messages that the servers of a node share."""

from __future__ import annotations

from typing import Any

from limedeck.forwarding.protocol import Headers
from limedeck.node.asgi import Receive, Scope, Send

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Headers that apply to a single connection and are not forwarded."""


class CallerLeft(Exception):
    """The caller closed its connection before it had sent its whole request."""


class BodyTooLarge(Exception):
    """The request's body exceeds the size limit."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read a request's body of at most `limit` bytes.

    Raises
    ------
    CallerLeft
        The connection was closed before the body had arrived.
    BodyTooLarge
        The body is larger.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message: dict[str, Any] = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeft
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            raise BodyTooLarge
        if not message.get("more_body", False):
            return b"".join(parts)


def request_target(scope: Scope) -> bytes:
    """Return the path and query of a request as they were sent."""
    target: bytes = scope["raw_path"]
    return target + b"?" + scope["query_string"] if scope["query_string"] else target


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that may be forwarded, without the length of the body."""
    excluded = HOP_BY_HOP_HEADERS | _connection_options(headers) | {b"content-length"}
    return [(name, value) for name, value in headers if name not in excluded]


async def send_response(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a complete response."""
    framed = [*headers, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": framed})
    await send({"type": "http.response.body", "body": body})


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names that the Connection header lists as hop-by-hop."""
    names = [
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    ]
    return frozenset(names)
