"""Which owners answer a leader's orders, and whether it is the leader that can't hear them.

One observer cannot tell its own lateness from the silence of all that it observes. Other nodes
report which back ends answer their requests: an owner that answers them and not the leader is
sound, and if there are many such owners the leader is at fault.
"""

from __future__ import annotations

from collections.abc import Collection

from limedeck.identity import NEVER, Seconds
from limedeck.ownership.timing import OwnershipTiming

MAX_UNRESPONSIVE_PART = 1 / 3
"""More owners than this part that answer others and not the leader: it is at fault. An estimate:
single back ends are out of one node's reach for reasons of their own. In simulated time, with a
leader whose orders take 40 times their work, all of 24 owners are unheard after 0.6 s; taking their
keys left 48 of 48 keys without an owner for 4 s, and yielding none (test_slow_leader.py)."""


class OwnerLiveness:
    """One leader's view of the back ends of one service.

    Parameters
    ----------
    opened_at
        When this leader took the service over.
    """

    def __init__(self, timing: OwnershipTiming, taken_over_at: Seconds) -> None:
        self._timing = timing
        self._taken_over_at = taken_over_at
        self._requested_at: dict[str, Seconds] = {}
        self._responded_at: dict[str, Seconds] = {}
        self._avoided_until: dict[str, Seconds] = {}

    def record_order_sent(self, backend_id: str, now: Seconds) -> None:
        """An order is sent; silence counts from the first one without an answer."""
        self._requested_at.setdefault(backend_id, now)

    def record_order_response(self, backend_id: str) -> None:
        """It has answered an order."""
        self._requested_at.pop(backend_id, None)
        self._avoided_until.pop(backend_id, None)

    def record_new_owner(self, backend_id: str) -> None:
        """It gets keys: its silence counts from the first order that it gets as their owner."""
        self._requested_at.pop(backend_id, None)

    def record_last_response(self, backend_id: str, responded_at: Seconds) -> None:
        """A node told at this time that the back end had answered a request."""
        self._responded_at[backend_id] = responded_at

    def requested_at(self, backend_id: str) -> Seconds | None:
        """When the first order without an answer was sent; None if there is none."""
        return self._requested_at.get(backend_id)

    def is_presumed_failed(self, backend_id: str, now: Seconds) -> bool:
        """Whether it has answered no order for so long that it loses its keys."""
        requested_at = self._requested_at.get(backend_id)
        return requested_at is not None and now - requested_at > self._timing.owner_timeout

    def is_unresponsive(self, backend_id: str, now: Seconds) -> bool:
        """Whether two orders and more to it are without an answer."""
        requested_at = self._requested_at.get(backend_id)
        return requested_at is not None and now - requested_at >= self._timing.unresponsive_timeout

    def is_unreachable(self, backend_id: str, now: Seconds) -> bool:
        """Whether neither this node nor, as far as it heard, any other one is answered there."""
        requested_at = self._requested_at.get(backend_id)
        if requested_at is None:
            return False
        # Nodes that have not connected to a new leader yet tell it nothing.
        since = max(requested_at, self._taken_over_at + self._timing.follower_reconnect_time)
        if now - since < self._timing.unresponsive_timeout:
            return False
        return not self._responds_to_others(backend_id, since)

    def is_leader_at_fault(self, owners: Collection[str], now: Seconds) -> bool:
        """Whether so many owners answer others and not this node that the fault is here."""
        unresponsive = sum(self._responds_only_to_others(owner, now) for owner in owners)
        return unresponsive > MAX_UNRESPONSIVE_PART * len(owners)

    def avoid(self, backend_id: str, now: Seconds) -> None:
        """Give it no keys for a while."""
        self._avoided_until[backend_id] = now + self._timing.avoidance_time

    def extend_avoidance(self, backend_id: str, now: Seconds) -> None:
        """One more order was lost; if it is avoided, it is for longer."""
        if backend_id in self._avoided_until:
            self.avoid(backend_id, now)

    def is_avoided(self, backend_id: str) -> bool:
        """Whether it is to get no keys, as of the last `end_avoidance`."""
        return backend_id in self._avoided_until

    def expire_avoidance(self, now: Seconds) -> None:
        """Back ends that were avoided long enough are judged anew."""
        for backend_id in [key for key, until in self._avoided_until.items() if until <= now]:
            del self._avoided_until[backend_id]
            self._requested_at.pop(backend_id, None)

    def _responds_only_to_others(self, backend_id: str, now: Seconds) -> bool:
        requested_at = self._requested_at.get(backend_id, NEVER)
        return self.is_unresponsive(backend_id, now) and self._responds_to_others(
            backend_id, requested_at
        )

    def _responds_to_others(self, backend_id: str, since: Seconds) -> bool:
        """Whether a node was surely answered there after this moment."""
        return self._responded_at.get(backend_id, NEVER) >= since + self._timing.max_report_delay
