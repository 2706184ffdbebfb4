"""Leases of a group's back ends, as its leader grants and tracks them.

One lease covers all slices of a back end. A grant holds until the back end's *own* clock reads a
value that the leader computes from the clock reading in the back end's last reply, so a delayed
grant never holds longer than intended. The leader, which received that reply at time *r* of its
own clock, assumes that the lease may hold until ``r + longest_backend_lease``.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from limedeck.api.backend_pb2 import Fence as FenceMessage
from limedeck.api.backend_pb2 import KeyRange, LeaseReply, LeaseRequest, RangeSet
from limedeck.control.timing import ControlTiming
from limedeck.errors import InvariantViolation
from limedeck.identity import NEVER, BackendId, Fence, GroupId, Incarnation, Seconds
from limedeck.keyspace.hashing import KEYSPACE_END
from limedeck.keyspace.slices import Slice

NO_FENCE = Fence(0, 0)
UNKNOWN_INCARNATION = Incarnation(0)


@dataclass
class BackendLease:
    """Lease state of one back end, as known to the leader.

    Parameters
    ----------
    incarnation
        Incarnation of the back end that last replied.
    clock, clock_received_at
        Clock reading in its last reply, and when that reply arrived on the leader's clock.
    possibly_alive_until
        Time on the leader's clock until which a grant to any incarnation by any leader may hold.
    owned
        The slices in the latest grant.
    owned_fence
        Fence of the first grant with these slices, which is the version of the range set.
    served_fence, settled_fence
        Version that the back end reported to serve, and version for which it reported that all
        work of older versions has ended.
    exchange
        Fence of the exchange whose reply has not arrived yet.
    exchange_sent_at, next_exchange_at
        When the last exchange was sent, and when the next is due, on the leader's clock.
    """

    backend_id: BackendId
    address: str
    possibly_alive_until: Seconds
    incarnation: Incarnation = UNKNOWN_INCARNATION
    clock: Seconds = NEVER
    clock_received_at: Seconds = NEVER
    owned: tuple[Slice, ...] = ()
    owned_fence: Fence = NO_FENCE
    served_fence: Fence = NO_FENCE
    settled_fence: Fence = NO_FENCE
    exchange: Fence | None = None
    exchange_sent_at: Seconds = NEVER
    next_exchange_at: Seconds = NEVER
    draining: bool = False
    in_flight: int = 0
    loads: dict[int, float] = field(default_factory=dict)

    def has_released(self, start: int) -> bool:
        """Whether the back end has ended all work on a slice and no longer serves it."""
        if any(owned.start <= start < owned.end for owned in self.owned):
            return False
        return self.owned_fence != NO_FENCE and self.settled_fence >= self.owned_fence

    def may_hold_grant(self, now: Seconds) -> bool:
        """Whether some grant may still hold at `now`."""
        return now <= self.possibly_alive_until

    def is_responsive(self, now: Seconds, timing: ControlTiming) -> bool:
        """Whether the back end replied recently enough to receive slices."""
        return now - self.clock_received_at <= timing.exchange_timeout + (
            2 * timing.lease_renewal_interval
        )


@dataclass(frozen=True)
class LeaseExchange:
    """A request to one back end, and the fence that identifies its reply."""

    backend_id: BackendId
    address: str
    fence: Fence
    request: LeaseRequest


class LeaseTable:
    """Leases of all back ends of a group, for one term of its leader.

    Parameters
    ----------
    elected_at
        Time on the leader's clock when its term began. Every grant of an earlier leader is based
        on an earlier clock reading, so it has ended by ``elected_at + longest_backend_lease``.
    """

    def __init__(
        self, group: GroupId, term: int, timing: ControlTiming, elected_at: Seconds
    ) -> None:
        self.group = group
        self.term = term
        self.timing = timing
        self.backends: dict[BackendId, BackendLease] = {}
        self._sequence = 0
        self._earlier_grants_until = elected_at + timing.longest_backend_lease

    def track(self, addresses: dict[BackendId, str]) -> None:
        """Track these back ends; those tracked earlier stay, as they may still hold a grant."""
        for backend_id, address in addresses.items():
            lease = self.backends.get(backend_id)
            if lease is None:
                self.backends[backend_id] = BackendLease(
                    backend_id, address, self._earlier_grants_until
                )
            else:
                lease.address = address

    def lease(self, backend_id: BackendId) -> BackendLease | None:
        """Return a back end's lease, or None if the back end is not tracked."""
        return self.backends.get(backend_id)

    def has_lapsed(self, backend_id: BackendId, now: Seconds) -> bool:
        """Whether no grant to this back end can still hold."""
        lease = self.backends.get(backend_id)
        if lease is None:
            return now > self._earlier_grants_until
        return not lease.may_hold_grant(now)

    def due(self, now: Seconds) -> list[BackendLease]:
        """Abandon exchanges that timed out, and return the back ends whose next exchange is due."""
        for lease in self.backends.values():
            if lease.exchange and now - lease.exchange_sent_at > self.timing.exchange_timeout:
                lease.exchange = None
        return [
            lease
            for lease in self.backends.values()
            if lease.exchange is None and now >= lease.next_exchange_at
        ]

    def start_exchange(
        self, lease: BackendLease, owned: Sequence[Slice], warm: Sequence[Slice], now: Seconds
    ) -> LeaseExchange:
        """Create the next request to a back end: a grant if its clock is known, else a probe."""
        self._sequence += 1
        fence = Fence(self.term, self._sequence)
        request = LeaseRequest(
            group=self.group, backend_id=lease.backend_id, fence=fence_to_message(fence)
        )
        if lease.incarnation != UNKNOWN_INCARNATION:
            self._add_grant(request, lease, owned, fence, now)
            request.warm.extend(key_range(item) for item in warm)
        lease.exchange = fence
        lease.exchange_sent_at = now
        lease.next_exchange_at = now + self.timing.lease_renewal_interval
        return LeaseExchange(lease.backend_id, lease.address, fence, request)

    def _add_grant(
        self,
        request: LeaseRequest,
        lease: BackendLease,
        owned: Sequence[Slice],
        fence: Fence,
        now: Seconds,
    ) -> None:
        slices = tuple(owned)
        if slices != lease.owned or lease.owned_fence == NO_FENCE:
            lease.owned = slices
            lease.owned_fence = fence
            self._validate_grant(lease, now)
        request.incarnation = lease.incarnation
        request.until = lease.clock + self.timing.backend_lease
        request.owned_version.CopyFrom(fence_to_message(lease.owned_fence))
        if lease.served_fence != lease.owned_fence:
            request.owned.CopyFrom(range_set(lease.owned_fence, owned))
        if owned:
            until = lease.clock_received_at + self.timing.longest_backend_lease
            lease.possibly_alive_until = max(lease.possibly_alive_until, until)

    def handle_reply(
        self, backend_id: BackendId, fence: Fence, reply: LeaseReply, now: Seconds
    ) -> bool:
        """Apply a reply; return whether it belongs to the pending exchange."""
        lease = self.backends.get(backend_id)
        if lease is None or lease.exchange != fence:
            return False
        lease.exchange = None
        if reply.incarnation != lease.incarnation:
            self._replace_incarnation(lease, Incarnation(reply.incarnation), now)
        lease.clock = reply.clock
        lease.clock_received_at = now
        lease.served_fence = fence_from_message(reply.owned_version)
        lease.settled_fence = fence_from_message(reply.settled_version)
        lease.draining = reply.draining
        lease.in_flight = reply.in_flight
        lease.loads = {load.start: load.requests_per_second for load in reply.loads}
        return True

    def handle_failure(self, backend_id: BackendId, fence: Fence) -> None:
        """End a failed exchange; the back end may have received the request nevertheless."""
        lease = self.backends.get(backend_id)
        if lease is not None and lease.exchange == fence:
            lease.exchange = None

    def _replace_incarnation(
        self, lease: BackendLease, incarnation: Incarnation, now: Seconds
    ) -> None:
        if incarnation < lease.incarnation:
            raise InvariantViolation(
                "incarnations-grow", f"{lease.backend_id}: {incarnation} after {lease.incarnation}"
            )
        if lease.incarnation != UNKNOWN_INCARNATION:
            # A later incarnation replied at this address, so the earlier one no longer serves.
            lease.possibly_alive_until = now
        lease.incarnation = incarnation
        lease.owned = ()
        lease.owned_fence = NO_FENCE
        lease.next_exchange_at = now

    def _validate_grant(self, changed: BackendLease, now: Seconds) -> None:
        """Assert that no other back end may still hold a grant of the same slices."""
        granted_starts = {item.start for item in changed.owned}
        for lease in self.backends.values():
            if lease is changed or not lease.may_hold_grant(now):
                continue
            overlapping = granted_starts.intersection(item.start for item in lease.owned)
            if overlapping:
                raise InvariantViolation(
                    "one-grant-per-range",
                    f"{min(overlapping):#x} granted to {changed.backend_id} and {lease.backend_id}",
                    str(changed.owned_fence),
                )


def fence_to_message(fence: Fence) -> FenceMessage:
    """Convert a fence to its protobuf message."""
    return FenceMessage(term=fence.term, sequence=fence.sequence)


def fence_from_message(message: FenceMessage) -> Fence:
    """Read a fence from its protobuf message."""
    return Fence(message.term, message.sequence)


def key_range(item: Slice) -> KeyRange:
    """Convert a slice to a key range; an end of zero means the end of the key space."""
    return KeyRange(start=item.start, end=item.end % KEYSPACE_END)


def range_set(version: Fence, owned: Sequence[Slice]) -> RangeSet:
    """Convert slices to a range set."""
    return RangeSet(version=fence_to_message(version), ranges=[key_range(item) for item in owned])
