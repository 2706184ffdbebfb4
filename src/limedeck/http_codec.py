"""Encodes HTTP/1.1 requests to servers and parses their responses.

Responses are parsed by llhttp (`httptools`). This module decides what llhttp leaves open: where a
response without a length ends, what bytes after a response mean, and how long a head may be. Each
of these affects whether a request may run again.
"""

from __future__ import annotations

import functools
import re

import httptools

from limedeck.forwarding.protocol import Headers

MAX_HEAD_SIZE = 65_536
MAX_FRAMING_SIZE = 65_536
"""Bytes between two parts of a body and behind the last one: chunk headers and trailers. The parser
holds a header until it is complete."""
MAX_BODY_SIZE = 16 << 20
NO_CONTENT_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
TARGET_PATTERN = re.compile(rb"[\x21-\x7e\x80-\xff]+")
TOKEN_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TOKEN_CACHE_SIZE = 4096
"""Bounds the cache of checked methods and header names: callers may invent any number of names."""


class BadRequest(Exception):
    """A request that cannot be encoded as valid HTTP/1.1."""


class BadResponse(Exception):
    """An invalid, oversized, unsupported or incomplete response."""


@functools.lru_cache(maxsize=TOKEN_CACHE_SIZE)
def _is_token(name: bytes) -> bool:
    return TOKEN_PATTERN.fullmatch(name) is not None


def encode_head(method: bytes, target: bytes, headers: Headers, body_length: int) -> bytes:
    """Encode the head of a request.

    Raises
    ------
    BadRequest
        The head is invalid: a server could read another request or another body from it.
    """
    if not _is_token(method) or TARGET_PATTERN.fullmatch(target) is None:
        raise BadRequest("invalid method or target")
    lines = [method, b" ", target, b" HTTP/1.1\r\n"]
    lengths = []
    for name, value in headers:
        if not _is_token(name) or FORBIDDEN_IN_VALUE.search(value) is not None:
            raise BadRequest("invalid header name or value")
        if name == b"content-length":
            lengths.append(value)
        elif name == b"transfer-encoding":
            raise BadRequest("transfer-encoding is not supported")
        lines += (name, b": ", value, b"\r\n")
    if lengths != [b"%d" % body_length] and (lengths or body_length):
        raise BadRequest("content-length does not match the body")
    lines.append(b"\r\n")
    return b"".join(lines)


class ResponseParser:
    """Parses one response; `httptools` calls its methods named `on_...`.

    Parameters
    ----------
    is_head_request
        The request's method is HEAD: the response has no body, whatever its headers say.

    Attributes
    ----------
    has_head, is_complete
        Whether the final response's head, and all of the response, was received.
    is_reusable
        The server keeps the connection open, and no bytes followed the response.
    """

    def __init__(self, is_head_request: bool = False) -> None:
        self.has_head = False
        self.is_complete = False
        self.status = 0
        self.headers: Headers = []
        self._is_head_request = is_head_request
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._head_size = 0
        self._framing_size = 0
        self._is_interim = False
        self._keeps_alive = False
        self._has_surplus = False

    @property
    def body(self) -> bytes:
        """The part of the body received so far."""
        return bytes(self._body)

    def take_body(self) -> bytes:
        """Return the body and keep none of it: a connection keeps its parser while it is idle."""
        body = bytes(self._body)
        self._body = bytearray()
        return body

    @property
    def body_size(self) -> int:
        """Number of bytes of the body received so far."""
        return len(self._body)

    @property
    def held_size(self) -> int:
        """Number of bytes held for the response at most, whichever part of it they belong to."""
        return self._head_size + self._framing_size + self.body_size

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self.is_complete and self._keeps_alive and not self._has_surplus

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        BadResponse
            The response is invalid, too large, or switches to another protocol.
        """
        had_head, former_body_size = self.has_head, self.body_size
        if not had_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # Invalid bytes after a complete response do not invalidate it.
            if not self.is_complete:
                raise BadResponse(type(exc).__name__) from exc
            self._has_surplus = True
        if not self.has_head and self._head_size > MAX_HEAD_SIZE:
            raise BadResponse(f"response head larger than {MAX_HEAD_SIZE} bytes")
        if self.body_size > MAX_BODY_SIZE:
            raise BadResponse(f"response body larger than {MAX_BODY_SIZE} bytes")
        if had_head and not self.is_complete:
            self._check_framing(len(data), self.body_size - former_body_size)

    def _check_framing(self, received: int, body_part: int) -> None:
        """Count received bytes that are not of the body since its last part."""
        self._framing_size = 0 if body_part else self._framing_size + received
        if self._framing_size > MAX_FRAMING_SIZE:
            raise BadResponse(f"more than {MAX_FRAMING_SIZE} bytes between parts of a body")

    def feed_end(self) -> None:
        """Handle the orderly end of the connection, which ends a response without a length.

        Raises
        ------
        BadResponse
            The response is incomplete.
        """
        if self.has_head and not self.is_complete and self._ends_with_connection():
            self.is_complete = True
        if not self.is_complete:
            raise BadResponse("connection ended")

    def _ends_with_connection(self) -> bool:
        names = {name for name, _ in self.headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    # ------------------------------------------------------------------ callbacks of httptools

    def on_message_begin(self) -> None:
        """Handle the start of the first or of a further response."""
        if self.is_complete:
            self._has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which follow the body, are ignored."""
        if not self.has_head:
            self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Handle the end of a head."""
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        if self.status == SWITCHING_PROTOCOLS:
            raise BadResponse("switch to another protocol is not supported")
        self._is_interim = self.status < FIRST_FINAL_STATUS
        if self._is_interim:
            self.headers = []
            return
        self.has_head = True
        self.is_complete = self._is_head_request

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        if self.is_complete:
            self._has_surplus = True
            return
        self._body += data

    def on_message_complete(self) -> None:
        """Handle the end of a response; an interim response is followed by another one."""
        if self._is_interim:
            self._is_interim = False
            return
        # A response to HEAD was complete with its head; a body that follows cannot be told from
        # surplus bytes, so its connection is not reused.
        self._keeps_alive = not self.is_complete and self._parser.should_keep_alive()
        self.is_complete = True
