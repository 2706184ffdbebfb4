"""Fences as whole numbers: a later leader's are above every earlier one's."""

from __future__ import annotations

from limedeck.errors import InvariantViolation

SEQUENCE_BITS = 24
"""Orders of one term; with the term, a fence stays below 2**53 and exact in JSON."""


class FenceCounter:
    """Counts the fences of one term.

    Parameters
    ----------
    term
        Of the leader.
    """

    def __init__(self, term: int) -> None:
        self.term = term
        self._sequence = 0

    def next(self) -> int:
        """Return a fence above all earlier ones."""
        self._sequence += 1
        if self._sequence >= 1 << SEQUENCE_BITS:
            raise InvariantViolation("fences-suffice", f"term {self.term}")
        return self.term << SEQUENCE_BITS | self._sequence
