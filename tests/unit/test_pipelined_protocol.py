"""Callers' connections with several requests at a time: bytes in, bytes out, no network."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket

import pytest

from limedeck.node import http_server, pipelined_protocol, response_order
from tests.unit.protocol_driver import Application, Connection, settle

pytestmark = pytest.mark.anyio
FUZZ_SEEDS = range(300)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def get(path: str, *headers: bytes) -> bytes:
    lines = [b"GET %s HTTP/1.1" % path.encode(), b"Host: h", *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def post(path: str, body: bytes) -> bytes:
    head = b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    return head % (path.encode(), len(body)) + body


def chunked(path: str, *chunks: bytes) -> bytes:
    head = b"POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" % path.encode()
    return head + b"".join(b"%x\r\n%s\r\n" % (len(item), item) for item in (*chunks, b""))


INPUT = get("/safe/0") + post("/unsafe/1", b"abc") + get("/safe/2") + chunked("/safe/3", b"de")
OUTPUT = [
    (200, b"GET /safe/0 0."),
    (200, b"POST /unsafe/1 3."),
    (200, b"GET /safe/2 0."),
    (200, b"POST /safe/3 2."),
]
MALFORMED = get("/safe/0") + get("/safe/1") + b"no request\r\n\r\n" + get("/safe/2")


async def test_every_split_of_an_input_gives_the_same_responses() -> None:
    for end in range(len(INPUT)):
        connection = Connection(Application())
        await connection.send(INPUT[:end], INPUT[end:])
        assert connection.responses() == OUTPUT
        assert not connection.transport.is_closing()
    connection = Connection(Application())
    for index in range(len(INPUT)):
        await connection.send(INPUT[index : index + 1])
    assert connection.responses() == OUTPUT


@pytest.mark.parametrize("order", [*itertools.permutations(range(4))])
async def test_responses_are_written_in_the_order_of_the_requests(order: tuple[int, ...]) -> None:
    connection = Connection(Application(is_gated=True))
    paths = [f"/safe/{number}" for number in range(4)]
    await connection.send(b"".join(get(path) for path in paths))
    assert connection.application.started == paths
    finished: set[int] = set()
    for number in order:
        await connection.release(paths[number])
        finished.add(number)
        ready = next(item for item in range(5) if item not in finished)
        assert connection.responses() == [(200, b"GET %s 0." % p.encode()) for p in paths[:ready]]
        waits = connection.metric("limedeck_waiting_response_bytes")
        assert (waits > 0) == (len(finished) > ready)
    # The connection goes on as one without pipelining.
    await connection.release("/unsafe/4")
    await connection.send(post("/unsafe/4", b"a"))
    assert connection.responses()[-1] == (200, b"POST /unsafe/4 1.")
    assert connection.transport.reads


async def test_request_that_must_run_alone_waits_for_its_turn() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/0") + post("/unsafe/1", b"a") + get("/safe/2"))
    assert connection.application.started == ["/safe/0"]
    await connection.release("/safe/0")
    assert connection.application.started == ["/safe/0", "/unsafe/1"]
    await connection.release("/unsafe/1")
    assert connection.application.started == ["/safe/0", "/unsafe/1", "/safe/2"]
    await connection.release("/safe/2")
    assert [body for _, body in connection.responses()] == [
        b"GET /safe/0 0.",
        b"POST /unsafe/1 1.",
        b"GET /safe/2 0.",
    ]


async def test_request_that_must_run_alone_waits_behind_a_finished_one_that_waits() -> None:
    """The newest request is finished, but not answered, when the next one arrives."""
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/0") + get("/safe/1"))
    await connection.release("/safe/1")
    await connection.send(post("/unsafe/2", b"a"))
    assert "/unsafe/2" not in connection.application.started
    await connection.release("/safe/0", "/unsafe/2")
    assert [status for status, _ in connection.responses()] == [200, 200, 200]


@pytest.mark.parametrize(("path", "status"), [("/safe/close", 200), ("/safe/fail", 500)])
async def test_closing_response_in_the_middle_is_the_last(path: str, status: int) -> None:
    connection = Connection(Application(is_gated=True))
    later = [get("/safe/2"), get("/safe/3"), post("/unsafe/4", b"a")]
    await connection.send(get("/safe/0") + get(path) + b"".join(later))
    await connection.release(path)
    assert connection.application.left == ["/safe/2", "/safe/3"]
    assert connection.transport.written == b""
    await connection.send(get("/safe/5"))
    await connection.release("/safe/0")
    assert [item for item, _ in connection.responses()] == [200, status]
    assert connection.closing_responses() == [False, True]
    assert connection.transport.is_closing()
    assert connection.application.started == ["/safe/0", path, "/safe/2", "/safe/3"]
    assert connection.metric("limedeck_waiting_response_bytes") == 0
    assert connection.refused_inputs() == 0


async def test_body_behind_a_closing_response_is_discarded() -> None:
    """Unread bytes would make the connection's close a reset, and hide that the caller leaves."""
    connection = Connection(Application(is_gated=True))
    head = b"POST /safe/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
    await connection.send(get("/safe/0") + get("/safe/close") + head)
    await connection.release("/safe/close")
    dropped = connection.protocol.cycle
    await connection.send(*[b"x" * 10_000] * 20)
    assert connection.transport.reads
    assert len(dropped.body) == 0
    assert connection.application.left == ["/safe/2"]


