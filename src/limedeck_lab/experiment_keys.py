"""Simulates response times of keyed requests while the leader balances keys among their owners.

The leader is limedeck's `ServiceOwnership`; time, callers and back ends are simulated. Back ends
differ in speed, process `SLOTS` requests at once, queue up to `MAX_QUEUE_LENGTH` more and reject
the rest. During hot periods one key gets more traffic than any back end can process. All nodes are
simplified to one that learns of owners with a delay. All times are in seconds; equal seeds give
equal results.
"""

from __future__ import annotations

import bisect
import itertools
import random
from collections import Counter
from collections.abc import Generator, Sequence
from dataclasses import asdict, dataclass, field

import simpy

from limedeck.forwarding.owners import OwnerMap
from limedeck.identity import Seconds
from limedeck.model import Backend
from limedeck.ownership.commands import OwnershipCommand, SendGrant, SendRelease
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.ranges import OwnerChangeCause
from limedeck.ownership.service import ServiceOwnership
from limedeck.ownership.timing import OwnershipTiming

SERVICE = "s"
POSITIONS = 65_536
KEY_COUNT = 20_000
"""Distinct keys that requests have; each has a position."""
SKEW = 0.33
"""The rate of the key of rank r is proportional to 1 / r ** SKEW."""
SLOTS = 2
MAX_QUEUE_LENGTH = 8
"""Requests that wait at a back end; any more are rejected."""
SPEEDS = (0.6, 1.0, 1.4)
"""Relative speeds, assigned to the back ends in turn."""
WORK: Seconds = 0.2
WORK_SIGMA = 0.3
"""Mean and sigma of the lognormal work of a request, at speed 1."""
RESPONSE_TIME_OBJECTIVE: Seconds = 0.6
ORDER_TIME: Seconds = 0.005
WRITE_TIME: Seconds = 0.012
STATUS_SEND_TIME: Seconds = 0.2
"""Time until all nodes know a change of owners."""
REPORT_INTERVAL: Seconds = 0.5
LEADER_INTERVAL: Seconds = 0.05
MAX_OWNER_WAIT: Seconds = 0.4
"""Longest time that a request waits for its key to have an owner."""
WARMUP_TIME: Seconds = 8.0
"""Requests that arrive earlier are not counted: the leader knows no loads yet."""

Steps = Generator[simpy.Event, None, None]


@dataclass(frozen=True)
class HotPeriod:
    """A period in which one key gets `share` of the traffic."""

    start: Seconds
    end: Seconds
    share: float


@dataclass(frozen=True)
class KeyedFleet:
    """Fleet and load to simulate.

    Parameters
    ----------
    rate
        Requests per second.
    """

    backends: int = 128
    rate: float = 771.0
    duration: Seconds = 40.0
    hot_periods: tuple[HotPeriod, ...] = (HotPeriod(18.0, 23.0, 0.33), HotPeriod(25.0, 29.0, 0.41))


@dataclass(frozen=True)
class KeysResult:
    """Result of one run, or mean of several.

    Parameters
    ----------
    in_time, late, lost
        Fractions of the requests for keys other than the hot ones: completed within
        `RESPONSE_TIME_OBJECTIVE`, completed later, and not completed.
    wrong_owner
        Attempts at which the owner known to the nodes had no lease for the key.
    moved
        Positions that changed owner after their first assignment, as a multiple of all positions.
    """

    requests: int
    in_time: float
    late: float
    lost: float
    wrong_owner: int
    moved: float

    def to_dict(self) -> dict[str, object]:
        """The result as one JSON record."""
        return asdict(self)


@dataclass
class _KeyedBackend:
    """A back end with its slots, its queue and its leases."""

    slots: simpy.Resource
    speed: float
    leases: dict[tuple[int, int], Seconds] = field(default_factory=dict)
    unfinished: Counter[int] = field(default_factory=Counter)

    def holds(self, position: int, now: Seconds) -> bool:
        """Whether it has a lease for a key."""
        return any(
            first <= position <= last and expires_at > now
            for (first, last), expires_at in self.leases.items()
        )

    def grant(self, order: Grant, now: Seconds) -> None:
        """Add a lease; it replaces all leases within its range."""
        for span in [span for span in self.leases if _within(span, order)]:
            del self.leases[span]
        self.leases[order.first, order.last] = now + order.duration

    def release(self, order: Release) -> None:
        """Give up the leases of these keys, or the parts of them that cover these keys."""
        remaining = {}
        for (first, last), expires_at in self.leases.items():
            for part in ((first, min(last, order.first - 1)), (max(first, order.last + 1), last)):
                if part[0] <= part[1]:
                    remaining[part] = expires_at
        self.leases = remaining

    def has_requests_for(self, order: Release) -> bool:
        """Whether requests for these keys are queued or processed."""
        return any(
            count and order.first <= position <= order.last
            for position, count in self.unfinished.items()
        )


def _within(span: tuple[int, int], order: Grant) -> bool:
    return order.first <= span[0] and span[1] <= order.last


