"""In-memory log of the entries that follow a snapshot."""

from __future__ import annotations

from limedeck.api.peer_pb2 import LogEntry
from limedeck.errors import InvariantViolation


class ReplicatedLog:
    """Entries with consecutive indexes; a snapshot replaces those up to the base index.

    Parameters
    ----------
    base_index, base_term
        Index and term of the last entry that the snapshot includes.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Term of an entry, or None when the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> LogEntry:
        """Return the entry with this index; it must be in the log."""
        if not self.base_index < index <= self.last_index:
            raise LookupError(index)
        return self._entries[index - self.base_index - 1]

    def entries_from(self, index: int) -> list[LogEntry]:
        """Return the entries from this index to the end."""
        return self._entries[max(index - self.base_index - 1, 0) :]

    def entries_after_base(self) -> list[LogEntry]:
        """Return every entry the log holds."""
        return list(self._entries)

    def append(self, entry: LogEntry) -> None:
        """Append an entry, whose index must follow the last one."""
        if entry.index != self.last_index + 1:
            raise InvariantViolation(
                "log-is-contiguous", f"entry {entry.index} appended after entry {self.last_index}"
            )
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entries from this index to the end."""
        del self._entries[max(index - self.base_index - 1, 0) :]

    def compact(self, index: int) -> None:
        """Drop the entries up to and including this index, which a snapshot now includes."""
        term = self.term_at(index)
        if term is None:
            raise LookupError(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log with this last entry is at least as up to date as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)
