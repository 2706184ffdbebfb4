"""Parts of HTTP messages that the servers of a node share."""

from __future__ import annotations

from typing import Any

from limedeck import http_codec
from limedeck.forwarding.protocol import Headers
from limedeck.http_client import HttpResponse
from limedeck.node.asgi import Receive, Scope, Send
from limedeck.node.exchange_memory import SMALL_MESSAGE_BYTES, ExchangeMemory, MemoryExhausted

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
HEAD = b"HEAD"


class CallerLeft(Exception):
    """The caller closed its connection before it had sent its whole request."""


class BodyTooLarge(Exception):
    """The request's body exceeds the size limit."""


async def read_body(receive: Receive, limit: int, memory: ExchangeMemory) -> bytes:
    """Read a request's body of at most `limit` bytes.

    Raises
    ------
    CallerLeft
        The connection was closed before the body had arrived.
    BodyTooLarge
        The body is larger.
    MemoryExhausted
        There is no memory for the body.
    """
    first = await receive()
    if first["type"] == "http.disconnect":
        raise CallerLeft
    body: bytes = first.get("body", b"")
    if not first.get("more_body", False) and len(body) <= min(limit, SMALL_MESSAGE_BYTES):
        return body
    with memory.receiving_body():
        return await _read_large_body(receive, limit, memory, body, first.get("more_body", False))
    raise MemoryExhausted("a request's body was given up while it was received")


async def _read_large_body(
    receive: Receive, limit: int, memory: ExchangeMemory, first: bytes, more_follows: bool
) -> bytes:
    parts = [first]
    size = len(first)
    while True:
        if size > limit:
            raise BodyTooLarge
        memory.grow_body(size)
        if not more_follows:
            return b"".join(parts)
        await memory.wait_for_room()
        message: dict[str, Any] = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeft
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        more_follows = message.get("more_body", False)


def request_target(scope: Scope) -> bytes:
    """Return the path and query of a request as they were sent."""
    target: bytes = scope["raw_path"]
    return target + b"?" + scope["query_string"] if scope["query_string"] else target


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that may be forwarded, without the length of the body."""
    excluded = HOP_BY_HOP_HEADERS | _connection_options(headers) | {b"content-length"}
    return [(name, value) for name, value in headers if name not in excluded]


def length_headers(method: bytes, response: HttpResponse) -> Headers:
    """Return the headers about the length of a response that is forwarded.

    The response to HEAD has the length that the server states, not that of its own empty body, and
    a status without content has none.
    """
    if method == HEAD:
        return [item for item in response.headers if item[0] == b"content-length"]
    if response.status in http_codec.NO_CONTENT_STATUSES:
        return []
    return [(b"content-length", b"%d" % len(response.body))]


async def send_response(
    send: Send,
    status: int,
    headers: Headers,
    body: bytes,
    memory: ExchangeMemory | None = None,
    length: Headers | None = None,
) -> None:
    """Send a complete response.

    Parameters
    ----------
    memory
        Where the body counts until it is written; its connection counts it from then on.
    length
        Headers about its length; None: that of the body.
    """
    length = [(b"content-length", b"%d" % len(body))] if length is None else length
    framed = [*headers, *length]
    await send({"type": "http.response.start", "status": status, "headers": framed})
    # The start waits until earlier responses of the connection have been read.
    if memory is not None:
        memory.release_response()
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
