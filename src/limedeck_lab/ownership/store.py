"""A store in simulated time: linearizable, but slow, down, or silent after it has written."""

from __future__ import annotations

import random
from collections.abc import Generator, Sequence
from dataclasses import dataclass, field

import simpy

from limedeck.identity import Seconds
from limedeck.store.rows import (
    ABSENT,
    ConditionFailed,
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
TIMEOUT: Seconds = 1.0
UNAVAILABLE = 503
LATEST: Seconds = 6.0

StoreProcess = Generator[simpy.Event, object, object]


@dataclass
class StoreFaults:
    """What is wrong with the store now.

    Parameters
    ----------
    refuses
        Calls are refused, and nothing is done.
    silent
        Calls get no answer, and nothing is done.
    slowness
        Calls take so many times as long.
    lost_share
        So many writes are done and not answered.
    late_share
        So many writes are not answered, and done seconds later if their condition still holds.
    """

    refuses: bool = False
    silent: bool = False
    slowness: float = 1.0
    lost_share: float = 0.0
    late_share: float = 0.0


@dataclass
class SimulatedStore:
    """Rows with versions from one counter."""

    environment: simpy.Environment
    random: random.Random
    faults: StoreFaults = field(default_factory=StoreFaults)
    rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    version: int = 0

    def read(self, table: str, reachable: bool) -> StoreProcess:
        """Read a table; raises as the real adapter does."""
        yield from self._reach(reachable)
        rows = tuple(row for key, row in self.rows.items() if key.table == table)
        return TableRead(rows, self.version, self.environment.now)

    def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite], reachable: bool
    ) -> StoreProcess:
        """Write rows if the conditions hold; raises as the real adapter does."""
        yield from self._reach(reachable)
        if self.random.random() < self.faults.late_share:
            self.environment.process(self._write_late(conditions, writes))
            yield self.environment.timeout(TIMEOUT)
            raise StoreUnavailable("late")
        written = self._write(conditions, writes)
        if self.random.random() < self.faults.lost_share:
            yield self.environment.timeout(TIMEOUT)
            raise StoreUnavailable("lost")
        if isinstance(written, ConditionFailed):
            raise written
        return written

    def _reach(self, reachable: bool) -> Generator[simpy.Event, object, None]:
        if not reachable or self.faults.silent:
            yield self.environment.timeout(TIMEOUT)
            raise StoreUnavailable("silent")
        yield self.environment.timeout(CALL_TIME * self.faults.slowness)
        if self.faults.refuses:
            raise StoreRefused(UNAVAILABLE)

    def _write(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult | ConditionFailed:
        for condition in conditions:
            row = self.rows.get(condition.row)
            if (row.version if row else ABSENT) != condition.version:
                keys = [item.row for item in conditions]
                return ConditionFailed(tuple(self.rows[key] for key in keys if key in self.rows))
        self.version += 1
        for write in writes:
            key = write.row
            if write.value is None:
                self.rows.pop(key, None)
                continue
            self.rows[key] = StoredRow(key.table, key.part, key.key, write.value, self.version)
        return WriteResult(self.version, self.environment.now)

    def _write_late(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> StoreProcess:
        yield self.environment.timeout(self.random.uniform(1.0, LATEST))
        self._write(conditions, writes)
        return None
