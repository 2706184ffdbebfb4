"""The owners of keys, as known to a node that forwards requests."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from limedeck.errors import InvariantViolation
from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """Keys from `first` to `last`, both included, and their owner.

    Parameters
    ----------
    owner
        Empty while the keys move, or after their owner was lost.
    free_at
        If the owner was lost: when its lease has ended and the keys can get another owner.
    """

    first: int
    last: int
    owner: str
    free_at: Seconds | None = None

    def part(self, first: int, last: int) -> OwnedRange:
        """Return a part of this range, with the same owner."""
        return OwnedRange(first, last, self.owner, self.free_at)

    def has_same_state(self, other: OwnedRange) -> bool:
        """Whether owner and `free_at` are the same as the other range's."""
        return (self.owner, self.free_at) == (other.owner, other.free_at)


class OwnerMap:
    """The owners of one service's keys at one version.

    Parameters
    ----------
    version
        Increases with each change, also across leaders.
    ranges
        In key order, without gaps.
    """

    def __init__(self, version: int = 0, ranges: tuple[OwnedRange, ...] = ()) -> None:
        self.version = version
        self.ranges = ranges
        self._firsts = [item.first for item in ranges]
        next_position = 0
        for item in ranges:
            if item.first != next_position or item.last < item.first:
                raise InvariantViolation("ranges-cover-all-keys", f"{item} after {next_position}")
            next_position = item.last + 1

    def changes_to(self, later: OwnerMap) -> tuple[OwnedRange, ...]:
        """Return the ranges of a later map whose owner or `free_at` differs there."""
        changed: list[OwnedRange] = []
        for item in later.ranges:
            for former in self._between(item.first, item.last):
                if not former.has_same_state(item):
                    changed.append(item.part(former.first, former.last))
        return merge_adjacent(changed)

    def changed(self, version: int, changes: tuple[OwnedRange, ...]) -> OwnerMap:
        """Return the map with these ranges replaced; `changes` are in key order."""
        kept: list[OwnedRange] = []
        position = 0
        for item in changes:
            kept += self._between(position, item.first - 1)
            kept.append(item)
            position = item.last + 1
        if self.ranges:
            kept += self._between(position, self.ranges[-1].last)
        return OwnerMap(version, merge_adjacent(kept))

    def _between(self, first: int, last: int) -> list[OwnedRange]:
        """Return the ranges between two keys, both included, cut off at these keys."""
        if last < first:
            return []
        start = max(bisect_right(self._firsts, first) - 1, 0)
        parts = []
        for item in self.ranges[start:]:
            if item.first > last:
                break
            if first <= item.first and item.last <= last:
                parts.append(item)
            elif item.last >= first:
                parts.append(item.part(max(item.first, first), min(item.last, last)))
        return parts

    def owner(self, position: int) -> str:
        """Return the owner of a key; empty if it has none now."""
        found = self._range_of(position)
        return found.owner if found is not None else ""

    def free_at(self, position: int) -> Seconds | None:
        """Return when a key whose owner was lost can get another one; None if none was lost."""
        found = self._range_of(position)
        return found.free_at if found is not None else None

    def _range_of(self, position: int) -> OwnedRange | None:
        index = bisect_right(self._firsts, position) - 1
        if index < 0 or position > self.ranges[index].last:
            return None
        return self.ranges[index]


def merge_adjacent(ranges: Iterable[OwnedRange]) -> tuple[OwnedRange, ...]:
    """Merge adjacent ranges with the same owner and `free_at`."""
    result: list[OwnedRange] = []
    for item in ranges:
        last = result[-1] if result else None
        if last is not None and last.has_same_state(item) and last.last + 1 == item.first:
            result[-1] = last.part(last.first, item.last)
        else:
            result.append(item)
    return tuple(result)
