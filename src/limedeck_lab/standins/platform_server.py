"""Stand-in for the platform over HTTP: table, object store and machine list, with faults."""

from __future__ import annotations

import base64
import time
from dataclasses import dataclass, field

import anyio
from hypercorn.asyncio import serve
from pydantic import BaseModel, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from limedeck.daemon.server import http_config
from limedeck.errors import TransactionConflict
from limedeck.store.table import Condition, Row, Write
from limedeck.store.table_http import (
    ConflictBody,
    MachineBody,
    MachinesBody,
    ReadBody,
    ReadRequestBody,
    RowBody,
    TransactBody,
    TransactRequestBody,
)
from limedeck_lab.standins.table import MemoryTable

SERVER_GRACE = 1.0
RATE_BURST_SECONDS = 2.0


class PlatformFaults(BaseModel):
    """Faults of the platform, set by ``PUT /lab/v1/faults``.

    Parameters
    ----------
    down
        Every call gets status 503.
    delay_seconds
        Time by which every call is delayed.
    lost_answers
        Number of next transactions that are applied but get status 503.
    refused_calls
        Number of next calls that are refused as if over the rate limit.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    refused_calls: int = 0


@dataclass
class RateLimit:
    """Token bucket for all calls.

    Parameters
    ----------
    per_second
        Calls allowed per second; zero for no limit.
    """

    per_second: float
    tokens: float = 0.0
    refilled_at: float = field(default_factory=time.monotonic)

    def try_acquire(self) -> bool:
        """Take a token; return whether there was one."""
        if self.per_second == 0:
            return True
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.tokens + earned, self.per_second * RATE_BURST_SECONDS)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class PlatformServer:
    """All three services in one process.

    Parameters
    ----------
    calls_per_second
        Rate limit for table and object store together; zero for none.
    """

    def __init__(self, calls_per_second: float = 0.0) -> None:
        self.table = MemoryTable()
        self.objects: dict[str, bytes] = {}
        self.machines: list[MachineBody] = []
        self.faults = PlatformFaults()
        self._rate = RateLimit(calls_per_second, calls_per_second)
        self.application = Starlette(
            routes=[
                Route("/table/v1/read", self._read, methods=["POST"]),
                Route("/table/v1/transact", self._transact, methods=["POST"]),
                Route("/objects/v1/{name:path}", self._object, methods=["GET", "PUT"]),
                Route("/machines/v1", self._machines, methods=["GET"]),
                Route("/lab/v1/faults", self._set_faults, methods=["PUT"]),
                Route("/lab/v1/machines", self._set_machines, methods=["PUT"]),
                Route("/lab/v1/counts", self._counts, methods=["GET"]),
            ]
        )

    async def serve(self, address: str, stop: anyio.Event) -> None:
        """Serve until `stop` is set."""
        config = http_config(address, SERVER_GRACE)
        await serve(self.application, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

    async def _fault_response(self) -> Response | None:
        """Apply the faults; return a response if the call is not to be handled."""
        if self.faults.refused_calls > 0:
            self.faults.refused_calls -= 1
            return _too_many()
        if not self._rate.try_acquire():
            return _too_many()
        if self.faults.delay_seconds > 0:
            await anyio.sleep(self.faults.delay_seconds)
        if self.faults.down:
            return Response(status_code=503)
        return None

    async def _read(self, request: Request) -> Response:
        fault_response = await self._fault_response()
        if fault_response is not None:
            return fault_response
        try:
            body = ReadRequestBody.model_validate_json(await request.body())
        except ValidationError as error:
            return _bad_request(error)
        rows = self.table.read(body.keys, body.prefix)
        return _json(ReadBody(rows=[_row_body(row) for row in rows]))

    async def _transact(self, request: Request) -> Response:
        fault_response = await self._fault_response()
        if fault_response is not None:
            return fault_response
        try:
            body = TransactRequestBody.model_validate_json(await request.body())
        except ValidationError as error:
            return _bad_request(error)
        try:
            revision = self.table.transact(_conditions(body), _writes(body))
        except TransactionConflict as conflict:
            conflict_body = ConflictBody(
                key=conflict.key,
                expected=conflict.expected_revision,
                actual=conflict.actual_revision,
            )
            return _json(conflict_body, status=409)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return Response(status_code=503)
        return _json(TransactBody(revision=revision))

    async def _object(self, request: Request) -> Response:
        fault_response = await self._fault_response()
        if fault_response is not None:
            return fault_response
        name = request.path_params["name"]
        if request.method == "PUT":
            self.objects[name] = await request.body()
            return Response(status_code=204)
        content = self.objects.get(name)
        return Response(status_code=404) if content is None else Response(content)

    async def _machines(self, request: Request) -> Response:
        if self.faults.down:
            return Response(status_code=503)
        return _json(MachinesBody(machines=self.machines))

    async def _set_faults(self, request: Request) -> Response:
        try:
            self.faults = PlatformFaults.model_validate_json(await request.body())
        except ValidationError as error:
            return _bad_request(error)
        return _json(self.faults)

    async def _set_machines(self, request: Request) -> Response:
        try:
            self.machines = MachinesBody.model_validate_json(await request.body()).machines
        except ValidationError as error:
            return _bad_request(error)
        return Response(status_code=204)

    async def _counts(self, request: Request) -> Response:
        return JSONResponse({"reads": self.table.reads, "transactions": self.table.transactions})


def _conditions(body: TransactRequestBody) -> list[Condition]:
    return [Condition(item.key, item.revision) for item in body.conditions]


def _writes(body: TransactRequestBody) -> list[Write]:
    return [
        Write(item.key, None if item.value is None else base64.b64decode(item.value))
        for item in body.writes
    ]


def _row_body(row: Row) -> RowBody:
    value = base64.b64encode(row.value).decode()
    return RowBody(key=row.key, revision=row.revision, value=value)


def _json(body: BaseModel, status: int = 200) -> Response:
    return Response(body.model_dump_json(), status_code=status, media_type="application/json")


def _too_many() -> Response:
    return Response(status_code=429, headers={"retry-after": "1"})


def _bad_request(error: ValidationError) -> Response:
    return JSONResponse({"problem": str(error)}, status_code=400)
