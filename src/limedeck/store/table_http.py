"""The platform's services over HTTP with JSON bodies, as its published protocol describes them."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Sequence
from typing import TypeVar

import httpx
from pydantic import BaseModel, ValidationError

from limedeck.errors import (
    PlatformProtocolError,
    PlatformRateLimited,
    PlatformUnavailable,
    TransactionConflict,
)
from limedeck.store.table import (
    Condition,
    Machine,
    MachineList,
    MachineState,
    ObjectStore,
    Row,
    TransactionalTable,
    Write,
)

DEFAULT_RETRY_AFTER_SECONDS = 1.0
Model = TypeVar("Model", bound=BaseModel)


class RowBody(BaseModel):
    """A row in JSON; the value is base64."""

    key: str
    revision: int
    value: str


class ReadBody(BaseModel):
    """Response to a read."""

    rows: list[RowBody]


class ReadRequestBody(BaseModel):
    """A read of single rows, of a prefix, or of both."""

    keys: list[str] = []
    prefix: str | None = None


class ConditionBody(BaseModel):
    """A condition in JSON."""

    key: str
    revision: int


class WriteBody(BaseModel):
    """A write in JSON; a null value deletes the row."""

    key: str
    value: str | None


class TransactRequestBody(BaseModel):
    """A transaction in JSON."""

    conditions: list[ConditionBody]
    writes: list[WriteBody]


class TransactBody(BaseModel):
    """Response to a committed transaction."""

    revision: int


class ConflictBody(BaseModel):
    """Response to a transaction of which a condition was not met."""

    key: str
    expected: int
    actual: int


class MachineBody(BaseModel):
    """A machine in JSON."""

    machine_id: str
    address: str
    zone: str
    state: MachineState


class MachinesBody(BaseModel):
    """Response of the machine list."""

    machines: list[MachineBody]


class PlatformConnection:
    """Sends requests to one of the platform's services and raises its failures as typed errors."""

    def __init__(self, service: str, url: str, timeout: float) -> None:
        self.service = service
        self._client = httpx.AsyncClient(
            base_url=url, timeout=timeout, limits=httpx.Limits(max_connections=8)
        )

    async def request(self, method: str, path: str, content: bytes | None = None) -> httpx.Response:
        """Send a request; raise an error if it is rate-limited, fails or gets a 5xx status."""
        try:
            response = await self._client.request(method, path, content=content)
        except httpx.HTTPError as error:
            raise PlatformUnavailable(self.service, type(error).__name__) from error
        if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
            raise PlatformRateLimited(self.service, _retry_after(response))
        if response.is_server_error:
            raise PlatformUnavailable(self.service, f"status {response.status_code}")
        return response

    def parse(self, model: type[Model], response: httpx.Response) -> Model:
        """Parse a JSON body."""
        if not response.is_success and response.status_code != httpx.codes.CONFLICT:
            raise PlatformProtocolError(self.service, f"status {response.status_code}")
        try:
            return model.model_validate_json(response.content)
        except ValidationError as error:
            raise PlatformProtocolError(self.service, str(error)) from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()


class HttpTransactionalTable(TransactionalTable):
    """The table service over HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        self._connection = PlatformConnection("table", url, timeout)

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        rows = await self._read(ReadRequestBody(keys=list(keys)))
        return {row.key: row for row in rows}

    async def read_prefix(self, prefix: str, keys: Sequence[str] = ()) -> list[Row]:
        return await self._read(ReadRequestBody(keys=list(keys), prefix=prefix))

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        body = TransactRequestBody(
            conditions=[ConditionBody(key=item.key, revision=item.revision) for item in conditions],
            writes=[WriteBody(key=item.key, value=_encode(item.value)) for item in writes],
        )
        response = await self._connection.request(
            "POST", "/table/v1/transact", body.model_dump_json().encode()
        )
        if response.status_code == httpx.codes.CONFLICT:
            conflict = self._connection.parse(ConflictBody, response)
            raise TransactionConflict(conflict.key, conflict.expected, conflict.actual)
        return self._connection.parse(TransactBody, response).revision

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()

    async def _read(self, body: ReadRequestBody) -> list[Row]:
        response = await self._connection.request(
            "POST", "/table/v1/read", body.model_dump_json().encode()
        )
        rows = self._connection.parse(ReadBody, response).rows
        return [Row(row.key, row.revision, self._decode(row.value)) for row in rows]

    def _decode(self, value: str) -> bytes:
        try:
            return base64.b64decode(value, validate=True)
        except binascii.Error as error:
            raise PlatformProtocolError("table", "a value is not base64") from error


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        self._connection = PlatformConnection("object store", url, timeout)

    async def put(self, name: str, content: bytes) -> None:
        response = await self._connection.request("PUT", f"/objects/v1/{name}", content)
        if not response.is_success:
            raise PlatformProtocolError("object store", f"status {response.status_code}")

    async def get(self, name: str) -> bytes | None:
        response = await self._connection.request("GET", f"/objects/v1/{name}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        if not response.is_success:
            raise PlatformProtocolError("object store", f"status {response.status_code}")
        return response.content

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()


class HttpMachineList(MachineList):
    """The machine list over HTTP."""

    def __init__(self, url: str, timeout: float) -> None:
        self._connection = PlatformConnection("machine list", url, timeout)

    async def machines(self) -> list[Machine]:
        response = await self._connection.request("GET", "/machines/v1")
        body = self._connection.parse(MachinesBody, response)
        return [
            Machine(item.machine_id, item.address, item.zone, item.state) for item in body.machines
        ]

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()


def _encode(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _retry_after(response: httpx.Response) -> float:
    try:
        return float(response.headers.get("retry-after", DEFAULT_RETRY_AFTER_SECONDS))
    except ValueError:
        return DEFAULT_RETRY_AFTER_SECONDS
