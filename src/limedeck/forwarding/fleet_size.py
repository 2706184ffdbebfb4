"""How many nodes share what all nodes may do together, so that no view of it adds up to more.

A share of an amount for any window is that amount divided by the number of nodes. Nodes hear that
number from the leader, and it is out of date in some of them whenever nodes are lost, cut off or
started. The amount is kept all the same if every node goes by the highest number that it heard in a
window and a while, and has no share in its first window: whoever else believes in a lower number
began to do so after the others had ceased to use theirs.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from limedeck.identity import Seconds

HEARD_LIFE: Seconds = 2.5
"""A node that has not heard the number for so long has no share any more, and none for a window
after that: others may have counted it out. Above the time in which a lost leader is replaced."""


@dataclass(frozen=True, slots=True)
class _Heard:
    """The number that was heard, and until when at least."""

    count: int
    until: Seconds


class FleetSize:
    """One node's view of the number."""

    def __init__(self) -> None:
        self._heard: deque[_Heard] = deque()
        """The newest last, each lower than the one before it: what a maximum needs."""
        self._since: Seconds | None = None
        self._last: Seconds | None = None

    def record_node_count(self, count: int, now: Seconds) -> None:
        """The leader tells the number, or this node leads and counts."""
        if self._last is None or now - self._last > HEARD_LIFE:
            self._since = now
        self._last = now
        while self._heard and self._heard[-1].count <= count:
            self._heard.pop()
        self._heard.append(_Heard(count, now))

    def latest(self, now: Seconds) -> int:
        """Return the number that was told last; zero if none was for too long."""
        if self._last is None or now - self._last > HEARD_LIFE:
            return 0
        return self._heard[-1].count

    def sharing_nodes(self, window: Seconds, now: Seconds) -> int:
        """Return how many nodes share what they may do in a window; zero: this one has no share."""
        if self._since is None or self._last is None:
            return 0
        if now - self._last > HEARD_LIFE or now - self._since < window:
            return 0
        while self._heard[0].until < now - window - HEARD_LIFE and len(self._heard) > 1:
            self._heard.popleft()
        return max(self._heard[0].count, 1)
