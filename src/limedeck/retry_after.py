"""Parses Retry-After (RFC 9110, section 10.2.3), and accepts fractions of a second as well."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from limedeck.errors import UnreadableRetryAfter
from limedeck.identity import Seconds

SECONDS_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
RETRY_AFTER = b"retry-after"
DATE = b"date"
BACKOFF_STATUSES = frozenset({429, 503})
"""Statuses with which Retry-After requests a back-off."""
MAX_VALUE_BYTES = 64
"""Longer values are rejected before they are parsed; valid numbers and dates are shorter."""


def requested_backoff(status: int, headers: Iterable[tuple[bytes, bytes]]) -> Seconds | None:
    """Return the back-off that a response requests, in seconds; None if it requests none.

    Parameters
    ----------
    headers
        Headers of the response, with names in lower case.

    Raises
    ------
    UnreadableRetryAfter
        No value of the header is a number of seconds or an HTTP date.
    """
    fields = list(headers)
    values = [value for name, value in fields if name == RETRY_AFTER]
    if status not in BACKOFF_STATUSES or not values:
        return None
    return read(values, dict(fields).get(DATE))


def read(values: Iterable[bytes], date: bytes | None = None) -> Seconds:
    """Return the delay in seconds from the response; the longest one of several valid values.

    Parameters
    ----------
    values
        All values of the header.
    date
        Date header of the response, the reference for HTTP dates; the local time if None.

    Raises
    ------
    UnreadableRetryAfter
        None of the values is a number of seconds or an HTTP date.
    """
    delays: list[Seconds] = []
    problem = "no value"
    for value in values:
        try:
            delays.append(_delay(value.strip(), date))
        except UnreadableRetryAfter as exc:
            problem = exc.problem
    if not delays:
        raise UnreadableRetryAfter(problem)
    return max(delays)


def _delay(value: bytes, date: bytes | None) -> Seconds:
    if len(value) > MAX_VALUE_BYTES:
        raise UnreadableRetryAfter(f"{len(value)} bytes, above {MAX_VALUE_BYTES}")
    if SECONDS_PATTERN.fullmatch(value):
        return float(value)
    delay = _parse_date(value) - (_parse_date(date) if date is not None else datetime.now(UTC))
    return max(delay.total_seconds(), 0.0)


def _parse_date(value: bytes) -> datetime:
    try:
        parsed = parsedate_to_datetime(value.decode("ascii"))
    except (ValueError, UnicodeDecodeError) as exc:
        raise UnreadableRetryAfter(repr(value)) from exc
    return parsed if parsed.tzinfo is not None else parsed.replace(tzinfo=UTC)
