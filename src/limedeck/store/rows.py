"""A store of rows that outlasts every node: conditional transactions and a feed of changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.errors import LimedeckError
from limedeck.identity import Seconds

ABSENT = 0
"""Version of a row that does not exist."""


class StoreError(LimedeckError):
    """A call to the store failed."""


@dataclass
class StoreUnavailable(StoreError):
    """There was no answer; a transaction may have been done, or may still be done.

    Parameters
    ----------
    reason
        Type of the transport's error.
    """

    reason: str

    def __str__(self) -> str:
        return f"the store gave no answer: {self.reason}"


@dataclass
class StoreRefused(StoreError):
    """The store refused the call and did nothing; it is over its rate, down or closed to us."""

    status: int

    def __str__(self) -> str:
        return f"the store refused the call with status {self.status}"


@dataclass
class StoreContended(StoreError):
    """Other transactions were always faster; nothing was done."""

    attempts: int

    def __str__(self) -> str:
        return f"a transaction lost {self.attempts} races"


@dataclass
class StoreProtocolError(StoreError):
    """The store's answer makes no sense."""

    problem: str

    def __str__(self) -> str:
        return f"the store's answer cannot be read: {self.problem}"


class HistoryGone(StoreError):
    """The feed cannot go on from this version; read the table whole."""


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row.

    Parameters
    ----------
    version
        From one counter that rises with every transaction of the store.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int


@dataclass
class ConditionFailed(StoreError):
    """A condition did not hold; nothing was written.

    Parameters
    ----------
    rows
        The rows of the conditions as they are; absent ones are left out.
    """

    rows: tuple[StoredRow, ...]

    def __str__(self) -> str:
        return f"a condition did not hold; {len(self.rows)} of its rows exist"


@dataclass(frozen=True, slots=True)
class RowKey:
    """Names a row."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class RowCondition:
    """A row must have this version, or not exist (`ABSENT`)."""

    row: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row's new value; None drops the row."""

    row: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class TableRead:
    """Rows of one part of a table at one moment.

    Parameters
    ----------
    version
        Newest version of the whole store at that moment.
    store_time
        The store's steady clock, in seconds.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_time: Seconds


@dataclass(frozen=True, slots=True)
class DroppedRow:
    """A row that was dropped, by the transaction with this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class TableChanges:
    """What has changed in a table since a version.

    Parameters
    ----------
    rows
        Changed rows, in order.
    dropped
        Rows that were dropped, in order.
    version
        Where to go on from.
    """

    rows: tuple[StoredRow, ...]
    dropped: tuple[DroppedRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class WriteResult:
    """A transaction was done.

    Parameters
    ----------
    version
        Of all rows that it wrote.
    store_time
        The store's steady clock, in seconds.
    """

    version: int
    store_time: Seconds


class RowStore(ABC):
    """Rows in tables; every method may raise any `StoreError`."""

    @abstractmethod
    async def read(self, table: str, part: str = "") -> TableRead:
        """Read all rows of one part of a table at one moment."""

    @abstractmethod
    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        """Write all rows if all conditions hold.

        Raises
        ------
        ConditionFailed
            Nothing was written.
        """

    @abstractmethod
    async def changes(self, table: str, after: int, wait: Seconds) -> TableChanges:
        """Wait until something changes in a table after a version, for at most `wait`.

        Raises
        ------
        HistoryGone
            The store no longer knows what changed since then.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""
