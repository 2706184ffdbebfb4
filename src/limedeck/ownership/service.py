"""The leader's core for one service: grants, releases, and the record of owners.

The loop in `ServiceOwnership.handle_tick` reads as its documentation:

1. A range whose owner may keep it is granted again before its lease ends.
2. A range whose owner leaves, or is to be relieved, is released there under a fence above all
   grants ever sent for it. Only the owner's answer, the end of every lease, or a later life of the
   owner that refuses them, frees it.
3. A free range gets its next owner in the store's record first, and a grant only after that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from limedeck.api.control_pb2 import AssignmentRecord, OwnedKeys
from limedeck.errors import InvariantViolation
from limedeck.forwarding.backends import DEFAULT_SERVICE_TIME
from limedeck.forwarding.owners import OwnedRange, joined
from limedeck.identity import NEVER, Seconds, is_later_life
from limedeck.model import Backend
from limedeck.ownership.barriers import Barriers
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.key_load import LASTING_MEMORY, RECENT_MEMORY, KeyLoad
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.planned_limits import PlannedLimits
from limedeck.ownership.planning import (
    BalancePlan,
    OwnedPiece,
    PlannedMove,
    first_assignment,
    least_loaded,
)
from limedeck.ownership.ranges import NO_OWNER, Cause, Phase, RangeState
from limedeck.ownership.silence import OwnerSilence
from limedeck.ownership.timing import OwnershipTiming

HOT_KEY_REST: Seconds = 4.0
"""A hot key that was moved by itself stays so long where it is."""
CERTAINTY = 2.5
"""Standard deviations by which a load must be too high before keys move."""
LASTING_CERTAINTY = 1.5
"""The same for the load over `LASTING_MEMORY`, which has less of chance left. By `limedeck-lab
experiment keys` (seeds 1 and 2), 3.7 in 100 answers are late; at 0.7 they are 3.3, but the keys are
in a third more ranges, each of which costs the leader two orders a second."""


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Command: send a grant; the answer comes back with the same order."""

    order: Grant


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Command: send a release; the answer comes back with the same order."""

    order: Release


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Command: write the owners if the row still has this version and the term still stands."""

    record: AssignmentRecord
    row_version: int


OwnershipCommand = SendGrant | SendRelease | WriteRecord


