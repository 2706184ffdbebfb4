"""Requests to back ends: one narrow interface, with one adapter a file."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from limedeck.errors import BackendError

LONGEST_CONNECT = 1.0
KEEPALIVE_SECONDS = 2.0
"""An idle connection is dropped well before a back end would drop it."""
REFUSAL_HEADER = "limedeck-refusal"
NOT_OWNER = "not-owner"


@dataclass
class AttemptRefused(BackendError):
    """The back end said that it does not run the request.

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
    """A request as a back end gets it."""

    address: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class BackendAnswer(ABC):
    """An answer whose head has come; its body comes in parts."""

    status: int
    headers: list[tuple[bytes, bytes]]

    @abstractmethod
    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise `AttemptFailed` when it ends too early."""

    @abstractmethod
    async def aclose(self) -> None:
        """Give the connection back, or drop it when the body was not read to its end."""


class BackendClient(ABC):
    """Sends requests to back ends."""

    @abstractmethod
    async def send(self, request: BackendRequest, time_left: float) -> BackendAnswer:
        """Send a request and wait for the head of its answer.

        Parameters
        ----------
        time_left
            Seconds until the request's deadline.

        Raises
        ------
        AttemptFailed, AttemptRefused
            There is no answer to pass on.
        """

    @abstractmethod
    async def forget_except(self, addresses: set[str]) -> None:
        """Close the connections to back ends that are configured no more."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""
