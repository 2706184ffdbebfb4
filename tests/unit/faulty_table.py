"""An in-memory table with injected faults."""

from __future__ import annotations

from collections.abc import Sequence

import anyio.lowlevel

from limedeck.errors import PlatformUnavailable
from limedeck.store.table import Condition, Row, TransactionalTable, Write
from limedeck_lab.standins.table import MemoryTable


class FaultyTable(TransactionalTable):
    """An in-memory table whose calls fail as a test demands.

    Parameters
    ----------
    lost_answers
        Number of next transactions that take effect but get no response.
    lost_calls
        Number of next transactions that neither take effect nor get a response.
    """

    def __init__(self) -> None:
        self.rows = MemoryTable()
        self.down = False
        self.lost_answers = 0
        self.lost_calls = 0

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        self._check()
        return {row.key: row for row in self.rows.read(keys)}

    async def read_prefix(self, prefix: str, keys: Sequence[str] = ()) -> list[Row]:
        self._check()
        return self.rows.read(keys, prefix)

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        self._check()
        if self.lost_calls > 0:
            self.lost_calls -= 1
            raise PlatformUnavailable("table", "lost")
        # Other tasks can write between a caller's read and its transaction.
        await anyio.lowlevel.checkpoint()
        revision = self.rows.transact(conditions, writes)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise PlatformUnavailable("table", "lost")
        return revision

    def _check(self) -> None:
        if self.down:
            raise PlatformUnavailable("table", "down")

    async def aclose(self) -> None:
        pass
