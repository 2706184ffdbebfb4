"""The platform's metadata store over HTTP (PROTOCOL.md, "The platform's metadata store")."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import TypeVar

import httpx
import msgspec

from limedeck.identity import Seconds
from limedeck.store.rows import (
    ConditionFailed,
    DroppedRow,
    HistoryGone,
    RowCondition,
    RowKey,
    RowStore,
    RowWrite,
    StoredRow,
    StoreProtocolError,
    StoreRefused,
    StoreUnavailable,
    TableChanges,
    TableRead,
    Written,
)

MILLISECONDS = 1000
DEAD_PEER_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
]
"""A connection whose other end is gone ends within three seconds, also while it waits."""
OK = 200
HISTORY_GONE = 410
CONDITION_FAILED = 412


class _Row(msgspec.Struct):
    table: str
    key_file: str
    part: str = ""
    value: bytes = b""
    ver: int = 0
    gone: bool = False


class _Rows(msgspec.Struct):
    ver: int
    rows: list[_Row] = []
    has_more: bool = False
    now_s: float = 0.0


Body = TypeVar("Body")


class PlatformStore(RowStore):
    """Rows in the platform's store.

    Parameters
    ----------
    address
        IP number and port.
    timeout
        Longest time to wait for an answer beyond what the call itself asks for, in seconds.
    """

    def __init__(self, address: str, timeout: Seconds) -> None:
        self._timeout = timeout
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=timeout,
            trust_env=False,
            transport=httpx.AsyncHTTPTransport(socket_options=DEAD_PEER_OPTIONS),
        )

    async def read(self, table: str, part: str = "") -> TableRead:
        rows: list[StoredRow] = []
        query = {"table": table, "part": part}
        while True:
            found = _decoded(await self._call("GET", "/v1/rows-get", query))
            rows += [_stored(row) for row in found.rows]
            if not found.has_more or not found.rows:
                return TableRead(tuple(rows), found.ver, found.now_s)
            query["from"] = found.rows[-1].key_file + "\0"

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Written:
        body = {
            "expected_revision": [{**_names(c.row), "ver": c.version} for c in conditions],
            "put": [{**_names(w.row), "value": w.value} for w in writes],
            "remove": [],
        }
        answer = await self._call("POST", "/v1/rows-tx", {}, msgspec.json.encode(body))
        found = _decoded(answer)
        if answer.status_code == CONDITION_FAILED:
            raise ConditionFailed(tuple(_stored(row) for row in found.rows if row.ver))
        return Written(found.ver, found.now_s)

    async def changes(self, table: str, after: int, wait: Seconds) -> TableChanges:
        query = {"table": table, "after": str(after), "wait_ms": str(int(wait * MILLISECONDS))}
        answer = await self._call("GET", "/v1/rows-feed", query, timeout=wait + self._timeout)
        if answer.status_code == HISTORY_GONE:
            raise HistoryGone
        found = _decoded(answer)
        return TableChanges(
            rows=tuple(_stored(row) for row in found.rows if not row.gone),
            dropped=tuple(DroppedRow(row.key_file, row.ver) for row in found.rows if row.gone),
            version=found.ver,
        )

    async def aclose(self) -> None:
        await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None = None,
        timeout: Seconds | None = None,
    ) -> httpx.Response:
        headers = {"content-type": "application/json"} if body is not None else {}
        try:
            answer = await self._client.request(
                method,
                path,
                params=query,
                content=body,
                headers=headers,
                timeout=httpx.Timeout(timeout or self._timeout, connect=self._timeout),
            )
        except httpx.HTTPError as error:
            raise StoreUnavailable(type(error).__name__) from error
        if answer.status_code not in (OK, HISTORY_GONE, CONDITION_FAILED):
            raise StoreRefused(answer.status_code)
        return answer


def _names(row: RowKey) -> dict[str, str]:
    return {"table": row.table, "part": row.part, "key_file": row.key}


def _stored(row: _Row) -> StoredRow:
    return StoredRow(row.table, row.part, row.key_file, row.value, row.ver)


def _decoded(answer: httpx.Response) -> _Rows:
    try:
        return msgspec.json.decode(answer.content, type=_Rows)
    except msgspec.DecodeError as error:
        raise StoreProtocolError(str(error)) from error
