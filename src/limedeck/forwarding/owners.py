"""Which back end owns which keys, as a node that forwards requests knows it."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from limedeck.errors import InvariantViolation


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """Keys from `first` to `last`, both inside, and their owner; empty while they move."""

    first: int
    last: int
    owner: str


class OwnerMap:
    """One service's owners at one version.

    Parameters
    ----------
    version
        A later version is above an earlier one, also across leaders.
    ranges
        In the order of the keys, without gaps.
    """

    def __init__(self, version: int = 0, ranges: tuple[OwnedRange, ...] = ()) -> None:
        self.version = version
        self.ranges = ranges
        self._firsts = [item.first for item in ranges]
        expected = 0
        for item in ranges:
            if item.first != expected or item.last < item.first:
                raise InvariantViolation("ranges-cover-all-keys", f"{item} after {expected}")
            expected = item.last + 1

    def owner(self, position: int) -> str:
        """Owner of a key, or empty if it has none now."""
        index = bisect_right(self._firsts, position) - 1
        if index < 0 or position > self.ranges[index].last:
            return ""
        return self.ranges[index].owner
