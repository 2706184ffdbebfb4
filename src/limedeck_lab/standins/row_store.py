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
COPY_SECONDS = 20.0
"""How long copies of the rows are kept."""
Key = tuple[str, str, str]


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
    era: str


@dataclass(frozen=True)
class StoreCopy:
    """The rows at one moment."""

    at: float
    version: int
    rows: dict[Key, tuple[str, int]]
    gone: list[tuple[Key, int]]


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
    era
        How often the store has returned from a copy; None: responses do not state it.
    era_headers
        Values of the era's header in all responses, in place of the era.
    away
        All calls are refused.
    """

    words: StoreWords
    page: int = 500
    version: int = 0
    forgotten: int = 0
    patience: float = 1.0
    era: int | None = None
    era_headers: tuple[str, ...] | None = None
    away: bool = False
    rows: dict[Key, tuple[str, int]] = field(default_factory=dict)
    gone: list[tuple[Key, int]] = field(default_factory=list)
    faults: deque[Fault] = field(default_factory=deque)
    copies: deque[StoreCopy] = field(default_factory=deque)

    def application(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route(self.words.read, self._read),
                Route(self.words.transact, self._transact, methods=["POST"]),
                Route(self.words.feed, self._feed),
            ]
        )

    def return_from_copy(self, seconds: float) -> None:
        """Go back to the rows of some seconds ago; what was written since is lost."""
        copy = StoreCopy(0.0, 0, {}, [])
        while self.copies and self.copies[0].at <= time.monotonic() - seconds:
            copy = self.copies.popleft()
        self.era = (self.era or 0) + 1
        self.rows, self.gone, self.version = dict(copy.rows), list(copy.gone), copy.version
        self.copies.clear()
        self._keep_copy()

    def _keep_copy(self) -> None:
        now = time.monotonic()
        self.copies.append(StoreCopy(now, self.version, dict(self.rows), list(self.gone)))
        while self.copies[0].at < now - COPY_SECONDS:
            self.copies.popleft()

    def drop(self, table: str, part: str, key: str) -> None:
        """Delete a row, as its writer would."""
        self.version += 1
        self._remove((table, part, key))
        self._keep_copy()

    def _remove(self, key: Key) -> None:
        if self.rows.pop(key, None) is not None:
            self.gone.append((key, self.version))

    async def _fault(self) -> Response | None:
        fault = self.faults.popleft() if self.faults else None
        if self.away or fault is Fault.REFUSE:
            return self._empty_response(503)
        if fault is Fault.OVER_RATE:
            return self._empty_response(429)
        if fault is Fault.NONSENSE:
            return self._empty_response(200, "what?")
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
        if self.away or (self.faults and self.faults[0] is not Fault.LOSE_RESPONSE):
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
        self._keep_copy()
        await self._fault()
        return self._response(200, [], {})

    async def _feed(self, request: Request) -> Response:
        failed = await self._fault()
        if failed is not None:
            return failed
        after = int(request.query_params["after"])
        if after < self.forgotten or after > self.version:
            return self._empty_response(410)
        table = request.query_params["table"]
        deadline = anyio.current_time() + int(request.query_params["wait_ms"]) / MILLISECONDS
        rows = self._changes(table, after)
        while not rows and anyio.current_time() < deadline and after <= self.version:
            await anyio.sleep(FEED_POLL_INTERVAL)
            rows = self._changes(table, after)
        if after > self.version:
            return self._empty_response(410)
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
        response = JSONResponse(body, status_code=status)
        return self._state_era(response)

    def _empty_response(self, status: int, text: str = "") -> Response:
        return self._state_era(Response(text, status_code=status))

    def _state_era(self, response: Response) -> Response:
        values = self.era_headers
        if values is None:
            values = () if self.era is None else (str(self.era),)
        for value in values:
            response.headers.append(self.words.era, value)
        return response

    def _key(self, item: dict[str, Any]) -> Key:
        return item["table"], item["part"], item[self.words.key]

    def _version(self, item: dict[str, Any]) -> int:
        return self.rows.get(self._key(item), ("", 0))[1]

    def _key_fields(self, key: Key) -> dict[str, Any]:
        return {"table": key[0], "part": key[1], self.words.key: key[2]}

    def _row_body(self, key: Key) -> dict[str, Any]:
        value, version = self.rows[key]
        return {**self._key_fields(key), "value": value, self.words.version: version}

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as another process would."""
        self.version += 1
        self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version)
        self._keep_copy()
