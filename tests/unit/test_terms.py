"""Terms and fences over eras of the store."""

from __future__ import annotations

import pytest

from limedeck import versions
from limedeck.errors import InvariantViolation
from limedeck.ownership import fences, terms

MAX_EXACT_JSON_INTEGER = 2**53 - 1


def test_a_term_is_not_given_out_twice_if_the_elections_of_an_era_are_lost() -> None:
    lost = terms.next_term(terms.next_term(7, 1), 1)
    after_the_return = terms.next_term(7, 2)
    assert after_the_return > lost
    assert fences.FenceCounter(after_the_return).next() > fences.FenceCounter(lost).next()


def test_terms_without_eras_are_counted_as_before() -> None:
    assert [terms.next_term(term, 0) for term in (0, 1, 41)] == [1, 2, 42]


def test_fences_of_a_site_that_did_not_know_eras_are_below_those_of_its_first_era() -> None:
    known = fences.FenceCounter(5_000)
    assert fences.FenceCounter(terms.next_term(5_000, 1)).next() > known.next()


def test_the_highest_fence_is_exact_for_json_readers() -> None:
    term = (versions.MAX_ERA + 1 << terms.NUMBER_BITS) - 1
    assert term << fences.SEQUENCE_BITS | (1 << fences.SEQUENCE_BITS) - 1 <= MAX_EXACT_JSON_INTEGER


def test_terms_of_one_era_do_not_run_into_the_next() -> None:
    with pytest.raises(InvariantViolation):
        terms.next_term((4 << terms.NUMBER_BITS) - 1, 3)
