"""HTTP/1.1 as bytes: requests to servers, and their answers.

Answers are read by llhttp (`httptools`). What it leaves open is decided here, since each decides
whether a request may run again: where an answer without a length ends, what comes after an answer,
and how long a head may be.
"""

from __future__ import annotations

import functools
import re

import httptools

from limedeck.forwarding.protocol import Headers

MAX_HEAD_SIZE = 65_536
LARGEST_ANSWER = 64 << 20
NO_CONTENT = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
SWITCHING = 101
FORBIDDEN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
TARGET = re.compile(rb"[\x21-\x7e\x80-\xff]+")
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
NAMES_KEPT = 4096
"""Header names that are remembered as proper; callers may make up new ones."""


class BadRequest(Exception):
    """A request that cannot be written as such."""


class BadResponse(Exception):
    """Bytes that are no answer, or an answer that ended early."""


@functools.lru_cache(maxsize=NAMES_KEPT)
def _is_token(name: bytes) -> bool:
    return TOKEN.fullmatch(name) is not None


def encoded_head(method: bytes, target: bytes, headers: Headers, body_length: int) -> bytes:
    """Write a request's head.

    Raises
    ------
    BadRequest
        A server would read another request from it, or another body.
    """
    if not _is_token(method) or TARGET.fullmatch(target) is None:
        raise BadRequest("method or target")
    lines = [method, b" ", target, b" HTTP/1.1\r\n"]
    lengths = []
    for name, value in headers:
        if not _is_token(name) or FORBIDDEN.search(value) is not None:
            raise BadRequest("header")
        if name == b"content-length":
            lengths.append(value)
        elif name == b"transfer-encoding":
            raise BadRequest("transfer encoding")
        lines += (name, b": ", value, b"\r\n")
    if lengths != [b"%d" % body_length] and (lengths or body_length):
        raise BadRequest("length of the body")
    lines.append(b"\r\n")
    return b"".join(lines)


class ResponseParser:
    """Reads one answer; its methods named `on_...` are called by the parser.

    Parameters
    ----------
    is_head
        The answer is one to HEAD, and has no body whatever its head says.

    Attributes
    ----------
    has_head, is_whole
        How far the answer is here.
    may_go_on
        The server keeps the connection, and nothing came after the answer.
    """

    def __init__(self, is_head: bool = False) -> None:
        self.has_head = False
        self.is_whole = False
        self.status = 0
        self.headers: Headers = []
        self._is_head = is_head
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._size = 0
        self._head_size = 0
        self._is_interim = False
        self._keeps_alive = False
        self._has_surplus = False

    @property
    def body(self) -> bytes:
        """What has come of the body."""
        return b"".join(self._parts)

    @property
    def may_go_on(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self.is_whole and self._keeps_alive and not self._has_surplus

    def feed(self, data: bytes) -> None:
        """Take in bytes.

        Raises
        ------
        BadAnswer
            They are no answer.
        """
        if not self.has_head:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # After a whole answer the bytes belong to none; the answer stands.
            if not self.is_whole:
                raise BadResponse(type(exc).__name__) from exc
            self._has_surplus = True
        if not self.has_head and self._head_size > MAX_HEAD_SIZE:
            raise BadResponse("head too large")
        if self._size > LARGEST_ANSWER:
            raise BadResponse("answer too large")

    def feed_end(self) -> None:
        """The connection has ended in order: so does an answer without a length.

        Raises
        ------
        BadAnswer
            The answer is not whole.
        """
        if self.has_head and not self.is_whole and self._ends_with_connection():
            self.is_whole = True
        if not self.is_whole:
            raise BadResponse("connection ended")

    def _ends_with_connection(self) -> bool:
        names = {name for name, _ in self.headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    # ------------------------------------------------------------------ called by the parser

    def on_message_begin(self) -> None:
        """Another answer begins, or the first one."""
        if self.is_whole:
            self._has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header; those after the body are left out."""
        if not self.has_head:
            self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """The head has ended."""
        if self.is_whole:
            return
        self.status = self._parser.get_status_code()
        if self.status == SWITCHING:
            raise BadResponse("another protocol")
        self._is_interim = self.status < FIRST_FINAL_STATUS
        if self._is_interim:
            self.headers = []
            return
        self.has_head = True
        self.is_whole = self._is_head

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self.is_whole:
            self._has_surplus = True
            return
        self._parts.append(data)
        self._size += len(data)

    def on_message_complete(self) -> None:
        """The answer has ended, unless it was an interim one."""
        if self._is_interim:
            self._is_interim = False
            return
        # One to HEAD was whole before; what follows its head cannot be told from surplus bytes.
        self._keeps_alive = not self.is_whole and self._parser.should_keep_alive()
        self.is_whole = True
