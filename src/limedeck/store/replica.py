"""A node's replica of a table: its rows, when they were learned, and updates for other nodes.

Replicas learn of changes in the order of their versions, from the store or from each other. So
the newest version that a replica holds is enough to tell which changes it lacks.

When the store returns from a copy, its rows are older than what the replica knows. The writers of
the rows are about to write them again. Until then the replica holds on to what it knows: to a row
whose writer had written it later than the copy shows, to one that the copy lacks, and to the fact
that one was dropped. The writer's own sequence number in a row tells which value is the later one.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from limedeck import identity, versions
from limedeck.store import rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


MAX_DROPPED_ROWS = 2_000
"""Dropped rows that a replica keeps; a replica that lacks older ones is sent a snapshot."""
ROW_RETURN_TIME: identity.Seconds = 3.0
"""Time after a changed era within which writers have written their rows again; one that is still
missing then is gone. They take about two seconds."""

WriterSequence = tuple[int, ...]
"""Position of a row's value among all values of its writer; a later one is greater."""


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
    version: versions.StoreVersion
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
    newest: versions.StoreVersion
    whole: bool = False

    @property
    def size(self) -> int:
        """Bytes of keys and values."""
        return sum(len(entry.key) + len(entry.value or b"") for entry in self.entries)


@dataclasses.dataclass(slots=True)
class _LearnedEntry:
    """An entry, and how this node knows of it.

    Parameters
    ----------
    learned_at
        When it was learned from the store; `NEVER` if from another node.
    is_held
        The store, as far as this node has read it, shows an earlier state of the row.
    dropped_sequence
        Latest known sequence of a row that was dropped.
    """

    entry: Entry
    learned_at: identity.Seconds
    is_held: bool = False
    dropped_sequence: WriterSequence | None = None


