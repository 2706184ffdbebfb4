"""Encoding of request heads, and parsing of responses split at any points."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limedeck import http_codec

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b \r\n\r\nok"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\no\r\n1;x=y\r\nk\r\n0\r\nX-Late: 1\r\n\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


def read(
    *pieces: bytes, is_head_request: bool = False, ended: bool = False
) -> http_codec.ResponseParser:
    parser = http_codec.ResponseParser(is_head_request)
    for piece in pieces:
        parser.feed(piece)
    if ended:
        parser.feed_end()
    return parser


@given(st.sampled_from([OK, CHUNKED, INTERIM + OK, INTERIM + CHUNKED]), st.data())
@settings(max_examples=200, derandomize=True, deadline=None)
def test_a_response_split_at_any_points_is_parsed_the_same(
    response: bytes, data: st.DataObject
) -> None:
    split_points = sorted(data.draw(st.lists(st.integers(1, len(response) - 1), max_size=6)))
    bounds = [0, *split_points, len(response)]
    parser = http_codec.ResponseParser()
    for start, end in itertools.pairwise(bounds):
        assert not parser.is_complete
        parser.feed(response[start:end])
    assert parser.is_complete and parser.is_reusable
    assert (parser.status, parser.body) == (200, b"ok")
    assert all(name not in (b"link", b"x-late") for name, _ in parser.headers)


def test_header_names_are_lower_case_and_values_stripped() -> None:
    assert (b"x-a", b"b") in read(OK).headers


@pytest.mark.parametrize("surplus", [b"x", OK, b"HTTP/1.1 500 Oops\r\n\r\n", b"\x00\x00", b"HTTP"])
@pytest.mark.parametrize("at_once", [True, False])
def test_surplus_bytes_prevent_reuse_but_do_not_invalidate_the_response(
    surplus: bytes, at_once: bool
) -> None:
    parser = read(OK + surplus) if at_once else read(OK, surplus)
    assert parser.is_complete and not parser.is_reusable
    assert (parser.status, parser.body) == (200, b"ok")


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    ],
)
def test_a_connection_that_the_server_closes_is_not_reusable(response: bytes) -> None:
    assert read(response).is_complete
    assert not read(response).is_reusable


def test_a_response_without_a_length_ends_with_its_connection() -> None:
    unframed = b"HTTP/1.1 200 OK\r\n\r\no"
    assert not read(unframed, b"k").is_complete
    parser = read(unframed, b"k", ended=True)
    assert parser.body == b"ok" and not parser.is_reusable


def test_a_response_to_head_has_no_body() -> None:
    parser = read(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", is_head_request=True)
    assert parser.is_complete and parser.body == b""
    assert not parser.is_reusable


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_a_response_without_content_is_complete_after_its_head(status: bytes) -> None:
    assert read(b"HTTP/1.1 " + status + b"\r\n\r\n").is_complete


@pytest.mark.parametrize(
    "pieces",
    [
        (b"",),
        (b"HTTP/1.1 200 OK\r\ncontent-l",),
        (OK[:-1],),
        (CHUNKED[:-4],),
        (INTERIM,),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",),
    ],
)
def test_a_response_that_ends_early_is_rejected(pieces: tuple[bytes, ...]) -> None:
    with pytest.raises(http_codec.BadResponse):
        read(*pieces, ended=True)


@pytest.mark.parametrize(
    "response",
    [
        b"no such protocol\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * 70_000,
    ],
)
def test_an_invalid_response_is_rejected(response: bytes) -> None:
    with pytest.raises(http_codec.BadResponse):
        read(response)


def test_encoded_request_head() -> None:
    headers = [(b"host", b"h"), (b"content-length", b"2")]
    assert http_codec.encode_head(b"POST", b"/a?b", headers, 2) == (
        b"POST /a?b HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n"
    )


@pytest.mark.parametrize(
    ("method", "target", "headers", "length"),
    [
        (b"GE T", b"/", [], 0),
        (b"GET", b"/ HTTP/1.1", [], 0),
        (b"GET", b"", [], 0),
        (b"GET", b"/", [(b"a", b"b\r\nc: d")], 0),
        (b"GET", b"/", [(b"a b", b"c")], 0),
        (b"GET", b"/", [(b"a\n", b"c")], 0),
        (b"GET", b"/", [(b"a", b"\x00")], 0),
        (b"GET", b"/", [(b"transfer-encoding", b"chunked")], 0),
        (b"GET", b"/", [(b"content-length", b"3")], 2),
        (b"GET", b"/", [(b"content-length", b"2"), (b"content-length", b"2")], 2),
        (b"GET", b"/", [], 2),
    ],
)
def test_an_invalid_request_head_is_rejected(
    method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], length: int
) -> None:
    with pytest.raises(http_codec.BadRequest):
        http_codec.encode_head(method, target, headers, length)


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PIECE = 8192


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"HTTP/1.1 200 ", b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"a"),
        (b"HTTP/1.1 200 OK\r\nx: ", b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
        (b"", INTERIM),
        (CHUNKED_HEAD + b"5;x=", b"a"),
        (CHUNKED_HEAD + b"2\r\nok\r\n", b"0"),
        (CHUNKED_HEAD + b"2\r\nok\r\n0\r\n", b"a"),
        (CHUNKED_HEAD + b"2\r\nok\r\n0\r\nx: ", b"a"),
        (CHUNKED_HEAD + b"2\r\nok\r\n0\r\n", b"x: y\r\n"),
    ],
    ids=[
        "reason",
        "header-name",
        "header-value",
        "headers",
        "interim-responses",
        "chunk-extension",
        "chunk-size",
        "trailer-name",
        "trailer-value",
        "trailers",
    ],
)
def test_response_without_end_is_given_up_whichever_part_grows(
    start: bytes, repeated: bytes
) -> None:
    parser = http_codec.ResponseParser()
    parser.feed(start)
    piece = repeated * (PIECE // len(repeated))
    largest = 0
    with pytest.raises(http_codec.BadResponse):
        for _ in range(100):
            parser.feed(piece)
            largest = max(largest, parser.held_size)
    assert not parser.is_complete
    assert largest <= http_codec.MAX_HEAD_SIZE + http_codec.MAX_FRAMING_SIZE


def test_body_of_many_small_chunks_is_not_taken_for_framing() -> None:
    count = 40_000
    parser = http_codec.ResponseParser()
    parser.feed(CHUNKED_HEAD)
    for _ in range(4):
        parser.feed(b"1;extension=value\r\nx\r\n" * (count // 4))
    parser.feed(b"0\r\n\r\n")
    assert parser.is_complete
    assert parser.body_size == count
