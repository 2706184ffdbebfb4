"""Rows with one counter, a feed and a clock over a transactional table that has none of them.

A transactional table raises a row's revision when that row is written, tells nobody of changes and
has no clock. So each transaction here also writes one row, the head, under a condition on its
revision: it holds the version of all, that of each table, and how far the clock had come. What that
costs is that transactions wait for each other, and that a table is read whole after it changed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote, unquote

import anyio
import msgspec

from limedeck.clock import steady_clock
from limedeck.errors import (
    PlatformError,
    PlatformProtocolError,
    PlatformRateLimited,
    TransactionConflict,
)
from limedeck.identity import NEVER, Seconds
from limedeck.store.rows import (
    ABSENT,
    ConditionFailed,
    DroppedRow,
    HistoryGone,
    RowCondition,
    RowKey,
    RowStore,
    RowWrite,
    StoreContended,
    StoredRow,
    StoreProtocolError,
    StoreRefused,
    StoreUnavailable,
    TableChanges,
    TableRead,
    WriteResult,
)
from limedeck.store.table import Condition, Row, TransactionalTable, Write

HEAD_KEY = "row-head"
ROW_PREFIX = "row/"
ATTEMPTS = 12
"""Transactions that meet are tried so often; with `CONTENTION_PAUSE`, for a second and a half at
most, in which a node waits as it does for a slow store. An estimate."""
CONTENTION_PAUSE: Seconds = 0.02
"""Longest pause after the first lost race; one more of them after each further one."""
FEED_INTERVAL: Seconds = 0.2
"""Between two looks at the head while waiting for a change: a tenth of the time in which a changed
configuration is to be in force everywhere. Each costs a call that reads one row."""
DROPS_KEPT = 100
"""Dropped rows of a table that the feed can tell of; who is further behind reads the table whole.
Each is a row that every reading of the table brings along."""
TOO_MANY_REQUESTS = 429
Record = TypeVar("Record", bound=msgspec.Struct)


class _Head(msgspec.Struct):
    """What all transactions write.

    Parameters
    ----------
    version
        Of the newest transaction.
    time
        The clock at that transaction, in seconds.
    tables
        Version of the newest transaction that wrote rows of a table.
    forgotten
        The feed of a table knows no drops up to this version.
    """

    version: int = ABSENT
    time: Seconds = 0.0
    tables: dict[str, int] = {}
    forgotten: dict[str, int] = {}


class _Content(msgspec.Struct):
    """A row's value and version; without a value it was dropped."""

    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Rows at one moment, dropped ones among them, and the head's revision in the table."""

    head: _Head
    revision: int
    rows: dict[RowKey, _Content]


class ObservedClock:
    """A clock that all users of a store share, carried on by whoever writes.

    It never runs ahead of the fastest user's own clock, and is behind the store's by the time that
    nobody wrote or looked: an age told by it is never too high.
    """

    def __init__(self) -> None:
        self._seen: Seconds = NEVER
        self._seen_at: Seconds = 0.0

    def note(self, seen: Seconds, now: Seconds) -> None:
        """The clock had come so far when the store was last written."""
        if seen > self.read(now):
            self._seen = seen
            self._seen_at = now

    def read(self, now: Seconds) -> Seconds:
        """Return what it shows, in seconds; `NEVER` before anything was noted."""
        return self._seen + (now - self._seen_at)


