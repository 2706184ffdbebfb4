"""Fencing tokens as integers: those of a later leader are above all of earlier ones."""

from __future__ import annotations

from limedeck.errors import InvariantViolation

SEQUENCE_BITS = 24
"""Bits for the fences of one term; together with the term, a fence stays below 2**53, so that JSON
readers keep it exact."""


class FenceCounter:
    """Issues the fences of one term.

    Parameters
    ----------
    term
        Term of the leader.
    """

    def __init__(self, term: int) -> None:
        self.term = term
        self._sequence = 0

    def next(self) -> int:
        """Return a fence above all that were issued before."""
        self._sequence += 1
        if self._sequence >= 1 << SEQUENCE_BITS:
            raise InvariantViolation("fences-suffice", f"all fences of term {self.term} are used")
        return self.term << SEQUENCE_BITS | self._sequence
