"""How soon requests for keys are answered while the leader balances keys among their owners.

The leader is the product's `ServiceOwnership`; time, callers and back ends are simulated. Back ends
differ in speed, work on a few requests at once, queue some and turn the rest away. Now and then one
key gets much of the traffic, more than any back end can work. Nodes are simplified to one that
learns of owners late. All times are in seconds; equal seeds give equal results.
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
THINGS = 20_000
"""What requests are about; each has a position."""
SKEW = 0.33
"""Requests for the thing of rank r are proportional to 1 / r ** SKEW."""
SLOTS = 2
QUEUE = 8
"""Requests that wait at a back end; one more is turned away."""
SPEEDS = (0.6, 1.0, 1.4)
"""Speeds of back ends, in turn, relative to each other."""
WORK: Seconds = 0.2
WORK_SIGMA = 0.3
"""Mean and spread of the lognormal work of one request, at speed 1."""
OBJECTIVE: Seconds = 0.6
ORDER_TIME: Seconds = 0.005
WRITE_TIME: Seconds = 0.012
STATUS_SEND_TIME: Seconds = 0.2
"""Until all nodes know a change of owners."""
REPORT_INTERVAL: Seconds = 0.5
LEADER_INTERVAL: Seconds = 0.05
LONGEST_WAIT: Seconds = 0.4
"""A request waits so long for its key to have an owner."""
WARM_UP: Seconds = 8.0
"""Requests before this are not judged: the leader knows no loads yet."""

Steps = Generator[simpy.Event, None, None]


@dataclass(frozen=True)
class HotSpell:
    """One key gets a part of the traffic for a while."""

    start: Seconds
    end: Seconds
    share: float


@dataclass(frozen=True)
class KeyedFleet:
    """What is simulated.

    Parameters
    ----------
    rate
        Requests a second.
    """

    backends: int = 128
    rate: float = 771.0
    duration: Seconds = 40.0
    spells: tuple[HotSpell, ...] = (HotSpell(18.0, 23.0, 0.33), HotSpell(25.0, 29.0, 0.41))


@dataclass(frozen=True)
class KeysResult:
    """What one run, or the mean of several, showed.

    Parameters
    ----------
    in_time, late, lost
        Parts of the requests for keys other than the hottest.
    moved
        How many times all keys changed owner.
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
    """A back end's queue and the keys it may run requests for."""

    slots: simpy.Resource
    speed: float
    leases: dict[tuple[int, int], Seconds] = field(default_factory=dict)
    present: Counter[int] = field(default_factory=Counter)

    def holds(self, position: int, now: Seconds) -> bool:
        """Whether it has a lease for a key."""
        return any(
            first <= position <= last and until > now
            for (first, last), until in self.leases.items()
        )

    def take(self, order: Grant, now: Seconds) -> None:
        """Take a lease, in place of all within it."""
        for span in [span for span in self.leases if _within(span, order)]:
            del self.leases[span]
        self.leases[order.first, order.last] = now + order.duration

    def give_up(self, order: Release) -> None:
        """Begin nothing more on these keys."""
        kept = {}
        for (first, last), until in self.leases.items():
            for part in ((first, min(last, order.first - 1)), (max(first, order.last + 1), last)):
                if part[0] <= part[1]:
                    kept[part] = until
        self.leases = kept

    def works_on(self, order: Release) -> bool:
        """Whether requests for these keys are there."""
        return any(
            count and order.first <= position <= order.last
            for position, count in self.present.items()
        )


def _within(span: tuple[int, int], order: Grant) -> bool:
    return order.first <= span[0] and span[1] <= order.last