class TableRowStore(RowStore):
    """A `RowStore` over a transactional table; all who write these rows must do it by one of these.

    The table is closed with it.
    """

    def __init__(self, table: TransactionalTable) -> None:
        self._table = table
        self._clock = ObservedClock()
        self._random = random.Random()

    async def read(self, table: str, part: str = "") -> TableRead:
        found = await self._read_prefix(_prefix(table, part))
        rows = tuple(sorted(_stored(found.rows), key=lambda row: row.key))
        return TableRead(rows, found.head.version, self._clock.read(steady_clock()))

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        for attempt in range(ATTEMPTS):
            found = await self._read_rows([item.row for item in conditions])
            _check(conditions, found)
            head = _next_head(found.head, writes, self._clock.read(steady_clock()))
            changed = [_write(item, head.version) for item in writes]
            forgotten = await self._forget_drops(head, writes)
            try:
                with _typed_errors():
                    await self._table.transact(
                        [Condition(HEAD_KEY, found.revision)],
                        [Write(HEAD_KEY, msgspec.json.encode(head)), *forgotten, *changed],
                    )
            except TransactionConflict:
                await anyio.sleep(self._random.uniform(0.0, CONTENTION_PAUSE * (attempt + 1)))
                continue
            return WriteResult(head.version, self._clock.read(steady_clock()))
        raise StoreContended(ATTEMPTS)

    async def changes(self, table: str, after: int, wait: Seconds) -> TableChanges:
        until = steady_clock() + wait
        while True:
            head = (await self._read_rows([])).head
            _check_history(head, table, after)
            if head.tables.get(table, ABSENT) > after:
                return await self._changes_since(table, after)
            left = until - steady_clock()
            if left <= 0.0:
                return TableChanges((), (), head.version)
            await anyio.sleep(min(FEED_INTERVAL, left))

    async def aclose(self) -> None:
        await self._table.aclose()

    async def _changes_since(self, table: str, after: int) -> TableChanges:
        found = await self._read_prefix(_prefix(table))
        _check_history(found.head, table, after)
        newer = sorted(
            ((row, content) for row, content in found.rows.items() if content.version > after),
            key=lambda item: item[1].version,
        )
        dropped = [DroppedRow(row.key, item.version) for row, item in newer if item.value is None]
        return TableChanges(tuple(_stored(dict(newer))), tuple(dropped), found.head.version)

    async def _forget_drops(self, head: _Head, writes: Sequence[RowWrite]) -> list[Write]:
        """Remove what was dropped long ago from tables of which rows are dropped now."""
        removed = []
        for table in {item.row.table for item in writes if item.value is None}:
            found = await self._read_prefix(_prefix(table))
            written = {item.row for item in writes}
            dropped = sorted(
                (content.version, _key(row))
                for row, content in found.rows.items()
                if content.value is None and row not in written
            )
            for version, key in dropped[: max(len(dropped) - DROPS_KEPT, 0)]:
                removed.append(Write(key, None))
                head.forgotten[table] = version
        return removed

    async def _read_rows(self, rows: Iterable[RowKey]) -> _Snapshot:
        with _typed_errors():
            found = await self._table.read([HEAD_KEY, *{_key(row) for row in rows}])
        return self._snapshot(found.values())

    async def _read_prefix(self, prefix: str) -> _Snapshot:
        with _typed_errors():
            found = await self._table.read_prefix(prefix, [HEAD_KEY])
        return self._snapshot(found)

    def _snapshot(self, rows: Iterable[Row]) -> _Snapshot:
        head, revision = _Head(), ABSENT
        contents = {}
        for row in rows:
            if row.key == HEAD_KEY:
                head, revision = _decoded(row, _Head), row.revision
            else:
                contents[_row_key(row.key)] = _decoded(row, _Content)
        self._clock.note(head.time, steady_clock())
        return _Snapshot(head, revision, contents)


def _check(conditions: Iterable[RowCondition], found: _Snapshot) -> None:
    """Raise `ConditionFailed` if a condition does not hold."""
    for condition in conditions:
        content = found.rows.get(condition.row)
        exists = content is not None and content.value is not None
        if condition.version != (content.version if content and exists else ABSENT):
            raise ConditionFailed(tuple(_stored(found.rows)))


def _check_history(head: _Head, table: str, after: int) -> None:
    """Raise `HistoryGone` if it is not known any more what changed since a version."""
    if not head.forgotten.get(table, ABSENT) <= after <= head.version:
        raise HistoryGone


def _next_head(head: _Head, writes: Iterable[RowWrite], time: Seconds) -> _Head:
    version = head.version + 1
    tables = {**head.tables, **{item.row.table: version for item in writes}}
    return _Head(version, max(time, head.time), tables, dict(head.forgotten))


def _write(item: RowWrite, version: int) -> Write:
    return Write(_key(item.row), msgspec.json.encode(_Content(version, item.value)))


def _stored(rows: dict[RowKey, _Content]) -> Iterator[StoredRow]:
    """Rows that were not dropped."""
    for row, content in rows.items():
        if content.value is not None:
            yield StoredRow(row.table, row.part, row.key, content.value, content.version)


def _prefix(*names: str) -> str:
    return ROW_PREFIX + "".join(f"{quote(name, safe='')}/" for name in names)


def _key(row: RowKey) -> str:
    return _prefix(row.table, row.part) + quote(row.key, safe="")


def _row_key(key: str) -> RowKey:
    names = key.removeprefix(ROW_PREFIX).split("/")
    if len(names) != 3:
        raise StoreProtocolError(f"{key} names no row")
    return RowKey(*(unquote(name) for name in names))


def _decoded(row: Row, kind: type[Record]) -> Record:
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.DecodeError as error:
        raise StoreProtocolError(f"row {row.key}: {error}") from error


@contextmanager
def _typed_errors() -> Iterator[None]:
    """Raise what a table raises as a `StoreError`, but lost races."""
    try:
        yield
    except TransactionConflict:
        raise
    except PlatformRateLimited as error:
        raise StoreRefused(TOO_MANY_REQUESTS) from error
    except PlatformProtocolError as error:
        raise StoreProtocolError(error.reason) from error
    except PlatformError as error:
        raise StoreUnavailable(str(error)) from error
