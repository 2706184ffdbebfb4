"""Which requests are recognised as the same although their ids differ."""

from __future__ import annotations

import dataclasses

import pytest

from limedeck.forwarding import request_content

REQUEST = request_content.RequestContent(b"POST", "h.example", b"/a/b?c=1", "127.0.0.9", b"body")


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
def test_a_request_that_differs_in_any_part_has_another_fingerprint(
    other: request_content.RequestContent,
) -> None:
    assert other.fingerprint != REQUEST.fingerprint


def test_the_same_request_has_the_same_fingerprint() -> None:
    again = dataclasses.replace(REQUEST, _fingerprints=None)
    assert again.fingerprint == REQUEST.fingerprint
    assert request_content.format_fingerprint(7) == "0000000000000007"


def test_requests_for_the_same_share_the_wider_fingerprints() -> None:
    """Whichever part crashes back ends, just the requests that have it share a fingerprint."""
    other_caller = dataclasses.replace(REQUEST, caller="127.0.0.8", _fingerprints=None).fingerprints
    other_body = dataclasses.replace(REQUEST, body=b"other", _fingerprints=None).fingerprints
    other_key = dataclasses.replace(REQUEST, position=7, _fingerprints=None).fingerprints
    fingerprints = REQUEST.fingerprints
    assert (other_caller.target, other_caller.content) == (
        fingerprints.target,
        fingerprints.content,
    )
    assert other_caller.caller != fingerprints.caller
    for other in (other_body, other_key):
        assert other.target == fingerprints.target
        assert other.content != fingerprints.content
    assert len(set(fingerprints.from_narrowest)) == 3


def test_parts_that_are_divided_elsewhere_have_other_fingerprints() -> None:
    one = request_content.RequestContent(b"GET", "h", b"/a", "1", b"", 12)
    other = request_content.RequestContent(b"GET", "h", b"/a", "1", b"2", 1)
    assert one.fingerprints.content != other.fingerprints.content
