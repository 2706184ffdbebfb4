"""Grants that are sent again before they run out."""

from __future__ import annotations

from limedeck.identity import Seconds
from limedeck.ownership.orders import Grant
from limedeck.ownership.owner_liveness import OwnerLiveness
from limedeck.ownership.ranges import RangeState
from limedeck.ownership.timing import OwnershipTiming


class Renewals:
    """When the owners of one service are granted their keys again, and for how long."""

    def __init__(self, timing: OwnershipTiming, liveness: OwnerLiveness) -> None:
        self._timing = timing
        self._liveness = liveness

    def due(self, found: RangeState, now: Seconds) -> Grant | None:
        """Return the grant that is to be sent for a range now, if one is."""
        if found.order_pending or now < found.next_order:
            return None
        found.order_pending = True
        duration = self._duration(found.owner, now)
        end = now + self._timing.end_of(duration) + self._timing.order_timeout
        found.sent_until = max(found.sent_until, end)
        found.held_until = max(found.held_until, end)
        self._liveness.record_order_sent(found.owner, now)
        return Grant(found.owner, found.first, found.last, found.fence, duration, found.handover)

    def record_granted(
        self, found: RangeState, order: Grant, sent_at: Seconds, owned_ranges: int, now: Seconds
    ) -> None:
        """The owner has taken a grant.

        Parameters
        ----------
        owned_ranges
            How many ranges it has.
        """
        found.confirmed_until = sent_at + order.duration
        # A grant that was sent before, and had no answer, may run longer than this one.
        found.held_until = max(found.sent_until, now + self._timing.end_of(order.duration))
        found.handover = ""
        found.next_order = sent_at + self._interval(owned_ranges)

    def _interval(self, owned_ranges: int) -> Seconds:
        """Time until a range is granted again: longer if its owner has others.

        An owner is to be asked often enough to find soon that it is gone. With one order for each
        of its ranges, a leader of hundreds of ranges would send more than it can.
        """
        intervals = min(owned_ranges, self._timing.max_renewal_intervals)
        return self._timing.renewal_interval * max(intervals, 1)

    def _duration(self, owner: str, now: Seconds) -> Seconds:
        """How long a grant runs: one that follows an order without an answer ends no later.

        Keys of an owner that is gone wait for the end of every grant that it may have taken.
        """
        requested_at = self._liveness.requested_at(owner)
        if requested_at is None:
            return self._timing.lease
        time_left = requested_at + self._timing.longest_lease - now
        return max(self._timing.max_duration_within(time_left), self._timing.min_grant_time)
