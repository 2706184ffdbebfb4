"""Interface of a row store that outlasts all nodes: transactions and a feed of changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from limedeck import versions
from limedeck.errors import LimedeckError
from limedeck.identity import Seconds
from limedeck.versions import StoreVersion

ABSENT: StoreVersion = 0
"""Version of a row that does not exist, in a store without eras."""


class StoreError(LimedeckError):
    """A call to the store failed."""


@dataclass
class StoreUnavailable(StoreError):
    """The store did not respond; a transaction may have been committed, or still may be.

    Parameters
    ----------
    reason
        The underlying error.
    """

    reason: str

    def __str__(self) -> str:
        return f"no response from the store: {self.reason}"


@dataclass
class StoreRefused(StoreError):
    """The store refused the call and did nothing: rate limit, out of service or no access."""

    status: int

    def __str__(self) -> str:
        return f"the store refused the call with status {self.status}"


@dataclass
class StoreContended(StoreError):
    """Concurrent transactions won every attempt; nothing was written."""

    attempts: int

    def __str__(self) -> str:
        return f"transaction given up after {self.attempts} conflicts with concurrent transactions"


@dataclass
class StoreProtocolError(StoreError):
    """The store's response is invalid."""

    problem: str

    def __str__(self) -> str:
        return f"invalid response from the store: {self.problem}"


class HistoryGone(StoreError):
    """The feed cannot continue from this version; the whole table has to be read again."""


@dataclass
class EraChanged(StoreError):
    """The store has returned from a copy since the conditions of a transaction were read.

    The transaction may have been committed: a version of the earlier era may name another row now.
    """

    conditions_era: int
    era: int

    def __str__(self) -> str:
        return f"the store is in era {self.era}, the conditions are of era {self.conditions_era}"


@dataclass
class EarlierEra(StoreError):
    """The response is of an era before one that the store has already begun."""

    response_era: int
    era: int

    def __str__(self) -> str:
        return f"response of era {self.response_era} after one of era {self.era}"


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row.

    Parameters
    ----------
    version
        Version of the transaction that wrote the row, in the era in which it was read; the store
        has one counter for all tables.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: StoreVersion


@dataclass
class ConditionFailed(StoreError):
    """A condition of a transaction was not met; nothing was written.

    Parameters
    ----------
    rows
        Current rows of the conditions; absent ones are left out.
    absent
        Version of a row that does not exist, in the current era.
    """

    rows: tuple[StoredRow, ...]
    absent: StoreVersion = ABSENT

    def __str__(self) -> str:
        return f"transaction condition not met; {len(self.rows)} rows of its conditions exist"


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies a row."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class RowCondition:
    """A row must have this version; that of an absent row: it must not exist."""

    row: RowKey
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A row's new value; None drops the row."""

    row: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class TableRead:
    """A consistent snapshot of the rows of one part of a table.

    Parameters
    ----------
    version
        Newest version of the whole store at the time of the read.
    store_time
        The store's steady clock, in seconds.
    """

    rows: tuple[StoredRow, ...]
    version: StoreVersion
    store_time: Seconds

    @property
    def absent(self) -> StoreVersion:
        """Version of a row that does not exist, in the era of this read."""
        return versions.start_of(versions.era_of(self.version))


@dataclass(frozen=True, slots=True)
class DroppedRow:
    """A dropped row, and the version of the transaction that dropped it."""

    key: str
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Changes of a table since a version.

    Parameters
    ----------
    rows
        Changed rows, in the order of their versions.
    dropped
        Dropped rows, in the order of their versions.
    version
        Version from which the next call continues.
    """

    rows: tuple[StoredRow, ...]
    dropped: tuple[DroppedRow, ...]
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of a committed transaction.

    Parameters
    ----------
    version
        Version of all rows that it wrote.
    store_time
        The store's steady clock, in seconds.
    """

    version: StoreVersion
    store_time: Seconds


class RowStore(ABC):
    """Rows in tables; every method may raise any `StoreError`."""

    @property
    def era(self) -> int:
        """Latest known era of the store; zero for a store without eras."""
        return 0

    @abstractmethod
    async def read(self, table: str, part: str = "") -> TableRead:
        """Read a consistent snapshot of all rows of one part of a table."""

    @abstractmethod
    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        """Write all rows atomically if all conditions are met.

        Raises
        ------
        ConditionFailed
            A condition was not met; nothing was written.
        EraChanged
            A condition is of an earlier era than the store.
        """

    @abstractmethod
    async def changes(self, table: str, after: StoreVersion, wait: Seconds) -> TableChanges:
        """Return the changes of a table since a version; wait for one for at most `wait`.

        Raises
        ------
        HistoryGone
            The store no longer keeps the changes since that version, or is in a later era.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""