@dataclass(frozen=True, slots=True)
class OwnerChange:
    """A range has a new owner, for logs and measures."""

    first: int
    last: int
    former: str
    owner: str
    cause: Cause


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
        self.ranges: list[RangeState] = []
        self.changes: list[OwnerChange] = []
        self.version = 0
        self._key_positions = key_positions
        self._timing = timing
        self._fences = FenceCounter(term)
        self._barriers = Barriers(key_positions, self._fences)
        self._row_version = row_version
        self._sequence = 0
        self._backends: dict[str, Backend] = {}
        self._opened_at = now
        self._first_seen_at: Seconds | None = None
        self._newest_seen_at: Seconds = now
        self._silence = OwnerSilence(timing, now)
        self._range_counts: Counter[str] = Counter()
        self._pending_record: list[tuple[RangeState, str]] | None = None
        self._commands: list[OwnershipCommand] = []
        self._published: tuple[OwnedRange, ...] = ()
        self.fenced_off = False
        self.doubts_itself = False
        self.uses: dict[str, float] = {}
        self._alone = False
        self.load = KeyLoad(now)
        self.recent_load = KeyLoad(now, RECENT_MEMORY)
        self.lasting_load = KeyLoad(now, LASTING_MEMORY)
        self._service_times: dict[str, Seconds] = {}
        self._failing: frozenset[str] = frozenset()
        self._limits = PlannedLimits()
        self._next_balance = now + timing.balance_interval
        self._settled_until: dict[int, Seconds] = {}
        if record is not None:
            self._take_over(record, now)

    # ------------------------------------------------------------------ events

    def set_backends(self, backends: Iterable[Backend], now: Seconds) -> None:
        """The listing of this service's back ends has changed."""
        known = self._backends.keys()
        self._backends = {item.backend_id: item for item in backends}
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
        found = self._range_of(order.first, order.last, order.fence)
        if found is None:
            return
        found.order_pending = False
        if done:
            found.confirmed_until = sent_at + order.duration
            # A grant that was sent before, and had no answer, may run longer than this one.
            found.held_until = max(found.sent_until, now + self._timing.end_of(order.duration))
            found.handover = ""
            found.next_order = sent_at + self._renewal_interval(found.owner)
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
        for found in self._ranges_within(order):
            if found.phase is not Phase.RELEASING:
                continue
            found.order_pending = False
            found.next_order = now + self._timing.refused_release_pause
            if done:
                found.phase = Phase.FREE
                found.held_until = now
                found.handover = handover

    def handle_order_lost(self, order: Grant | Release, now: Seconds) -> None:
        """An order had no answer; it may be taken yet."""
        self._silence.avoid_longer(order.backend_id, now)
        if isinstance(order, Release) and self._barriers.handle_answer(order, False, now):
            return
        for found in self._ranges_within(order):
            found.order_pending = False
            found.next_order = now
            if found.phase is Phase.RELEASING and found.cause is Cause.BALANCE:
                found.cause = Cause.SILENT
                found.target = NO_OWNER
                self._silence.avoid(order.backend_id, now)

    def handle_record_written(self, row_version: int) -> None:
        """The store took the record."""
        pending = self._pending_record
        if pending is None:
            raise InvariantViolation("written-record-was-pending", self.service)
        self._pending_record = None
        self._row_version = row_version
        for found, owner in pending:
            change = OwnerChange(found.first, found.last, found.owner, owner, found.cause)
            self.changes.append(change)
            found.owner = owner
            self._silence.note_new_owner(owner)
            found.sent_until = NEVER
            found.target = NO_OWNER
            found.phase = Phase.OWNED
            found.fence = self._fences.next()
            found.confirmed_until = NEVER
            found.next_order = NEVER
            found.order_pending = False

    def handle_record_failed(self) -> None:
        """The record may or may not have been written; the same is written again."""
        # The row's version decides: once a write has an answer, an earlier one is done or dead.
        if self._pending_record is None:
            raise InvariantViolation("failed-record-was-pending", self.service)

    def handle_record_conflict(self, record: AssignmentRecord | None, row_version: int) -> None:
        """A condition of the write did not hold: it was done before, or there is a later leader."""
        mine = record is not None and (record.term, record.sequence) == (
            self._fences.term,
            self._sequence,
        )
        if mine:
            self.handle_record_written(row_version)
        else:
            self.fenced_off = True

    def handle_former_leaders_over(self, now: Seconds) -> None:
        """No earlier leader can have sent a grant after now."""
        if self._alone:
            return
        self._alone = True
        latest = now + self._timing.longest_lease + self._timing.order_timeout
        for item in self.ranges:
            item.held_until = min(item.held_until, latest)

    # ------------------------------------------------------------------ the loop

    def handle_tick(
        self, may_renew: bool, now: Seconds, may_yield: bool = False
    ) -> list[OwnershipCommand]:
        """Do what is due; see the module's documentation.

        Parameters
        ----------
        may_yield
            Another node could lead. If `doubts_itself` is set by this call it should: this one is
            not heard by owners that are sound, and takes no keys from them for that.
        """
        if not self.ranges:
            self._assign_first(now)
        self._range_counts = Counter(item.owner for item in self.ranges)
        owners = self._range_counts.keys() - {NO_OWNER}
        self.doubts_itself = may_yield and self._silence.is_own_fault(owners, now)
        for found in self.ranges:
            self._tick_range(found, may_renew, now)
        self._send_releases(now)
        self._commands += [SendRelease(order) for order in self._barriers.due(now)]
        self._record_free_ranges(now)
        self._balance(now)
        self._check()
        commands = self._commands
        self._commands = []
        return commands

    def move(self, moves: Iterable[PlannedMove]) -> None:
        """Release keys at their owners, to give them to others."""
        for planned in moves:
            found = self._isolate(planned.first, planned.last)
            if found is not None and found.phase is Phase.OWNED:
                self._begin_release(found, Cause.BALANCE, planned.target)

    def note_requests(self, counts: Iterable[tuple[int, int]], now: Seconds) -> None:
        """A node tells how many requests it had by key."""
        counted = list(counts)
        for load in (self.recent_load, self.load, self.lasting_load):
            load.add(counted, now)

    def set_service_time(self, backend_id: str, service_time: Seconds) -> None:
        """All nodes' answers tell how long a back end works on one request."""
        self._service_times[backend_id] = service_time

    def set_limits(self, limits: Mapping[str, float], now: Seconds) -> None:
        """Back ends in need take so many requests a second from all nodes together."""
        self._limits.set(limits, now)

    def note_answered(self, backend_id: str, answered_at: Seconds) -> None:
        """A node told at this time that the back end had answered a request."""
        self._silence.note_answered(backend_id, answered_at)

    def set_failing(self, backend_ids: Iterable[str]) -> None:
        """These fail more often than the others; their keys go to others as long as there are."""
        self._failing = frozenset(backend_ids)

    def published(self, now: Seconds) -> tuple[OwnedRange, ...]:
        """Owners that requests may be sent to; `version` rises when they change."""
        ranges = joined(self._visible_range(item, now) for item in self.ranges)
        if ranges != self._published:
            self._published = ranges
            self.version += 1
        return self._published

    def _balance(self, now: Seconds) -> None:
        if now < self._next_balance:
            return
        self._next_balance = now + self._timing.balance_interval
        self._merge_neighbours(now)
        pieces = [
            OwnedPiece(item.first, item.last, item.owner)
            for item in self.ranges
            if item.phase is Phase.OWNED and item.confirmed_until > now
        ]
        moving = self._pieces_on_the_move(now)
        capacities = self._capacities(now)
        for load, certainty in (
            (self.recent_load, CERTAINTY),
            (self.load, CERTAINTY),
            (self.lasting_load, LASTING_CERTAINTY),
        ):
            settled = self._settled_keys(now)
            plan = BalancePlan(pieces, capacities, load, now, certainty, settled, moving)
            self.uses = plan.uses()
            moves = plan.moves()
            if moves:
                self._settled_until.update(dict.fromkeys(plan.parted, now + HOT_KEY_REST))
                self.move(moves)
                return

    def _pieces_on_the_move(self, now: Seconds) -> list[OwnedPiece]:
        """Keys on their way to another owner, which will have their load."""
        return [
            OwnedPiece(item.first, item.last, item.target or item.owner)
            for item in self.ranges
            if item.phase is not Phase.OWNED or item.confirmed_until <= now
        ]

    def _settled_keys(self, now: Seconds) -> set[int]:
        """Hot keys that have moved lately."""
        for key in [key for key, until in self._settled_until.items() if until <= now]:
            del self._settled_until[key]
        return set(self._settled_until)

    def _merge_neighbours(self, now: Seconds) -> None:
        """Join ranges side by side of one owner: each range costs a grant for every renewal."""
        merged: list[RangeState] = []
        for item in self.ranges:
            last = merged[-1] if merged else None
            if last is None or last.owner != item.owner or not (last.is_calm and item.is_calm):
                merged.append(item)
                continue
            last.last = item.last
            last.held_until = max(last.held_until, item.held_until)
            last.sent_until = max(last.sent_until, item.sent_until)
            last.confirmed_until = min(last.confirmed_until, item.confirmed_until)
            self._renew_pieces([last])
        self.ranges = merged

    def unheard_owners(self, now: Seconds) -> int:
        """Owners that have left an order unanswered for a while, for logs."""
        owners = {item.owner for item in self.ranges if item.owner}
        return sum(self._silence.is_unheard(owner, now) for owner in owners)

    def typical_service_time(self) -> Seconds:
        """Mean over the back ends that were measured."""
        known = [
            self._service_times[item] for item in self._backends if item in self._service_times
        ]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME

    def _capacities(self, now: Seconds) -> dict[str, float]:
        """Requests a second that each usable back end can work on."""
        typical = self.typical_service_time()
        workable = {
            backend_id: self._backends[backend_id].slots
            / self._service_times.get(backend_id, typical)
            for backend_id in self._candidates(now)
        }
        return {key: self._limits.capacity(key, rate) for key, rate in workable.items()}

    def _tick_range(self, found: RangeState, may_renew: bool, now: Seconds) -> None:
        if found.phase is Phase.OWNED:
            cause = self._reason_to_move(found, now)
            if cause is not None:
                self._begin_release(found, cause, NO_OWNER)
        if found.phase is Phase.OWNED and may_renew:
            self._renew(found, now)
        elif found.phase is Phase.RELEASING and self._is_given_up(found, now):
            found.phase = Phase.FREE
            found.held_until = min(found.held_until, now)

    def _has_begun_again(self, owner: str) -> bool:
        return any(is_later_life(item, owner) for item in self._backends)

    def _is_given_up(self, found: RangeState, now: Seconds) -> bool:
        """Whether its owner surely holds it no more, though it has not answered.

        If the leader before is gone too, what that may have granted runs for 22 s; keys of owners
        that were started again within a second had no owner for so long.
        """
        return now >= found.held_until or self._barriers.is_replaced(found.owner)

    def _reason_to_move(self, found: RangeState, now: Seconds) -> Cause | None:
        owner = self._backends.get(found.owner)
        if owner is None and self._has_begun_again(found.owner):
            # A grant would reach the later life, which is to take none that was meant for this one.
            return Cause.LEAVING
        if owner is None or owner.draining:
            return Cause.LEAVING if self._candidates(now) else None
        if self._silence.is_silent(found.owner, now) and not self.doubts_itself:
            self._silence.avoid(found.owner, now)
            return Cause.SILENT
        if found.owner in self._failing and found.owner not in self._candidates(now):
            return Cause.FAILING
        return None

    def _renew(self, found: RangeState, now: Seconds) -> None:
        if found.order_pending or now < found.next_order:
            return
        found.order_pending = True
        duration = self._grant_duration(found.owner, now)
        end = now + self._timing.end_of(duration) + self._timing.order_timeout
        found.sent_until = max(found.sent_until, end)
        found.held_until = max(found.held_until, end)
        self._silence.note_asked(found.owner, now)
        order = Grant(found.owner, found.first, found.last, found.fence, duration, found.handover)
        self._commands.append(SendGrant(order))

    def _renewal_interval(self, owner: str) -> Seconds:
        """Time until a range is granted again: longer if its owner has others.

        An owner is to be asked often enough to find soon that it is gone. With one order for each
        of its ranges, a leader of hundreds of ranges would send more than it can.
        """
        ranges = min(self._range_counts[owner], self._timing.most_renewal_intervals)
        return self._timing.renewal_interval * max(ranges, 1)

    def _grant_duration(self, owner: str, now: Seconds) -> Seconds:
        """How long a grant runs: one that follows an order without an answer ends no later.

        Keys of an owner that is gone wait for the end of every grant that it may have taken.
        """
        asked_at = self._silence.asked_at(owner)
        if asked_at is None:
            return self._timing.lease
        time_left = asked_at + self._timing.longest_lease - now
        return max(self._timing.duration_within(time_left), self._timing.shortest_grant)

    def _begin_release(self, found: RangeState, cause: Cause, target: str) -> None:
        found.phase = Phase.RELEASING
        found.cause = cause
        found.target = target
        found.fence = self._fences.next()
        found.order_pending = False
        found.next_order = NEVER

    def _send_releases(self, now: Seconds) -> None:
        """Ask owners to give ranges up; one order for those side by side.

        A hot spot is cut into dozens of ranges at once, and its owner, which has a long queue,
        resets most of as many new connections.
        """
        group: list[RangeState] = []
        for item in self.ranges:
            due = item.phase is Phase.RELEASING and not item.order_pending
            if not due or now < item.next_order:
                continue
            last = group[-1] if group else None
            if last and (last.owner != item.owner or last.last + 1 != item.first):
                self._send_release(group)
                group = []
            group.append(item)
        if group:
            self._send_release(group)

    def _send_release(self, group: list[RangeState]) -> None:
        fence = group[0].fence if len(group) == 1 else self._fences.next()
        for item in group:
            item.fence = fence
            item.order_pending = True
        order = Release(group[0].owner, group[0].first, group[-1].last, fence)
        self._commands.append(SendRelease(order))

    def _record_free_ranges(self, now: Seconds) -> None:
        if self._pending_record is not None:
            return
        free = [item for item in self.ranges if item.phase is Phase.FREE]
        chosen = self._choose_owners(free, now)
        if not chosen:
            return
        for found, _ in chosen:
            if found.held_until > now:
                raise InvariantViolation("free-range-is-held-by-nobody", f"{found}")
        self._pending_record = chosen
        self._sequence += 1
        self._commands.append(WriteRecord(self._record(dict_of(chosen)), self._row_version))

    def _choose_owners(self, free: list[RangeState], now: Seconds) -> list[tuple[RangeState, str]]:
        candidates = self._candidates(now)
        if not candidates:
            return []
        capacities = self._capacities(now)
        uses = dict.fromkeys(candidates, 0.0)
        for item in self.ranges:
            if item.phase is not Phase.FREE and item.owner in uses:
                uses[item.owner] += self._weight(item, now) / capacities[item.owner]
        chosen = []
        for item in free:
            target = item.target
            if target not in candidates:
                target = least_loaded(uses)
            uses[target] += self._weight(item, now) / capacities[target]
            chosen.append((item, target))
        return chosen

    def _weight(self, item: RangeState, now: Seconds) -> float:
        """Requests a second for a range, and a little for its size, which counts without any."""
        return self.load.total(item.first, item.last, now) + item.size / self._key_positions

    def _record(self, chosen: dict[int, str]) -> AssignmentRecord:
        record = AssignmentRecord(term=self._fences.term, sequence=self._sequence)
        for item in self.ranges:
            owner = chosen.get(item.first, item.owner)
            record.ranges.append(OwnedKeys(first=item.first, last=item.last, owner=owner))
        return record

    # ------------------------------------------------------------------ helpers

    def _take_over(self, record: AssignmentRecord, now: Seconds) -> None:
        """Go on from another leader's record: its grants may be in force at the owners."""
        longest = self._timing.leader_patience + self._timing.longest_lease
        for item in record.ranges:
            state = RangeState(item.first, item.last, item.owner)
            state.phase = Phase.OWNED if item.owner else Phase.FREE
            state.fence = self._fences.next()
            state.held_until = now + longest if item.owner else NEVER
            self.ranges.append(state)
        self._sequence = record.sequence

    def _assign_first(self, now: Seconds) -> None:
        if self._first_seen_at is None:
            return
        is_calm = now - self._newest_seen_at >= self._timing.settling
        if not is_calm and now - self._first_seen_at < self._timing.longest_settling:
            return
        for first, last, owner in first_assignment(self._candidates(now), self._key_positions):
            state = RangeState(first, last)
            state.target = owner
            self.ranges.append(state)

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

    def _isolate(self, first: int, last: int) -> RangeState | None:
        """Cut ranges so that one of them holds just these keys."""
        for index, item in enumerate(self.ranges):
            if not item.first <= first <= last <= item.last or item.phase is not Phase.OWNED:
                continue
            pieces = [item]
            if first > item.first:
                pieces.append(pieces[-1].cut(first))
            if last < pieces[-1].last:
                pieces.append(pieces[-1].cut(last + 1))
            if len(pieces) > 1:
                self._renew_pieces(pieces)
            self.ranges[index : index + 1] = pieces
            return next(piece for piece in pieces if piece.first == first)
        return None

    def _renew_pieces(self, pieces: list[RangeState]) -> None:
        for piece in pieces:
            piece.fence = self._fences.next()
            piece.order_pending = False
            piece.next_order = NEVER

    def _range_of(self, first: int, last: int, fence: int) -> RangeState | None:
        """Find the range that an order was for, unless it has changed since."""
        for item in self.ranges:
            if item.first == first and item.last == last and item.fence == fence:
                return item
        return None

    def _ranges_within(self, order: Grant | Release) -> list[RangeState]:
        """Find the ranges that an order was for, but those that have changed since."""
        return [
            item
            for item in self.ranges
            if item.fence == order.fence and order.first <= item.first <= item.last <= order.last
        ]

    def _visible_range(self, item: RangeState, now: Seconds) -> OwnedRange:
        owner = self._visible_owner(item)
        if owner and self._silence.is_lost(owner, now):
            return OwnedRange(item.first, item.last, NO_OWNER, item.held_until)
        return OwnedRange(item.first, item.last, owner)

    def _visible_owner(self, item: RangeState) -> str:
        if item.phase is Phase.RELEASING and item.cause is not Cause.SILENT:
            return NO_OWNER
        if item.phase is Phase.FREE or item.confirmed_until == NEVER:
            return NO_OWNER
        return item.owner

    def _check(self) -> None:
        expected = 0
        for item in self.ranges:
            if item.first != expected or item.last < item.first:
                raise InvariantViolation("ranges-cover-all-keys", f"{item} after {expected}")
            expected = item.last + 1
        if self.ranges and expected != self._key_positions:
            raise InvariantViolation("ranges-cover-all-keys", f"end at {expected}")


def dict_of(chosen: list[tuple[RangeState, str]]) -> dict[int, str]:
    """Next owners by the first key of their range."""
    return {item.first: owner for item, owner in chosen}
