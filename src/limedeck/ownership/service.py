"""The leader's core for one service: grants, releases, and the record of owners.

The loop in `ServiceOwnership.handle_tick` reads as its documentation:

1. A range whose owner may keep it is granted again before its lease ends (`renewal`).
2. A range whose owner leaves, or is to be relieved, is released there under a fence above all
   grants ever sent for it (`releasing`). Only the owner's answer, the end of every lease, or a
   later life of the owner that refuses them (`barriers`), frees it.
3. A free range gets its next owner in the store's record first (`recording`), and a grant only
   after that.
4. Ranges move to where there is room for their load (`balancing`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from limedeck.api.control_pb2 import AssignmentRecord
from limedeck.forwarding.availability import LEAVING_OWNER_GRACE
from limedeck.forwarding.owners import OwnedRange, merge_adjacent
from limedeck.identity import NEVER, Seconds, is_later_incarnation
from limedeck.model import Backend
from limedeck.ownership.balancing import LoadBalance
from limedeck.ownership.barriers import Barriers
from limedeck.ownership.commands import OwnerChange, OwnershipCommand, SendGrant, SendRelease
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.key_load import KeyLoad
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.owner_liveness import OwnerSilence
from limedeck.ownership.planning import PlannedMove, first_assignment, least_loaded
from limedeck.ownership.range_map import RangeMap
from limedeck.ownership.ranges import NO_OWNER, OwnerChangeCause, Phase, RangeState
from limedeck.ownership.recording import Choice, OwnerRecord
from limedeck.ownership.releasing import begin_release, due_releases, end_release
from limedeck.ownership.renewal import Renewals
from limedeck.ownership.timing import OwnershipTiming


class ServiceOwnership:
    """Owners of one service's keys, while this node leads.

    Parameters
    ----------
    key_positions
        Keys are numbers from 0 up to this, which is excluded.
    term
        Of this leader.
    record, row_version
        What the store holds; None and zero if nothing yet.
    """

    def __init__(
        self,
        service: str,
        key_positions: int,
        term: int,
        record: AssignmentRecord | None,
        row_version: int,
        timing: OwnershipTiming,
        now: Seconds,
    ) -> None:
        self.service = service
        self.changes: list[OwnerChange] = []
        self.version = 0
        self.fenced_off = False
        self.doubts_itself = False
        self._key_positions = key_positions
        self._timing = timing
        self._fences = FenceCounter(term)
        self._map = RangeMap(key_positions, self._fences)
        self._barriers = Barriers(key_positions, self._fences)
        self._silence = OwnerSilence(timing, now)
        self._renewals = Renewals(timing, self._silence)
        self._balance = LoadBalance(key_positions, timing.balance_interval, now)
        self._record = OwnerRecord(service, term, record.sequence if record else 0, row_version)
        self._backends: dict[str, Backend] = {}
        self._first_seen_at: Seconds | None = None
        self._newest_seen_at: Seconds = now
        self._range_counts: Counter[str] = Counter()
        self._commands: list[OwnershipCommand] = []
        self._published: tuple[OwnedRange, ...] = ()
        self._alone = False
        self._may_move = True
        self._draining_since: dict[str, Seconds] = {}
        self._failing: frozenset[str] = frozenset()
        if record is not None:
            self._take_over(record, now)

    @property
    def ranges(self) -> list[RangeState]:
        """All ranges, in the order of their keys."""
        return self._map.ranges

    @property
    def load(self) -> KeyLoad:
        """Requests a second by key."""
        return self._balance.load

    @property
    def uses(self) -> dict[str, float]:
        """By owner, the load of its keys as a part of what it bears."""
        return self._balance.uses

    # ------------------------------------------------------------------ events

    def set_backends(self, backends: Iterable[Backend], now: Seconds) -> None:
        """The listing of this service's back ends has changed."""
        known = self._backends.keys()
        self._backends = {item.backend_id: item for item in backends}
        self._draining_since = {
            key: self._draining_since.get(key, now)
            for key, item in self._backends.items()
            if item.draining
        }
        new = self._backends.keys() - known
        if new:
            self._newest_seen_at = now
        if new and self.ranges:
            # Those who own keys by the record are granted them under new fences anyway.
            self._barriers.require(new - {item.owner for item in self.ranges})
        self._barriers.keep_only(self._backends)
        if self._backends and self._first_seen_at is None:
            self._first_seen_at = now

    def handle_grant_answer(
        self, order: Grant, done: bool, fenced_off: bool, sent_at: Seconds, now: Seconds
    ) -> None:
        """A back end answered a grant."""
        self._silence.note_heard(order.backend_id)
        found = self._map.of_order(order)
        if found is None:
            return
        found.order_pending = False
        if done:
            owned_ranges = self._range_counts[found.owner]
            self._renewals.note_done(found, order, sent_at, owned_ranges, now)
        elif fenced_off:
            self.fenced_off = True
            found.next_order = now + self._timing.renewal_interval
        else:
            found.next_order = now + self._timing.order_timeout

    def handle_release_answer(
        self, order: Release, done: bool, handover: str, now: Seconds
    ) -> None:
        """A back end answered a release."""
        self._silence.note_heard(order.backend_id)
        if self._barriers.handle_answer(order, done, now):
            return
        for found in self._map.within(order):
            if found.phase is not Phase.RELEASING:
                continue
            found.order_pending = False
            found.next_order = now + self._timing.refused_release_pause
            if done:
                end_release(found, handover, now)

    def handle_order_lost(self, order: Grant | Release, now: Seconds) -> None:
        """An order had no answer; it may be taken yet."""
        self._silence.avoid_longer(order.backend_id, now)
        if isinstance(order, Release) and self._barriers.handle_answer(order, False, now):
            return
        for found in self._map.within(order):
            found.order_pending = False
            found.next_order = now
            if found.phase is Phase.RELEASING and found.cause is OwnerChangeCause.BALANCE:
                found.cause = OwnerChangeCause.SILENT
                found.target = NO_OWNER
                self._silence.avoid(order.backend_id, now)

    def handle_record_written(self, row_version: int) -> None:
        """The store took the record."""
        for found, owner in self._record.take_written(row_version):
            change = OwnerChange(found.first, found.last, found.owner, owner, found.cause)
            self.changes.append(change)
            self._silence.note_new_owner(owner)
            found.begin_ownership(owner, self._fences.next())

    def handle_record_failed(self) -> None:
        """The record may or may not have been written; the same is written again."""
        self._record.handle_failed()

    def handle_record_conflict(self, record: AssignmentRecord | None, row_version: int) -> None:
        """A condition of the write did not hold: it was done before, or there is a later leader."""
        if self._record.is_own_record(record):
            self.handle_record_written(row_version)
        else:
            self.fenced_off = True

    def handle_former_leaders_ended(self, now: Seconds) -> None:
        """No earlier leader can have sent a grant after now."""
        if self._alone:
            return
        self._alone = True
        latest = now + self._timing.longest_lease + self._timing.order_timeout
        for item in self.ranges:
            item.held_until = min(item.held_until, latest)

    def record_requests(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """A node tells how many requests it had by key."""
        self._balance.record_requests(counts, now)

    def set_service_time(self, backend_id: str, service_time: Seconds) -> None:
        """All nodes' answers tell how long a back end works on one request."""
        self._balance.set_service_time(backend_id, service_time)

    def set_limits(self, limits: Mapping[str, float], now: Seconds) -> None:
        """Back ends in need take so many requests a second from all nodes together."""
        self._balance.set_limits(limits, now)

    def record_last_response(self, backend_id: str, answered_at: Seconds) -> None:
        """A node told at this time that the back end had answered a request."""
        self._silence.record_last_response(backend_id, answered_at)

    def set_failing(self, backend_ids: Iterable[str]) -> None:
        """These fail more often than the others; their keys go to others as long as there are."""
        self._failing = frozenset(backend_ids)

    # ------------------------------------------------------------------ the loop

    def handle_tick(
        self, may_renew: bool, now: Seconds, may_yield: bool = False, may_move: bool = True
    ) -> list[OwnershipCommand]:
        """Do what is due; see the module's documentation.

        Parameters
        ----------
        may_yield
            Another node could lead. If `doubts_itself` is set by this call it should: this one is
            not heard by owners that are sound, and takes no keys from them for that.
        may_move
            Whether released keys can be assigned soon. If not, no keys are moved for balance, and a
            leaving owner keeps its keys until nodes stop sending requests to it.
        """
        if not self.ranges:
            self._assign_first(now)
        self._range_counts = self._map.counts()
        owners = self._range_counts.keys() - {NO_OWNER}
        self.doubts_itself = may_yield and self._silence.is_own_fault(owners, now)
        self._may_move = may_move
        for found in self.ranges:
            self._tick_range(found, may_renew, now)
        self._send_releases(now)
        self._commands += [SendRelease(order) for order in self._barriers.due(now)]
        self._record_free_ranges(now)
        self._relieve(now)
        self._map.check()
        commands = self._commands
        self._commands = []
        return commands

    def move(self, moves: Iterable[PlannedMove]) -> None:
        """Release keys at their owners, to give them to others."""
        for planned in moves:
            found = self._map.isolate(planned.first, planned.last)
            if found is not None and found.phase is Phase.OWNED:
                begin_release(found, OwnerChangeCause.BALANCE, planned.target, self._fences)

    def _tick_range(self, found: RangeState, may_renew: bool, now: Seconds) -> None:
        if found.phase is Phase.OWNED:
            cause = self._reason_to_move(found, now)
            if cause is not None:
                begin_release(found, cause, NO_OWNER, self._fences)
        if found.phase is Phase.OWNED and may_renew:
            order = self._renewals.due(found, now)
            if order is not None:
                self._commands.append(SendGrant(order))
        elif found.phase is Phase.RELEASING and self._is_given_up(found, now):
            end_release(found, found.handover, now)

    def _reason_to_move(self, found: RangeState, now: Seconds) -> OwnerChangeCause | None:
        owner = self._backends.get(found.owner)
        if owner is None and self._has_begun_again(found.owner):
            # A grant would reach the later life, which is to take none that was meant for this one.
            return OwnerChangeCause.LEAVING
        if owner is None or owner.draining:
            may_leave = self._may_move or self._has_drained(found.owner, now)
            return OwnerChangeCause.LEAVING if may_leave and self._candidates(now) else None
        if self._silence.is_silent(found.owner, now) and not self.doubts_itself:
            self._silence.avoid(found.owner, now)
            return OwnerChangeCause.SILENT
        is_failing = found.owner in self._failing and found.owner not in self._candidates(now)
        if is_failing and self._may_move:
            return OwnerChangeCause.FAILING
        return None

    def _has_drained(self, owner: str, now: Seconds) -> bool:
        """Whether a leaving owner no longer receives requests, or its entry is gone."""
        since = self._draining_since.get(owner, NEVER)
        return now - since >= LEAVING_OWNER_GRACE

    def _has_begun_again(self, owner: str) -> bool:
        return any(is_later_incarnation(item, owner) for item in self._backends)

    def _is_given_up(self, found: RangeState, now: Seconds) -> bool:
        """Whether its owner surely holds it no more, though it has not answered.

        If the leader before is gone too, what that may have granted runs for 22 s; keys of owners
        that were started again within a second had no owner for so long.
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
        if chosen:
            self._commands.append(self._record.write(chosen, self.ranges, now))

    def _choose_owners(self, free: list[RangeState], now: Seconds) -> list[Choice]:
        candidates = self._candidates(now)
        if not candidates:
            return []
        capacities = self._balance.capacities(candidates, self._backends)
        uses = dict.fromkeys(candidates, 0.0)
        for item in self.ranges:
            if item.phase is not Phase.FREE and item.owner in uses:
                uses[item.owner] += self._balance.weight(item, now) / capacities[item.owner]
        chosen = []
        for item in free:
            target = item.target
            if target not in candidates:
                target = least_loaded(uses)
            uses[target] += self._balance.weight(item, now) / capacities[target]
            chosen.append((item, target))
        return chosen

    def _relieve(self, now: Seconds) -> None:
        """Move keys off owners that have too much to do."""
        if not self._may_move or not self._balance.is_due(now):
            return
        self._map.merge_neighbours()
        capacities = self._balance.capacities(self._candidates(now), self._backends)
        self.move(self._balance.moves(self.ranges, capacities, now))

    def _candidates(self, now: Seconds) -> list[str]:
        """Back ends that may get keys; silent and failing ones only if there are no others."""
        self._silence.end_avoidance(now)
        usable = sorted(
            key
            for key, item in self._backends.items()
            if not item.draining and not self._barriers.is_missing(key)
        )
        heard = [key for key in usable if not self._silence.is_avoided(key)] or usable
        return [key for key in heard if key not in self._failing] or heard

    # ------------------------------------------------------------------ the beginning

    def _take_over(self, record: AssignmentRecord, now: Seconds) -> None:
        """Go on from another leader's record: its grants may be in force at the owners."""
        longest = self._timing.leader_patience + self._timing.longest_lease
        for item in record.ranges:
            state = RangeState(item.first, item.last, item.owner)
            state.phase = Phase.OWNED if item.owner else Phase.FREE
            state.fence = self._fences.next()
            state.held_until = now + longest if item.owner else NEVER
            self._map.add(state)

    def _assign_first(self, now: Seconds) -> None:
        if self._first_seen_at is None:
            return
        is_calm = now - self._newest_seen_at >= self._timing.settling
        if not is_calm and now - self._first_seen_at < self._timing.longest_settling:
            return
        for first, last, owner in first_assignment(self._candidates(now), self._key_positions):
            state = RangeState(first, last)
            state.target = owner
            self._map.add(state)

    # ------------------------------------------------------------------ what is told

    def published(self, now: Seconds) -> tuple[OwnedRange, ...]:
        """Owners that requests may be sent to; `version` rises when they change."""
        ranges = merge_adjacent(self._visible_range(item, now) for item in self.ranges)
        if ranges != self._published:
            self._published = ranges
            self.version += 1
        return self._published

    def unresponsive_owners(self, now: Seconds) -> int:
        """Owners that have left an order unanswered for a while, for logs."""
        owners = {item.owner for item in self.ranges if item.owner}
        return sum(self._silence.is_unheard(owner, now) for owner in owners)

    def typical_service_time(self) -> Seconds:
        """Mean over the back ends that were measured."""
        return self._balance.typical_service_time(self._backends.keys())

    def _visible_range(self, item: RangeState, now: Seconds) -> OwnedRange:
        owner = item.visible_owner
        if owner and self._silence.is_lost(owner, now):
            return OwnedRange(item.first, item.last, NO_OWNER, item.held_until)
        return OwnedRange(item.first, item.last, owner)
