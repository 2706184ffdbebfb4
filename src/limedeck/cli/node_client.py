"""Questions to one node over HTTP, with typed failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import httpx
import msgspec

from limedeck.errors import LimedeckError
from limedeck.views import (
    ASSIGNMENT_PATH,
    LOCATE_PATH,
    STATUS_PATH,
    AssignmentView,
    LocationView,
    ProblemView,
    StatusView,
)

TIMEOUT = 5.0
View = TypeVar("View", bound=msgspec.Struct)


@dataclass
class NodeUnreachable(LimedeckError):
    """A node gave no answer, or one that is none of a node."""

    node: str
    reason: str

    def __str__(self) -> str:
        return f"node at {self.node}: {self.reason}"


class NotFoundAtNode(LimedeckError):
    """The node has no such thing to show."""


class NodeClient:
    """Asks one node what it believes.

    Parameters
    ----------
    node
        IP number and port where it answers whether it is ready.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._client = httpx.Client(
            base_url=f"http://{node}", timeout=TIMEOUT, trust_env=False, follow_redirects=False
        )

    def status(self) -> StatusView:
        """Ask for its view of the system."""
        return self._ask(STATUS_PATH, StatusView)

    def assignment(self, service: str) -> AssignmentView:
        """Ask for the owners of a service's keys."""
        return self._ask(f"{ASSIGNMENT_PATH}{quote(service, safe='')}", AssignmentView)

    def locate(self, service: str, position: str) -> LocationView:
        """Ask where requests for a key go."""
        path = f"{LOCATE_PATH}{quote(service, safe='')}/{quote(position, safe='')}"
        return self._ask(path, LocationView)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _ask(self, path: str, kind: type[View]) -> View:
        try:
            answer = self._client.get(path)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise NodeUnreachable(self._node, type(error).__name__) from error
        try:
            if answer.status_code == httpx.codes.NOT_FOUND:
                raise NotFoundAtNode(msgspec.json.decode(answer.content, type=ProblemView).problem)
            if not answer.is_success:
                raise NodeUnreachable(self._node, f"status {answer.status_code}")
            return msgspec.json.decode(answer.content, type=kind)
        except msgspec.DecodeError as error:
            raise NodeUnreachable(self._node, f"not a node's answer: {error}") from error
