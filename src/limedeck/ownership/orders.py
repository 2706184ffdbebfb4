"""Orders that a leader sends to back ends, and the protocol by which an adapter encodes them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from limedeck.forwarding.protocol import Headers
from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class Grant:
    """Order that lets a back end run requests for these keys for a time from the order's arrival.

    Parameters
    ----------
    first, last
        First and last key position, both inclusive.
    fence
        Fencing token; a back end refuses one below the highest it has seen for any of the keys.
    duration
        Time for which the grant is valid.
    handover
        Token from the response to the former owner's release; empty if there is none.
    """

    backend_id: str
    first: int
    last: int
    fence: int
    duration: Seconds
    handover: str = ""


@dataclass(frozen=True, slots=True)
class Release:
    """Order to start no more requests for these keys, and to respond when all have ended."""

    backend_id: str
    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Order encoded as an HTTP request (POST)."""

    path: bytes
    headers: Headers
    body: bytes


class OrderProtocol(ABC):
    """Encodes orders, and interprets the responses to them."""

    @abstractmethod
    def grant(self, order: Grant, instance: str) -> OrderRequest:
        """Encode a grant for the back end with this instance name."""

    @abstractmethod
    def release(self, order: Release, instance: str) -> OrderRequest:
        """Encode a release for the back end with this instance name."""

    @abstractmethod
    def is_done(self, status: int) -> bool:
        """Whether the order was carried out."""

    @abstractmethod
    def is_fenced_off(self, status: int) -> bool:
        """Whether the order was refused because of a higher fence."""

    @abstractmethod
    def is_leaving(self, headers: Headers) -> bool:
        """Whether the response announces that the back end is leaving."""

    @abstractmethod
    def is_release_response(self, status: int, headers: Headers) -> bool:
        """Whether a response can only be that to a release, not that to a grant."""

    @abstractmethod
    def handover(self, headers: Headers) -> str:
        """Return the token for the next owner of released keys; empty if there is none."""