async def test_closing_response_in_front_is_the_last() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/close") + get("/safe/1") + post("/unsafe/2", b"a"))
    await connection.release("/safe/1", "/safe/close")
    assert [body for _, body in connection.responses()] == [b"GET /safe/close 0."]
    assert connection.application.started == ["/safe/close", "/safe/1"]


async def test_requests_behind_one_that_asks_to_close_do_not_run() -> None:
    connection = Connection(Application())
    closing = get("/safe/1", b"Connection: close")
    await connection.send(get("/safe/0") + closing + get("/safe/2") + post("/unsafe/3", b"a"))
    assert connection.application.started == ["/safe/0", "/safe/1"]
    assert connection.closing_responses() == [False, True]
    assert connection.transport.is_closing()


async def test_application_closes_the_connection_behind_the_last_request() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/last") + get("/safe/1") + post("/unsafe/2", b"a"))
    await connection.release("/safe/last")
    await connection.send(get("/safe/3"))
    await connection.release("/safe/1", "/unsafe/2")
    assert [status for status, _ in connection.responses()] == [200, 200, 200]
    assert connection.closing_responses() == [False, False, True]
    assert connection.transport.is_closing()
    assert "/safe/3" not in connection.application.started


@pytest.mark.parametrize("order", [*itertools.permutations(range(3))])
async def test_shutdown_answers_what_was_received(order: tuple[int, ...]) -> None:
    connection = Connection(Application(is_gated=True))
    paths = ["/safe/0", "/safe/1", "/safe/2"]
    await connection.send(b"".join(get(path) for path in paths))
    await connection.release(paths[order[0]])
    connection.protocol.shutdown()
    await connection.send(get("/safe/3"))
    for number in order[1:]:
        await connection.release(paths[number])
    assert [status for status, _ in connection.responses()] == [200, 200, 200]
    assert connection.closing_responses()[:2] == [False, False]
    assert connection.transport.is_closing()
    assert not connection.state.connections


async def test_request_behind_the_last_one_of_a_shutdown_does_not_run() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/0"))
    connection.protocol.shutdown()
    await connection.send(get("/safe/1"))
    await connection.release("/safe/0")
    assert connection.closing_responses() == [True]
    assert connection.application.started == ["/safe/0"]
    assert connection.refused_inputs() == 0


async def test_shutdown_of_an_idle_connection_closes_it() -> None:
    connection = Connection(Application())
    await connection.send(get("/safe/0") + get("/safe/1"))
    connection.protocol.shutdown()
    assert connection.transport.is_closing()


async def test_malformed_request_is_refused_behind_the_responses_in_every_split() -> None:
    for end in range(len(MALFORMED)):
        connection = Connection(Application())
        await connection.send(MALFORMED[:end], MALFORMED[end:])
        assert [status for status, _ in connection.responses()] == [200, 200, 400]
        assert connection.closing_responses() == [False, False, True]
        assert connection.transport.is_closing()
        assert connection.application.started == ["/safe/0", "/safe/1"]


