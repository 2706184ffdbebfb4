"""Headers about the length of a response that is forwarded."""

from __future__ import annotations

import pytest

from limedeck.forwarding.protocol import Headers
from limedeck.http_client import HttpResponse
from limedeck.node import http_messages

LENGTH = [(b"content-length", b"17")]


@pytest.mark.parametrize(
    ("method", "status", "headers", "body", "expected"),
    [
        (b"GET", 200, LENGTH, bytes(17), LENGTH),
        (b"GET", 200, [], bytes(17), LENGTH),
        (b"GET", 204, [], b"", []),
        (b"GET", 304, LENGTH, b"", []),
        (b"HEAD", 200, LENGTH, b"", LENGTH),
        (b"HEAD", 200, [(b"transfer-encoding", b"chunked")], b"", []),
    ],
)
def test_forwarded_response_states_no_length_that_is_not_the_back_ends(
    method: bytes, status: int, headers: Headers, body: bytes, expected: Headers
) -> None:
    response = HttpResponse(status, headers, body)
    assert http_messages.length_headers(method, response) == expected
