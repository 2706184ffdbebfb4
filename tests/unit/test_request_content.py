"""Which requests are the same although their ids differ."""

from __future__ import annotations

import dataclasses

import pytest

from limedeck.forwarding import request_content

ASKED = request_content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9", b"body")


@pytest.mark.parametrize(
    "other",
    [
        request_content.RequestContent(b"PUT", "h.example", b"/a/b?c=1", "127.0.0.9", b"body"),
        request_content.RequestContent(b"POST", "g.example", b"/a/b?c=1", "127.0.0.9", b"body"),
        request_content.RequestContent(b"POST", "h.example", b"/a/b", "127.0.0.9", b"body"),
        request_content.RequestContent(b"POST", "h.example", b"/a/b?c=2", "127.0.0.9", b"body"),
        request_content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.8", b"body"),
        request_content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9", b""),
        request_content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9", b"body "),
        request_content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9b", b"ody"),
    ],
)
def test_a_request_that_differs_anywhere_is_another_one(
    other: request_content.RequestContent,
) -> None:
    assert other.fingerprint != ASKED.fingerprint


def test_the_same_request_is_known_again() -> None:
    again = dataclasses.replace(ASKED, _fingerprints=None)
    assert again.fingerprint == ASKED.fingerprint
    assert request_content.format_fingerprint(7) == "0000000000000007"


def test_who_asks_for_the_same_shares_the_wider_signs() -> None:
    """Whatever of a request ends back ends, one of its signs is shared by just those that do."""
    other_caller = dataclasses.replace(ASKED, caller="127.0.0.8", _fingerprints=None).fingerprints
    other_body = dataclasses.replace(ASKED, body=b"other", _fingerprints=None).fingerprints
    other_key = dataclasses.replace(ASKED, position=7, _fingerprints=None).fingerprints
    fingerprints = ASKED.fingerprints
    assert (other_caller.target, other_caller.content) == (
        fingerprints.target,
        fingerprints.content,
    )
    assert other_caller.caller != fingerprints.caller
    for other in (other_body, other_key):
        assert other.target == fingerprints.target
        assert other.content != fingerprints.content
    assert len(set(fingerprints.from_narrowest)) == 3


def test_parts_that_are_cut_elsewhere_are_other_requests() -> None:
    one = request_content.RequestContent(b"GET", "h", b"/a", "1", b"", 12)
    other = request_content.RequestContent(b"GET", "h", b"/a", "1", b"2", 1)
    assert one.fingerprints.content != other.fingerprints.content
