"""Back-off periods that back ends have requested from this node with Retry-After.

A back end that rejects a request with Retry-After asks to receive no requests from this node until
that time. A later response with an earlier end does not shorten the period. After it, the back end
may still be unavailable, so the record is kept until a request has been served: until then, few
requests may be sent concurrently.
"""

from __future__ import annotations

from collections.abc import Container, Iterator
from dataclasses import dataclass

from limedeck.forwarding import hashing
from limedeck.identity import Seconds

MAX_BACKOFF: Seconds = 300.0
"""Caps the requested period, so that a back end can be retried at least this often."""
RETRY_SPREAD: Seconds = 0.3
"""Interval over which nodes spread their return after a back-off period."""
EXPIRY_DELAY: Seconds = 60.0
"""A finished back-off that no served request has confirmed is dropped after this time."""


@dataclass(frozen=True, slots=True)
class Backoff:
    """The back-off period of one back end, on this node's clock.

    Parameters
    ----------
    requested
        Seconds requested by the response that set this period.
    received_at
        When that response arrived.
    ends_at
        End of the period, after the cap.
    resume_at
        When this node may send requests again: `ends_at` plus its offset within `RETRY_SPREAD`.
    """

    requested: Seconds
    received_at: Seconds
    ends_at: Seconds
    resume_at: Seconds


@dataclass(frozen=True, slots=True)
class BackoffStarted:
    """Event for logs: a back-off period started or was extended."""

    backend_id: str
    backoff: Backoff


@dataclass(frozen=True, slots=True)
class BackoffEnded:
    """Event for logs: a back end served a request after its back-off period."""

    backend_id: str


class BackoffLedger:
    """Back-off periods that back ends have requested from this node.

    Parameters
    ----------
    node_id
        Determines this node's offset within `RETRY_SPREAD`.

    Attributes
    ----------
    events
        Events since the host last emptied this list, for its log.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._backoffs: dict[str, Backoff] = {}
        self.events: list[BackoffStarted | BackoffEnded] = []

    def record(self, backend_id: str, seconds: Seconds, now: Seconds) -> None:
        """Record the back-off requested by a response that arrived now."""
        known = self._backoffs.get(backend_id)
        ends_at = now + min(seconds, MAX_BACKOFF)
        if seconds <= 0.0 or (known is not None and ends_at <= known.ends_at):
            return
        fraction = hashing.hash_fraction(f"{self._node_id} {backend_id}".encode())
        backoff = Backoff(seconds, now, ends_at, ends_at + RETRY_SPREAD * fraction)
        self._backoffs[backend_id] = backoff
        self.events.append(BackoffStarted(backend_id, backoff))

    def record_served(self, backend_id: str, requested_at: Seconds) -> None:
        """End the back-off if the served request was sent after it."""
        known = self._backoffs.get(backend_id)
        if known is not None and requested_at >= known.resume_at:
            del self._backoffs[backend_id]
            self.events.append(BackoffEnded(backend_id))

    def find(self, backend_id: str) -> Backoff | None:
        """Return a back end's back-off, including one that is over but not yet confirmed."""
        return self._backoffs.get(backend_id)

    def active(self, now: Seconds) -> Iterator[tuple[str, Backoff]]:
        """Yield the back-offs whose period has not ended, by back end."""
        for backend_id, backoff in self._backoffs.items():
            if now < backoff.ends_at:
                yield backend_id, backoff

    def forget(self, backend_id: str) -> None:
        """Drop the back-off of a back end whose incarnation has ended."""
        self._backoffs.pop(backend_id, None)

    def drop_expired(self, listed: Container[str], now: Seconds) -> None:
        """Drop finished back-offs that have expired or whose back end is not listed."""
        for backend_id, backoff in list(self._backoffs.items()):
            is_over = now >= backoff.resume_at
            is_expired = now >= backoff.resume_at + EXPIRY_DELAY
            if is_over and (backend_id not in listed or is_expired):
                del self._backoffs[backend_id]
