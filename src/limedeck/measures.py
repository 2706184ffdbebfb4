"""Three measures of assignments, computed from the same records wherever they are used.

Imbalance
    Highest load of a back end divided by the mean of all; likewise for shares of the key space.
Churn
    Share of the key space that changed owner.
Unavailable time
    For each range of the key space, the time during which no owner was able to serve it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from limedeck.identity import Seconds
from limedeck.keyspace.hashing import KEYSPACE_END
from limedeck.keyspace.slices import NO_OWNER, SliceMap

KeyRange = tuple[int, int]
"""Half-open range of key positions."""


def max_over_mean(values: Iterable[float]) -> float:
    """Return the highest value divided by the mean; 1.0 without values or with a sum of zero."""
    listed = list(values)
    total = sum(listed)
    if not listed or total <= 0:
        return 1.0
    return max(listed) * len(listed) / total


def keyspace_shares(slices: SliceMap, backends: Iterable[str]) -> dict[str, float]:
    """Return the share of the key space that each back end owns."""
    shares = dict.fromkeys(backends, 0.0)
    for item in slices:
        if item.owner != NO_OWNER:
            shares[item.owner] = shares.get(item.owner, 0.0) + item.share
    return shares


def churn(before: SliceMap, after: SliceMap) -> float:
    """Return the share of the key space whose owner differs; zero if either assignment is empty."""
    if len(before) == 0 or len(after) == 0:
        return 0.0
    moved = 0
    old_slices = iter(before)
    old = next(old_slices)
    for new in after:
        position = new.start
        while position < new.end:
            if old.end <= position:
                old = next(old_slices)
            piece_end = min(old.end, new.end)
            if old.owner != new.owner:
                moved += piece_end - position
            position = piece_end
    return moved / KEYSPACE_END


def uncovered(ranges: Iterable[KeyRange]) -> list[KeyRange]:
    """Return the parts of the key space that no range covers."""
    gaps = []
    covered_until = 0
    for start, end in sorted(ranges):
        if start > covered_until:
            gaps.append((covered_until, start))
        covered_until = max(covered_until, end)
    if covered_until < KEYSPACE_END:
        gaps.append((covered_until, KEYSPACE_END))
    return gaps


def overlap(ranges: Iterable[KeyRange]) -> KeyRange | None:
    """Return a part of the key space that two ranges cover, or None."""
    covered_until = 0
    for start, end in sorted(ranges):
        if start < covered_until:
            return start, min(end, covered_until)
        covered_until = max(covered_until, end)
    return None


@dataclass(frozen=True)
class UnservedInterval:
    """Time during which a range of the key space had no owner able to serve it.

    Parameters
    ----------
    until
        When the range was served again; not earlier than `since`.
    """

    part: KeyRange
    since: Seconds
    until: Seconds

    @property
    def length(self) -> Seconds:
        """Length of the interval, in seconds."""
        return self.until - self.since


@dataclass
class UnavailableTime:
    """Unserved intervals of one key space.

    Parameters
    ----------
    open_since
        Ranges unserved now, in ascending order, and since when.
    total
        Sum of all ended intervals, each weighted by its share of the key space, in seconds.
    worst
        Longest ended interval, in seconds.
    """

    open_since: dict[KeyRange, Seconds] = field(default_factory=dict)
    total: Seconds = 0.0
    worst: Seconds = 0.0
    _open_starts: list[int] = field(default_factory=list)
    _open_times: list[Seconds] = field(default_factory=list)

    def observe(self, gaps: Sequence[KeyRange], now: Seconds) -> list[UnservedInterval]:
        """Record which ranges are unserved from now on; return the intervals that ended.

        Parameters
        ----------
        gaps
            Disjoint ranges in ascending order, as `uncovered` returns them.
        """
        was_open = list(self.open_since)
        finished = []
        for part in subtract(was_open, gaps):
            interval = UnservedInterval(part, self._since(part), now)
            finished.append(interval)
            self.total += interval.length * (part[1] - part[0]) / KEYSPACE_END
            self.worst = max(self.worst, interval.length)
        still_open = {part: self._since(part) for part in intersect(was_open, gaps)}
        newly_open = dict.fromkeys(subtract(gaps, was_open), now)
        self.open_since = dict(sorted({**still_open, **newly_open}.items()))
        self._open_starts = [start for start, _ in self.open_since]
        self._open_times = list(self.open_since.values())
        return [interval for interval in finished if interval.length > 0]

    def _since(self, part: KeyRange) -> Seconds:
        return self._open_times[bisect_right(self._open_starts, part[0]) - 1]


def intersect(left: Sequence[KeyRange], right: Sequence[KeyRange]) -> list[KeyRange]:
    """Return the intersection of two sequences of disjoint ranges in ascending order."""
    found = []
    left_index = right_index = 0
    while left_index < len(left) and right_index < len(right):
        start = max(left[left_index][0], right[right_index][0])
        end = min(left[left_index][1], right[right_index][1])
        if start < end:
            found.append((start, end))
        if left[left_index][1] < right[right_index][1]:
            left_index += 1
        else:
            right_index += 1
    return found


def subtract(left: Sequence[KeyRange], right: Sequence[KeyRange]) -> list[KeyRange]:
    """Return the parts of `left` outside `right`, both disjoint ranges in ascending order."""
    found = []
    right_index = 0
    for start, end in left:
        position = start
        while right_index < len(right) and right[right_index][1] <= start:
            right_index += 1
        index = right_index
        while index < len(right) and right[index][0] < end:
            if position < right[index][0]:
                found.append((position, right[index][0]))
            position = max(position, right[index][1])
            index += 1
        if position < end:
            found.append((position, end))
    return found


def load_imbalance(loads: Mapping[str, float]) -> float:
    """Return the imbalance of the back ends' measured loads."""
    return max_over_mean(loads.values())