class _Run:
    """One simulation."""

    def __init__(self, fleet: KeyedFleet, luck: random.Random) -> None:
        self._fleet = fleet
        self._luck = luck
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
        self._positions = [luck.randrange(POSITIONS) for _ in range(THINGS)]
        ranks = range(1, THINGS + 1)
        self._popularity = list(itertools.accumulate(rank**-SKEW for rank in ranks))
        self._hot = [luck.randrange(POSITIONS) for _ in fleet.spells]
        self._outcomes: Counter[str] = Counter()
        self._wrong_owner = 0
        self._moved = 0

    def result(self) -> KeysResult:
        """Run to the end."""
        for process in (self._lead(), self._report(), self._callers()):
            self._environment.process(process)
        self._environment.run(until=self._fleet.duration)
        judged = sum(self._outcomes.values())
        shares = {name: self._outcomes[name] / judged for name in ("in-time", "late", "lost")}
        return KeysResult(
            judged,
            shares["in-time"],
            shares["late"],
            shares["lost"],
            self._wrong_owner,
            self._moved / POSITIONS,
        )

    # ------------------------------------------------------------------ the leader

    def _lead(self) -> Steps:
        told: object = None
        while True:
            now = self._environment.now
            for command in self._core.handle_tick(True, now):
                self._environment.process(self._carry_out(command))
            for change in self._core.changes:
                if change.cause is not OwnerChangeCause.FIRST:
                    self._moved += change.last - change.first + 1
            self._core.changes.clear()
            ranges = self._core.published(now)
            if ranges is not told:
                told = ranges
                self._environment.process(self._tell(OwnerMap(self._core.version, ranges)))
            yield self._environment.timeout(LEADER_INTERVAL)

    def _tell(self, owners: OwnerMap) -> Steps:
        yield self._environment.timeout(STATUS_SEND_TIME)
        self._owners = owners

    def _carry_out(self, command: OwnershipCommand) -> Steps:
        sent_at = self._environment.now
        if isinstance(command, SendGrant):
            yield self._environment.timeout(ORDER_TIME)
            now = self._environment.now
            self._backends[command.order.backend_id].take(command.order, now)
            self._core.handle_grant_response(command.order, True, False, sent_at, now)
        elif isinstance(command, SendRelease):
            yield self._environment.timeout(ORDER_TIME)
            backend = self._backends[command.order.backend_id]
            backend.give_up(command.order)
            while backend.works_on(command.order):
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
            yield self._environment.timeout(self._luck.expovariate(self._fleet.rate))
            self._environment.process(self._request(self._drawn_position()))

    def _drawn_position(self) -> int:
        now = self._environment.now
        for spell, position in zip(self._fleet.spells, self._hot, strict=True):
            if spell.start <= now < spell.end and self._luck.random() < spell.share:
                return position
        point = self._luck.random() * self._popularity[-1]
        return self._positions[bisect.bisect(self._popularity, point)]

    def _request(self, position: int) -> Steps:
        arrived = self._environment.now
        self._counts[position] += 1
        backend = yield from self._owner_of(position)
        if backend is None or len(backend.slots.queue) >= QUEUE:
            self._judge(position, arrived, "lost")
            return
        backend.present[position] += 1
        with backend.slots.request() as slot:
            yield slot
            yield self._environment.timeout(self._work() / backend.speed)
        backend.present[position] -= 1
        took = self._environment.now - arrived
        self._judge(position, arrived, "in-time" if took <= OBJECTIVE else "late")

    def _owner_of(self, position: int) -> Generator[simpy.Event, None, _KeyedBackend | None]:
        """Wait for the key's owner, as nodes know it, to have its lease."""
        until = self._environment.now + LONGEST_WAIT
        while self._environment.now < until:
            owner = self._owners.owner(position)
            if owner and self._backends[owner].holds(position, self._environment.now):
                return self._backends[owner]
            self._wrong_owner += bool(owner)
            yield self._environment.timeout(LEADER_INTERVAL)
        return None

    def _work(self) -> Seconds:
        return WORK * self._luck.lognormvariate(-(WORK_SIGMA**2) / 2.0, WORK_SIGMA)

    def _judge(self, position: int, arrived: Seconds, outcome: str) -> None:
        if arrived >= WARM_UP and position not in self._hot:
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
