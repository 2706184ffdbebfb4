"""Headers between callers, nodes and upstreams (PROTOCOL.md, "Requests" to "Upstreams")."""

from __future__ import annotations

import re

from limedeck.forwarding.protocol import CallerProtocol, Headers, LoadReport, ResponseMetadata
from limedeck.identity import Seconds

REQUEST_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
EXPECTED_INSTANCE = b"x-expect-instance"
KEY = b"x-shard-key"
NOT_RUN = b"x-not-executed"
LOAD = b"x-upstream-load"
SIGNATURE = b"x-upstream-signature"
LIMIT = b"server-limit"
LIMIT_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
"""A decimal number; longer ones cannot be request rates."""
LEAVING = b"server-leaving"
LEAVING_TRUE = b"1"
STORE_ERA = b"store-era"
MISDIRECTED = 421
MIN_UNSIGNED_STATUS = 300
USUAL_SLOWDOWN_PERCENT = 100.0
MIN_LOAD_FIELDS = 3
KEY_COUNT = 65_536
MS_PER_SECOND = 1000.0


class PlatformProtocol(CallerProtocol):
    """The platform's headers."""

    key_positions = KEY_COUNT
    reserved_headers = frozenset({DEADLINE, EXPECTED_INSTANCE})
    not_run_statuses = frozenset({408, MISDIRECTED, 429, 503})

    def request_id(self, headers: dict[bytes, bytes]) -> bytes | None:
        return headers.get(REQUEST_ID)

    def time_left(self, headers: dict[bytes, bytes]) -> Seconds | None:
        value = _number(headers.get(DEADLINE))
        return None if value is None else value / MS_PER_SECOND

    def key_position(self, headers: dict[bytes, bytes]) -> int | None:
        value = _number(headers.get(KEY))
        return int(value) if value is not None and value < KEY_COUNT else None

    def attempt_headers(self, instance: str, time_left: Seconds) -> Headers:
        left = max(int(time_left * MS_PER_SECOND), 1)
        return [(DEADLINE, b"%d" % left), (EXPECTED_INSTANCE, instance.encode())]

    def response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        found = dict(headers)
        load = _load(found.get(LOAD))
        limits = {value.strip() for name, value in headers if name == LIMIT}
        limit = _limit(limits)
        return ResponseMetadata(
            request_id=found.get(REQUEST_ID),
            not_run=NOT_RUN in found,
            wrong_instance=status == MISDIRECTED,
            load=load,
            is_from_backend=status >= MIN_UNSIGNED_STATUS or SIGNATURE in found,
            unreadable_load=load is None and LOAD in found,
            limit=limit,
            unreadable_limit=limit is None and bool(limits),
            leaving=announces_leaving(found),
        )

    def names_request(self, request_id: bytes, headers: Headers) -> bool:
        return {value for name, value in headers if name == REQUEST_ID} == {request_id}

    def retry_after(self, seconds: Seconds) -> tuple[bytes, bytes]:
        return (b"retry-after", b"%.2f" % seconds)


def announces_leaving(headers: dict[bytes, bytes]) -> bool:
    """Whether a response announces that its upstream is leaving."""
    return headers.get(LEAVING, b"").strip() == LEAVING_TRUE


def _number(value: bytes | None) -> float | None:
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    return number if number is not None and 0 <= number < float("inf") else None


def _limit(values: set[bytes]) -> float | None:
    """Return the limit if all headers state the same valid one, otherwise None."""
    if len(values) != 1:
        return None
    (value,) = values
    return float(value) if LIMIT_PATTERN.fullmatch(value) else None


def _load(value: bytes | None) -> LoadReport | None:
    if value is None:
        return None
    parts = [_number(part) for part in value.split(b",")]
    if len(parts) < MIN_LOAD_FIELDS:
        return None
    running, waiting, slots = parts[:MIN_LOAD_FIELDS]
    if running is None or waiting is None or slots is None:
        return None
    slowdown = parts[MIN_LOAD_FIELDS] if len(parts) > MIN_LOAD_FIELDS else None
    # The first fields count even if a later one cannot be parsed.
    return LoadReport(
        int(running),
        int(waiting),
        int(slots),
        (slowdown or USUAL_SLOWDOWN_PERCENT) / USUAL_SLOWDOWN_PERCENT,
    )
