"""A node's replica of a table: its rows, when they were learned, and updates for other nodes.

Replicas learn of changes in the order of their versions, from the store or from each other. So
the newest version that a replica holds is enough to tell which changes it lacks.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from limedeck import identity
from limedeck.store import rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


MAX_DROPPED_ROWS = 2_000
"""Dropped rows that a replica keeps; a replica that lacks older ones is sent a snapshot."""


class Source(enum.Enum):
    """Whether a change was learned from the store or from another node."""

    STORE = "store"
    NODE = "node"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A row, or the fact that it was dropped.

    Parameters
    ----------
    version
        Version of the row's newest change.
    value
        None if the row was dropped.
    """

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class TableUpdate:
    """Changes that another node's replica lacks, or a snapshot.

    Parameters
    ----------
    whole
        The entries are all rows as of `newest`; any other row has been dropped.
    newest
        Version that a replica reaches with these entries.
    """

    table: str
    entries: tuple[Entry, ...]
    newest: int
    whole: bool = False

    @property
    def size(self) -> int:
        """Bytes of keys and values."""
        return sum(len(entry.key) + len(entry.value or b"") for entry in self.entries)


@dataclasses.dataclass(slots=True)
class _LearnedEntry:
    """An entry and when it was learned from the store; `NEVER` if from another node."""

    entry: Entry
    learned_at: identity.Seconds


class TableReplica:
    """A node's copy of one table.

    Parameters
    ----------
    put, remove
        Called for each change that is applied.
    """

    def __init__(
        self,
        table: str,
        put: Callable[[rows.StoredRow, Source], None],
        remove: Callable[[str], None],
    ) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self.table = table
        self.newest = 0
        self.is_complete = False
        self._put = put
        self._remove = remove
        self._entries: dict[str, _LearnedEntry] = {}
        self._dropped: dict[str, int] = {}
        self._history_start = 0

    def apply_snapshot(
        self,
        entries: Iterable[Entry],
        newest: int,
        source: Source,
        now: identity.Seconds,
    ) -> None:
        """Apply all rows as of one version; rows that are not among them were dropped by then."""
        found = {entry.key: entry for entry in entries}
        for entry in found.values():
            self._apply(entry, source, now)
        for key in self._live_keys() - found.keys():
            if self._entries[key].entry.version <= newest:
                self._apply(Entry(key, newest, None), source, now)
        if source is Source.NODE:
            self.newest = max(self.newest, newest)
        self.is_complete = True
        self.on_change()

    def apply_changes(
        self,
        entries: Iterable[Entry],
        source: Source,
        now: identity.Seconds,
    ) -> None:
        """Apply changes in the order of their versions."""
        before = self.newest
        for entry in entries:
            self._apply(entry, source, now)
        if self.newest > before:
            self.on_change()

    def apply_update(self, update: TableUpdate, now: identity.Seconds) -> None:
        """Apply an update from another node's replica."""
        if update.whole:
            self.apply_snapshot(update.entries, update.newest, Source.NODE, now)
        else:
            self.apply_changes(update.entries, Source.NODE, now)

    def learned_after(self, version: int) -> identity.Seconds:
        """Return when the store told this replica of the oldest change after a version.

        `NEVER` if another node told it; the current value of a row hides its earlier changes.
        """
        return min(
            (item.learned_at for item in self._entries.values() if item.entry.version > version),
            default=identity.NEVER,
        )

    def update_for(self, newest: int) -> TableUpdate | None:
        """Return the changes after a version that another replica has reached; None without any."""
        if newest >= self.newest or not self.is_complete:
            return None
        if newest == 0 or newest < self._history_start:
            return self._snapshot()
        missing = sorted(
            (item.entry for item in self._entries.values() if item.entry.version > newest),
            key=lambda entry: entry.version,
        )
        return TableUpdate(self.table, tuple(missing), self.newest) if missing else None

    def _snapshot(self) -> TableUpdate:
        live = (item.entry for item in self._entries.values() if item.entry.value is not None)
        return TableUpdate(self.table, tuple(live), self.newest, whole=True)

    def _apply(self, entry: Entry, source: Source, now: identity.Seconds) -> None:
        held = self._entries.get(entry.key)
        if held is not None and held.entry.version >= entry.version:
            return
        was_live = held is not None and held.entry.value is not None
        learned_at = now if source is Source.STORE else identity.NEVER
        self._entries[entry.key] = _LearnedEntry(entry, learned_at)
        self.newest = max(self.newest, entry.version)
        if entry.value is not None:
            self._dropped.pop(entry.key, None)
            row = rows.StoredRow(self.table, "", entry.key, entry.value, entry.version)
            self._put(row, source)
            return
        self._record_dropped(entry)
        if was_live:
            self._remove(entry.key)

    def _record_dropped(self, entry: Entry) -> None:
        self._dropped.pop(entry.key, None)
        self._dropped[entry.key] = entry.version
        if len(self._dropped) <= MAX_DROPPED_ROWS:
            return
        oldest = next(iter(self._dropped))
        self._history_start = max(self._history_start, self._dropped.pop(oldest))
        del self._entries[oldest]

    def _live_keys(self) -> set[str]:
        return {key for key, item in self._entries.items() if item.entry.value is not None}
