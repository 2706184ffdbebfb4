"""Interface for requests to back ends; each HTTP library has an adapter in its own module."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from limedeck.errors import BackendError

CONNECT_TIMEOUT_SECONDS = 1.0
KEEPALIVE_SECONDS = 2.0
"""Idle connections are closed well before a back end would close them."""
REFUSAL_HEADER = "limedeck-refusal"
NOT_OWNER = "not-owner"


@dataclass
class AttemptRefused(BackendError):
    """The back end refused to run the request.

    Parameters
    ----------
    refusal
        Value of its ``limedeck-refusal`` header.
    """

    refusal: str

    def __str__(self) -> str:
        return f"refused: {self.refusal}"


@dataclass(frozen=True)
class BackendRequest:
    """A request as it is sent to a back end."""

    address: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class BackendResponse(ABC):
    """A response whose status and headers have been received; the body is read in chunks."""

    status: int
    headers: list[tuple[bytes, bytes]]

    @abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise `AttemptFailed` when it ends too early."""

    @abstractmethod
    async def aclose(self) -> None:
        """Release the connection, or close it when the body was not read to its end."""


class BackendClient(ABC):
    """Sends requests to back ends."""

    @abstractmethod
    async def send(self, request: BackendRequest, time_left: float) -> BackendResponse:
        """Send a request and wait for the status and headers of the response.

        Parameters
        ----------
        time_left
            Seconds until the request's deadline.

        Raises
        ------
        AttemptFailed, AttemptRefused
            There is no response to return to the caller.
        """

    @abstractmethod
    async def retain(self, addresses: set[str]) -> None:
        """Close the connections to back ends that are no longer configured."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""
