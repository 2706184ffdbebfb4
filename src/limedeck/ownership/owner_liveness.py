"""Tracks which owners respond to a leader's orders, and whether the leader itself is at fault.

A single observer cannot distinguish its own delays from a failure of all that it observes. Other
nodes report which back ends respond to their requests: an owner that responds to them but not to
the leader is healthy, and if there are many such owners, the leader is at fault.
"""

from __future__ import annotations

from collections.abc import Collection

from limedeck.identity import NEVER, Seconds
from limedeck.ownership.timing import OwnershipTiming

MAX_UNRESPONSIVE_PART = 1 / 3
"""Part of the owners that may respond to other nodes but not to the leader; with more, the leader
is at fault. Single back ends may be unreachable from one node for other reasons. In a simulation of
a leader whose orders take 40 times as long, all of 24 owners are unresponsive after 0.6 s: if they
lose their keys, 48 of 48 keys have no owner for 4 s; if the leader yields, none
(test_slow_leader.py)."""


class OwnerLiveness:
    """Liveness of the back ends of one service, as seen by one leader.

    Parameters
    ----------
    taken_over_at
        When this leader took over the service.
    """

    def __init__(self, timing: OwnershipTiming, taken_over_at: Seconds) -> None:
        self._timing = timing
        self._taken_over_at = taken_over_at
        self._requested_at: dict[str, Seconds] = {}
        self._responded_at: dict[str, Seconds] = {}
        self._avoided_until: dict[str, Seconds] = {}
        self._is_partitioned = False
        self._is_in_doubt = False

    def set_partitioned(self, is_partitioned: bool, is_in_doubt: bool = False) -> None:
        """Set whether this leader reaches no back end, so that it cannot judge any of them.

        Time-outs begin anew when it reaches back ends again.

        Parameters
        ----------
        is_in_doubt
            It is not decided yet. Time-outs go on, since it may be the back ends that failed.
        """
        if self._is_partitioned and not is_partitioned:
            self._requested_at.clear()
        self._is_partitioned = is_partitioned
        self._is_in_doubt = is_in_doubt

    def record_order_sent(self, backend_id: str, now: Seconds) -> None:
        """Record that an order is sent; time-outs count from the first one without a response."""
        self._requested_at.setdefault(backend_id, now)

    def record_order_response(self, backend_id: str) -> None:
        """Record a response to an order."""
        self._requested_at.pop(backend_id, None)
        self._avoided_until.pop(backend_id, None)

    def record_new_owner(self, backend_id: str) -> None:
        """Record a new owner of keys; its time-outs count from its first order as their owner."""
        self._requested_at.pop(backend_id, None)

    def record_last_response(self, backend_id: str, responded_at: Seconds) -> None:
        """Record when a node last reported a response of the back end to a request."""
        self._responded_at[backend_id] = responded_at

    def requested_at(self, backend_id: str) -> Seconds | None:
        """Return when the first order without a response was sent; None if there is none."""
        return self._requested_at.get(backend_id)

    def is_presumed_failed(self, backend_id: str, now: Seconds) -> bool:
        """Whether the back end has not responded for `owner_timeout`, and loses its keys."""
        requested_at = self._requested_at.get(backend_id)
        if requested_at is None or self._is_partitioned or self._is_in_doubt:
            return False
        return now - requested_at > self._timing.owner_timeout

    def is_unresponsive(self, backend_id: str, now: Seconds) -> bool:
        """Whether the back end has not responded to orders for `unresponsive_timeout`."""
        requested_at = self._requested_at.get(backend_id)
        return requested_at is not None and now - requested_at >= self._timing.unresponsive_timeout

    def is_unreachable(self, backend_id: str, now: Seconds) -> bool:
        """Whether the back end responds neither to this node nor, by their reports, to others."""
        requested_at = self._requested_at.get(backend_id)
        if requested_at is None or self._is_partitioned or self._is_in_doubt:
            return False
        # Nodes that have not yet connected to a new leader send it no reports.
        since = max(requested_at, self._taken_over_at + self._timing.follower_reconnect_time)
        if now - since < self._timing.unresponsive_timeout:
            return False
        return not self._responds_to_others(backend_id, since)

    def is_leader_at_fault(self, owners: Collection[str], now: Seconds) -> bool:
        """Whether so many owners respond only to other nodes that this node is at fault."""
        unresponsive = sum(self._responds_only_to_others(owner, now) for owner in owners)
        return unresponsive > MAX_UNRESPONSIVE_PART * len(owners)

    def avoid(self, backend_id: str, now: Seconds) -> None:
        """Assign no keys to the back end for `avoidance_time`."""
        self._avoided_until[backend_id] = now + self._timing.avoidance_time

    def extend_avoidance(self, backend_id: str, now: Seconds) -> None:
        """Restart the avoidance of a back end that is avoided, since another order was lost."""
        if backend_id in self._avoided_until:
            self.avoid(backend_id, now)

    def is_avoided(self, backend_id: str) -> bool:
        """Whether the back end must get no keys, as of the last `expire_avoidance`."""
        return backend_id in self._avoided_until

    def expire_avoidance(self, now: Seconds) -> None:
        """End the avoidance of back ends whose time is over, and reset their time-outs."""
        for backend_id in [key for key, until in self._avoided_until.items() if until <= now]:
            del self._avoided_until[backend_id]
            self._requested_at.pop(backend_id, None)

    def _responds_only_to_others(self, backend_id: str, now: Seconds) -> bool:
        requested_at = self._requested_at.get(backend_id, NEVER)
        return self.is_unresponsive(backend_id, now) and self._responds_to_others(
            backend_id, requested_at
        )

    def _responds_to_others(self, backend_id: str, since: Seconds) -> bool:
        """Whether the back end certainly responded to a node after `since`."""
        return self._responded_at.get(backend_id, NEVER) >= since + self._timing.max_report_delay