async def test_malformed_request_waits_for_the_responses_before_it() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/0") + b"no request\r\n\r\n")
    assert connection.transport.written == b""
    await connection.release("/safe/0")
    assert [status for status, _ in connection.responses()] == [200, 400]


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_malformed_body_is_refused_in_the_place_of_its_request(kind: str) -> None:
    connection = Connection(Application(is_gated=True))
    malformed = chunked(f"/{kind}/1", b"ab")[:-5] + b"no length\r\n"
    await connection.send(get("/safe/0") + malformed)
    await connection.release("/safe/0")
    assert [status for status, _ in connection.responses()] == [200, 400]
    assert connection.transport.is_closing()
    assert "/unsafe/1" not in connection.application.started


async def test_too_large_head_is_refused_behind_the_responses() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/0"))
    endless = b"GET /safe/1 HTTP/1.1\r\nX: " + b"a" * (2 * http_server.MAX_HEAD_SIZE)
    for start in range(0, len(endless), 4096):
        await connection.send(endless[start : start + 4096])
    await connection.release("/safe/0")
    assert [status for status, _ in connection.responses()] == [200, 431]
    assert connection.transport.is_closing()


@pytest.mark.parametrize("way", ["reset", "end"])
async def test_caller_who_leaves_ends_all_its_requests(way: str) -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(*[get(f"/safe/{number}") for number in range(3)], post("/unsafe/3", b""))
    await connection.release("/safe/1")
    if way == "reset":
        connection.protocol.connection_lost(ConnectionResetError())
    else:
        connection.protocol.eof_received()
    await settle()
    assert connection.application.left == ["/safe/0", "/safe/2"]
    assert connection.application.running == set()
    assert "/unsafe/3" not in connection.application.started
    assert connection.metric("limedeck_waiting_response_bytes") == 0
    assert not connection.state.tasks


async def test_caller_who_leaves_a_connection_that_is_not_read_is_noticed() -> None:
    """A full socket shows its end only behind the bytes that nobody reads."""
    application = Application(is_gated=True)
    connection = Connection(application)
    ours, theirs = socket.socketpair()
    with ours, theirs:
        connection.transport.get_extra_info = lambda name, default=None: ours  # type: ignore[method-assign]
        count = response_order.MAX_OVERLAPPING
        await connection.send(b"".join(get(f"/safe/{number}") for number in range(count)))
        assert not connection.transport.reads
        theirs.send(get("/safe/unread"))
        await asyncio.sleep(2 * pipelined_protocol.LEAVE_CHECK_INTERVAL)
        assert len(application.running) == count
        theirs.close()
        await asyncio.sleep(2 * pipelined_protocol.LEAVE_CHECK_INTERVAL)
    assert len(application.left) == count
    assert connection.transport.is_closing()


async def test_input_beyond_the_bound_waits_unparsed() -> None:
    application = Application(is_gated=True)
    connection = Connection(application)
    count = 20 * response_order.MAX_OVERLAPPING
    paths = [f"/safe/{number}" for number in range(count)]
    await connection.send(b"".join(get(path) for path in paths))
    assert application.started == paths[: response_order.MAX_OVERLAPPING]
    assert not connection.transport.reads
    # Two slices at most, of requests of 36 bytes or more.
    parsed = connection.metric("limedeck_pipelined_depth_count")
    assert parsed < 2 * pipelined_protocol.INPUT_SLICE / len(get("/safe/0"))
    assert parsed < count / 2
    for path in paths:
        application.release(path)
    while len(connection.responses()) < count:
        await settle()
    assert [body for _, body in connection.responses()] == [
        b"GET %s 0." % path.encode() for path in paths
    ]
    assert connection.transport.reads


async def test_reading_pauses_while_large_responses_wait() -> None:
    application = Application(is_gated=True)
    application.body_size = response_order.MAX_HELD_BYTES // 3
    connection = Connection(application)
    await connection.send(*[get(f"/safe/{number}") for number in range(5)])
    await connection.release("/safe/1", "/safe/2")
    assert connection.transport.reads
    await connection.release("/safe/3")
    assert not connection.transport.reads
    assert connection.metric("limedeck_waiting_response_bytes") > response_order.MAX_HELD_BYTES
    await connection.release("/safe/0")
    assert len(connection.responses()) == 4
    assert connection.transport.reads
    assert connection.metric("limedeck_waiting_response_bytes") == 0


