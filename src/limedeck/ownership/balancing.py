"""How much each owner bears and each key takes, and which keys are to move for that."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

from limedeck.forwarding.backends import DEFAULT_SERVICE_TIME
from limedeck.identity import Seconds
from limedeck.model import Backend
from limedeck.ownership.key_load import LASTING_MEMORY, RECENT_MEMORY, KeyLoad
from limedeck.ownership.planned_limits import PlannedLimits
from limedeck.ownership.planning import BalancePlan, OwnedPiece, PlannedMove
from limedeck.ownership.ranges import Phase, RangeState

HOT_KEY_REST: Seconds = 4.0
"""A hot key that was moved by itself stays so long where it is."""
CERTAINTY = 2.5
"""Standard deviations by which a load must be too high before keys move."""
LASTING_CERTAINTY = 1.5
"""The same for the load over `LASTING_MEMORY`, which has less of chance left. By `limedeck-lab
experiment keys` (seeds 1 and 2), 3.7 in 100 answers are late; at 0.7 they are 3.3, but the keys are
in a third more ranges, each of which costs the leader two orders a second."""


class LoadBalance:
    """Load of one service's keys, and the room of its back ends.

    Attributes
    ----------
    load
        Requests a second by key.
    uses
        By owner, the load of its keys as a part of what it bears, as of the last look.
    """

    def __init__(self, key_positions: int, interval: Seconds, now: Seconds) -> None:
        self.load = KeyLoad(now)
        self.uses: dict[str, float] = {}
        self._recent_load = KeyLoad(now, RECENT_MEMORY)
        self._lasting_load = KeyLoad(now, LASTING_MEMORY)
        self._key_positions = key_positions
        self._interval = interval
        self._next = now + interval
        self._service_times: dict[str, Seconds] = {}
        self._limits = PlannedLimits()
        self._settled_until: dict[int, Seconds] = {}

    def record_requests(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """A node tells how many requests it had by key."""
        counted = list(counts)
        for load in (self._recent_load, self.load, self._lasting_load):
            load.add(counted, now)

    def set_service_time(self, backend_id: str, service_time: Seconds) -> None:
        """All nodes' answers tell how long a back end works on one request."""
        self._service_times[backend_id] = service_time

    def set_limits(self, limits: Mapping[str, float], now: Seconds) -> None:
        """Back ends in need take so many requests a second from all nodes together."""
        self._limits.set(limits, now)

    def typical_service_time(self, backend_ids: Collection[str]) -> Seconds:
        """Mean over the back ends that were measured."""
        known = [self._service_times[item] for item in backend_ids if item in self._service_times]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME

    def capacities(
        self, candidates: Iterable[str], backends: Mapping[str, Backend]
    ) -> dict[str, float]:
        """Requests a second that each candidate can work on and takes."""
        typical = self.typical_service_time(backends.keys())
        workable = {
            backend_id: backends[backend_id].slots / self._service_times.get(backend_id, typical)
            for backend_id in candidates
        }
        return {key: self._limits.capacity(key, rate) for key, rate in workable.items()}

    def weight(self, item: RangeState, now: Seconds) -> float:
        """Requests a second for a range, and a little for its size, which counts without any."""
        return self.load.total(item.first, item.last, now) + item.size / self._key_positions

    def is_due(self, now: Seconds) -> bool:
        """Whether it is time for another look at how evenly load is spread."""
        if now < self._next:
            return False
        self._next = now + self._interval
        return True

    def moves(
        self, ranges: Sequence[RangeState], capacities: dict[str, float], now: Seconds
    ) -> list[PlannedMove]:
        """Plan moves by the shortest memory of loads that shows a difference above chance."""
        pieces, moving = _pieces(ranges, now)
        settled = self._settled_keys(now)
        for load, certainty in (
            (self._recent_load, CERTAINTY),
            (self.load, CERTAINTY),
            (self._lasting_load, LASTING_CERTAINTY),
        ):
            plan = BalancePlan(pieces, capacities, load, now, certainty, settled, moving)
            self.uses = plan.uses()
            moves = plan.moves()
            if moves:
                self._settled_until.update(dict.fromkeys(plan.parted, now + HOT_KEY_REST))
                return moves
        return []

    def _settled_keys(self, now: Seconds) -> set[int]:
        """Hot keys that have moved lately."""
        for key in [key for key, until in self._settled_until.items() if until <= now]:
            del self._settled_until[key]
        return set(self._settled_until)


def _pieces(
    ranges: Iterable[RangeState], now: Seconds
) -> tuple[list[OwnedPiece], list[OwnedPiece]]:
    """Return keys that may be moved, and keys on their way to owners that will have their load."""
    owned, moving = [], []
    for item in ranges:
        if item.phase is Phase.OWNED and item.confirmed_until > now:
            owned.append(OwnedPiece(item.first, item.last, item.owner))
        else:
            moving.append(OwnedPiece(item.first, item.last, item.target or item.owner))
    return owned, moving