class TableReplica:
    """A node's copy of one table.

    Parameters
    ----------
    put, remove
        Called for each change that is applied.
    sequence_of
        Returns the writer's sequence in a row's value; None if it tells none.
    """

    def __init__(
        self,
        table: str,
        put: Callable[[rows.StoredRow, Source], None],
        remove: Callable[[str], None],
        sequence_of: Callable[[bytes], WriterSequence | None] = lambda value: None,
    ) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self.on_held: Callable[[str, bool], None] = lambda key, is_held: None
        self.table = table
        self.newest: versions.StoreVersion = 0
        self.is_complete = False
        self._put = put
        self._remove = remove
        self._sequence_of = sequence_of
        self._entries: dict[str, _LearnedEntry] = {}
        self._dropped: dict[str, versions.StoreVersion] = {}
        self._history_start: versions.StoreVersion = 0
        self._settles_at: identity.Seconds = identity.NEVER
        self._is_settled = True
        self._held_entries: tuple[Entry, ...] | None = ()

    @property
    def era(self) -> int:
        """Era of the newest version."""
        return versions.era_of(self.newest)

    def apply_snapshot(
        self,
        entries: Iterable[Entry],
        newest: versions.StoreVersion,
        source: Source,
        now: identity.Seconds,
    ) -> None:
        """Apply all rows as of one version; rows that are not among them were dropped by then.

        In a later era than this replica's, those are held until `ROW_RETURN_TIME` has passed.
        """
        era = versions.era_of(newest)
        if era < self.era:
            return
        reached = self.newest
        self._begin_era(era, now)
        settles = source is Source.STORE and now >= self._settles_at
        found = {entry.key: entry for entry in entries}
        for entry in found.values():
            if source is Source.STORE or not self._is_passed(entry, reached):
                self._apply(entry, source, now, settles)
        for key in self._live_keys() - found.keys():
            if self._may_drop_missing(self._entries[key].entry, newest, now):
                self._apply(Entry(key, newest, None), source, now)
        if source is Source.NODE:
            self.newest = max(self.newest, newest)
        if settles:
            self._is_settled = True
        self.is_complete = True
        self.on_change()

    def _begin_era(self, era: int, now: identity.Seconds) -> None:
        if era > self.era:
            self.newest = versions.start_of(era)
            self._held_entries = None
            self._settles_at = now + ROW_RETURN_TIME
            self._is_settled = False

    def _may_drop_missing(
        self, entry: Entry, newest: versions.StoreVersion, now: identity.Seconds
    ) -> bool:
        is_settled = versions.era_of(entry.version) == versions.era_of(newest)
        return entry.version <= newest and (is_settled or now >= self._settles_at)

    def apply_changes(
        self,
        entries: Iterable[Entry],
        source: Source,
        now: identity.Seconds,
    ) -> None:
        """Apply changes in the order of their versions."""
        before = self.newest
        for entry in entries:
            if source is Source.STORE or not self._is_passed(entry, before):
                self._apply(entry, source, now)
        if self.newest > before:
            self.on_change()

    def _is_passed(self, entry: Entry, reached: versions.StoreVersion) -> bool:
        """Whether the row has changed since, as this replica would know the entry otherwise.

        Other nodes send what they hold without knowing how far this replica has come.
        """
        known = self._entries.get(entry.key)
        is_known_version = known is not None and known.entry.version == entry.version
        is_same_era = versions.era_of(entry.version) == versions.era_of(reached)
        return is_same_era and entry.version <= reached and not is_known_version

    def apply_update(self, update: TableUpdate, now: identity.Seconds) -> None:
        """Apply an update from another node's replica."""
        if update.whole:
            self.apply_snapshot(update.entries, update.newest, Source.NODE, now)
        else:
            self.apply_changes(update.entries, Source.NODE, now)

    def learned_after(self, version: versions.StoreVersion) -> identity.Seconds:
        """Return when the store told this replica of the oldest change after a version.

        `NEVER` if another node told it; the current value of a row hides its earlier changes.
        """
        return min(
            (item.learned_at for item in self._entries.values() if item.entry.version > version),
            default=identity.NEVER,
        )

    def update_for(self, newest: versions.StoreVersion) -> TableUpdate | None:
        """Return the changes after a version that another replica has reached; None without any."""
        if newest >= self.newest or not self.is_complete:
            return None
        is_same_era = versions.era_of(newest) == self.era
        if newest == 0 or newest < self._history_start or not is_same_era:
            return self._snapshot()
        missing = sorted(
            (item.entry for item in self._entries.values() if item.entry.version > newest),
            key=lambda entry: entry.version,
        )
        return TableUpdate(self.table, tuple(missing), self.newest) if missing else None

    def held_update(self) -> TableUpdate | None:
        """Return what this replica holds on to against the store, for a replica of the same era."""
        if self._held_entries is None:
            found = (item.entry for item in self._entries.values() if self._is_held(item))
            self._held_entries = tuple(found)
        if not self._held_entries:
            return None
        return TableUpdate(self.table, self._held_entries, self.newest)

    def needs_settling(self, now: identity.Seconds) -> bool:
        """Whether the table has to be read to settle what this replica still holds."""
        if self._is_settled or now < self._settles_at:
            return False
        self._is_settled = self.held_update() is None
        return not self._is_settled

    def _is_held(self, item: _LearnedEntry) -> bool:
        is_of_earlier_era = versions.era_of(item.entry.version) < self.era
        return item.is_held or (is_of_earlier_era and item.entry.value is not None)

    def _snapshot(self) -> TableUpdate:
        live = (item.entry for item in self._entries.values() if item.entry.value is not None)
        return TableUpdate(self.table, tuple(live), self.newest, whole=True)

    def _apply(
        self, entry: Entry, source: Source, now: identity.Seconds, settles: bool = False
    ) -> None:
        self._begin_era(versions.era_of(entry.version), now)
        known = self._entries.get(entry.key)
        if known is not None and not self._is_news(entry, known, settles):
            return
        if known is not None and known.is_held:
            self.on_held(entry.key, False)
        was_live = known is not None and known.entry.value is not None
        learned_at = now if source is Source.STORE else identity.NEVER
        learned = _LearnedEntry(entry, learned_at)
        if entry.value is None and known is not None:
            learned.dropped_sequence = self._known_sequence(known)
        self._entries[entry.key] = learned
        if self._held_entries or versions.era_of(entry.version) < self.era:
            self._held_entries = None
        self.newest = max(self.newest, entry.version)
        if entry.value is not None:
            self._dropped.pop(entry.key, None)
            row = rows.StoredRow(self.table, "", entry.key, entry.value, entry.version)
            self._put(row, source)
            return
        self._record_dropped(entry)
        if was_live:
            self._remove(entry.key)

    def _is_news(self, entry: Entry, known: _LearnedEntry, settles: bool) -> bool:
        """Whether an entry tells more than what is known; if it shows less, that is held."""
        if entry.version < known.entry.version:
            return False
        if entry.version == known.entry.version:
            return self._is_later_value(entry, known, settles)
        is_first_of_era = versions.era_of(entry.version) > versions.era_of(known.entry.version)
        if entry.value is None or not (is_first_of_era or known.is_held):
            return True
        if self._is_outdated(entry, known, is_first_of_era):
            self._hold(entry, known)
            return False
        return True

    def _is_later_value(self, entry: Entry, known: _LearnedEntry, settles: bool) -> bool:
        """Whether another value of the same version is the later one.

        Of one version, nodes may know different values: one of them holds on to what the writer
        had written before the store returned from a copy.
        """
        sequence, known_sequence = self._sequence(entry), self._known_sequence(known)
        if sequence is None or known_sequence is None:
            return settles and known.is_held
        return sequence > known_sequence

    def _is_outdated(self, entry: Entry, known: _LearnedEntry, is_first_of_era: bool) -> bool:
        """Whether the store shows an earlier state of the row than is known."""
        sequence, known_sequence = self._sequence(entry), self._known_sequence(known)
        if known.entry.value is None and is_first_of_era:
            # Writers write their rows all the time: one that is alive shows by a later sequence.
            return True
        if sequence is None or known_sequence is None:
            return False
        if known.entry.value is None:
            return sequence <= known_sequence
        return sequence < known_sequence

    def _sequence(self, entry: Entry) -> WriterSequence | None:
        return self._sequence_of(entry.value) if entry.value is not None else None

    def _known_sequence(self, known: _LearnedEntry) -> WriterSequence | None:
        return known.dropped_sequence or self._sequence(known.entry)

    def _hold(self, entry: Entry, known: _LearnedEntry) -> None:
        """Keep what is known of a row, as of the version in which the store shows less."""
        if not known.is_held:
            self.on_held(entry.key, True)
        known.is_held = True
        self._held_entries = None
        known.entry = dataclasses.replace(known.entry, version=entry.version)
        if known.entry.value is None:
            sequences = filter(None, (known.dropped_sequence, self._sequence(entry)))
            known.dropped_sequence = max(sequences, default=None)
            self._dropped[entry.key] = entry.version
        self.newest = max(self.newest, entry.version)

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
