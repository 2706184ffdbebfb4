"""In-memory table of the platform: rows with revisions, and transactions on several rows."""

from __future__ import annotations

from collections.abc import Sequence

from sortedcontainers import SortedDict

from limedeck.errors import TransactionConflict
from limedeck.store.table import ABSENT, Condition, Row, Write


class MemoryTable:
    """Holds all rows; every transaction gets the next revision."""

    def __init__(self) -> None:
        self._rows: SortedDict[str, Row] = SortedDict()
        self._revision = ABSENT
        self.transactions = 0
        self.reads = 0

    def read(self, keys: Sequence[str], prefix: str | None = None) -> list[Row]:
        """Read rows by key and by prefix."""
        self.reads += 1
        found = [self._rows[key] for key in keys if key in self._rows]
        if prefix is not None:
            for key in self._rows.irange(minimum=prefix):
                if not key.startswith(prefix):
                    break
                found.append(self._rows[key])
        return found

    def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Apply all writes if all conditions hold.

        Raises
        ------
        TransactionConflict
            A condition did not hold.
        """
        for condition in conditions:
            row = self._rows.get(condition.key)
            actual = row.revision if row else ABSENT
            if actual != condition.revision:
                raise TransactionConflict(condition.key, condition.revision, actual)
        self._revision += 1
        self.transactions += 1
        for write in writes:
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = Row(write.key, self._revision, write.value)
        return self._revision
