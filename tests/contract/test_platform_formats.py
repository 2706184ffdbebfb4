"""Translation of the users' rows, headers and orders into limedeck's own types."""

from __future__ import annotations

import contextlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limedeck.errors import PlatformProtocolError
from limedeck.forwarding.protocol import LoadReport
from limedeck.model import Target
from limedeck.ownership.orders import Grant, Release
from limedeck.platform.grants import PlatformOrders
from limedeck.platform.headers import PlatformProtocol
from limedeck.platform.messages import read_backend, read_configuration

ROUTE = {
    "name": "r-1",
    "domain": "Host.Example",
    "path_prefix": "/a/",
    "route_type": "unsafe",
    "timeout_s": 0.8,
    "target_latency_s": 0.25,
    "priority": 1,
    "max_attempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {**ROUTE, "backend": "s"},
        {
            **ROUTE,
            "route_type": "safe",
            "traffic_split": [{"backend": "s", "weight": 90}, {"backend": "t", "weight": 10}],
        },
    ],
    "backends": [
        {"name": "s", "health_check": "/h", "max_connections": 130, "sharded": True, "warm_s": 2.0},
        {"name": "t", "health_check": "/h", "max_connections": 50, "unknown": [1]},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}
SERVER = {
    "address": "10.1.2.3:80",
    "info": {"backend": "s", "version": "v1", "zone": "z", "slots": 2},
    "status": {"state": "draining", "sequence": 4, "warmup_s_time": 1.5},
}


def test_read_configuration() -> None:
    found = read_configuration(json.dumps(CONFIGURATION).encode())
    assert found.version == 7
    first, second = found.routes
    assert (first.host, first.repeatable, first.timeout, first.objective) == (
        "host.example",
        False,
        0.8,
        0.25,
    )
    assert first.targets == (Target("s", 1.0),)
    assert second.repeatable and second.targets == (Target("s", 90), Target("t", 10))
    assert found.services["s"].keyed and not found.services["t"].keyed
    assert found.limits.body_bytes == 1000


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b'{"version": "seven"}',
        json.dumps({**CONFIGURATION, "routes": [{"name": "r"}]}).encode(),
        json.dumps({**CONFIGURATION, "backends": None}).encode(),
    ],
)
def test_an_invalid_configuration_raises_a_protocol_error(value: bytes) -> None:
    with pytest.raises(PlatformProtocolError):
        read_configuration(value)


def test_read_backend() -> None:
    found = read_backend("i-1", json.dumps(SERVER).encode())
    assert (found.backend_id, found.service, found.address, found.zone) == (
        "i-1",
        "s",
        "10.1.2.3:80",
        "z",
    )
    assert (found.slots, found.draining, found.warmup) == (2, True, 1.5)


def test_an_invalid_entry_raises_a_protocol_error() -> None:
    with pytest.raises(PlatformProtocolError):
        read_backend("i-1", b'{"address": 5}')


def test_a_restarted_back_end_gets_another_id() -> None:
    incarnations = [
        read_backend("i-1", json.dumps({**SERVER, "born": born}).encode()) for born in (17, 18)
    ]
    assert incarnations[0].backend_id != incarnations[1].backend_id
    assert {incarnation.name for incarnation in incarnations} == {"i-1"}


INVALID_SERVERS = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"{}",
    *(
        json.dumps(entry).encode()
        for entry in (
            {**SERVER, "address": "somewhere"},
            {**SERVER, "address": None},
            {**SERVER, "born": "17"},
            {**SERVER, "born": 17.5},
            {**SERVER, "born": True},
            {**SERVER, "info": {**SERVER["info"], "slots": 0}},  # type: ignore[dict-item]
            {**SERVER, "info": {**SERVER["info"], "slots": "2"}},  # type: ignore[dict-item]
            {**SERVER, "info": {**SERVER["info"], "zone": ""}},  # type: ignore[dict-item]
            {**SERVER, "info": {"backend": "s", "version": "v1", "zone": "z"}},
            {**SERVER, "status": {**SERVER["status"], "state": "resting"}},  # type: ignore[dict-item]
            {**SERVER, "status": {**SERVER["status"], "warmup_s_time": -1}},  # type: ignore[dict-item]
            {**SERVER, "status": {**SERVER["status"], "warmup_s_time": 1e9}},  # type: ignore[dict-item]
            {**SERVER, "status": {"state": "ready", "warmup_s_time": 0}},
        )
    ),
]


@pytest.mark.parametrize("value", INVALID_SERVERS)
def test_an_entry_with_a_missing_or_invalid_field_is_rejected(value: bytes) -> None:
    with pytest.raises(PlatformProtocolError):
        read_backend("i-1", value)


@given(
    st.one_of(
        st.binary(max_size=200),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["address", "info", "status", "born", "slots", "state", "zone"]
                    ),
                    inner,
                    max_size=5,
                )
            ),
            max_leaves=12,
        ).map(lambda found: json.dumps(found).encode()),
    )
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_an_arbitrary_entry_is_read_or_rejected(value: bytes) -> None:
    with contextlib.suppress(PlatformProtocolError):
        found = read_backend("i-1", value)
        assert found.slots > 0
        assert found.service and found.zone


