"""Record of owners in the store; a range's next owner is written there before it gets a grant."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from limedeck.api.control_pb2 import AssignmentRecord, OwnedKeys
from limedeck.errors import InvariantViolation
from limedeck.identity import Seconds
from limedeck.ownership.commands import WriteRecord
from limedeck.ownership.ranges import RangeState
from limedeck.versions import StoreVersion

OwnerChoice = tuple[RangeState, str]
"""A free range and its next owner."""


class OwnerRecord:
    """Sequence of records that this leader writes, one at a time.

    Parameters
    ----------
    sequence
        Sequence number of the record as it was read; zero if there is none.
    row_version
        Version of the record's row as it was read; that of an absent row if there is none.
    is_outdated
        The record does not show the owners of keys, so that it is written again even if no range
        gets another owner.
    """

    def __init__(
        self,
        service: str,
        term: int,
        sequence: int,
        row_version: StoreVersion,
        is_outdated: bool = False,
    ) -> None:
        self._service = service
        self._term = term
        self._sequence = sequence
        self._row_version = row_version
        self._pending: list[OwnerChoice] | None = None
        self._is_outdated = is_outdated

    @property
    def must_write(self) -> bool:
        """Whether the record has to be written even if no range gets another owner."""
        return self._is_outdated

    @property
    def is_pending(self) -> bool:
        """Whether a record is being written, so that another one has to wait."""
        return self._pending is not None

    def write(
        self, chosen: list[OwnerChoice], ranges: Iterable[RangeState], now: Seconds
    ) -> WriteRecord:
        """Begin to write the next owners of free ranges."""
        for found, _ in chosen:
            if found.held_until > now:
                raise InvariantViolation("free-range-is-held-by-nobody", f"{found}")
        self._pending = chosen
        self._sequence += 1
        return WriteRecord(self._record(chosen, ranges), self._row_version)

    def complete_write(self, row_version: StoreVersion) -> Sequence[OwnerChoice]:
        """Complete the pending write; return the choices that it recorded."""
        pending = self._pending
        if pending is None:
            raise InvariantViolation("written-record-was-pending", self._service)
        self._pending = None
        self._is_outdated = False
        self._row_version = row_version
        return pending

    def handle_failed(self) -> None:
        """Handle a write that may or may not have succeeded; the same record is written again."""
        # Each write is conditional on the row version: once one has a result, earlier attempts
        # have either succeeded or can no longer succeed.
        if self._pending is None:
            raise InvariantViolation("failed-record-was-pending", self._service)

    def is_own_record(self, record: AssignmentRecord | None) -> bool:
        """Whether the record in the store is the one that this leader wrote last."""
        return record is not None and (record.term, record.sequence) == (self._term, self._sequence)

    def _record(self, chosen: list[OwnerChoice], ranges: Iterable[RangeState]) -> AssignmentRecord:
        owners = {found.first: owner for found, owner in chosen}
        record = AssignmentRecord(term=self._term, sequence=self._sequence)
        for item in ranges:
            owner = owners.get(item.first, item.owner)
            record.ranges.append(OwnedKeys(first=item.first, last=item.last, owner=owner))
        return record
