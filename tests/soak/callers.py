"""Callers that go on using open connections until the process at the other end is gone."""

from __future__ import annotations

import dataclasses
import enum
import http.client
import socket
import time

PATIENCE = 4.0
"""Above the deadline that callers tell, after which a node must have answered."""


class Ending(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    NO_ANSWER = "no-answer"
    NOT_CONNECTED = "not-connected"


@dataclasses.dataclass(frozen=True)
class Reply:
    """What came of one request.

    Parameters
    ----------
    began, ended
        On this process's steady clock, in seconds.
    """

    ending: Ending
    began: float
    ended: float
    status: int = 0
    request_id: str = ""
    body: bytes = b""


class KeptConnection:
    """One connection; what the answers say of closing it is not heeded."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket: socket.socket | None = None

    def exchange(self, path: str, headers: dict[str, str]) -> Reply:
        """Send a request and wait for its answer."""
        began = time.monotonic()
        try:
            connection = self._socket or self._open()
        except OSError:
            return Reply(Ending.NOT_CONNECTED, began, time.monotonic())
        lines = [f"GET {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        try:
            connection.sendall("\r\n".join([*lines, "", ""]).encode())
            answer = http.client.HTTPResponse(connection, method="GET")
            answer.begin()
            body = answer.read()
        except TimeoutError:
            self.close()
            return Reply(Ending.NO_ANSWER, began, time.monotonic())
        except (OSError, http.client.HTTPException):
            self.close()
            return Reply(Ending.CLOSED, began, time.monotonic())
        told = answer.headers.get("x-attempt-id", "")
        return Reply(Ending.ANSWERED, began, time.monotonic(), answer.status, told, body)

    def close(self) -> None:
        """Drop it; the next request opens another."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def _open(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=PATIENCE)
        return self._socket
