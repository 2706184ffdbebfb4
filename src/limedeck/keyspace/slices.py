"""The slice map: which back end owns each part of the key line."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from limedeck.api.peer_pb2 import AssignmentChange, SliceBoundary
from limedeck.errors import InvariantViolation
from limedeck.identity import BackendId
from limedeck.keyspace.hashing import KEY_LINE_END

NO_OWNER = BackendId("")


@dataclass(frozen=True)
class Slice:
    """A half-open range of the key line and its owner.

    Parameters
    ----------
    start, end
        Positions; the slice holds ``start <= position < end``.
    owner
        The back end that owns it, or `NO_OWNER`.
    """

    start: int
    end: int
    owner: BackendId

    @property
    def share(self) -> float:
        """Part of the key line that this slice covers, in ``(0, 1]``."""
        return (self.end - self.start) / KEY_LINE_END


class SliceMap:
    """A complete cut of the key line into slices, changed by deltas.

    The map is either empty (nothing was assigned yet) or covers the whole line.
    """

    def __init__(self) -> None:
        self._owners: SortedDict[int, BackendId] = SortedDict()
        self._starts_by_owner: dict[BackendId, set[int]] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def __iter__(self) -> Iterator[Slice]:
        starts = list(self._owners.keys())
        ends = [*starts[1:], KEY_LINE_END]
        for start, end, owner in zip(starts, ends, self._owners.values(), strict=bool(starts)):
            yield Slice(start, end, owner)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SliceMap) and self._owners == other._owners

    __hash__ = None  # type: ignore[assignment]

    def locate(self, position: int) -> Slice:
        """Find the slice that holds a position.

        Raises
        ------
        LookupError
            The map is empty.
        """
        index = self._owners.bisect_right(position) - 1
        if index < 0:
            raise LookupError("the slice map is empty")
        return self._slice_at(index)

    def slice_starting_at(self, start: int) -> Slice:
        """Return the slice with this start.

        Raises
        ------
        KeyError
            No slice starts there.
        """
        if start not in self._owners:
            raise KeyError(start)
        return self._slice_at(self._owners.index(start))

    def owner_of_start(self, start: int) -> BackendId | None:
        """Owner of the slice that starts here, or None when none does."""
        return self._owners.get(start)

    def slices_of(self, owner: BackendId) -> list[Slice]:
        """All slices of one owner, in the order of the line."""
        starts = sorted(self._starts_by_owner.get(owner, ()))
        return [self.slice_starting_at(start) for start in starts]

    def owners(self) -> set[BackendId]:
        """Every back end that owns a slice."""
        return {owner for owner in self._starts_by_owner if owner != NO_OWNER}

    def slice_count(self, owner: BackendId) -> int:
        """How many slices one back end owns."""
        return len(self._starts_by_owner.get(owner, ()))

    def apply(self, change: AssignmentChange) -> None:
        """Apply a delta.

        Raises
        ------
        InvariantViolation
            The delta would leave a part of the line without a slice.
        """
        for start in change.removed_starts:
            self._remove(start)
        for boundary in change.upserts:
            self._put(boundary.start, BackendId(boundary.owner))
        if self._owners and self._owners.keys()[0] != 0:
            raise InvariantViolation("slices-cover-the-line", "no slice starts at position 0")

    def to_change(self) -> AssignmentChange:
        """Write the whole map as a delta to an empty one."""
        return change_of((start, owner) for start, owner in self._owners.items())

    def copy(self) -> SliceMap:
        """Return an independent copy."""
        duplicate = SliceMap()
        duplicate._owners = SortedDict(self._owners)
        duplicate._starts_by_owner = {
            owner: set(starts) for owner, starts in self._starts_by_owner.items()
        }
        return duplicate

    def _slice_at(self, index: int) -> Slice:
        items = self._owners.items()
        start, owner = items[index]
        end = self._owners.keys()[index + 1] if index + 1 < len(self._owners) else KEY_LINE_END
        return Slice(start, end, owner)

    def _put(self, start: int, owner: BackendId) -> None:
        self._remove(start)
        self._owners[start] = owner
        self._starts_by_owner.setdefault(owner, set()).add(start)

    def _remove(self, start: int) -> None:
        owner = self._owners.pop(start, None)
        if owner is None:
            return
        starts = self._starts_by_owner[owner]
        starts.discard(start)
        if not starts:
            del self._starts_by_owner[owner]


def slice_map_from(change: AssignmentChange) -> SliceMap:
    """Build a map from a delta to an empty one."""
    slices = SliceMap()
    slices.apply(change)
    return slices


def change_of(boundaries: Iterable[tuple[int, str]]) -> AssignmentChange:
    """Build a delta that sets the owner at each start position."""
    return AssignmentChange(
        upserts=[SliceBoundary(start=start, owner=owner) for start, owner in boundaries]
    )


class RangeLookup:
    """A set of half-open ranges with fast membership, as a back end holds it."""

    def __init__(self, ranges: Iterable[tuple[int, int]]) -> None:
        ordered = sorted(ranges)
        self._ranges = ordered
        self._starts = [start for start, _ in ordered]
        self._ends = [end for _, end in ordered]

    def __contains__(self, position: int) -> bool:
        index = bisect_right(self._starts, position) - 1
        return index >= 0 and position < self._ends[index]

    def start_of(self, position: int) -> int:
        """Start of the range that holds a position, which must be in the set."""
        return self._starts[bisect_right(self._starts, position) - 1]

    def ranges(self) -> list[tuple[int, int]]:
        """The ranges, in the order of the line."""
        return self._ranges
