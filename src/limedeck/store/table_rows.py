"""A row store with one version counter, a feed and a clock on top of a table that has none of them.

A transactional table increases a row's revision when that row is written, does not announce
changes and has no clock. So each transaction here also writes one row, the head, under a condition
on its revision. The head holds the version of the store, that of each table, and the time of the
clock. The price is that transactions run one after the other, and that readers of the feed read
the whole table after a change.
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

from limedeck import decoding
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
MAX_TRANSACTION_ATTEMPTS = 12
"""Attempts at a transaction that conflicts with others. With `CONTENTION_PAUSE`, the pauses between
them last a second and a half at most, in which a node waits as it does for a slow store."""
CONTENTION_PAUSE: Seconds = 0.02
"""Longest pause after the first conflict; it grows by as much after each further one."""
FEED_INTERVAL: Seconds = 0.2
"""Time between two reads of the head while waiting for a change: a tenth of the time within which a
changed configuration has to be in force at all nodes. Each is a call that reads one row."""
MAX_DROPPED_ROWS = 100
"""Dropped rows of a table that stay in the feed; a reader that is further behind has to read the
whole table. Each read of the table also transfers all of them."""
TOO_MANY_REQUESTS = 429
Record = TypeVar("Record", bound=msgspec.Struct)


class _Head(msgspec.Struct):
    """The row that every transaction writes.

    Parameters
    ----------
    version
        Version of the newest transaction.
    time
        Time of the shared clock at that transaction, in seconds.
    tables
        Version of the newest transaction that wrote rows of a table, by table.
    forgotten
        Version up to which the feed of a table may lack dropped rows, by table.
    """

    version: int = ABSENT
    time: Seconds = 0.0
    tables: dict[str, int] = {}
    forgotten: dict[str, int] = {}


class _Content(msgspec.Struct):
    """A row's value and version; None as the value marks a dropped row."""

    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Rows as of one moment, including dropped ones, and the head with its revision."""

    head: _Head
    revision: int
    rows: dict[RowKey, _Content]


class ObservedClock:
    """A clock that all users of a store share, advanced by each transaction.

    It never runs faster than the fastest user's own clock, and may miss time in which nobody read
    or wrote the store. So an age taken from it is never too high.
    """

    def __init__(self) -> None:
        self._store_time: Seconds = NEVER
        self._recorded_at: Seconds = 0.0

    def record(self, store_time: Seconds, now: Seconds) -> None:
        """Record the clock's time at the newest transaction, which was read at `now`."""
        if store_time > self.read(now):
            self._store_time = store_time
            self._recorded_at = now

    def read(self, now: Seconds) -> Seconds:
        """Return the clock's time, in seconds; `NEVER` before any was recorded."""
        return self._store_time + (now - self._recorded_at)


class TableRowStore(RowStore):
    """A `RowStore` over a transactional table.

    All writers of these rows must use this class. Closing the store closes the table.
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
        for attempt in range(MAX_TRANSACTION_ATTEMPTS):
            found = await self._read_rows([item.row for item in conditions])
            _check(conditions, found)
            head = _next_head(found.head, writes, self._clock.read(steady_clock()))
            written_rows = [_write(item, head.version) for item in writes]
            pruned = await self._prune_dropped_rows(head, writes)
            try:
                with _typed_errors():
                    await self._table.transact(
                        [Condition(HEAD_KEY, found.revision)],
                        [Write(HEAD_KEY, msgspec.json.encode(head)), *pruned, *written_rows],
                    )
            except TransactionConflict:
                await anyio.sleep(self._random.uniform(0.0, CONTENTION_PAUSE * (attempt + 1)))
                continue
            return WriteResult(head.version, self._clock.read(steady_clock()))
        raise StoreContended(MAX_TRANSACTION_ATTEMPTS)

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

    async def _prune_dropped_rows(self, head: _Head, writes: Sequence[RowWrite]) -> list[Write]:
        """Return writes that remove the oldest dropped rows beyond the number kept.

        Only tables of which `writes` drops rows are pruned; `head` records up to which version.
        """
        removed = []
        for table in {item.row.table for item in writes if item.value is None}:
            found = await self._read_prefix(_prefix(table))
            written = {item.row for item in writes}
            dropped = sorted(
                (content.version, _key(row))
                for row, content in found.rows.items()
                if content.value is None and row not in written
            )
            for version, key in dropped[: max(len(dropped) - MAX_DROPPED_ROWS, 0)]:
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
        self._clock.record(head.time, steady_clock())
        return _Snapshot(head, revision, contents)


def _check(conditions: Iterable[RowCondition], found: _Snapshot) -> None:
    """Raise `ConditionFailed` if a condition is not met."""
    for condition in conditions:
        content = found.rows.get(condition.row)
        exists = content is not None and content.value is not None
        if condition.version != (content.version if content and exists else ABSENT):
            raise ConditionFailed(tuple(_stored(found.rows)))


def _check_history(head: _Head, table: str, after: int) -> None:
    """Raise `HistoryGone` if the changes since a version are no longer complete."""
    if not head.forgotten.get(table, ABSENT) <= after <= head.version:
        raise HistoryGone


def _next_head(head: _Head, writes: Iterable[RowWrite], time: Seconds) -> _Head:
    version = head.version + 1
    tables = {**head.tables, **{item.row.table: version for item in writes}}
    return _Head(version, max(time, head.time), tables, dict(head.forgotten))


def _write(item: RowWrite, version: int) -> Write:
    return Write(_key(item.row), msgspec.json.encode(_Content(version, item.value)))


def _stored(rows: dict[RowKey, _Content]) -> Iterator[StoredRow]:
    """Yield the rows that were not dropped."""
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
        raise StoreProtocolError(f"{key} is not the key of a row")
    return RowKey(*(unquote(name) for name in names))


def _decoded(row: Row, kind: type[Record]) -> Record:
    try:
        return decoding.decode(msgspec.json.Decoder(kind).decode, row.value)
    except decoding.Undecodable as error:
        raise StoreProtocolError(f"row {row.key}: {error}") from error


@contextmanager
def _typed_errors() -> Iterator[None]:
    """Convert the table's errors to `StoreError`, except `TransactionConflict`."""
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
