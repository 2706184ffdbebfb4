"""Requests that wait for their turn at a back end."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.identity import Seconds

LIFETIME: Seconds = 0.5
"""A request counts as waiting for so long after it asked for its turn. Longer than the time after
which it asks again, so that requests that ended otherwise need not be removed."""


@dataclass(frozen=True, slots=True)
class WaitingCounts:
    """How many requests wait.

    Parameters
    ----------
    in_time
        Those that can still be served within their objective.
    late
        The others.
    """

    in_time: int = 0
    late: int = 0

    def __add__(self, other: WaitingCounts) -> WaitingCounts:
        return WaitingCounts(self.in_time + other.in_time, self.late + other.late)

    def __bool__(self) -> bool:
        return bool(self.in_time or self.late)

    @property
    def total(self) -> int:
        """All that wait."""
        return self.in_time + self.late

    def without(self, other: WaitingCounts) -> WaitingCounts:
        """Return these counts without others that they include."""
        return WaitingCounts(max(self.in_time - other.in_time, 0), max(self.late - other.late, 0))


NONE_WAITING = WaitingCounts()


class WaitingRequests:
    """Counts one node's requests for one back end by when each last asked for its turn."""

    def __init__(self) -> None:
        self._asked: dict[bytes, tuple[Seconds, bool]] = {}

    def record(self, request_id: bytes, is_late: bool, now: Seconds) -> None:
        """Record that a request asked for its turn and did not get it."""
        self._asked.pop(request_id, None)
        self._asked[request_id] = (now, is_late)

    def discard(self, request_id: bytes) -> None:
        """Record that a request is sent or refused."""
        self._asked.pop(request_id, None)

    def counts(self, now: Seconds) -> WaitingCounts:
        """Return how many requests wait."""
        if not self._asked:
            return NONE_WAITING
        # The requests are in the order of their last asking.
        for request_id in list(self._asked):
            if now - self._asked[request_id][0] < LIFETIME:
                break
            del self._asked[request_id]
        late = sum(is_late for _, is_late in self._asked.values())
        return WaitingCounts(len(self._asked) - late, late)
