"""Renewal of grants before they expire."""

from __future__ import annotations

from limedeck.identity import Seconds
from limedeck.ownership.orders import Grant
from limedeck.ownership.owner_liveness import OwnerLiveness
from limedeck.ownership.ranges import RangeState
from limedeck.ownership.timing import OwnershipTiming


class Renewals:
    """Determines when grants of one service's ranges are renewed, and for how long."""

    def __init__(self, timing: OwnershipTiming, liveness: OwnerLiveness) -> None:
        self._timing = timing
        self._liveness = liveness

    def due(self, found: RangeState, now: Seconds) -> Grant | None:
        """Return the grant that is due for a range; None if none is."""
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
        """Record that the owner has accepted a grant.

        Parameters
        ----------
        sent_at
            When the grant was sent.
        owned_ranges
            Number of ranges of the owner.
        """
        found.confirmed_until = sent_at + order.duration
        # An earlier grant without a response may be valid for longer than this one.
        found.held_until = max(found.sent_until, now + self._timing.end_of(order.duration))
        found.handover = ""
        found.next_order = sent_at + self._interval(owned_ranges)

    def _interval(self, owned_ranges: int) -> Seconds:
        """Return the time until a range is renewed; longer if its owner has several ranges.

        An owner must get orders often enough that its failure is detected soon. With an order for
        each range at that rate, a leader of hundreds of ranges could not send them all in time.
        """
        intervals = min(owned_ranges, self._timing.max_renewal_intervals)
        return self._timing.renewal_interval * max(intervals, 1)

    def _duration(self, owner: str, now: Seconds) -> Seconds:
        """Return the duration of a grant; it is shortened while an order has no response.

        Keys of a failed owner are reassigned only after the end of every grant that it may have
        accepted. So a grant sent after an order without a response ends no later than that one,
        unless it would be shorter than `min_grant_time`.
        """
        requested_at = self._liveness.requested_at(owner)
        if requested_at is None:
            return self._timing.lease
        time_left = requested_at + self._timing.longest_lease - now
        return max(self._timing.max_duration_within(time_left), self._timing.min_grant_time)
