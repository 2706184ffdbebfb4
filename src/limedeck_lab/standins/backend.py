"""A back end without I/O: accepts fenced grants, runs work in slots, and counts executions.

The HTTP stand-in and the simulation drive it with the time of the back end's own clock.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass, field

from limedeck.api.backend_pb2 import Fence, LeaseReply, LeaseRequest, RangeSet, SliceLoad
from limedeck.identity import NEVER, Incarnation, Seconds
from limedeck.keyspace.hashing import KEYSPACE_END
from limedeck.keyspace.slices import RangeLookup

LOAD_WINDOW: Seconds = 5.0
"""Approximate length of the window over which requests are counted for the reported load."""


class Refusal(enum.Enum):
    """Why a back end does not run a request; the value of its ``limedeck-refusal`` header."""

    NOT_OWNER = "not-owner"
    SHED = "shed"
    DRAINING = "draining"
    EXPIRED = "expired"


@dataclass(frozen=True)
class BackendRules:
    """Rules that a back end follows; the lab breaks one at a time to test that this is detected.

    Parameters
    ----------
    checks_fences
        Refuses grants that are not above the highest fence it has seen.
    holds_until_clock
        Holds a grant until its clock reads the given time; otherwise for `duration` from the
        grant's arrival.
    duration
        How long grants are held if `holds_until_clock` is false.
    """

    checks_fences: bool = True
    holds_until_clock: bool = True
    duration: Seconds = 1.8


@dataclass
class Work:
    """A request that a back end has admitted.

    Parameters
    ----------
    position
        In the key space; None for a service whose keys have no owners.
    """

    request_id: str
    position: int | None
    unrepeatable: bool


@dataclass
class StandInBackend:
    """One run of one back end.

    Parameters
    ----------
    slots
        Number of requests that it runs at the same time.
    queue_limit
        Number of requests that may wait for a slot; more are shed.
    keyed
        Whether the service's keys have owners.
    """

    backend_id: str
    incarnation: Incarnation
    slots: int
    queue_limit: int
    keyed: bool
    rules: BackendRules = field(default_factory=BackendRules)
    draining: bool = False
    highest_fence: tuple[int, int] = (0, 0)
    held_until: Seconds = NEVER
    in_flight: dict[int, Work] = field(default_factory=dict)
    executions: Counter[str] = field(default_factory=Counter)
    _owned: RangeLookup = field(default_factory=lambda: RangeLookup([]))
    owned_version: tuple[int, int] = (0, 0)
    _settled_version: tuple[int, int] = (0, 0)
    _work_count: int = 0
    _rates: dict[int, float] = field(default_factory=dict)
    _rates_at: Seconds = NEVER

    # ------------------------------------------------------------------ leases

    def handle_lease(self, request: LeaseRequest, now: Seconds) -> LeaseReply:
        """Handle a probe or a grant."""
        accepted = self._accept(request, now)
        self._settle()
        return LeaseReply(
            incarnation=self.incarnation,
            clock=now,
            accepted=accepted,
            highest_fence=_fence(self.highest_fence),
            owned_version=_fence(self.owned_version),
            settled_version=_fence(self._settled_version),
            in_flight=len(self.in_flight),
            draining=self.draining,
            loads=self._reported_loads(now),
        )

    def _accept(self, request: LeaseRequest, now: Seconds) -> bool:
        fence = (request.fence.term, request.fence.sequence)
        if self.rules.checks_fences and fence <= self.highest_fence:
            return False
        self.highest_fence = max(fence, self.highest_fence)
        if request.incarnation == 0:
            return True
        if request.incarnation != self.incarnation:
            return False
        version = (request.owned_version.term, request.owned_version.sequence)
        if request.HasField("owned"):
            self._set_ranges(request.owned, version)
        elif version != self.owned_version:
            return False
        self.held_until = request.until
        if not self.rules.holds_until_clock:
            self.held_until = now + self.rules.duration
        return True

    def _set_ranges(self, owned: RangeSet, version: tuple[int, int]) -> None:
        self._owned = RangeLookup((item.start, item.end or KEYSPACE_END) for item in owned.ranges)
        self.owned_version = version

    def _settle(self) -> None:
        working = [work.position for work in self.in_flight.values() if work.position is not None]
        if all(position in self._owned for position in working):
            self._settled_version = self.owned_version

    def owns(self, position: int, now: Seconds) -> bool:
        """Whether the back end may serve a key now."""
        return now < self.held_until and position in self._owned

    def owned_ranges(self, now: Seconds) -> list[tuple[int, int]]:
        """Return the ranges that the back end may serve now."""
        return self._owned.ranges() if now < self.held_until else []

    # ------------------------------------------------------------------ work

    def admit(self, work: Work, now: Seconds) -> int | Refusal:
        """Admit a request and return its number, or refuse it."""
        if self.draining and not self.keyed:
            return Refusal.DRAINING
        if work.position is not None and not self.owns(work.position, now):
            return Refusal.NOT_OWNER
        if len(self.in_flight) >= self.slots + self.queue_limit:
            return Refusal.SHED
        self._work_count += 1
        self.in_flight[self._work_count] = work
        if work.position is not None:
            self._record_load(work.position, now)
        return self._work_count

    def execute(self, number: int, now: Seconds) -> Refusal | None:
        """Execute a request if the back end still owns its key; return the refusal otherwise."""
        work = self.in_flight[number]
        if work.position is not None and not self.owns(work.position, now):
            return Refusal.NOT_OWNER
        if work.unrepeatable:
            self.executions[work.request_id] += 1
        return None

    def finish(self, number: int) -> None:
        """Release a request's slot."""
        self.in_flight.pop(number, None)

    # ------------------------------------------------------------------ load

    def _record_load(self, position: int, now: Seconds) -> None:
        self._decay(now)
        start = self._range_start(position)
        self._rates[start] = self._rates.get(start, 0.0) + 1.0 / LOAD_WINDOW

    def _range_start(self, position: int) -> int:
        return self._owned.start_of(position)

    def _decay(self, now: Seconds) -> None:
        if self._rates_at == NEVER:
            self._rates_at = now
        elapsed = now - self._rates_at
        if elapsed < LOAD_WINDOW / 10:
            return
        kept = max(0.0, 1.0 - elapsed / LOAD_WINDOW)
        self._rates = {
            start: rate * kept for start, rate in self._rates.items() if rate * kept > 0.01
        }
        self._rates_at = now

    def _reported_loads(self, now: Seconds) -> list[SliceLoad]:
        self._decay(now)
        return [
            SliceLoad(start=start, requests_per_second=rate) for start, rate in self._rates.items()
        ]


def _fence(value: tuple[int, int]) -> Fence:
    return Fence(term=value[0], sequence=value[1])
