"""What a node believes of the limits that back ends in need have named.

A back end that can bear less than usual names, in its answers, how many requests a second it takes
from all nodes together. It holds for as long as its answers say so: one that names none lifts it.

A limit is believed until an answer changes it or the back end's life ends, however old it is. No
time ends it: after that time all nodes would send at once what the back end could not bear. It
costs callers little if it was lifted long ago unheard, since the first request shows that.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding import statements
from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What one answer told, on the clock of whoever holds this.

    The back end said it at some time between the two.

    Parameters
    ----------
    rate
        Requests a second that it takes from all nodes together; None: it names no limit.
    requested_at
        When the request was sent to it.
    received_at
        When its answer came.
    """

    rate: float | None
    requested_at: Seconds
    received_at: Seconds

    @property
    def is_default(self) -> bool:
        """Whether the statement names no limit."""
        return self.rate is None

    def is_equivalent(self, known: LimitStatement) -> bool:
        """Whether both name the same limit, or both name none."""
        return self.rate == known.rate

    def replaces(self, known: LimitStatement) -> bool:
        """Whether this is to be believed rather than what is known.

        Of two that may have been said in either order the stricter one is: an answer that was on
        its way for long must not bring a former limit back, or lift one that was named meanwhile.
        A request that is sent after the last word of the old limit came brings the new one.
        """
        if self.requested_at >= known.received_at:
            return True
        if known.requested_at >= self.received_at:
            return False
        return _strictness(self.rate) <= _strictness(known.rate)


class LimitLedger(statements.StatementLedger[LimitStatement]):
    """One node's knowledge of limits, and the changes to send to other nodes."""

    def rate(self, backend_id: str) -> float | None:
        """Return how many requests a second a back end takes; None if it names no limit."""
        known = self.find(backend_id)
        return known.rate if known is not None else None

    def limited(self) -> dict[str, float]:
        """Return all limits that are in force, by back end."""
        return {
            backend_id: statement.rate
            for backend_id, statement in self.all_statements()
            if statement.rate is not None
        }


def _strictness(rate: float | None) -> float:
    return float("inf") if rate is None else rate