class _Run:
    """One simulation."""

    def __init__(self, fleet: KeyedFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._environment = simpy.Environment()
        names = [f"b{number:03d}" for number in range(fleet.backends)]
        self._backends = {
            name: _KeyedBackend(
                simpy.Resource(self._environment, SLOTS), SPEEDS[number % len(SPEEDS)]
            )
            for number, name in enumerate(names)
        }
        self._core = ServiceOwnership(SERVICE, POSITIONS, 1, None, 0, OwnershipTiming(), 0.0)
        self._core.set_backends(
            [Backend(name, SERVICE, "127.0.0.1:1", "z", SLOTS) for name in names], 0.0
        )
        for name, backend in self._backends.items():
            self._core.set_service_time(name, WORK / backend.speed)
        self._row_version = 0
        self._owners = OwnerMap()
        self._counts: Counter[int] = Counter()
        self._positions = [rng.randrange(POSITIONS) for _ in range(KEY_COUNT)]
        ranks = range(1, KEY_COUNT + 1)
        self._popularity = list(itertools.accumulate(rank**-SKEW for rank in ranks))
        self._hot_positions = [rng.randrange(POSITIONS) for _ in fleet.hot_periods]
        self._outcomes: Counter[str] = Counter()
        self._wrong_owner = 0
        self._moved = 0

    def result(self) -> KeysResult:
        """Run the simulation and return its result."""
        for process in (self._lead(), self._report(), self._callers()):
            self._environment.process(process)
        self._environment.run(until=self._fleet.duration)
        counted = sum(self._outcomes.values())
        shares = {name: self._outcomes[name] / counted for name in ("in-time", "late", "lost")}
        return KeysResult(
            counted,
            shares["in-time"],
            shares["late"],
            shares["lost"],
            self._wrong_owner,
            self._moved / POSITIONS,
        )

    # ------------------------------------------------------------------ the leader

    def _lead(self) -> Steps:
        last_published: object = None
        while True:
            now = self._environment.now
            for command in self._core.handle_tick(True, now):
                self._environment.process(self._execute(command))
            for change in self._core.changes:
                if change.cause is not OwnerChangeCause.FIRST:
                    self._moved += change.last - change.first + 1
            self._core.changes.clear()
            ranges = self._core.published(now)
            if ranges is not last_published:
                last_published = ranges
                self._environment.process(
                    self._publish_owners(OwnerMap(self._core.version, ranges))
                )
            yield self._environment.timeout(LEADER_INTERVAL)

    def _publish_owners(self, owners: OwnerMap) -> Steps:
        yield self._environment.timeout(STATUS_SEND_TIME)
        self._owners = owners

    def _execute(self, command: OwnershipCommand) -> Steps:
        sent_at = self._environment.now
        if isinstance(command, SendGrant):
            yield self._environment.timeout(ORDER_TIME)
            now = self._environment.now
            self._backends[command.order.backend_id].grant(command.order, now)
            self._core.handle_grant_response(command.order, True, False, sent_at, now)
        elif isinstance(command, SendRelease):
            yield self._environment.timeout(ORDER_TIME)
            backend = self._backends[command.order.backend_id]
            backend.release(command.order)
            while backend.has_requests_for(command.order):
                yield self._environment.timeout(LEADER_INTERVAL)
            self._core.handle_release_response(command.order, True, "token", self._environment.now)
        else:
            yield self._environment.timeout(WRITE_TIME)
            self._row_version += 1
            self._core.handle_record_written(self._row_version)

    def _report(self) -> Steps:
        while True:
            yield self._environment.timeout(REPORT_INTERVAL)
            self._core.record_requests(list(self._counts.items()), self._environment.now)
            self._counts.clear()

    # ------------------------------------------------------------------ callers

    def _callers(self) -> Steps:
        while True:
            yield self._environment.timeout(self._rng.expovariate(self._fleet.rate))
            self._environment.process(self._request(self._draw_position()))

    def _draw_position(self) -> int:
        now = self._environment.now
        for period, position in zip(self._fleet.hot_periods, self._hot_positions, strict=True):
            if period.start <= now < period.end and self._rng.random() < period.share:
                return position
        point = self._rng.random() * self._popularity[-1]
        return self._positions[bisect.bisect(self._popularity, point)]

    def _request(self, position: int) -> Steps:
        arrived_at = self._environment.now
        self._counts[position] += 1
        backend = yield from self._owner_of(position)
        if backend is None or len(backend.slots.queue) >= MAX_QUEUE_LENGTH:
            self._count_outcome(position, arrived_at, "lost")
            return
        backend.unfinished[position] += 1
        with backend.slots.request() as slot:
            yield slot
            yield self._environment.timeout(self._work() / backend.speed)
        backend.unfinished[position] -= 1
        response_time = self._environment.now - arrived_at
        self._count_outcome(
            position, arrived_at, "in-time" if response_time <= RESPONSE_TIME_OBJECTIVE else "late"
        )

    def _owner_of(self, position: int) -> Generator[simpy.Event, None, _KeyedBackend | None]:
        """Wait until the owner that nodes know has a lease for the key; None after a time-out."""
        deadline = self._environment.now + MAX_OWNER_WAIT
        while self._environment.now < deadline:
            owner = self._owners.owner(position)
            if owner and self._backends[owner].holds(position, self._environment.now):
                return self._backends[owner]
            self._wrong_owner += bool(owner)
            yield self._environment.timeout(LEADER_INTERVAL)
        return None

    def _work(self) -> Seconds:
        return WORK * self._rng.lognormvariate(-(WORK_SIGMA**2) / 2.0, WORK_SIGMA)

    def _count_outcome(self, position: int, arrived_at: Seconds, outcome: str) -> None:
        if arrived_at >= WARMUP_TIME and position not in self._hot_positions:
            self._outcomes[outcome] += 1


def run_keys(fleet: KeyedFleet, seeds: Sequence[int]) -> list[KeysResult]:
    """Run the experiment once for each seed."""
    return [_Run(fleet, random.Random(seed)).result() for seed in seeds]


def mean_of(results: Sequence[KeysResult]) -> KeysResult:
    """Mean of several runs of one fleet; counts are rounded."""
    count = len(results)
    return KeysResult(
        round(sum(item.requests for item in results) / count),
        sum(item.in_time for item in results) / count,
        sum(item.late for item in results) / count,
        sum(item.lost for item in results) / count,
        round(sum(item.wrong_owner for item in results) / count),
        sum(item.moved for item in results) / count,
    )
