"""The number of nodes that share an amount, chosen so that the shares never exceed the amount.

A node's share of an amount for any window is the amount divided by the number of nodes. Nodes get
that number from the leader, and it is out of date at some of them whenever nodes are lost, cut off
or started. The amount is not exceeded if every node uses the highest number that it got in the last
window plus `COUNT_LIFETIME`, and has no share in its first window: a node that uses a lower number
started to do so after the others had stopped using their shares.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from limedeck.identity import Seconds

COUNT_LIFETIME: Seconds = 2.5
"""A node that has not got the number for longer has no share, nor for a window after it gets the
number again: others may no longer count it. Longer than the time to replace a lost leader."""


@dataclass(frozen=True, slots=True)
class _RecordedCount:
    """A number of nodes, and when it was last recorded."""

    count: int
    last_recorded_at: Seconds


class FleetSize:
    """One node's view of the number of nodes."""

    def __init__(self) -> None:
        self._counts: deque[_RecordedCount] = deque()
        """Newest last, each lower than the one before it, for the maximum of a sliding window."""
        self._continuous_since: Seconds | None = None
        self._last_recorded_at: Seconds | None = None

    def record_node_count(self, count: int, now: Seconds) -> None:
        """Record the number that the leader sent, or that this node counted as the leader."""
        if self._last_recorded_at is None or now - self._last_recorded_at > COUNT_LIFETIME:
            self._continuous_since = now
        self._last_recorded_at = now
        while self._counts and self._counts[-1].count <= count:
            self._counts.pop()
        self._counts.append(_RecordedCount(count, now))

    def latest(self, now: Seconds) -> int:
        """Return the number recorded last; zero if it is too old."""
        if self._last_recorded_at is None or now - self._last_recorded_at > COUNT_LIFETIME:
            return 0
        return self._counts[-1].count

    def sharing_nodes(self, window: Seconds, now: Seconds) -> int:
        """Return how many nodes share an amount for a window; zero: this one has no share."""
        if self._continuous_since is None or self._last_recorded_at is None:
            return 0
        if now - self._last_recorded_at > COUNT_LIFETIME or now - self._continuous_since < window:
            return 0
        while (
            self._counts[0].last_recorded_at < now - window - COUNT_LIFETIME
            and len(self._counts) > 1
        ):
            self._counts.popleft()
        return max(self._counts[0].count, 1)
