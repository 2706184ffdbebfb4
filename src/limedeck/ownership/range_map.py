"""Division of all keys of a service into ranges that have one owner each."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from limedeck.errors import InvariantViolation
from limedeck.identity import NEVER
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.ranges import Phase, RangeState


class RangeMap:
    """Ranges ordered by key position; they cover all keys, unless there are none yet.

    Parameters
    ----------
    key_positions
        Number of key positions; keys are mapped to positions from 0 to `key_positions - 1`.
    """

    def __init__(self, key_positions: int, fences: FenceCounter) -> None:
        self.ranges: list[RangeState] = []
        self._key_positions = key_positions
        self._fences = fences

    def __iter__(self) -> Iterator[RangeState]:
        return iter(self.ranges)

    def __len__(self) -> int:
        return len(self.ranges)

    def add(self, state: RangeState) -> None:
        """Append a range after the last one."""
        self.ranges.append(state)

    def counts(self) -> Counter[str]:
        """Return the number of ranges by owner."""
        return Counter(item.owner for item in self.ranges)

    def find_by_order(self, order: Grant | Release) -> RangeState | None:
        """Find the range that an order was for, unless it has changed since."""
        for item in self.ranges:
            if (item.first, item.last, item.fence) == (order.first, order.last, order.fence):
                return item
        return None

    def find_within(self, order: Grant | Release) -> list[RangeState]:
        """Find the ranges that an order was for, except those that have changed since."""
        return [
            item
            for item in self.ranges
            if item.fence == order.fence and order.first <= item.first <= item.last <= order.last
        ]

    def isolate(self, first: int, last: int) -> RangeState | None:
        """Split an owned range so that one part holds exactly these keys, and return that part.

        Returns None if no owned range holds them all.
        """
        for index, item in enumerate(self.ranges):
            if not item.first <= first <= last <= item.last or item.phase is not Phase.OWNED:
                continue
            pieces = [item]
            if first > item.first:
                pieces.append(pieces[-1].split_at(first))
            if last < pieces[-1].last:
                pieces.append(pieces[-1].split_at(last + 1))
            if len(pieces) > 1:
                self._assign_new_fences(pieces)
            self.ranges[index : index + 1] = pieces
            return next(piece for piece in pieces if piece.first == first)
        return None

    def merge_neighbours(self) -> None:
        """Merge adjacent stable ranges of one owner, since each range costs a grant per renewal."""
        merged: list[RangeState] = []
        for item in self.ranges:
            last = merged[-1] if merged else None
            if last is None or last.owner != item.owner or not (last.is_stable and item.is_stable):
                merged.append(item)
                continue
            last.last = item.last
            last.held_until = max(last.held_until, item.held_until)
            last.sent_until = max(last.sent_until, item.sent_until)
            last.confirmed_until = min(last.confirmed_until, item.confirmed_until)
            self._assign_new_fences([last])
        self.ranges = merged

    def check(self) -> None:
        """Raise `InvariantViolation` unless the ranges cover all keys."""
        expected = 0
        for item in self.ranges:
            if item.first != expected or item.last < item.first:
                raise InvariantViolation(
                    "ranges-cover-all-keys", f"{item} is empty or does not start at {expected}"
                )
            expected = item.last + 1
        if self.ranges and expected != self._key_positions:
            raise InvariantViolation("ranges-cover-all-keys", f"ranges end before {expected}")

    def _assign_new_fences(self, pieces: Iterable[RangeState]) -> None:
        """Give each piece a fence of its own, and make its next grant due."""
        for piece in pieces:
            piece.fence = self._fences.next()
            piece.order_pending = False
            piece.next_order = NEVER