async def test_caller_of_large_responses_gets_fewer_at_a_time_from_then_on() -> None:
    application = Application(is_gated=True)
    application.body_size = response_order.MAX_HELD_BYTES // 3
    connection = Connection(application)
    await connection.send(*[get(f"/safe/{number}") for number in range(5)])
    assert len(application.running) == 5
    await connection.release(*[f"/safe/{number}" for number in reversed(range(5))])
    assert len(connection.responses()) == 5
    await connection.send(*[get(f"/safe/{number}") for number in range(5, 10)])
    assert application.running == {"/safe/5", "/safe/6"}
    await connection.release(*[f"/safe/{number}" for number in range(5, 10)])
    assert len(connection.responses()) == 10


async def test_responses_wait_while_the_caller_reads_slowly() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/0") + get("/safe/1") + get("/safe/2"))
    connection.protocol.pause_writing()
    await connection.release("/safe/0", "/safe/1", "/safe/2")
    assert connection.transport.written == b""
    # They are taken from the application, and counted.
    assert connection.metric("limedeck_waiting_response_bytes") > len("GET /safe/1 0.") * 2
    connection.protocol.resume_writing()
    await settle()
    assert [status for status, _ in connection.responses()] == [200, 200, 200]
    assert connection.metric("limedeck_waiting_response_bytes") == 0


async def test_response_whose_turn_has_come_is_sent_as_the_caller_reads() -> None:
    connection = Connection(Application(is_gated=True))
    await connection.send(get("/safe/0") + get("/safe/1"))
    await connection.release("/safe/0")
    connection.protocol.pause_writing()
    await connection.release("/safe/1")
    assert len(connection.responses()) == 1
    connection.protocol.resume_writing()
    await settle()
    assert len(connection.responses()) == 2


async def test_body_is_asked_for_in_the_turn_of_its_request() -> None:
    connection = Connection(Application(is_gated=True))
    head = b"POST /safe/1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    await connection.send(get("/safe/0") + head)
    assert connection.transport.written == b""
    await connection.release("/safe/0")
    assert connection.responses() == [(200, b"GET /safe/0 0."), (100, b"")]
    await connection.send(b"ab")
    await connection.release("/safe/1")
    assert connection.responses()[-1] == (200, b"POST /safe/1 2.")


async def test_response_without_a_body_keeps_its_place() -> None:
    connection = Connection(Application())
    await connection.send(
        get("/safe/0") + b"HEAD /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/safe/2")
    )
    first, head, last = connection.transport.written.split(b"HTTP/1.1 200 OK\r\n")[1:]
    assert first.endswith(b"GET /safe/0 0.") and last.endswith(b"GET /safe/2 0.")
    assert head.endswith(b"\r\n\r\n") and b"content-length: 15" in head


@pytest.mark.parametrize("seed", FUZZ_SEEDS)
async def test_any_input_gets_responses_in_order_and_runs_nothing_unsafe_beside_others(
    seed: int,
) -> None:
    """The application asserts that nothing runs beside a request that must run alone."""
    draw = random.Random(seed)
    data = b""
    for number in range(draw.randint(1, 9)):
        path = draw.choice(["/safe", "/safe", "/safe", "/unsafe", "/safe/close", "/safe/fail"])
        path += f"/{number}"
        data += draw.choice(
            [
                get(path),
                post(path, b"abc"),
                chunked(path, b"a", b"bc"),
                get(path, b"X: " + b"y" * 9),
            ]
        )
    for _ in range(draw.choice([0, 0, 1, 3])):
        at = draw.randrange(len(data))
        data = data[:at] + draw.choice([b"", b"\0", b"\r\n", b"GET ", b"9"]) + data[at + 1 :]
    application = Application(is_gated=draw.random() < 0.7)
    connection = Connection(application)
    while data and not connection.transport.is_closing():
        size = draw.randint(1, 90)
        await connection.send(data[:size])
        data = data[size:]
        if application.running and draw.random() < 0.5:
            await connection.release(draw.choice(sorted(application.running)))
    while application.running and not connection.transport.is_closing():
        before = set(application.running)
        await connection.release(draw.choice(sorted(before)))
        if application.running == before:
            break
    paths = [
        body.split(b" ")[1].decode() for status, body in connection.responses() if status == 200
    ]
    assert paths == application.started[: len(paths)]
    statuses = [status for status, _ in connection.responses()]
    assert set(statuses[:-1]) <= {200}
    assert set(statuses[-1:]) <= {200, 400, 500}
    connection.protocol.connection_lost(None)
    await settle()
    assert application.running == set()
    assert connection.metric("limedeck_waiting_response_bytes") == 0
