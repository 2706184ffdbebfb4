"""A stand-in for a row store behind HTTP, with faults, for tests.

It implements the protocol that an adapter expects. The test supplies the names of paths and fields,
so that this module does not depend on a platform.
"""

from __future__ import annotations

import base64
import enum
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

MILLISECONDS = 1000
FEED_POLL_INTERVAL = 0.02


class Fault(enum.Enum):
    """Fault that affects one call."""

    REFUSE = "refuse"
    OVER_RATE = "over-rate"
    LOSE_RESPONSE = "lose-answer"
    NONSENSE = "nonsense"


@dataclass(frozen=True)
class StoreWords:
    """Names of the protocol's paths and fields."""

    read: str
    transact: str
    feed: str
    conditions: str
    key: str
    version: str
    more: str


@dataclass
class RowStoreStandIn:
    """Rows by table, part and key.

    Parameters
    ----------
    page
        Maximum number of rows in one response to a read.
    forgotten
        The feed no longer has the changes up to this version.
    patience
        Delay in seconds of a lost response, which arrives when nobody waits for it any longer.
    """

    words: StoreWords
    page: int = 500
    version: int = 0
    forgotten: int = 0
    patience: float = 1.0
    rows: dict[tuple[str, str, str], tuple[str, int]] = field(default_factory=dict)
    gone: list[tuple[tuple[str, str, str], int]] = field(default_factory=list)
    faults: deque[Fault] = field(default_factory=deque)

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route(self.words.read, self._read),
                Route(self.words.transact, self._transact, methods=["POST"]),
                Route(self.words.feed, self._feed),
            ]
        )

    def drop(self, table: str, part: str, key: str) -> None:
        """Delete a row, as its writer would."""
        self.version += 1
        self._remove((table, part, key))

    def _remove(self, key: tuple[str, str, str]) -> None:
        if self.rows.pop(key, None) is not None:
            self.gone.append((key, self.version))

    async def _fault(self) -> Response | None:
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.REFUSE:
            return Response(status_code=503)
        if fault is Fault.OVER_RATE:
            return Response(status_code=429)
        if fault is Fault.NONSENSE:
            return Response("what?", status_code=200)
        if fault is Fault.LOSE_RESPONSE:
            await anyio.sleep(self.patience)
        return None

    async def _read(self, request: Request) -> Response:
        failed = await self._fault()
        if failed is not None:
            return failed
        query = request.query_params
        wanted = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and key[2] >= query.get("from", "")
        )
        rows = [self._row_body(key) for key in wanted[: self.page]]
        return self._response(200, rows, {self.words.more: len(wanted) > self.page})

    async def _transact(self, request: Request) -> Response:
        if self.faults and self.faults[0] is not Fault.LOSE_RESPONSE:
            failed = await self._fault()
            if failed is not None:
                return failed
        body: dict[str, Any] = await request.json()
        conditions = body[self.words.conditions]
        if any(self._version(item) != item[self.words.version] for item in conditions):
            named = [self._key(item) for item in conditions]
            rows = [self._row_body(key) for key in named if key in self.rows]
            return self._response(412, rows, {})
        self.version += 1
        for item in body["put"]:
            self.rows[self._key(item)] = (item["value"], self.version)
        for item in body["remove"]:
            self._remove(self._key(item))
        await self._fault()
        return self._response(200, [], {})

    async def _feed(self, request: Request) -> Response:
        failed = await self._fault()
        if failed is not None:
            return failed
        after = int(request.query_params["after"])
        if after < self.forgotten:
            return Response(status_code=410)
        table = request.query_params["table"]
        deadline = anyio.current_time() + int(request.query_params["wait_ms"]) / MILLISECONDS
        rows = self._changes(table, after)
        while not rows and anyio.current_time() < deadline:
            await anyio.sleep(FEED_POLL_INTERVAL)
            rows = self._changes(table, after)
        return self._response(200, rows, {})

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            self._row_body(key)
            for key, (_, version) in self.rows.items()
            if key[0] == table and version > after
        ]
        rows += [
            {**self._key_fields(key), self.words.version: version, "gone": True}
            for key, version in self.gone
            if key[0] == table and version > after
        ]
        return rows

    def _response(self, status: int, rows: list[dict[str, Any]], more: dict[str, Any]) -> Response:
        body = {"rows": rows, self.words.version: self.version, "now_s": time.monotonic(), **more}
        return JSONResponse(body, status_code=status)

    def _key(self, item: dict[str, Any]) -> tuple[str, str, str]:
        return item["table"], item["part"], item[self.words.key]

    def _version(self, item: dict[str, Any]) -> int:
        return self.rows.get(self._key(item), ("", 0))[1]

    def _key_fields(self, key: tuple[str, str, str]) -> dict[str, Any]:
        return {"table": key[0], "part": key[1], self.words.key: key[2]}

    def _row_body(self, key: tuple[str, str, str]) -> dict[str, Any]:
        value, version = self.rows[key]
        return {**self._key_fields(key), "value": value, self.words.version: version}

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as another process would."""
        self.version += 1
        self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version)
