"""Draws back ends for unkeyed requests by shares that level their utilization.

All nodes learn of all nodes' requests at about the same time, up to a second late. If each chose
the back end that was best then, all would choose the same; if each chose the better of two at
random, slow back ends would be drawn as often as fast ones. Shares of the requests that arrive
until the next totals keep the nodes together level without a message between them.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.load_leveling import levelling_shares
from limedeck.identity import NEVER, Seconds

OTHER_ZONE_LOAD_PER_SLOT = 1.5
"""Requests per slot added to the loads of back ends in other zones, if loads are known late: they
are used once those of this zone are busy."""
REPORTED_OTHER_ZONE_LOAD_PER_SLOT = 1.1
"""The same if back ends report their load: a caller waits longer for a busy back end of its own
zone than for a free one of another."""
LOOKAHEAD: Seconds = 0.3
"""Time for which shares are computed in advance: until the next totals arrive; see
`node.leader_link`."""
MAX_SPEED_EXPONENT = 0.5
"""How much more of its slots a fast back end has in use than a slow one while many requests wait,
as an exponent of speed: those that wait at a slow one wait longer."""
WAITING_UTILIZATION = 0.5
"""Utilization up to which hardly any request waits, and all have the same part of slots in use."""
SPEED_EXPONENT_SLOPE = 2.5
"""Growth of that exponent with utilization."""
MIN_DIFFERENCE = 0.05
"""Least difference of two relative loads that decides between back ends drawn."""
MIN_ARRIVALS = 0.1
"""Lower bound of the arrivals to be shared, for times with hardly any requests: the best back end
gets all of them."""
SHARES_LIFETIME: Seconds = 0.05
"""How long shares are used; loads that many nodes cause change no faster."""


@dataclass(slots=True)
class _Shares:
    """Shares of some back ends, and their sum."""

    states: list[BackendState]
    shares: list[float]
    total: float
    computed_at: Seconds

    def drawn(self, point: float, other_than: int = -1) -> int:
        """Return the index of the share at `point`, a fraction of the sum.

        Parameters
        ----------
        other_than
            Is not drawn, unless no other one has a share.
        """
        left_out = self.shares[other_than] if other_than >= 0 else 0.0
        left = point * (self.total - left_out)
        last = other_than
        for index, share in enumerate(self.shares):
            if share > 0.0 and index != other_than:
                last = index
                left -= share
                if left < 0.0:
                    return index
        return last


class ShareDrawing:
    """Draws back ends of one service, by shares that are computed again when they are old.

    Parameters
    ----------
    zone
        This node's zone.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._known = _Shares([], [], 0.0, NEVER)

    def draw(
        self,
        candidates: list[BackendState],
        limited: Sequence[bool],
        typical: Seconds,
        request_id: bytes,
        now: Seconds,
    ) -> BackendState:
        """Draw two back ends, and return the one that this node expects to be less busy.

        Parameters
        ----------
        limited
            Whether each states a limit: it is preferred if drawn, however slow it appears.
        typical
            Service time of back ends that were not measured yet.
        """
        shares = self._current(candidates, limited, typical, now)
        first = shares.drawn(hash_fraction(b"1" + request_id))
        second = shares.drawn(hash_fraction(b"2" + request_id), first)
        return min(
            (candidates[first], candidates[second]),
            key=lambda state: (
                -1
                if limited[first if state is candidates[first] else second]
                else _relative_load(state, typical, now)
            ),
        )

    def share(self, state: BackendState) -> float | None:
        """Return a back end's part of the newest shares; None if there are none yet."""
        known = self._known
        if not known.total:
            return None
        if state not in known.states:
            return 0.0
        return known.shares[known.states.index(state)] / known.total

    def _current(
        self,
        candidates: list[BackendState],
        limited: Sequence[bool],
        typical: Seconds,
        now: Seconds,
    ) -> _Shares:
        known = self._known
        if now - known.computed_at < SHARES_LIFETIME and known.states == candidates:
            return known
        capacities = [state.capacity(now, typical) for state in candidates]
        loads = [state.expected_load(now) for state in candidates]
        slots = [state.backend.slots for state in candidates]
        exponent = speed_exponent(sum(map(min, loads, slots)) / sum(slots))
        arrivals = MIN_ARRIVALS + LOOKAHEAD * sum(
            min(load / slot_count, 1.0) * capacity
            for load, slot_count, capacity in zip(loads, slots, capacities, strict=True)
        )
        if any(limited):
            fastest = max(capacities)
            capacities = [
                fastest if is_limited else capacity
                for is_limited, capacity in zip(limited, capacities, strict=True)
            ]
        mean = sum(capacities) / len(capacities)
        kept = [
            kept_part(capacity / slot_count, LOOKAHEAD)
            for capacity, slot_count in zip(capacities, slots, strict=True)
        ]
        # A node has responses of few back ends; those of one service are alike in this.
        reports_load = any(state.reports_load for state in candidates)
        per_slot = REPORTED_OTHER_ZONE_LOAD_PER_SLOT if reports_load else OTHER_ZONE_LOAD_PER_SLOT
        remaining = [
            remaining_load(load, slot_count, capacity, LOOKAHEAD) + self._zone_load(state, per_slot)
            for state, load, slot_count, capacity in zip(
                candidates, loads, slots, capacities, strict=True
            )
        ]
        shares = levelling_shares(
            [load / part for load, part in zip(remaining, kept, strict=True)],
            [
                slot_count * (capacity / mean) ** exponent / part
                for slot_count, capacity, part in zip(slots, capacities, kept, strict=True)
            ],
            arrivals,
        )
        self._known = _Shares(candidates, shares, sum(shares), now)
        return self._known

    def _zone_load(self, state: BackendState, per_slot: float) -> float:
        return 0.0 if state.backend.zone == self._zone else per_slot * state.backend.slots


def speed_exponent(utilization: float) -> float:
    """Return how much more of its slots a fast back end is to have in use than a slow one.

    Parameters
    ----------
    utilization
        Part of all slots that are in use.
    """
    excess = SPEED_EXPONENT_SLOPE * (utilization - WAITING_UTILIZATION)
    return min(max(excess, 0.0), MAX_SPEED_EXPONENT)


def remaining_load(load: float, slots: int, capacity: float, time: Seconds) -> float:
    """Return how many of a back end's requests are still there after a time.

    While requests wait, as many end as it can process; later ever fewer, as its slots become free.

    Parameters
    ----------
    capacity
        Requests a second that it can process.
    """
    queued_for = max(load - slots, 0.0) / capacity
    if time <= queued_for:
        return load - time * capacity
    return min(load, slots) * math.exp(-(time - queued_for) * capacity / slots)


def kept_part(rate: float, time: Seconds) -> float:
    """Return the part of the requests that arrive during a time and have not ended when it is over.

    Parameters
    ----------
    rate
        Inverse of the time that a request takes.
    """
    return -math.expm1(-rate * time) / (rate * time)


def _relative_load(state: BackendState, typical: Seconds, now: Seconds) -> int:
    """Return what this node itself knows of a back end's load, in steps of `MIN_DIFFERENCE`.

    The speed alone does not count here: shares take account of it.
    """
    service_time = state.speed.service_time(now) or state.service_time or typical
    use = state.observed_load(now) / state.backend.slots * service_time / typical
    return round((1.0 + use) * state.relative_slowdown(now) / MIN_DIFFERENCE)
