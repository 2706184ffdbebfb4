"""One node's access to its group's record in the table: one call at a time, at a pace."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.api.peer_pb2 import GroupRecord
from limedeck.control.consensus_state import voters_of
from limedeck.control.group_record import (
    ReadRecord,
    RecordCommand,
    RecordEvent,
    RecordRead,
    RecordWritten,
    WriteRecord,
)
from limedeck.control.timing import ControlTiming
from limedeck.identity import NEVER, GroupId, Seconds, Voter


@dataclass(frozen=True)
class RecordContents:
    """What tells one record of a group from another.

    Parameters
    ----------
    last_index
        Last log entry that the record's snapshot holds.
    next_voters
        The announced voter set; empty for none.
    """

    epoch: int
    last_index: int
    next_voters: tuple[Voter, ...]


class RecordKeeper:
    """The record as last seen, and the call that is under way.

    Parameters
    ----------
    record
        None when the table holds none, or when it is not known.
    is_known
        Whether `record` and `revision` are what the table was last seen to hold.
    """

    def __init__(self, group: GroupId, timing: ControlTiming) -> None:
        self.group = group
        self.timing = timing
        self.record: GroupRecord | None = None
        self.is_known = False
        self._revision = 0
        self._is_busy = False
        self._pending: GroupRecord | None = None
        self._next_access: Seconds = NEVER

    @property
    def epoch(self) -> int:
        """Epoch of the record as last seen, zero for none."""
        return self.record.epoch if self.record is not None else 0

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Voters of the record as last seen."""
        return voters_of(self.record.voters) if self.record is not None else ()

    @property
    def contents(self) -> RecordContents | None:
        """What the table was last seen to hold."""
        if self.record is None:
            return None
        next_voters = voters_of(self.record.next_voters)
        return RecordContents(self.record.epoch, self.record.snapshot.last_index, next_voters)

    def may_access(self, now: Seconds, urgent: bool = False) -> bool:
        """Whether a call may be made now; an urgent one does not wait for the pace."""
        return not self._is_busy and (urgent or now >= self._next_access)

    def forget(self) -> None:
        """Have the record read again before it is written."""
        self.is_known = False

    def read(self, now: Seconds) -> RecordCommand:
        """Begin to read the record."""
        self._begin(now)
        return ReadRecord(self.group)

    def write(self, record: GroupRecord, now: Seconds) -> RecordCommand:
        """Begin to write the record in place of the one last seen."""
        self._begin(now)
        self._pending = record
        return WriteRecord(self.group, record, self._revision)

    def handle(self, event: RecordEvent) -> bool:
        """Take in the answer; return whether the record is known now."""
        self._is_busy = False
        pending, self._pending = self._pending, None
        if isinstance(event, RecordRead):
            self._see(event.record, event.revision)
        elif isinstance(event, RecordWritten):
            self._see(pending, event.revision)
        else:
            # Whether a write without an answer took effect is settled by reading the row again.
            self.is_known = False
        return self.is_known

    def _begin(self, now: Seconds) -> None:
        self._is_busy = True
        self._next_access = now + self.timing.record_write_interval

    def _see(self, record: GroupRecord | None, revision: int) -> None:
        self.record = record
        self._revision = revision
        self.is_known = True
