"""The platform's metadata store over HTTP (PROTOCOL.md, "The platform's metadata store")."""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec

from limedeck import clock, decoding, http_client, versions
from limedeck.identity import Seconds
from limedeck.platform.headers import STORE_ERA
from limedeck.routing.outcomes import AttemptFailed
from limedeck.store import eras, rows

MS_PER_SECOND = 1000
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


_ROWS = msgspec.json.Decoder(_Rows)


class PlatformStore(rows.RowStore):
    """Rows in the platform's store.

    Parameters
    ----------
    address
        IP number and port.
    timeout
        Longest time to wait for a response, in addition to the wait that a call requests.
    """

    def __init__(self, address: str, timeout: Seconds) -> None:
        self._address = address
        self._timeout = timeout
        self._client = http_client.HttpClient(
            connect_timeout=timeout, socket_options=http_client.DEAD_PEER_OPTIONS
        )
        self._eras = eras.EraTracker()

    @property
    def era(self) -> int:
        return self._eras.current

    async def read(self, table: str, part: str = "") -> rows.TableRead:
        stored: list[rows.StoredRow] = []
        query = {"table": table, "part": part}
        version: versions.StoreVersion | None = None
        while True:
            response, era = await self._call("GET", "/v1/rows-get", query)
            if version is not None:
                self._eras.check_position(version)
            found = _decoded(response)
            stored += [_stored(row, era) for row in found.rows]
            # Changes after the first page are announced again: later pages may show some of them.
            version = version or versions.store_version(era, found.ver)
            if not found.has_more or not found.rows:
                return rows.TableRead(tuple(stored), version, found.now_s)
            query["from"] = found.rows[-1].key_file + "\0"

    async def transact(
        self, conditions: Sequence[rows.RowCondition], writes: Sequence[rows.RowWrite]
    ) -> rows.WriteResult:
        self._eras.check_conditions(conditions)
        body = {
            "expected_revision": [
                {**_row_id(c.row), "ver": versions.number_of(c.version)} for c in conditions
            ],
            "put": [{**_row_id(w.row), "value": w.value} for w in writes if w.value is not None],
            "remove": [_row_id(w.row) for w in writes if w.value is None],
        }
        response, era = await self._call("POST", "/v1/rows-tx", {}, body=msgspec.json.encode(body))
        self._eras.check_conditions(conditions)
        found = _decoded(response)
        if response.status == CONDITION_FAILED:
            current = tuple(_stored(row, era) for row in found.rows if row.ver)
            raise rows.ConditionFailed(current, versions.start_of(era))
        return rows.WriteResult(versions.store_version(era, found.ver), found.now_s)

    async def changes(
        self, table: str, after: versions.StoreVersion, wait: Seconds
    ) -> rows.TableChanges:
        self._eras.check_position(after)
        position, wait_ms = versions.number_of(after), int(wait * MS_PER_SECOND)
        query = {"table": table, "after": str(position), "wait_ms": str(wait_ms)}
        response, era = await self._call("GET", "/v1/rows-feed", query, wait + self._timeout)
        self._eras.check_position(after)
        found = _decoded(response)
        changed = [_stored(row, era) for row in found.rows if not row.gone]
        gone = [_stored(row, era) for row in found.rows if row.gone]
        return rows.TableChanges(
            rows=tuple(changed),
            dropped=tuple(rows.DroppedRow(row.key, row.version) for row in gone),
            version=versions.store_version(era, found.ver),
        )

    async def aclose(self) -> None:
        await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout: Seconds | None = None,
        body: bytes | None = None,
    ) -> tuple[http_client.HttpResponse, int]:
        """Make a call; return the response and its era."""
        headers = [(b"host", self._address.encode())]
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        target = f"{path}?{urlencode(query)}" if query else path
        request = http_client.HttpRequest(
            self._address, method.encode(), target.encode(), headers, body or b""
        )
        until = clock.steady_clock() + (timeout or self._timeout)
        try:
            response = await self._client.exchange(request, until)
        except AttemptFailed as error:
            raise rows.StoreUnavailable(str(error)) from error
        era = self._eras.record([value for name, value in response.headers if name == STORE_ERA])
        if response.status == HISTORY_GONE:
            raise rows.HistoryGone
        if response.status not in (OK, CONDITION_FAILED):
            raise rows.StoreRefused(response.status)
        return response, era


def _row_id(row: rows.RowKey) -> dict[str, str]:
    return {"table": row.table, "part": row.part, "key_file": row.key}


def _stored(row: _Row, era: int) -> rows.StoredRow:
    version = versions.store_version(era, row.ver)
    return rows.StoredRow(row.table, row.part, row.key_file, row.value, version)


def _decoded(response: http_client.HttpResponse) -> _Rows:
    return decoding.decode(_ROWS.decode, response.body, rows.StoreProtocolError)
