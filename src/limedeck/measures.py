"""The three measures, from the same records wherever they are taken.

Imbalance
    Highest load of a back end over the mean of all, and likewise for shares of the key line.
Churn
    Share of the key line that changed owner.
Unavailable time
    For each range of the key line, time during which no owner was able to serve it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from limedeck.identity import Seconds
from limedeck.keyspace.hashing import KEY_LINE_END
from limedeck.keyspace.slices import NO_OWNER, SliceMap

KeyRange = tuple[int, int]
"""Half-open range of key positions."""


def max_over_mean(values: Iterable[float]) -> float:
    """Highest of the values over their mean; 1.0 when there is nothing to compare."""
    listed = list(values)
    total = sum(listed)
    if not listed or total <= 0:
        return 1.0
    return max(listed) * len(listed) / total


def keyspace_shares(slices: SliceMap, backends: Iterable[str]) -> dict[str, float]:
    """Share of the key line that each back end owns."""
    shares = dict.fromkeys(backends, 0.0)
    for item in slices:
        if item.owner != NO_OWNER:
            shares[item.owner] = shares.get(item.owner, 0.0) + item.share
    return shares


def churn(before: SliceMap, after: SliceMap) -> float:
    """Share of the key line whose owner differs; the first assignment does not count."""
    if len(before) == 0 or len(after) == 0:
        return 0.0
    moved = 0
    old_slices = iter(before)
    old = next(old_slices)
    for new in after:
        reached = new.start
        while reached < new.end:
            if old.end <= reached:
                old = next(old_slices)
            step = min(old.end, new.end)
            if old.owner != new.owner:
                moved += step - reached
            reached = step
    return moved / KEY_LINE_END


def uncovered(ranges: Iterable[KeyRange]) -> list[KeyRange]:
    """Parts of the key line that no range covers."""
    gaps = []
    reached = 0
    for start, end in sorted(ranges):
        if start > reached:
            gaps.append((reached, start))
        reached = max(reached, end)
    if reached < KEY_LINE_END:
        gaps.append((reached, KEY_LINE_END))
    return gaps


def overlap(ranges: Iterable[KeyRange]) -> KeyRange | None:
    """Some part of the key line that two ranges cover, or None."""
    reached = 0
    for start, end in sorted(ranges):
        if start < reached:
            return start, min(end, reached)
        reached = max(reached, end)
    return None


@dataclass(frozen=True)
class UnservedInterval:
    """A range of the line that had no owner able to serve it.

    Parameters
    ----------
    until
        When it was served again; not earlier than `since`.
    """

    part: KeyRange
    since: Seconds
    until: Seconds

    @property
    def length(self) -> Seconds:
        """How long, in seconds."""
        return self.until - self.since


@dataclass
class UnavailableTime:
    """Unserved intervals of one key line.

    Parameters
    ----------
    open_since
        Ranges unserved now, in the order of the line, and since when.
    total
        Sum of all ended intervals, each weighted by its share of the line, in seconds.
    worst
        Longest ended interval, in seconds.
    """

    open_since: dict[KeyRange, Seconds] = field(default_factory=dict)
    total: Seconds = 0.0
    worst: Seconds = 0.0
    _starts: list[int] = field(default_factory=list)
    _times: list[Seconds] = field(default_factory=list)

    def observe(self, gaps: Sequence[KeyRange], now: Seconds) -> list[UnservedInterval]:
        """Take in which ranges are unserved from now on; return the intervals that ended.

        Parameters
        ----------
        gaps
            Disjoint ranges in the order of the line, as `uncovered` returns them.
        """
        was_open = list(self.open_since)
        finished = []
        for part in subtract(was_open, gaps):
            interval = UnservedInterval(part, self._since(part), now)
            finished.append(interval)
            self.total += interval.length * (part[1] - part[0]) / KEY_LINE_END
            self.worst = max(self.worst, interval.length)
        still_open = {part: self._since(part) for part in intersect(was_open, gaps)}
        newly_open = dict.fromkeys(subtract(gaps, was_open), now)
        self.open_since = dict(sorted({**still_open, **newly_open}.items()))
        self._starts = [start for start, _ in self.open_since]
        self._times = list(self.open_since.values())
        return [interval for interval in finished if interval.length > 0]

    def _since(self, part: KeyRange) -> Seconds:
        return self._times[bisect_right(self._starts, part[0]) - 1]


def intersect(left: Sequence[KeyRange], right: Sequence[KeyRange]) -> list[KeyRange]:
    """Parts that lie in both of two sequences of disjoint ranges in order."""
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
    """Parts of the left that do not lie in the right, both disjoint ranges in order."""
    found = []
    right_index = 0
    for start, end in left:
        reached = start
        while right_index < len(right) and right[right_index][1] <= start:
            right_index += 1
        index = right_index
        while index < len(right) and right[index][0] < end:
            if reached < right[index][0]:
                found.append((reached, right[index][0]))
            reached = max(reached, right[index][1])
            index += 1
        if reached < end:
            found.append((reached, end))
    return found


def load_imbalance(loads: Mapping[str, float]) -> float:
    """Imbalance of measured loads, by back end."""
    return max_over_mean(loads.values())
