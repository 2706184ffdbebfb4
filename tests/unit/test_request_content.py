"""Which requests are the same although their ids differ."""

from __future__ import annotations

import dataclasses

import pytest

from limedeck.forwarding import content

ASKED = content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9", b"body")


@pytest.mark.parametrize(
    "other",
    [
        content.RequestContent(b"PUT", "h.example", b"/a/b?c=1", "127.0.0.9", b"body"),
        content.RequestContent(b"POST", "g.example", b"/a/b?c=1", "127.0.0.9", b"body"),
        content.RequestContent(b"POST", "h.example", b"/a/b", "127.0.0.9", b"body"),
        content.RequestContent(b"POST", "h.example", b"/a/b?c=2", "127.0.0.9", b"body"),
        content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.8", b"body"),
        content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9", b""),
        content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9", b"body "),
        content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9b", b"ody"),
    ],
)
def test_a_request_that_differs_anywhere_is_another_one(other: content.RequestContent) -> None:
    assert other.fingerprint != ASKED.fingerprint


def test_the_same_request_is_known_again() -> None:
    again = dataclasses.replace(ASKED, _signs=None)
    assert again.fingerprint == ASKED.fingerprint
    assert content.shown(7) == "0000000000000007"


def test_who_asks_for_the_same_shares_the_wider_signs() -> None:
    """Whatever of a request ends back ends, one of its signs is shared by just those that do."""
    other_caller = dataclasses.replace(ASKED, caller="127.0.0.8", _signs=None).signs
    other_body = dataclasses.replace(ASKED, body=b"other", _signs=None).signs
    other_key = dataclasses.replace(ASKED, position=7, _signs=None).signs
    signs = ASKED.signs
    assert (other_caller.target, other_caller.content) == (signs.target, signs.content)
    assert other_caller.caller != signs.caller
    for other in (other_body, other_key):
        assert other.target == signs.target
        assert other.content != signs.content
    assert len(set(signs.narrowest_first)) == 3


def test_parts_that_are_cut_elsewhere_are_other_requests() -> None:
    one = content.RequestContent(b"GET", "h", b"/a", "1", b"", 12)
    other = content.RequestContent(b"GET", "h", b"/a", "1", b"2", 1)
    assert one.signs.content != other.signs.content
