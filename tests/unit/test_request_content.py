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
    again = dataclasses.replace(ASKED, _fingerprint=None)
    assert again.fingerprint == ASKED.fingerprint
    assert content.shown(7) == "0000000000000007"
