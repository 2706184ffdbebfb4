"""Client connections that stay in use until the server process closes them."""

from __future__ import annotations

import dataclasses
import enum
import http.client
import socket
import time

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