@pytest.mark.parametrize(
    ("headers", "time_left", "position"),
    [
        ({b"x-deadline-ms": b"800", b"x-shard-key": b"0"}, 0.8, 0),
        ({b"x-deadline-ms": b"12.5", b"x-shard-key": b"65535"}, 0.0125, 65535),
        ({b"x-deadline-ms": b"soon", b"x-shard-key": b"65536"}, None, None),
        ({b"x-deadline-ms": b"-1", b"x-shard-key": b"-1"}, None, None),
        ({b"x-deadline-ms": b"inf", b"x-shard-key": b"nan"}, None, None),
        ({}, None, None),
    ],
)
def test_request_headers(
    headers: dict[bytes, bytes], time_left: float | None, position: int | None
) -> None:
    protocol = PlatformProtocol()
    assert protocol.time_left(headers) == time_left
    assert protocol.key_position(headers) == position


def test_attempt_headers_state_the_time_left_and_the_instance() -> None:
    added = dict(PlatformProtocol().attempt_headers("i-1", 0.1239))
    assert added == {b"x-deadline-ms": b"123", b"x-expect-instance": b"i-1"}


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "wrong", "is_from_backend"),
    [
        (200, [(b"x-upstream-signature", b"s")], False, False, True),
        (200, [], False, False, False),
        (500, [], False, False, True),
        (503, [(b"x-not-executed", b"1")], True, False, True),
        (503, [], False, False, True),
        (421, [(b"x-not-executed", b"1")], True, True, True),
        (421, [], False, True, True),
        (429, [(b"x-not-executed", b"1")], True, False, True),
    ],
)
def test_response_metadata(
    status: int,
    headers: list[tuple[bytes, bytes]],
    not_run: bool,
    wrong: bool,
    is_from_backend: bool,
) -> None:
    metadata = PlatformProtocol().response_metadata(status, [(b"x-attempt-id", b"a"), *headers])
    assert metadata.request_id == b"a"
    assert (metadata.not_run, metadata.wrong_instance, metadata.is_from_backend) == (
        not_run,
        wrong,
        is_from_backend,
    )


@pytest.mark.parametrize(
    ("ids", "named"), [([], False), ([b"a"], True), ([b"b"], False), ([b"a", b"b"], False)]
)
def test_response_names_a_request_only_if_it_names_no_other(ids: list[bytes], named: bool) -> None:
    found = [(b"x-attempt-id", value) for value in ids]
    assert PlatformProtocol().names_request(b"a", found) is named


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", LoadReport(3, 0, 8)),
        (b"3, 1, 8", LoadReport(3, 1, 8)),
        (b"3,1,8,250", LoadReport(3, 1, 8, 2.5)),
        (b"3,1,8,100", LoadReport(3, 1, 8, 1.0)),
        (b"3,1,8,0", LoadReport(3, 1, 8, 1.0)),
        (b"3,1,8,soon", LoadReport(3, 1, 8)),
        (b"3,1,8,50,7,x", LoadReport(3, 1, 8, 0.5)),
        (b"3,0", None),
        (b"a,b,c", None),
        (b"", None),
    ],
)
def test_load_report(value: bytes, load: LoadReport | None) -> None:
    metadata = PlatformProtocol().response_metadata(200, [(b"x-upstream-load", value)])
    assert metadata.load == load
    assert metadata.unreadable_load == (load is None)


def test_orders() -> None:
    orders = PlatformOrders()
    granted = orders.grant(Grant("i-1@7", 4096, 8191, 12, 4.0, "5c0e"), "i-1")
    assert dict(granted.headers)[b"x-expect-instance"] == b"i-1"
    assert granted.path == b"/v1/grant"
    assert json.loads(granted.body) == {
        "from": 4096,
        "target_version": 8191,
        "fence": 12,
        "hold_s": 4.0,
        "handover": "5c0e",
    }
    assert "handover" not in json.loads(orders.grant(Grant("i-1", 0, 1, 1, 2.0), "i-1").body)
    released = orders.release(Release("i-1", 4096, 8191, 13), "i-1")
    assert released.path == b"/v1/release"
    assert json.loads(released.body) == {"from": 4096, "target_version": 8191, "fence": 13}
    assert orders.handover([(b"x-handover", b"5c0e")]) == "5c0e"
    assert orders.is_done(200) and not orders.is_done(409) and orders.is_fenced_off(409)


@pytest.mark.parametrize(
    ("values", "limit", "unreadable"),
    [
        ([], None, False),
        ([b"4.2"], 4.2, False),
        ([b" 0.3 "], 0.3, False),
        ([b"0"], 0.0, False),
        ([b"40"], 40.0, False),
        ([b"4.2", b"4.2"], 4.2, False),
        ([b"4.2", b"3"], None, True),
        ([b""], None, True),
        ([b"-1"], None, True),
        ([b"+1"], None, True),
        ([b"nan"], None, True),
        ([b"inf"], None, True),
        ([b"1e3"], None, True),
        ([b"1_000"], None, True),
        ([b".5"], None, True),
        ([b"4.2, 3"], None, True),
        ([b"some"], None, True),
        ([b"\xd9\xa3"], None, True),
        ([b"9" * 10_240], None, True),
    ],
)
def test_limit_header(values: list[bytes], limit: float | None, unreadable: bool) -> None:
    headers = [(b"x-attempt-id", b"1"), *((b"server-limit", value) for value in values)]
    metadata = PlatformProtocol().response_metadata(200, headers)
    assert (metadata.limit, metadata.unreadable_limit) == (limit, unreadable)


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=3))
def test_an_arbitrary_limit_is_a_finite_rate_or_unreadable(values: list[bytes]) -> None:
    metadata = PlatformProtocol().response_metadata(
        200, [(b"server-limit", value) for value in values]
    )
    assert metadata.unreadable_limit == (metadata.limit is None)
    assert metadata.limit is None or 0.0 <= metadata.limit < 1e10
