"""What limedeck needs of the platform: a transactional table, an object store, a machine list."""

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
        Raised by the table with every write of the row; never `ABSENT`.
    """

    key: str
    revision: int
    value: bytes


@dataclass(frozen=True)
class Condition:
    """A row must be at this revision (`ABSENT`: must not exist) for a transaction to happen."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """A row's new value; None deletes the row."""

    key: str
    value: bytes | None


class MachineState(enum.Enum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Machine:
    """A machine on the platform's list; it may have left already, never the other way round."""

    machine_id: str
    address: str
    zone: str
    state: MachineState


class TransactionalTable(ABC):
    """Rows with revisions, written by compare-and-set over several rows.

    Every method raises `PlatformUnavailable` when there was no answer (a transaction may then
    have taken effect), `PlatformRateLimited` when the call was refused because of its rate, and
    `PlatformProtocolError` when the answer makes no sense.
    """

    @abstractmethod
    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read these rows at one moment; rows that do not exist are left out."""

    @abstractmethod
    async def read_prefix(self, prefix: str, keys: Sequence[str] = ()) -> list[Row]:
        """Read all rows whose key starts so, and these rows, at one moment."""

    @abstractmethod
    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Do all writes if all conditions hold, and return the revision of the written rows.

        Raises
        ------
        TransactionConflict
            A condition did not hold; nothing was written.
        """

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""


class ObjectStore(ABC):
    """Whole objects by name."""

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object in place of one of the same name."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or None when there is none of this name."""


class MachineList(ABC):
    """The machines that the platform knows; it lags, but drops no machine that still runs."""

    @abstractmethod
    async def machines(self) -> list[Machine]:
        """Return all machines on the list."""
