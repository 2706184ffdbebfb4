"""Tracks the load of keys and the capacity of owners, and plans the moves that balance load."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

from limedeck.forwarding.backends import DEFAULT_SERVICE_TIME
from limedeck.identity import Seconds
from limedeck.model import Backend
from limedeck.ownership.key_load import LONG_DECAY_TIME, SHORT_DECAY_TIME, KeyLoad
from limedeck.ownership.planned_limits import PlannedLimits
from limedeck.ownership.planning import BalancePlan, OwnedPiece, PlannedMove
from limedeck.ownership.ranges import Phase, RangeState

HOT_KEY_COOLDOWN: Seconds = 4.0
"""Time for which a hot key that was moved by itself is not moved again."""
REQUIRED_DEVIATIONS = 2.5
"""Standard deviations by which a load must exceed what is tolerated before keys move."""
LONG_DECAY_REQUIRED_DEVIATIONS = 1.5
"""The same for the load over `LONG_DECAY_TIME`, which varies less by chance. In `limedeck-lab
experiment keys` (seeds 1 and 2), 3.7 of 100 responses are late; at 0.7 deviations 3.3 are, but keys
are in a third more ranges, each of which costs the leader two orders per second."""


class LoadBalance:
    """Load of one service's keys, and capacity of its back ends.

    Attributes
    ----------
    load
        Requests per second by key.
    uses
        Utilization by owner as of the last plan: the load of its keys as a part of its capacity.
    """

    def __init__(self, key_positions: int, interval: Seconds, now: Seconds) -> None:
        self.load = KeyLoad(now)
        self.uses: dict[str, float] = {}
        self._short_term_load = KeyLoad(now, SHORT_DECAY_TIME)
        self._long_term_load = KeyLoad(now, LONG_DECAY_TIME)
        self._key_positions = key_positions
        self._interval = interval
        self._next = now + interval
        self._service_times: dict[str, Seconds] = {}
        self._limits = PlannedLimits()
        self._pinned_until: dict[int, Seconds] = {}

    def record_requests(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """Record one node's number of requests by key."""
        counted = list(counts)
        for load in (self._short_term_load, self.load, self._long_term_load):
            load.add(counted, now)

    def set_service_time(self, backend_id: str, service_time: Seconds) -> None:
        """Set a back end's mean service time, as measured by all nodes together."""
        self._service_times[backend_id] = service_time

    def set_limits(self, limits: Mapping[str, float], now: Seconds) -> None:
        """Set the rate limits that back ends state: requests per second from all nodes together."""
        self._limits.set(limits, now)

    def typical_service_time(self, backend_ids: Collection[str]) -> Seconds:
        """Return the mean service time of the back ends that were measured."""
        known = [self._service_times[item] for item in backend_ids if item in self._service_times]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME

    def capacities(
        self, candidates: Iterable[str], backends: Mapping[str, Backend]
    ) -> dict[str, float]:
        """Return the requests per second that each candidate can process and accepts."""
        typical = self.typical_service_time(backends.keys())
        workable = {
            backend_id: backends[backend_id].slots / self._service_times.get(backend_id, typical)
            for backend_id in candidates
        }
        return {key: self._limits.capacity(key, rate) for key, rate in workable.items()}

    def weight(self, item: RangeState, now: Seconds) -> float:
        """Return the requests per second for a range, plus its part of all key positions.

        The part of the positions decides among ranges without requests.
        """
        return self.load.total(item.first, item.last, now) + item.size / self._key_positions

    def is_due(self, now: Seconds) -> bool:
        """Return whether the next balance check is due, and schedule the one after it."""
        if now < self._next:
            return False
        self._next = now + self._interval
        return True

    def moves(
        self, ranges: Sequence[RangeState], capacities: dict[str, float], now: Seconds
    ) -> list[PlannedMove]:
        """Plan moves by the load with the shortest decay time that shows a significant excess."""
        pieces, moving = _pieces(ranges, now)
        pinned = self._pinned_keys(now)
        for load, required_deviations in (
            (self._short_term_load, REQUIRED_DEVIATIONS),
            (self.load, REQUIRED_DEVIATIONS),
            (self._long_term_load, LONG_DECAY_REQUIRED_DEVIATIONS),
        ):
            plan = BalancePlan(pieces, capacities, load, now, required_deviations, pinned, moving)
            self.uses = plan.uses()
            moves = plan.moves()
            if moves:
                self._pinned_until.update(
                    dict.fromkeys(plan.moved_hot_keys, now + HOT_KEY_COOLDOWN)
                )
                return moves
        return []

    def _pinned_keys(self, now: Seconds) -> set[int]:
        """Return hot keys that were moved within `HOT_KEY_COOLDOWN`."""
        for key in [key for key, until in self._pinned_until.items() if until <= now]:
            del self._pinned_until[key]
        return set(self._pinned_until)


def _pieces(
    ranges: Iterable[RangeState], now: Seconds
) -> tuple[list[OwnedPiece], list[OwnedPiece]]:
    """Return keys that may be moved, and the others (moving or unconfirmed) by their next owner."""
    owned, moving = [], []
    for item in ranges:
        if item.phase is Phase.OWNED and item.confirmed_until > now:
            owned.append(OwnedPiece(item.first, item.last, item.owner))
        else:
            moving.append(OwnedPiece(item.first, item.last, item.target or item.owner))
    return owned, moving
