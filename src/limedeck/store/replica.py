"""One node's replica of a table: what it holds, since when, and what another node lacks of it.

Replicas learn of changes in the order of their versions, from the store or from each other. So
one number, the newest version that a replica holds, says all about what it lacks.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from limedeck import identity
from limedeck.store import rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


MOST_DROPPED = 2_000
"""Dropped rows that are remembered; who lacks more is told the table whole."""


class Source(enum.Enum):
    """Where a change was learned."""

    STORE = "store"
    NODE = "node"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A row, or that it was dropped.

    Parameters
    ----------
    version
        Of the row's newest change.
    value
        None if the row was dropped.
    """

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class TableUpdate:
    """What another node's replica lacks.

    Parameters
    ----------
    whole
        These are all rows as of `newest`; others have been dropped.
    newest
        Version that a replica has reached with these entries.
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
class _Known:
    """An entry and when the store told of it; `NEVER` if another node did."""

    entry: Entry
    since: identity.Seconds


class TableReplica:
    """Rows of one table by key.

    Parameters
    ----------
    put, remove
        Called for each change that is taken in.
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
        self._known: dict[str, _Known] = {}
        self._dropped: dict[str, int] = {}
        self._forgotten = 0

    def apply_snapshot(
        self,
        entries: Iterable[Entry],
        newest: int,
        source: Source,
        now: identity.Seconds,
    ) -> None:
        """Take in all rows as of one version; rows that are not among them were dropped by then."""
        found = {entry.key: entry for entry in entries}
        for entry in found.values():
            self._take(entry, source, now)
        for key in self._live_keys() - found.keys():
            if self._known[key].entry.version <= newest:
                self._take(Entry(key, newest, None), source, now)
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
        """Take in changes in the order of their versions."""
        before = self.newest
        for entry in entries:
            self._take(entry, source, now)
        if self.newest > before:
            self.on_change()

    def apply_update(self, news: TableUpdate, now: identity.Seconds) -> None:
        """Take in what another node's replica holds."""
        if news.whole:
            self.apply_snapshot(news.entries, news.newest, Source.NODE, now)
        else:
            self.apply_changes(news.entries, Source.NODE, now)

    def update_for(self, newest: int, known_before: identity.Seconds) -> TableUpdate | None:
        """What a replica lacks that has reached a version; None if that is nothing.

        Parameters
        ----------
        known_before
            Changes that this replica learned later are left out: most others learn them from
            the store meanwhile.
        """
        if newest >= self.newest or not self.is_complete:
            return None
        if newest == 0 or newest < self._forgotten:
            return self._whole(known_before)
        lacking = sorted(
            (item for item in self._known.values() if item.entry.version > newest),
            key=lambda item: item.entry.version,
        )
        told = []
        for item in lacking:
            if item.since > known_before:
                break
            told.append(item.entry)
        if not told:
            return None
        return TableUpdate(self.table, tuple(told), told[-1].version)

    def _whole(self, known_before: identity.Seconds) -> TableUpdate | None:
        live = [item for item in self._known.values() if item.entry.value is not None]
        if any(item.since > known_before for item in live):
            return None
        entries = tuple(item.entry for item in live)
        return TableUpdate(self.table, entries, self.newest, whole=True)

    def _take(self, entry: Entry, source: Source, now: identity.Seconds) -> None:
        known = self._known.get(entry.key)
        if known is not None and known.entry.version >= entry.version:
            return
        was_live = known is not None and known.entry.value is not None
        since = now if source is Source.STORE else identity.NEVER
        self._known[entry.key] = _Known(entry, since)
        self.newest = max(self.newest, entry.version)
        if entry.value is not None:
            self._dropped.pop(entry.key, None)
            row = rows.StoredRow(self.table, "", entry.key, entry.value, entry.version)
            self._put(row, source)
            return
        self._remember_dropped(entry)
        if was_live:
            self._remove(entry.key)

    def _remember_dropped(self, entry: Entry) -> None:
        self._dropped.pop(entry.key, None)
        self._dropped[entry.key] = entry.version
        if len(self._dropped) <= MOST_DROPPED:
            return
        oldest = next(iter(self._dropped))
        self._forgotten = max(self._forgotten, self._dropped.pop(oldest))
        del self._known[oldest]

    def _live_keys(self) -> set[str]:
        return {key for key, item in self._known.items() if item.entry.value is not None}
