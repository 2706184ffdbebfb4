"""Headers that callers and back ends use, and the interface of the adapter that handles them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a back end reports in a response.

    Parameters
    ----------
    running, waiting
        Requests in progress, and requests in its queue.
    slots
        Requests that it runs at once.
    slowdown
        Its present service time as a multiple of the usual one; others use its machine too.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of a back end's response says besides its status.

    Parameters
    ----------
    request_id
        The request that it responds to, if stated.
    not_run
        The response states that the back end did not run the request, and will not. No status says
        so by itself.
    wrong_instance
        The address belongs to another back end now, or the key to another owner.
    load
        The back end's load, if stated.
    unreadable_load
        The response states a load that cannot be read.
    limit
        Requests per second that the back end takes from all nodes together; None if it states no
        limit, or one that cannot be read.
    unreadable_limit
        The response states a limit that cannot be read, which changes nothing.
    leaving
        The back end is leaving and accepts no requests that are sent later.
    is_from_backend
        The response came from a back end; a successful one that did not must not be passed on.
    """

    request_id: bytes | None
    not_run: bool
    wrong_instance: bool
    load: LoadReport | None
    is_from_backend: bool
    unreadable_load: bool = False
    limit: float | None = None
    unreadable_limit: bool = False
    leaving: bool = False


Headers = list[tuple[bytes, bytes]]
"""Raw header names in lower case, and values."""


class CallerProtocol(ABC):
    """Reads and writes the headers that carry a request's id, deadline, key and back end."""

    key_positions: int
    """Keys are numbers from 0 up to this one, which is excluded."""
    reserved_headers: frozenset[bytes]
    """Headers that a node itself sets towards a back end."""
    not_run_statuses: frozenset[int]
    """Statuses by which callers learn that their request did not run."""

    @abstractmethod
    def request_id(self, headers: dict[bytes, bytes]) -> bytes | None:
        """Read a request's id."""

    @abstractmethod
    def time_left(self, headers: dict[bytes, bytes]) -> Seconds | None:
        """Read how long the caller will wait."""

    @abstractmethod
    def key_position(self, headers: dict[bytes, bytes]) -> int | None:
        """Read the position of a request's key; None if there is none or it is invalid."""

    @abstractmethod
    def attempt_headers(self, instance: str, time_left: Seconds) -> Headers:
        """Write the headers that a node adds towards a back end."""

    @abstractmethod
    def response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        """Read the head of a back end's response."""

    @abstractmethod
    def names_request(self, request_id: bytes, headers: Headers) -> bool:
        """Whether a response names this request; one that names none may belong to another."""

    @abstractmethod
    def retry_after(self, seconds: Seconds) -> tuple[bytes, bytes]:
        """Write the header that tells a caller when to retry."""
