"""State machine by which the leader assigns the keys of one service: grants, releases, record.

`ServiceOwnership.handle_tick` does the following:

1. It renews the grant of each range that stays with its owner, before the lease ends (`renewal`).
2. It releases each range whose owner leaves, fails or has to give up load, under a fence above
   those of all grants sent for it (`releasing`). The range becomes free only by the owner's
   response, the end of every lease, or a later incarnation of the owner that refuses such grants
   (`barriers`).
   If the record is of an earlier era of the store, it does this only once no back end can hold keys
   that the leader does not know of (`era_fencing`).
3. It writes the next owner of a free range to the record in the store (`recording`), and sends the
   grant only after that.
4. It moves ranges to back ends that have capacity for their load (`balancing`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from limedeck.api.control_pb2 import AssignmentRecord
from limedeck.forwarding.availability import LEAVING_OWNER_GRACE
from limedeck.forwarding.owners import OwnedRange, merge_adjacent
from limedeck.identity import NEVER, Seconds, is_later_incarnation
from limedeck.model import Backend
from limedeck.ownership import terms
from limedeck.ownership.balancing import LoadBalance
from limedeck.ownership.barriers import Barriers
from limedeck.ownership.commands import OwnerChange, OwnershipCommand, SendGrant, SendRelease
from limedeck.ownership.era_fencing import ENTRY_RETURN_TIME, EraFencing
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.key_load import KeyLoad
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.owner_liveness import OwnerLiveness
from limedeck.ownership.planning import PlannedMove, initial_assignment, least_loaded
from limedeck.ownership.range_map import RangeMap
from limedeck.ownership.ranges import NO_OWNER, OwnerChangeCause, Phase, RangeState
from limedeck.ownership.recording import OwnerChoice, OwnerRecord
from limedeck.ownership.releasing import begin_release, due_releases, end_release
from limedeck.ownership.renewal import Renewals
from limedeck.ownership.timing import OwnershipTiming
from limedeck.versions import StoreVersion


class ServiceOwnership:
    """Ownership of one service's keys, while this node leads.

    Parameters
    ----------
    key_positions
        Number of key positions; keys are mapped to positions from 0 to `key_positions - 1`.
    term
        Term of this leader.
    record, row_version
        Record in the store and the version of its row; None and that of an absent row if there is
        none.
    known_owners
        Owners that this node knows from a leader, in the order of their keys; empty if it knows
        none.
    former
        Core of the same service if this node has led without a break since an earlier era.
    """

    def __init__(
        self,
        service: str,
        key_positions: int,
        term: int,
        record: AssignmentRecord | None,
        row_version: StoreVersion,
        timing: OwnershipTiming,
        now: Seconds,
        known_owners: Sequence[OwnedRange] = (),
        former: ServiceOwnership | None = None,
    ) -> None:
        self.service = service
        self.changes: list[OwnerChange] = []
        self.version = 0
        self.fenced_off = False
        self.should_yield = False
        self._key_positions = key_positions
        self._timing = timing
        self._fences = FenceCounter(term)
        self._map = RangeMap(key_positions, self._fences)
        self._barriers = Barriers(key_positions, self._fences)
        self._liveness = OwnerLiveness(timing, now)
        self._renewals = Renewals(timing, self._liveness)
        self._balance = LoadBalance(key_positions, timing.balance_interval, now)
        known = _owners_of(record) if record is not None else ()
        is_outdated = bool(known or known_owners) and (
            record is None or terms.era_of(record.term) < terms.era_of(term)
        )
        sequence = record.sequence if record is not None else 0
        self._record = OwnerRecord(service, term, sequence, row_version, is_outdated)
        self._fencing: EraFencing | None = None
        self._fencing_since = now
        self._renews_while_fencing = False
        self._backends: dict[str, Backend] = {}
        self._first_backend_at: Seconds | None = None
        self._last_new_backend_at: Seconds = now
        self._range_counts: Counter[str] = Counter()
        self._commands: list[OwnershipCommand] = []
        self._published: tuple[OwnedRange, ...] = ()
        self._former_leaders_ended = False
        self._may_move = True
        self._draining_since: dict[str, Seconds] = {}
        self._failing: frozenset[str] = frozenset()
        if former is not None and former.ranges and is_outdated:
            self._continue(former, now)
        elif is_outdated:
            self._take_over_in_new_era(known_owners or known, bool(known_owners), now)
        elif record is not None:
            self._take_over(known, now)

    @property
    def ranges(self) -> list[RangeState]:
        """All ranges, ordered by key position."""
        return self._map.ranges

    @property
    def load(self) -> KeyLoad:
        """Requests per second by key."""
        return self._balance.load

    @property
    def uses(self) -> dict[str, float]:
        """Utilization by owner: the load of its keys as a part of its capacity."""
        return self._balance.uses

    # ------------------------------------------------------------------ events

    def set_backends(self, backends: Iterable[Backend], now: Seconds) -> None:
        """Replace the list of this service's back ends."""
        known = self._backends.keys()
        self._backends = {item.backend_id: item for item in backends}
        self._draining_since = {
            key: self._draining_since.get(key, now)
            for key, item in self._backends.items()
            if item.draining
        }
        new = self._backends.keys() - known
        if new:
            self._last_new_backend_at = now
        if self._fencing is not None:
            self._fencing.require(self._backends, self.ranges)
        if new and self.ranges:
            # Owners in the record need no barrier: they get grants under new fences anyway.
            self._barriers.require(new - {item.owner for item in self.ranges})
        self._barriers.retain(self._backends)
        if self._backends and self._first_backend_at is None:
            self._first_backend_at = now

    def handle_grant_response(
        self, order: Grant, done: bool, fenced_off: bool, sent_at: Seconds, now: Seconds
    ) -> None:
        """Handle a back end's response to a grant."""
        self._liveness.record_order_response(order.backend_id)
        found = self._map.find_by_order(order)
        if found is None:
            return
        found.order_pending = False
        if done:
            owned_ranges = self._range_counts[found.owner]
            self._renewals.record_granted(found, order, sent_at, owned_ranges, now)
        elif fenced_off:
            self.fenced_off = True
            found.next_order = now + self._timing.renewal_interval
        else:
            found.next_order = now + self._timing.order_timeout

    def handle_release_response(
        self, order: Release, done: bool, handover: str, now: Seconds
    ) -> None:
        """Handle a back end's response to a release."""
        self._liveness.record_order_response(order.backend_id)
        if self._fencing is not None and self._fencing.handle_response(order, done, now):
            return
        if self._barriers.handle_response(order, done, now):
            return
        for found in self._map.find_within(order):
            if found.phase is not Phase.RELEASING:
                continue
            found.order_pending = False
            found.next_order = now + self._timing.refused_release_retry_delay
            if done:
                end_release(found, handover, now)

    def handle_order_lost(self, order: Grant | Release, now: Seconds) -> None:
        """Handle an order without a response; the back end may still carry it out."""
        self._liveness.extend_avoidance(order.backend_id, now)
        if isinstance(order, Release) and self._is_fencing_lost(order, now):
            return
        if isinstance(order, Release) and self._barriers.handle_response(order, False, now):
            return
        for found in self._map.find_within(order):
            found.order_pending = False
            found.next_order = now
            if found.phase is Phase.RELEASING and found.cause is OwnerChangeCause.BALANCE:
                found.cause = OwnerChangeCause.SILENT
                found.target = NO_OWNER
                self._liveness.avoid(order.backend_id, now)

    def _is_fencing_lost(self, order: Release, now: Seconds) -> bool:
        return self._fencing is not None and self._fencing.handle_response(order, False, now)

    def handle_record_written(self, row_version: int) -> None:
        """Handle the store's confirmation that the record was written."""
        for found, owner in self._record.complete_write(row_version):
            change = OwnerChange(found.first, found.last, found.owner, owner, found.cause)
            self.changes.append(change)
            self._liveness.record_new_owner(owner)
            found.begin_ownership(owner, self._fences.next())

    def handle_record_failed(self) -> None:
        """Handle a write that may or may not have succeeded; the same record is written again."""
        self._record.handle_failed()

    def handle_record_conflict(self, record: AssignmentRecord | None, row_version: int) -> None:
        """Handle a failed condition: the record was written already, or there is a later leader."""
        if self._record.is_own_record(record):
            self.handle_record_written(row_version)
        else:
            self.fenced_off = True

    def handle_former_leaders_ended(self, now: Seconds) -> None:
        """Shorten the wait for old leases: no earlier leader sends grants from `now` on."""
        if self._former_leaders_ended:
            return
        self._former_leaders_ended = True
        latest = now + self._timing.longest_lease + self._timing.order_timeout
        if self._fencing is not None:
            self._fencing.shorten(latest)
        for item in self.ranges:
            item.held_until = min(item.held_until, latest)

    def record_requests(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """Record one node's number of requests by key."""
        self._balance.record_requests(counts, now)

    def set_service_time(self, backend_id: str, service_time: Seconds) -> None:
        """Set a back end's mean service time, as measured by all nodes together."""
        self._balance.set_service_time(backend_id, service_time)

    def set_limits(self, limits: Mapping[str, float], now: Seconds) -> None:
        """Set the rate limits that back ends state: requests per second from all nodes together."""
        self._balance.set_limits(limits, now)

    def record_last_response(self, backend_id: str, responded_at: Seconds) -> None:
        """Record when a node last reported a response of the back end to a request."""
        self._liveness.record_last_response(backend_id, responded_at)

    def set_partitioned(self, is_partitioned: bool, is_in_doubt: bool = False) -> None:
        """Set whether this leader reaches no back end, or may not; owners then keep their keys."""
        self._liveness.set_partitioned(is_partitioned, is_in_doubt)

    def set_failing_backends(self, backend_ids: Iterable[str]) -> None:
        """Set the back ends that fail more often than others; they lose their keys if possible."""
        self._failing = frozenset(backend_ids)

    # ------------------------------------------------------------------ periodic work

    def handle_tick(
        self, may_renew: bool, now: Seconds, may_yield: bool = False, may_move: bool = True
    ) -> list[OwnershipCommand]:
        """Return the commands that are due; see the documentation of the module.

        Parameters
        ----------
        may_renew
            Whether grants may be renewed.
        may_yield
            Whether another node could lead. If this call sets `should_yield`, another node should:
            many owners respond to other nodes and not to this one, which then takes no keys from
            owners for that.
        may_move
            Whether released keys can be assigned soon. If not, no keys are moved for balance, and a
            leaving owner keeps its keys until nodes no longer send requests to it.
        """
        if self._fencing is not None and not self._fencing.is_complete(now):
            return self._tick_while_fencing(self._fencing, may_renew, now)
        if self._fencing is not None:
            self._end_fencing()
        if not self.ranges:
            self._assign_initially(now)
        self._range_counts = self._map.counts()
        owners = self._range_counts.keys() - {NO_OWNER}
        self.should_yield = may_yield and self._liveness.is_leader_at_fault(owners, now)
        self._may_move = may_move
        for found in self.ranges:
            self._tick_range(found, may_renew, now)
        self._send_releases(now)
        self._commands += [SendRelease(order) for order in self._barriers.due(now)]
        self._record_free_ranges(now)
        self._rebalance(now)
        self._map.check()
        commands = self._commands
        self._commands = []
        return commands

    def _tick_while_fencing(
        self, fencing: EraFencing, may_renew: bool, now: Seconds
    ) -> list[OwnershipCommand]:
        """Return orders that keep back ends from holding keys unknown to this leader.

        A leader that goes on from an earlier era renews its grants meanwhile, under their fences.
        """
        self._range_counts = self._map.counts()
        commands: list[OwnershipCommand] = [SendRelease(item) for item in fencing.due(now)]
        if self._renews_while_fencing and may_renew:
            orders = (
                self._renewals.due(found, now)
                for found in self.ranges
                if found.phase is Phase.OWNED
            )
            commands += [SendGrant(order) for order in orders if order is not None]
        return commands

    def _end_fencing(self) -> None:
        """Go on with fences of this term: no back end holds keys that are not its own."""
        self._fencing = None
        for item in self.ranges:
            item.fence = self._fences.next()
            item.order_pending = False
            item.next_order = NEVER

    @property
    def is_fencing(self) -> bool:
        """Whether no keys change their owner yet because back ends may hold others."""
        return self._fencing is not None

    def move(self, moves: Iterable[PlannedMove]) -> None:
        """Release keys at their owners, to assign them to other back ends."""
        for planned in moves:
            found = self._map.isolate(planned.first, planned.last)
            if found is not None and found.phase is Phase.OWNED:
                begin_release(found, OwnerChangeCause.BALANCE, planned.target, self._fences)

    def _tick_range(self, found: RangeState, may_renew: bool, now: Seconds) -> None:
        if found.phase is Phase.OWNED:
            cause = self._release_cause(found, now)
            if cause is not None:
                begin_release(found, cause, NO_OWNER, self._fences)
        if found.phase is Phase.OWNED and may_renew:
            order = self._renewals.due(found, now)
            if order is not None:
                self._commands.append(SendGrant(order))
        elif found.phase is Phase.RELEASING and self._is_given_up(found, now):
            end_release(found, found.handover, now)

    def _release_cause(self, found: RangeState, now: Seconds) -> OwnerChangeCause | None:
        owner = self._backends.get(found.owner)
        if owner is None and self._has_begun_again(found.owner):
            # A grant would reach the later incarnation, which must not accept it.
            return OwnerChangeCause.LEAVING
        if owner is None or owner.draining:
            may_leave = self._may_move or self._has_drained(found.owner, now)
            return OwnerChangeCause.LEAVING if may_leave and self._candidates(now) else None
        if self._liveness.is_presumed_failed(found.owner, now) and not self.should_yield:
            self._liveness.avoid(found.owner, now)
            return OwnerChangeCause.SILENT
        is_failing = found.owner in self._failing and found.owner not in self._candidates(now)
        if is_failing and self._may_move:
            return OwnerChangeCause.FAILING
        return None

    def _has_drained(self, owner: str, now: Seconds) -> bool:
        """Whether a leaving owner no longer receives requests, or is no longer listed."""
        since = self._draining_since.get(owner, NEVER)
        return now - since >= LEAVING_OWNER_GRACE

    def _has_begun_again(self, owner: str) -> bool:
        return any(is_later_incarnation(item, owner) for item in self._backends)

    def _is_given_up(self, found: RangeState, now: Seconds) -> bool:
        """Whether the owner certainly no longer holds the range, though it has not responded.

        If the former leader has failed too, its grants may be in force for 22 s. Without the check
        for a later incarnation, keys of owners that restarted within a second had no owner for so
        long.
        """
        return now >= found.held_until or self._barriers.is_replaced(found.owner)

    def _send_releases(self, now: Seconds) -> None:
        releases = due_releases(self.ranges, self._fences, now)
        self._commands += [SendRelease(order) for order in releases]

    def _record_free_ranges(self, now: Seconds) -> None:
        if self._record.is_pending:
            return
        free = [item for item in self.ranges if item.phase is Phase.FREE]
        chosen = self._choose_owners(free, now)
        if chosen or self._record.must_write:
            self._commands.append(self._record.write(chosen, self.ranges, now))

    def _choose_owners(self, free: list[RangeState], now: Seconds) -> list[OwnerChoice]:
        candidates = self._candidates(now)
        if not candidates:
            return []
        capacities = self._balance.capacities(candidates, self._backends)
        utilizations = dict.fromkeys(candidates, 0.0)
        for item in self.ranges:
            if item.phase is not Phase.FREE and item.owner in utilizations:
                utilizations[item.owner] += self._balance.weight(item, now) / capacities[item.owner]
        chosen = []
        for item in free:
            target = item.target
            if target not in candidates:
                target = least_loaded(utilizations)
            utilizations[target] += self._balance.weight(item, now) / capacities[target]
            chosen.append((item, target))
        return chosen

    def _rebalance(self, now: Seconds) -> None:
        """Move keys away from owners with too much load."""
        if not self._may_move or not self._balance.is_due(now):
            return
        self._map.merge_neighbours()
        capacities = self._balance.capacities(self._candidates(now), self._backends)
        self.move(self._balance.moves(self.ranges, capacities, now))

    def _candidates(self, now: Seconds) -> list[str]:
        """Return back ends that may get keys; unresponsive and failing ones only if no others."""
        self._liveness.expire_avoidance(now)
        usable = sorted(
            key
            for key, item in self._backends.items()
            if not item.draining and not self._barriers.is_unconfirmed(key)
        )
        responsive = [key for key in usable if not self._liveness.is_avoided(key)] or usable
        return [key for key in responsive if key not in self._failing] or responsive

    # ------------------------------------------------------------------ initial state

    def _take_over_in_new_era(
        self, owners: Sequence[OwnedRange], is_known_from_leader: bool, now: Seconds
    ) -> None:
        """Start from what is known of owners of an earlier era; keys may have others by now."""
        self._take_over(owners, now)
        # A node that knows the owners knows the back ends too; another one waits for their entries.
        not_before = now if is_known_from_leader else now + ENTRY_RETURN_TIME
        longest = self._timing.max_unconfirmed_time + self._timing.longest_lease
        self._begin_fencing(not_before, now + longest + self._timing.order_timeout, now)

    def _continue(self, former: ServiceOwnership, now: Seconds) -> None:
        """Go on from this leader's own core of an earlier era, whose grants are in force."""
        for item in former.ranges:
            self._map.add(replace(item, order_pending=False, next_order=NEVER))
        self._renews_while_fencing = True
        deadline = now + self._timing.longest_lease + self._timing.order_timeout
        self._begin_fencing(now, deadline, now)

    def _begin_fencing(self, not_before: Seconds, deadline: Seconds, now: Seconds) -> None:
        self._fencing = EraFencing(self._key_positions, self._fences, not_before, deadline)
        self._fencing_since = now

    def _take_over(self, owners: Iterable[OwnedRange], now: Seconds) -> None:
        """Start from another leader's owners; grants of that leader may still be in force."""
        longest = self._timing.max_unconfirmed_time + self._timing.longest_lease
        for item in owners:
            state = RangeState(item.first, item.last, item.owner)
            state.phase = Phase.OWNED if item.owner else Phase.FREE
            state.fence = self._fences.next()
            state.held_until = now + longest if item.owner else NEVER
            self._map.add(state)

    def _assign_initially(self, now: Seconds) -> None:
        if self._first_backend_at is None:
            return
        is_complete = now - self._last_new_backend_at >= self._timing.discovery_quiet_time
        if not is_complete and now - self._first_backend_at < self._timing.max_discovery_time:
            return
        for first, last, owner in initial_assignment(self._candidates(now), self._key_positions):
            state = RangeState(first, last)
            state.target = owner
            self._map.add(state)

    # ------------------------------------------------------------------ reports

    def published(self, now: Seconds) -> tuple[OwnedRange, ...]:
        """Return the owners that may get requests; `version` increases when they change."""
        ranges = merge_adjacent(self._published_range(item, now) for item in self.ranges)
        if ranges != self._published:
            self._published = ranges
            self.version += 1
        return self._published

    def unresponsive_owners(self, now: Seconds) -> int:
        """Count owners that have not responded to an order for `unresponsive_timeout`, for logs."""
        owners = {item.owner for item in self.ranges if item.owner}
        return sum(self._liveness.is_unresponsive(owner, now) for owner in owners)

    def typical_service_time(self) -> Seconds:
        """Return the mean service time of the back ends that were measured."""
        return self._balance.typical_service_time(self._backends.keys())

    def _published_range(self, item: RangeState, now: Seconds) -> OwnedRange:
        if self._fencing is not None and not self._renews_while_fencing:
            # An owner refuses requests for keys that it does not hold, and may hold these.
            if now < self._fencing_since + self._timing.lease:
                return OwnedRange(item.first, item.last, item.owner)
            return OwnedRange(item.first, item.last, NO_OWNER, self._fencing.deadline)
        owner = item.routable_owner
        if owner and self._liveness.is_unreachable(owner, now):
            return OwnedRange(item.first, item.last, NO_OWNER, item.held_until)
        return OwnedRange(item.first, item.last, owner)


def _owners_of(record: AssignmentRecord) -> tuple[OwnedRange, ...]:
    return tuple(OwnedRange(item.first, item.last, item.owner) for item in record.ranges)
