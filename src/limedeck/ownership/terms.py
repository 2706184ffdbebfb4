"""Terms of leaders: the era of the store in which a leader was elected, then a number.

The record of an election may be lost when the store returns from a copy. The era in the term keeps
a later leader from getting the same term again, even if no node is left that knows the lost one.
"""

from __future__ import annotations

from limedeck import versions
from limedeck.errors import InvariantViolation

NUMBER_BITS = 18
"""Bits for the number of a term: with an election every ten minutes in one era, they last five
years. Together with the era a term has 29 bits, and a fence 53."""

SPARE_TERMS = 1 << 10
"""Terms of its era that are left after any plausible one, so that others can follow it."""


def era_of(term: int) -> int:
    """Return the era of the store in which the leader of a term was elected."""
    return term >> NUMBER_BITS


def next_term(term: int, era: int) -> int:
    """Return the term of the next leader.

    Parameters
    ----------
    term
        Highest term that is known.
    era
        Era of the store in which the election takes place.

    Raises
    ------
    InvariantViolation
        The era, or the terms of this era, are used up.
    """
    following = max(term + 1, era << NUMBER_BITS | 1)
    if era > versions.MAX_ERA or era_of(following) > max(era, era_of(term)):
        raise InvariantViolation("terms-suffice", f"no term follows {term} in era {era}")
    return following


def is_plausible(term: int, era: int) -> bool:
    """Whether an election can have given this term while the store was in an era, or before."""
    return term > 0 and era_of(term + SPARE_TERMS) <= era
