"""Interfaces of the platform's services: a transactional table, an object store, a machine list."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

ABSENT = 0
"""Revision of a row that does not exist."""


@dataclass(frozen=True)
class Row:
    """A row of the table.

    Parameters
    ----------
    revision
        Increased by the table with every write of the row; never `ABSENT`.
    """

    key: str
    revision: int
    value: bytes


@dataclass(frozen=True)
class Condition:
    """A transaction is done only if the row has this revision (`ABSENT`: does not exist)."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """A row's new value; None deletes the row."""

    key: str
    value: bytes | None


class MachineState(enum.Enum):
    """State of a machine according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Machine:
    """A machine on the platform's list; it may have left already, but none that runs is missing."""

    machine_id: str
    address: str
    zone: str
    state: MachineState


class TransactionalTable(ABC):
    """Rows with revisions, written by compare-and-set over several rows.

    Every method raises `PlatformUnavailable` when there was no response (a transaction may then
    have taken effect), `PlatformRateLimited` when the call was refused because of its rate, and
    `PlatformProtocolError` when the response is invalid.
    """

    @abstractmethod
    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read a consistent snapshot of these rows; rows that do not exist are left out."""

    @abstractmethod
    async def read_prefix(self, prefix: str, keys: Sequence[str] = ()) -> list[Row]:
        """Read a consistent snapshot of all rows whose key has the prefix, and of these rows."""

    @abstractmethod
    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Do all writes if all conditions are met, and return the revision of the written rows.

        Raises
        ------
        TransactionConflict
            A condition was not met; nothing was written.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""


class ObjectStore(ABC):
    """Whole objects by name."""

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object, replacing one of the same name."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if there is none of this name."""


class MachineList(ABC):
    """The machines that the platform knows; it may lag, but omits no machine that still runs."""

    @abstractmethod
    async def machines(self) -> list[Machine]:
        """Return all machines on the list."""
