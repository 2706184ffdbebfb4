"""Access of one node to its group's record in the table: one call at a time, rate-limited."""

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
class RecordSummary:
    """Fields by which two versions of a group's record are compared.

    Parameters
    ----------
    last_index
        Index of the last log entry that the record's snapshot includes.
    next_voters
        The announced voter set; empty if there is none.
    """

    epoch: int
    last_index: int
    next_voters: tuple[Voter, ...]


class RecordAccess:
    """The record as last seen, and the call in progress.

    Parameters
    ----------
    record
        None if the table holds no record, or before the first read.
    is_known
        Whether `record` and `revision` are what the table was last seen to hold.
    """

    def __init__(self, group: GroupId, timing: ControlTiming) -> None:
        self.group = group
        self.timing = timing
        self.record: GroupRecord | None = None
        self.is_known = False
        self._revision = 0
        self._call_in_progress = False
        self._pending: GroupRecord | None = None
        self._next_call_at: Seconds = NEVER

    @property
    def epoch(self) -> int:
        """Epoch of the record as last seen; zero if there is none."""
        return self.record.epoch if self.record is not None else 0

    @property
    def voters(self) -> tuple[Voter, ...]:
        """Voters of the record as last seen."""
        return voters_of(self.record.voters) if self.record is not None else ()

    @property
    def summary(self) -> RecordSummary | None:
        """Summary of the record as last seen; None if there is none."""
        if self.record is None:
            return None
        next_voters = voters_of(self.record.next_voters)
        return RecordSummary(self.record.epoch, self.record.snapshot.last_index, next_voters)

    def may_access(self, now: Seconds, urgent: bool = False) -> bool:
        """Whether a call may be made now; urgent calls ignore the minimum interval."""
        return not self._call_in_progress and (urgent or now >= self._next_call_at)

    def invalidate(self) -> None:
        """Require the record to be read again before it is written."""
        self.is_known = False

    def read(self, now: Seconds) -> RecordCommand:
        """Start a read of the record."""
        self._begin_call(now)
        return ReadRecord(self.group)

    def write(self, record: GroupRecord, now: Seconds) -> RecordCommand:
        """Start a write that replaces the record last seen."""
        self._begin_call(now)
        self._pending = record
        return WriteRecord(self.group, record, self._revision)

    def handle(self, event: RecordEvent) -> bool:
        """Handle the response to a call; return whether the record is known now."""
        self._call_in_progress = False
        pending, self._pending = self._pending, None
        if isinstance(event, RecordRead):
            self._set_record(event.record, event.revision)
        elif isinstance(event, RecordWritten):
            self._set_record(pending, event.revision)
        else:
            # Reading the row again shows whether a write without a response took effect.
            self.is_known = False
        return self.is_known

    def _begin_call(self, now: Seconds) -> None:
        self._call_in_progress = True
        self._next_call_at = now + self.timing.record_write_interval

    def _set_record(self, record: GroupRecord | None, revision: int) -> None:
        self.record = record
        self._revision = revision
        self.is_known = True
