"""Client connections that stay in use until the server process closes them."""

from __future__ import annotations

import dataclasses
import enum
import http.client
import socket
import time
from typing import BinaryIO

RESPONSE_TIMEOUT = 4.0
"""Seconds; longer than the deadline that callers send, by which a node must have responded."""


class Ending(enum.Enum):
    """How a request ended."""

    RESPONDED = "answered"
    CLOSED = "closed"
    NO_RESPONSE = "no-answer"
    NOT_CONNECTED = "not-connected"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of one request.

    Parameters
    ----------
    began, ended
        On this process's monotonic clock, in seconds.
    """

    ending: Ending
    began: float
    ended: float
    status: int = 0
    request_id: str = ""
    body: bytes = b""
    closes: bool = False


@dataclasses.dataclass(frozen=True)
class Request:
    """A GET request."""

    path: str
    headers: dict[str, str]

    def encode(self) -> bytes:
        """Return its bytes."""
        fields = (f"{name}: {value}" for name, value in self.headers.items())
        return "\r\n".join([f"GET {self.path} HTTP/1.1", *fields, "", ""]).encode()


def exchange_pipelined(address: str, requests: list[Request]) -> list[Outcome]:
    """Send requests at once on a new connection, and read the responses in their order.

    The connection is closed once all responses have been read. Requests behind a response that
    closes it, or behind its end, have the ending `CLOSED`.
    """
    began = time.monotonic()
    host, _, port = address.rpartition(":")
    outcomes: list[Outcome] = []
    ending = Ending.NOT_CONNECTED
    try:
        with socket.create_connection((host, int(port)), timeout=RESPONSE_TIMEOUT) as connection:
            ending = Ending.CLOSED
            connection.sendall(b"".join(request.encode() for request in requests))
            with connection.makefile("rb") as stream:
                while len(outcomes) < len(requests) and not (outcomes and outcomes[-1].closes):
                    outcomes.append(_read_response(stream, began))
    except TimeoutError:
        ending = Ending.NO_RESPONSE if ending is Ending.CLOSED else ending
    except (OSError, http.client.HTTPException):
        pass
    missing = len(requests) - len(outcomes)
    return outcomes + [Outcome(ending, began, time.monotonic())] * missing


def _read_response(stream: BinaryIO, began: float) -> Outcome:
    line = stream.readline()
    if not line.startswith(b"HTTP/1.1 "):
        raise http.client.BadStatusLine(line.decode("latin-1"))
    headers = http.client.parse_headers(stream)
    length = int(headers["content-length"])
    body = stream.read(length)
    if len(body) < length:
        raise http.client.IncompleteRead(body, length - len(body))
    closes = headers.get("connection", "").lower() == "close"
    request_id = headers.get("x-attempt-id", "")
    status = int(line[9:12])
    return Outcome(Ending.RESPONDED, began, time.monotonic(), status, request_id, body, closes)


class PersistentConnection:
    """One keep-alive connection; ignores `connection: close` in responses."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket: socket.socket | None = None

    def exchange(self, path: str, headers: dict[str, str]) -> Outcome:
        """Send a request and wait for its response."""
        began = time.monotonic()
        try:
            connection = self._socket or self._open()
        except OSError:
            return Outcome(Ending.NOT_CONNECTED, began, time.monotonic())
        lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        try:
            connection.sendall("\r\n".join([*lines, "", ""]).encode())
            response = http.client.HTTPResponse(connection, method="GET")
            response.begin()
            body = response.read()
        except TimeoutError:
            self.close()
            return Outcome(Ending.NO_RESPONSE, began, time.monotonic())
        except (OSError, http.client.HTTPException):
            self.close()
            return Outcome(Ending.CLOSED, began, time.monotonic())
        request_id = response.headers.get("x-attempt-id", "")
        return Outcome(Ending.RESPONDED, began, time.monotonic(), response.status, request_id, body)

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def _open(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=RESPONSE_TIMEOUT)
        return self._socket
