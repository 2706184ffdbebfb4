"""Memory of requests and responses at a server, with real connections."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import pytest
from anyio.abc import SocketStream

from limedeck import held_memory
from limedeck.held_memory import JUDGED_AFTER, BreakOff, BreakOffCause, MemoryLimits, Purpose
from limedeck.memory_keeper import MemoryKeeper
from limedeck.node import asgi, exchange_memory, http_messages, http_server, listener
from limedeck.node.connection_memory import ConnectionMemory
from limedeck.node.exchange_memory import ExchangeMemory, MemoryExhausted
from tests.unit import polling

pytestmark = pytest.mark.anyio
LIMIT = 2_000_000
LARGE = 1_000_000
LIMITS = MemoryLimits(
    LIMIT, {Purpose.REQUESTS: 600_000, Purpose.RECEIVED: LIMIT, Purpose.UNREAD: 800_000}
)


@pytest.fixture(params=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": request.param == "uvloop"}


@dataclass
class Application:
    """Reads a body, and responds with as many bytes as the path says."""

    keeper: MemoryKeeper
    refused: list[str] = field(default_factory=list)
    left: int = 0

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        memory = ExchangeMemory(self.keeper, Purpose.REQUESTS)
        try:
            memory.check_room(dict(scope["headers"]))
            await http_messages.read_body(receive, 10 * LIMIT, memory)
            size = int(scope["path"][1:])
            memory.keep_response(size)
            await http_messages.send_response(send, 200, [], bytes(size), memory)
        except MemoryExhausted as error:
            self.refused.append(str(error))
            await http_messages.send_response(send, 503, [], b"")
        except http_messages.CallerLeft:
            self.left += 1
        finally:
            memory.close()


@dataclass
class Served:
    keeper: MemoryKeeper
    application: Application
    port: int
    broken_off: list[BreakOff]

    @property
    def total(self) -> int:
        return self.keeper.account.total

    def ask(self, size: int) -> socket.socket:
        """Send a request for a response of a size, which nothing reads yet."""
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.connect(("127.0.0.1", self.port))
        raw.sendall(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % size)
        raw.setblocking(False)
        return raw

    async def send(self, body: bytes, framing: bytes) -> SocketStream:
        """Send a request with a body, or the first part of one."""
        stream = await anyio.connect_tcp("127.0.0.1", self.port)
        await stream.send(b"POST /1 HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n" + body)
        return stream


@asynccontextmanager
async def serving() -> AsyncIterator[Served]:
    broken_off: list[BreakOff] = []
    keeper = MemoryKeeper(LIMITS, broken_off.append)
    application = Application(keeper)
    listening = listener.open_listener("127.0.0.1:0", bounds_buffers=True)
    stop = anyio.Event()
    memory = ConnectionMemory(keeper)
    async with anyio.create_task_group() as tasks:
        protocol = http_server.BoundedProtocol
        tasks.start_soon(http_server.serve, application, listening, stop, 0.2, protocol, memory)
        yield Served(keeper, application, listening.getsockname()[1], broken_off)
        stop.set()
    assert keeper.account.total == 0


async def read_status(stream: SocketStream) -> bytes:
    return (await stream.receive(512))[9:12]


async def wait_until_held(served: Served, purpose: Purpose, least: int) -> None:
    await polling.until(lambda: served.keeper.account.totals[purpose] >= least)


async def wait_until_free(served: Served) -> None:
    await polling.until(lambda: not served.total)


async def test_an_unread_response_counts_until_its_caller_leaves() -> None:
    async with serving() as served:
        with served.ask(700_000):
            await wait_until_held(served, Purpose.UNREAD, 500_000)
            await anyio.sleep(0.1)
            assert served.keeper.account.totals[Purpose.UNREAD] >= 500_000
        await wait_until_free(served)


async def test_a_caller_that_reads_gets_its_whole_response_while_others_are_broken_off() -> None:
    async with serving() as served:
        with served.ask(700_000) as first, served.ask(700_000):
            await wait_until_held(served, Purpose.UNREAD, 1_000_000)
            # The kernel's buffers took the first bytes at once, which counts as the reader's speed.
            await anyio.sleep(JUDGED_AFTER + 1.0)
            reader = await SocketStream.from_socket(served.ask(LARGE))
            received = 0
            with anyio.fail_after(10.0):
                while received < LARGE:
                    received += len(await reader.receive(65_536))
            await reader.aclose()
            assert {item.cause for item in served.broken_off} == {BreakOffCause.SLOW_READER}
            assert min(item.size for item in served.broken_off) >= 500_000
            assert min(item.age for item in served.broken_off) >= JUDGED_AFTER
            # What it has received so far is followed by a reset.
            await polling.until(lambda: has_been_reset(first))


def has_been_reset(connection: socket.socket) -> bool:
    """Read what there is, and return whether the connection was reset."""
    try:
        connection.recv(65_536)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True
    return False


async def test_a_reader_that_takes_nothing_is_broken_off_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(held_memory, "UNREAD_TIMEOUT", 0.3)
    async with serving() as served:
        with served.ask(200_000):
            await wait_until_held(served, Purpose.UNREAD, 50_000)
            served.keeper.check_readers()
            assert not served.broken_off
            await anyio.sleep(0.4)
            served.keeper.check_readers()
            assert [item.cause for item in served.broken_off] == [BreakOffCause.UNREAD]
            await wait_until_free(served)


async def test_a_body_that_does_not_fit_is_refused_before_it_is_read() -> None:
    async with serving() as served:
        stream = await served.send(b"", b"Content-Length: 1000000")
        assert await read_status(stream) == b"503"
        assert served.keeper.account.totals[Purpose.REQUESTS] == 0
        await stream.aclose()


async def test_a_body_of_unknown_length_is_given_up_at_the_bound() -> None:
    async with serving() as served:
        stream = await served.send(b"", b"Transfer-Encoding: chunked")
        chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
        async with anyio.create_task_group() as tasks:

            async def send_without_end() -> None:
                while True:
                    await stream.send(chunk)

            tasks.start_soon(send_without_end)
            assert await read_status(stream) == b"503"
            tasks.cancel_scope.cancel()
        assert len(served.application.refused) == 1
        await stream.aclose()


async def test_reading_a_body_is_paused_until_there_is_memory() -> None:
    async with serving() as served:
        blocker = served.keeper.open(Purpose.CONNECTIONS, lambda: None)
        stream = await served.send(bytes(100_000), b"Content-Length: 200000")
        await wait_until_held(served, Purpose.REQUESTS, 100_000)
        blocker.resize(1_700_000)
        await stream.send(bytes(50_000))
        await anyio.sleep(0.1)
        blocker.close()
        await stream.send(bytes(50_000))
        assert await read_status(stream) == b"200"
        assert not served.application.refused
        await stream.aclose()


async def test_a_caller_that_leaves_while_it_sends_frees_its_body() -> None:
    async with serving() as served:
        stream = await served.send(bytes(100_000), b"Content-Length: 200000")
        await wait_until_held(served, Purpose.REQUESTS, 100_000)
        await stream.aclose()
        await wait_until_free(served)
        assert served.application.left == 1


async def test_expected_responses_wait_for_room_and_are_refused_without() -> None:
    keeper = MemoryKeeper(LIMITS)
    first, second = (ExchangeMemory(keeper, Purpose.REQUESTS) for _ in range(2))
    await first.expect_response(LARGE)
    with pytest.raises(MemoryExhausted):
        await second.expect_response(LARGE)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(second.expect_response, LARGE)
        await anyio.sleep(exchange_memory.LONGEST_PAUSE / 4)
        first.close()
    second.close()
    assert keeper.account.promised == 0


async def test_a_cancelled_exchange_frees_all_that_it_holds() -> None:
    keeper = MemoryKeeper(LIMITS)
    memory = ExchangeMemory(keeper, Purpose.REQUESTS)
    with anyio.move_on_after(0.01):
        try:
            with memory.receiving_body():
                memory.grow_body(100_000)
                await anyio.sleep_forever()
        finally:
            memory.close()
    assert keeper.account.total == 0
