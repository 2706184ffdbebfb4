"""Several stand-in back ends behind one HTTP server, one port each, with faults."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NoReturn

import anyio
from google.protobuf.message import DecodeError
from hypercorn.asyncio import serve
from pydantic import BaseModel, ValidationError

from limedeck.api.backend_pb2 import LeaseRequest
from limedeck.clock import steady_clock
from limedeck.daemon.backend_client import REFUSAL_HEADER
from limedeck.daemon.clock import new_incarnation
from limedeck.daemon.control_host import LEASE_PATH, PROTOBUF_TYPE
from limedeck.daemon.server import http_config
from limedeck.node.asgi import Message, Receive, Scope, Send
from limedeck_lab.standins.backend import Refusal, StandInBackend, Work

SERVER_GRACE = 2.0
COLD_SECONDS = 5.0
MILLISECONDS = 1000
SAFE_METHODS = ("GET", "HEAD")


class BackendFaults(BaseModel):
    """Faults of one back end, set by ``PUT /lab/v1/faults`` on its port.

    Parameters
    ----------
    frozen
        Every call waits until this is reset and then continues normally.
    shed_all
        All work is refused.
    health
        Text that the health endpoint returns, whatever the actual state.
    reported_in_flight
        Load that the load endpoint reports instead of the actual one, such as an old value to
        simulate a report that lags.
    cut_before, cut_after
        The connection is closed before or after the work is done, without a response.
    half_answer
        Half of the response is sent, then the connection is closed.
    answer_delay_seconds
        Delay between the work and its response.
    cold_factor
        Factor by which work takes longer right after the start; it falls to 1 within
        `COLD_SECONDS`.
    """

    frozen: bool = False
    shed_all: bool = False
    health: str = "ok"
    reported_in_flight: int | None = None
    cut_before: bool = False
    cut_after: bool = False
    half_answer: bool = False
    answer_delay_seconds: float = 0.0
    cold_factor: float = 1.0


@dataclass(frozen=True)
class BackendSpecification:
    """Describes a stand-in back end.

    Parameters
    ----------
    address
        IP address and port.
    service_seconds
        Mean time for which a request occupies a slot.
    """

    backend_id: str
    address: str
    keyed: bool
    slots: int
    service_seconds: float
    queue_limit: int = 64


class ConnectionCut(Exception):
    """Raised to make the server close a connection without a response."""


@dataclass
class ServedBackend:
    """A stand-in back end and the state of its HTTP side."""

    specification: BackendSpecification
    backend: StandInBackend
    faults: BackendFaults = field(default_factory=BackendFaults)
    thawed: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.started_at = steady_clock()
        self.slots = anyio.Semaphore(self.specification.slots)
        self.thawed.set()

    def slowdown(self, now: float) -> float:
        """Return the factor by which work takes longer now, for a back end that starts cold."""
        warmth = min((now - self.started_at) / COLD_SECONDS, 1.0)
        return self.faults.cold_factor + (1.0 - self.faults.cold_factor) * warmth

    async def wait_while_frozen(self) -> None:
        """Wait while the back end is frozen."""
        while self.faults.frozen:
            await self.thawed.wait()

    def set_faults(self, faults: BackendFaults) -> None:
        """Set the faults."""
        self.faults = faults
        if faults.frozen:
            self.thawed = anyio.Event()
        else:
            self.thawed.set()


class BackendServer:
    """ASGI application for all back ends of a process.

    Parameters
    ----------
    seed
        Seed of the random service times.
    """

    def __init__(self, specifications: Sequence[BackendSpecification], seed: int = 1) -> None:
        self._random = random.Random(seed)
        self._by_port = {
            int(item.address.rpartition(":")[2]): ServedBackend(item, _new_backend(item))
            for item in specifications
        }

    async def serve(self, stop: anyio.Event) -> None:
        """Serve all ports until `stop` is set."""
        config = http_config("", SERVER_GRACE)
        config.bind = [item.specification.address for item in self._by_port.values()]
        config.backlog = 512
        await serve(self, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        served = self._by_port[scope["server"][1]]
        path = scope["path"]
        if path.startswith("/lab/v1/"):
            await self._lab(served, path, receive, send)
            return
        await served.wait_while_frozen()
        if path == LEASE_PATH:
            await self._lease(served, receive, send)
        elif path == "/limedeck/v1/health":
            await _respond(send, 200, served.faults.health.encode())
        elif path == "/limedeck/v1/load":
            claimed = served.faults.reported_in_flight
            true_load = len(served.backend.in_flight)
            load = {"in_flight": true_load if claimed is None else claimed}
            await _respond(send, 200, json.dumps(load).encode())
        else:
            await self._work(served, scope, receive, send)

    async def _lab(self, served: ServedBackend, path: str, receive: Receive, send: Send) -> None:
        body = await _read_body(receive)
        if path == "/lab/v1/executions":
            content = json.dumps(served.backend.executions).encode()
            await _respond(send, 200, content)
        elif path == "/lab/v1/faults":
            try:
                served.set_faults(BackendFaults.model_validate_json(body))
            except ValidationError as error:
                await _respond(send, 400, str(error).encode())
                return
            await _respond(send, 200, b"{}")
        elif path == "/lab/v1/drain":
            served.backend.draining = True
            await _respond(send, 200, b"{}")
        else:
            await _respond(send, 404, b"{}")

    async def _lease(self, served: ServedBackend, receive: Receive, send: Send) -> None:
        try:
            request = LeaseRequest.FromString(await _read_body(receive))
        except DecodeError:
            await _respond(send, 400, b"not a lease request")
            return
        reply = served.backend.handle_lease(request, steady_clock())
        await _respond(send, 200, reply.SerializeToString(), PROTOBUF_TYPE)

    async def _work(
        self, served: ServedBackend, scope: Scope, receive: Receive, send: Send
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        body = await _read_body(receive)
        position = headers.get("limedeck-key-position")
        work = Work(
            headers.get("limedeck-request-id", ""),
            int(position) if position else None,
            scope["method"] not in SAFE_METHODS,
        )
        if served.faults.shed_all:
            await _refuse(send, Refusal.SHED)
            return
        if served.faults.cut_before:
            await _cut(send)
        number = served.backend.admit(work, steady_clock())
        if isinstance(number, Refusal):
            await _refuse(send, number)
            return
        deadline = steady_clock() + int(headers.get("limedeck-deadline-ms", 60_000)) / MILLISECONDS
        try:
            refusal = await self._run_unless_cancelled(served, number, deadline, receive)
        finally:
            served.backend.finish(number)
        if refusal is not None:
            await _refuse(send, refusal)
            return
        await self._respond_to_work(served, work, scope, body, send)

    async def _run_unless_cancelled(
        self, served: ServedBackend, number: int, deadline: float, receive: Receive
    ) -> Refusal | None:
        """Run a request unless its caller disconnects first."""
        refusal: Refusal | None = None
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                raise ConnectionCut

            tasks.start_soon(watch)
            refusal = await self._run(served, number, deadline)
            tasks.cancel_scope.cancel()
        return refusal

    async def _run(self, served: ServedBackend, number: int, deadline: float) -> Refusal | None:
        async with served.slots:
            mean = served.specification.service_seconds * served.slowdown(steady_clock())
            await anyio.sleep(self._random.uniform(0.5, 1.5) * mean)
            await served.wait_while_frozen()
            if steady_clock() > deadline:
                return Refusal.EXPIRED
            return served.backend.execute(number, steady_clock())

    async def _respond_to_work(
        self, served: ServedBackend, work: Work, scope: Scope, body: bytes, send: Send
    ) -> None:
        if served.faults.cut_after:
            await _cut(send)
        if served.faults.answer_delay_seconds > 0:
            await anyio.sleep(served.faults.answer_delay_seconds)
        content = json.dumps(
            {
                "backend": served.specification.backend_id,
                "request_id": work.request_id,
                "method": scope["method"],
                "path": scope["path"],
                "body_bytes": len(body),
            }
        ).encode()
        content += b" " * _padding(scope)
        if served.faults.half_answer:
            await _send_head(send, 200, len(content), "application/json")
            half = content[: len(content) // 2]
            await send({"type": "http.response.body", "body": half, "more_body": True})
            raise ConnectionCut
        await _respond(send, 200, content)


def _new_backend(specification: BackendSpecification) -> StandInBackend:
    return StandInBackend(
        specification.backend_id,
        new_incarnation(),
        specification.slots,
        specification.queue_limit,
        specification.keyed,
    )


def _padding(scope: Scope) -> int:
    """Return the number of bytes to add to a response, as requested with ``?bytes=N``."""
    query: str = scope["query_string"].decode()
    name, _, value = query.partition("=")
    return int(value) if name == "bytes" and value.isdigit() else 0


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        message: Message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionCut
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return bytes(body)


async def _send_head(
    send: Send,
    status: int,
    length: int,
    content_type: str,
    extra: tuple[bytes, bytes] | None = None,
) -> None:
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(length).encode()),
    ]
    if extra is not None:
        headers.append(extra)
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _cut(send: Send) -> NoReturn:
    """Make the server close the connection without a response.

    An error before the head of a response would lead to status 500; the head itself is sent only
    with the first part of the body.
    """
    await _send_head(send, 200, 1, "application/json")
    raise ConnectionCut


async def _respond(
    send: Send, status: int, content: bytes, content_type: str = "application/json"
) -> None:
    await _send_head(send, status, len(content), content_type)
    await send({"type": "http.response.body", "body": content})


async def _refuse(send: Send, refusal: Refusal) -> None:
    status = 421 if refusal is Refusal.NOT_OWNER else 503
    header = (REFUSAL_HEADER.encode(), refusal.value.encode())
    await _send_head(send, status, 0, "application/json", header)
    await send({"type": "http.response.body", "body": b""})
