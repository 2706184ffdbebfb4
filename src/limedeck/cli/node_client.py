"""Client of one node's status endpoints over HTTP, with typed failures."""

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

REQUEST_TIMEOUT_SECONDS = 5.0
View = TypeVar("View", bound=msgspec.Struct)


@dataclass
class NodeUnreachable(LimedeckError):
    """A node did not respond, or sent an invalid response."""

    node: str
    reason: str

    def __str__(self) -> str:
        return f"node at {self.node}: {self.reason}"


class NotFoundAtNode(LimedeckError):
    """The node does not have the requested item."""


class NodeClient:
    """Reads one node's view of the system.

    Parameters
    ----------
    node
        IP address and port of the node's readiness check.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._client = httpx.Client(
            base_url=f"http://{node}",
            timeout=REQUEST_TIMEOUT_SECONDS,
            trust_env=False,
            follow_redirects=False,
        )

    def status(self) -> StatusView:
        """Read the node's status."""
        return self._get(STATUS_PATH, StatusView)

    def assignment(self, service: str) -> AssignmentView:
        """Read the owners of a service's keys."""
        return self._get(f"{ASSIGNMENT_PATH}{quote(service, safe='')}", AssignmentView)

    def locate(self, service: str, position: str) -> LocationView:
        """Read where the node sends requests for a key."""
        path = f"{LOCATE_PATH}{quote(service, safe='')}/{quote(position, safe='')}"
        return self._get(path, LocationView)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _get(self, path: str, view_type: type[View]) -> View:
        try:
            response = self._client.get(path)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            raise NodeUnreachable(self._node, type(error).__name__) from error
        try:
            if response.status_code == httpx.codes.NOT_FOUND:
                raise NotFoundAtNode(
                    msgspec.json.decode(response.content, type=ProblemView).problem
                )
            if not response.is_success:
                raise NodeUnreachable(self._node, f"status {response.status_code}")
            return msgspec.json.decode(response.content, type=view_type)
        except msgspec.DecodeError as error:
            raise NodeUnreachable(self._node, f"invalid response: {error}") from error
