"""Request-rate limits that back ends have stated in responses.

A back end that can process fewer requests than usual states in its responses how many requests a
second it takes from all nodes together. The limit applies until a response that states none.

A limit is kept until a response changes it or the back end's incarnation ends, however old it is.
It does not expire: all nodes would then send at once more than the back end can process. If this
node missed that the limit was lifted, this costs callers little, since the response to the first
request shows it.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding import statements
from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """The limit that one response stated, with times on the local clock.

    The back end stated it at some time between the two times.

    Parameters
    ----------
    rate
        Requests a second that it takes from all nodes together; None if it states no limit.
    requested_at
        When the request was sent.
    received_at
        When the response arrived.
    """

    rate: float | None
    requested_at: Seconds
    received_at: Seconds

    @property
    def is_default(self) -> bool:
        """Whether no limit is stated."""
        return self.rate is None

    def is_equivalent(self, known: LimitStatement) -> bool:
        """Whether both state the same limit, or both state none."""
        return self.rate == known.rate

    def replaces(self, known: LimitStatement) -> bool:
        """Whether this statement supersedes the known one.

        Of two statements that may have been made in either order, the stricter one applies: a
        delayed response must not restore a former limit, or lift one that was stated meanwhile. A
        request that is sent after the last response with the old limit arrived yields the new one.
        """
        if self.requested_at >= known.received_at:
            return True
        if known.requested_at >= self.received_at:
            return False
        return _strictness(self.rate) <= _strictness(known.rate)


class LimitLedger(statements.StatementLedger[LimitStatement]):
    """One node's knowledge of limits, and the changes to send to other nodes."""

    def rate(self, backend_id: str) -> float | None:
        """Return how many requests a second a back end takes; None if it states no limit."""
        known = self.find(backend_id)
        return known.rate if known is not None else None

    def limited(self) -> dict[str, float]:
        """Return all limits in effect, by back end."""
        return {
            backend_id: statement.rate
            for backend_id, statement in self.all_statements()
            if statement.rate is not None
        }


def _strictness(rate: float | None) -> float:
    return float("inf") if rate is None else rate
