"""A store in simulated time: linearizable, but possibly slow, down, or silent after a write."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Generator, Sequence
from dataclasses import dataclass, field, replace

import simpy

from limedeck import versions
from limedeck.identity import Seconds
from limedeck.store.rows import (
    ABSENT,
    ConditionFailed,
    EraChanged,
    RowCondition,
    RowKey,
    RowWrite,
    StoredRow,
    StoreRefused,
    StoreUnavailable,
    TableRead,
    WriteResult,
)

CALL_TIME: Seconds = 0.004
CALL_TIMEOUT: Seconds = 1.0
UNAVAILABLE = 503
MAX_WRITE_DELAY: Seconds = 6.0

COPY_TIME: Seconds = 20.0
"""How far back the store keeps copies of its rows."""

StoreProcess = Generator[simpy.Event, object, object]


@dataclass
class StoreFaults:
    """Current faults of the store.

    Parameters
    ----------
    refuses
        Calls are refused and have no effect.
    silent
        Calls get no response and have no effect.
    slowdown
        Factor by which calls take longer.
    lost_share
        Fraction of writes that are applied but get no response.
    late_share
        Fraction of writes that get no response and are applied seconds later if their conditions
        still hold.
    """

    refuses: bool = False
    silent: bool = False
    slowdown: float = 1.0
    lost_share: float = 0.0
    late_share: float = 0.0


@dataclass(frozen=True)
class StoreCopy:
    """The rows at one moment."""

    at: Seconds
    rows: dict[RowKey, StoredRow]
    version: int


@dataclass
class SimulatedStore:
    """Rows whose versions come from one counter.

    Parameters
    ----------
    era
        Number of times that the store has returned from a copy.
    """

    environment: simpy.Environment
    random: random.Random
    faults: StoreFaults = field(default_factory=StoreFaults)
    rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    version: int = 0
    era: int = 0
    copies: deque[StoreCopy] = field(default_factory=deque)

    def return_from_copy(self, age: Seconds) -> None:
        """Replace all rows by those of some time ago; what was written since is lost."""
        now = self.environment.now
        copy = StoreCopy(0.0, {}, 0)
        while self.copies and self.copies[0].at <= now - age:
            copy = self.copies.popleft()
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.era += 1
        self.copies.clear()
        self._keep_copy()

    def overwrite(self, key: RowKey, value: bytes | None) -> None:
        """Write a row, or drop it, on no condition, as another program may."""
        self._write([], [RowWrite(key, value)])

    def _keep_copy(self) -> None:
        now = self.environment.now
        self.copies.append(StoreCopy(now, dict(self.rows), self.version))
        while self.copies[0].at < now - COPY_TIME:
            self.copies.popleft()

    def read(self, table: str, reachable: bool) -> StoreProcess:
        """Read a table; raises the same errors as the real adapter."""
        yield from self._wait_for_store(reachable)
        rows = tuple(self._stored(row) for key, row in self.rows.items() if key.table == table)
        return TableRead(rows, self._current_version(), self.environment.now)

    def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite], reachable: bool
    ) -> StoreProcess:
        """Write rows if the conditions hold; raises the same errors as the real adapter."""
        yield from self._wait_for_store(reachable)
        era = min((versions.era_of(item.version) for item in conditions), default=self.era)
        if era < self.era:
            raise EraChanged(era, self.era)
        if self.random.random() < self.faults.late_share:
            self.environment.process(self._write_late(conditions, writes))
            yield self.environment.timeout(CALL_TIMEOUT)
            raise StoreUnavailable("late")
        written = self._write(conditions, writes)
        if self.random.random() < self.faults.lost_share:
            yield self.environment.timeout(CALL_TIMEOUT)
            raise StoreUnavailable("lost")
        if isinstance(written, ConditionFailed):
            raise written
        return written

    def _wait_for_store(self, reachable: bool) -> Generator[simpy.Event, object, None]:
        if not reachable or self.faults.silent:
            yield self.environment.timeout(CALL_TIMEOUT)
            raise StoreUnavailable("silent")
        yield self.environment.timeout(CALL_TIME * self.faults.slowdown)
        if self.faults.refuses:
            raise StoreRefused(UNAVAILABLE)

    def _write(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult | ConditionFailed:
        for condition in conditions:
            row = self.rows.get(condition.row)
            number = versions.number_of(condition.version)
            if (row.version if row else ABSENT) != number:
                keys = [item.row for item in conditions]
                found = tuple(self._stored(self.rows[key]) for key in keys if key in self.rows)
                return ConditionFailed(found, versions.start_of(self.era))
        self.version += 1
        for write in writes:
            key = write.row
            if write.value is None:
                self.rows.pop(key, None)
                continue
            self.rows[key] = StoredRow(key.table, key.part, key.key, write.value, self.version)
        self._keep_copy()
        return WriteResult(self._current_version(), self.environment.now)

    def _current_version(self) -> versions.StoreVersion:
        return versions.store_version(self.era, self.version)

    def _stored(self, row: StoredRow) -> StoredRow:
        return replace(row, version=versions.store_version(self.era, row.version))

    def _write_late(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> StoreProcess:
        yield self.environment.timeout(self.random.uniform(1.0, MAX_WRITE_DELAY))
        self._write(conditions, writes)
        return None
