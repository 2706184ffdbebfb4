"""The slice map: which back end owns each range of the key space."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from limedeck.api.peer_pb2 import AssignmentChange, SliceBoundary
from limedeck.errors import InvariantViolation
from limedeck.identity import BackendId
from limedeck.keyspace.hashing import KEYSPACE_END

NO_OWNER = BackendId("")
START_TYPECODE = "Q"
"""Type code of the array of start positions: 64 bits, unsigned."""
OWNER_TYPECODE = "I"
"""Type code of the array of owners' numbers: 32 bits, unsigned."""


@dataclass(frozen=True)
class Slice:
    """A half-open range of the key space and its owner.

    Parameters
    ----------
    start, end
        The slice contains the positions with ``start <= position < end``.
    owner
        The back end that owns it, or `NO_OWNER`.
    """

    start: int
    end: int
    owner: BackendId

    @property
    def share(self) -> float:
        """Fraction of the key space that this slice covers, in ``(0, 1]``."""
        return (self.end - self.start) / KEYSPACE_END


class SliceMap:
    """A partition of the key space into slices, changed by deltas.

    The map is either empty (nothing is assigned yet) or covers the whole key space. Starts and
    owners are stored in arrays, at 12 bytes per slice, so that a node can hold the maps of all
    groups.
    """

    def __init__(self) -> None:
        self._starts = array(START_TYPECODE)
        self._owner_numbers = array(OWNER_TYPECODE)
        self._owners: list[BackendId] = []
        self._numbers: dict[BackendId, int] = {}

    def __len__(self) -> int:
        return len(self._starts)

    def __iter__(self) -> Iterator[Slice]:
        starts = self._starts
        last = len(starts) - 1
        for index, number in enumerate(self._owner_numbers):
            end = starts[index + 1] if index < last else KEYSPACE_END
            yield Slice(starts[index], end, self._owners[number])

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SliceMap) and list(self) == list(other)

    __hash__ = None  # type: ignore[assignment]

    def locate(self, position: int) -> Slice:
        """Return the slice that contains a position.

        Raises
        ------
        LookupError
            The map is empty.
        """
        if not self._starts:
            raise LookupError("the slice map is empty")
        return self._slice_at(bisect_right(self._starts, position) - 1)

    def slice_starting_at(self, start: int) -> Slice:
        """Return the slice that starts at a position.

        Raises
        ------
        KeyError
            No slice starts there.
        """
        index = self._index_of(start)
        if index is None:
            raise KeyError(start)
        return self._slice_at(index)

    def owner_of_start(self, start: int) -> BackendId | None:
        """Return the owner of the slice that starts at a position, or None if none does."""
        index = self._index_of(start)
        return None if index is None else self._owners[self._owner_numbers[index]]

    def slices_of(self, owner: BackendId) -> list[Slice]:
        """Return all slices of one owner, ordered by start."""
        number = self._numbers.get(owner)
        return [
            self._slice_at(index)
            for index, found in enumerate(self._owner_numbers)
            if found == number
        ]

    def owners(self) -> set[BackendId]:
        """Return all back ends that own a slice."""
        present = set(self._owner_numbers)
        return {self._owners[number] for number in present} - {NO_OWNER}

    def slice_count(self, owner: BackendId) -> int:
        """Return how many slices one back end owns."""
        number = self._numbers.get(owner)
        return 0 if number is None else self._owner_numbers.count(number)

    def apply(self, change: AssignmentChange) -> None:
        """Apply a delta.

        Raises
        ------
        InvariantViolation
            The delta leaves the start of the key space without a slice.
        """
        for start in change.removed_starts:
            self._remove(start)
        for boundary in change.upserts:
            self._put(boundary.start, BackendId(boundary.owner))
        if self._starts and self._starts[0] != 0:
            raise InvariantViolation("slices-cover-the-line", "no slice starts at position 0")

    def to_change(self) -> AssignmentChange:
        """Return the whole map as a delta to an empty one."""
        names = [self._owners[number] for number in self._owner_numbers]
        return change_of(zip(self._starts, names, strict=True))

    def copy(self) -> SliceMap:
        """Return an independent copy."""
        duplicate = SliceMap()
        duplicate._starts = self._starts[:]
        duplicate._owner_numbers = self._owner_numbers[:]
        duplicate._owners = self._owners[:]
        duplicate._numbers = self._numbers.copy()
        return duplicate

    def _index_of(self, start: int) -> int | None:
        index = bisect_left(self._starts, start)
        if index < len(self._starts) and self._starts[index] == start:
            return index
        return None

    def _slice_at(self, index: int) -> Slice:
        last = len(self._starts) - 1
        end = self._starts[index + 1] if index < last else KEYSPACE_END
        return Slice(self._starts[index], end, self._owners[self._owner_numbers[index]])

    def _put(self, start: int, owner: BackendId) -> None:
        number = self._number_of(owner)
        index = bisect_left(self._starts, start)
        if index < len(self._starts) and self._starts[index] == start:
            self._owner_numbers[index] = number
            return
        self._starts.insert(index, start)
        self._owner_numbers.insert(index, number)

    def _remove(self, start: int) -> None:
        index = self._index_of(start)
        if index is not None:
            del self._starts[index]
            del self._owner_numbers[index]

    def _number_of(self, owner: BackendId) -> int:
        """Return an owner's number, which it keeps even when it has no slice left."""
        number = self._numbers.get(owner)
        if number is None:
            number = len(self._owners)
            self._owners.append(owner)
            self._numbers[owner] = number
        return number


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
    """A back end's set of half-open ranges, with a fast membership test."""

    def __init__(self, ranges: Iterable[tuple[int, int]]) -> None:
        ordered = sorted(ranges)
        self._ranges = ordered
        self._starts = [start for start, _ in ordered]
        self._ends = [end for _, end in ordered]

    def __contains__(self, position: int) -> bool:
        index = bisect_right(self._starts, position) - 1
        return index >= 0 and position < self._ends[index]

    def start_of(self, position: int) -> int:
        """Return the start of the range that contains a position, which must be in the set."""
        return self._starts[bisect_right(self._starts, position) - 1]

    def ranges(self) -> list[tuple[int, int]]:
        """Return the ranges, ordered by start."""
        return self._ranges
