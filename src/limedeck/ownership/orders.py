"""Orders that a leader sends to back ends, and how an adapter writes them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from limedeck.forwarding.protocol import Headers
from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class Grant:
    """A back end may run requests for these keys for a while from the order's arrival.

    Parameters
    ----------
    first, last
        Positions of keys, both inside.
    fence
        A back end refuses a fence below the highest it has seen for one of the keys.
    duration
        In seconds.
    handover
        Token from the former owner's release, or empty.
    """

    backend_id: str
    first: int
    last: int
    fence: int
    duration: Seconds
    handover: str = ""


@dataclass(frozen=True, slots=True)
class Release:
    """A back end must begin no more requests for these keys, and answer when all have ended."""

    backend_id: str
    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """An order as an HTTP request (POST)."""

    path: bytes
    headers: Headers
    body: bytes


class OrderProtocol(ABC):
    """Writes orders, and reads the answers to them."""

    @abstractmethod
    def grant(self, order: Grant, instance: str) -> OrderRequest:
        """Write a grant to the back end that has this name."""

    @abstractmethod
    def release(self, order: Release, instance: str) -> OrderRequest:
        """Write a release to the back end that has this name."""

    @abstractmethod
    def is_done(self, status: int) -> bool:
        """Whether the order was carried out."""

    @abstractmethod
    def is_fenced_off(self, status: int) -> bool:
        """Whether the order was refused because of a higher fence."""

    @abstractmethod
    def is_leaving(self, headers: Headers) -> bool:
        """Whether the answer announces that the back end is leaving."""

    @abstractmethod
    def handover(self, headers: Headers) -> str:
        """Read the token that the next owner of released keys is to be given, or empty."""
