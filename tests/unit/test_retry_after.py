"""Parsing of Retry-After and Server-Leaving in the responses of back ends."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limedeck import errors, retry_after
from limedeck.platform.grants import PlatformOrders
from limedeck.platform.headers import PlatformProtocol

DATE = b"Thu, 03 Dec 2026 10:00:00 GMT"
LATER = b"Thu, 03 Dec 2026 10:00:03 GMT"


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([b"3"], 3.0),
        ([b" 0.25 "], 0.25),
        ([b"0"], 0.0),
        ([b"31536000"], 31536000.0),
        ([LATER], 3.0),
        ([b"Thu, 03 Dec 2026 09:00:00 GMT"], 0.0),
        ([b"2", b"4"], 4.0),
        ([b"soon", b"4"], 4.0),
    ],
)
def test_seconds_and_dates_are_read(values: list[bytes], seconds: float) -> None:
    assert retry_after.read(values, DATE) == seconds


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"soon", b"1e3", b"nan", b"inf", b"9" * 10_000, b"\xff", b"3 s"]
)
def test_invalid_values_are_rejected(value: bytes) -> None:
    with pytest.raises(errors.UnreadableRetryAfter):
        retry_after.read([value], DATE)
    with pytest.raises(errors.UnreadableRetryAfter):
        retry_after.requested_backoff(503, [(b"retry-after", value)])


@given(st.lists(st.binary(max_size=80), min_size=1, max_size=3), st.binary(max_size=40) | st.none())
def test_arbitrary_bytes_yield_a_finite_delay_or_an_error(
    values: list[bytes], date: bytes | None
) -> None:
    try:
        seconds = retry_after.read(values, date)
    except errors.UnreadableRetryAfter:
        return
    assert seconds >= 0.0 and math.isfinite(seconds)


@pytest.mark.parametrize(
    ("status", "delay"), [(503, 3.0), (429, 3.0), (200, None), (500, None), (421, None)]
)
def test_retry_after_is_read_only_for_503_and_429(status: int, delay: float | None) -> None:
    assert retry_after.requested_backoff(status, [(b"retry-after", b"3")]) == delay


def test_response_without_the_header_requests_no_backoff() -> None:
    assert retry_after.requested_backoff(503, [(b"date", DATE)]) is None


def test_http_date_counts_from_the_date_of_the_response() -> None:
    headers = [(b"date", DATE), (b"retry-after", LATER)]
    assert retry_after.requested_backoff(503, headers) == 3.0


@pytest.mark.parametrize(
    ("headers", "leaving"),
    [
        ([(b"server-leaving", b"1")], True),
        ([(b"server-leaving", b" 1 ")], True),
        ([(b"server-leaving", b"0")], False),
        ([(b"server-leaving", b"")], False),
        ([(b"connection", b"close")], False),
        ([], False),
    ],
)
def test_server_leaving_is_read(headers: list[tuple[bytes, bytes]], leaving: bool) -> None:
    assert PlatformProtocol().response_metadata(200, headers).leaving is leaving
    assert PlatformOrders().is_leaving(headers) is leaving
