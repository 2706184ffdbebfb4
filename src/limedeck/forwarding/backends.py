"""What a node knows of each back end: its entry, its load, how fast it answers."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

import xxhash

from limedeck.forwarding.protocol import LoadReport
from limedeck.forwarding.stale_load import levelling_shares
from limedeck.forwarding.work import ServiceWork
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend

DEFAULT_SERVICE_TIME: Seconds = 0.1
LATENCY_SMOOTHING = 0.15
"""Weight of one answer in a back end's service time; some seven answers show that it slowed."""
LOAD_MEMORY: Seconds = 0.5
"""After so long, a load that an answer told counts for a third only."""
FLEET_LOAD_LIFE: Seconds = 1.5
"""What other nodes have at a back end is believed for so long: several reports may be missed."""
GROWTH_CERTAINTY = 2.0
"""Requests added to both counts from which growth is told, since small counts change by chance."""
LARGEST_GROWTH = 3.0
"""Other nodes' requests are believed to have grown or shrunk so many times at most."""
FAILURES_TO_EJECT = 2
EJECTION_TIME: Seconds = 0.5
LONGEST_EJECTION: Seconds = 4.0
FULL_QUEUE = 4.0
"""Requests for each slot that a back end is taken to hold when it turns one away, at least."""
OTHER_ZONE_FACTOR = 1.6
"""A back end of another zone must be better by so much, if each tells its load."""
OTHER_ZONE_LOAD = 1.5
"""If loads are known late, a back end of another zone counts as having so many more a slot: it is
used once the near ones are busy. At 0.25, bytes between zones cost 0.016 more of a day's worth."""
REPORT_DELAY: Seconds = 0.3
"""Age that loads told by the leader have when the next ones come; see `node.peers`."""
FEWEST_ARRIVALS = 0.1
"""While hardly anything is under way, the best back end gets all of it."""


@dataclass(frozen=True, slots=True)
class WorkSample:
    """What one back end was seen to do since the last report.

    Parameters
    ----------
    outstanding
        Requests of this node that it has not answered.
    answers
        Whole answers.
    service_time
        Their mean time in seconds, queues left out; zero without answers.
    """

    backend_id: str
    outstanding: int
    answers: int
    service_time: Seconds


class BackendState:
    """One back end as one node sees it.

    Attributes
    ----------
    outstanding
        Requests of this node that it has not answered.
    service_time
        Smoothed time to work on one request of the service's present mix, in seconds.
    tells_load
        Its answers tell how many requests it has.
    """

    def __init__(self, backend: Backend, work: ServiceWork, now: Seconds) -> None:
        self.backend = backend
        self.work = work
        self.seen_at = now
        self.outstanding = 0
        self.service_time: Seconds | None = None
        self.tells_load = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until: Seconds = NEVER
        self._others = 0.0
        self._reported_at: Seconds = NEVER
        self._elsewhere = 0.0
        self._elsewhere_at: Seconds = NEVER
        self._outstanding_told = 0
        self._answers = 0
        self._work_time: Seconds = 0.0

    def note_load(self, report: LoadReport, now: Seconds) -> None:
        """Take in the load that an answer told."""
        self.tells_load = True
        self._others = max(report.running + report.waiting - self.outstanding, 0.0)
        self._reported_at = now

    def note_fleet(self, outstanding: int, service_time: Seconds, now: Seconds) -> None:
        """Take in what the leader tells: all nodes' requests there, and its service time."""
        self._elsewhere = float(max(outstanding - self._outstanding_told, 0))
        self._elsewhere_at = now
        if service_time > 0.0:
            self.service_time = service_time

    def note_answer(
        self,
        took: Seconds,
        load: LoadReport | None,
        now: Seconds,
        route: str = "",
        ahead: float = 0,
    ) -> None:
        """An attempt was answered whole.

        Parameters
        ----------
        ahead
            Requests that were believed to be there when it was sent; an answer's load is better.
        """
        self.failures = 0
        self.ejections = 0
        self.ejected_until = NEVER
        waiting = load.waiting if load else max(ahead + 1.0 - self.backend.slots, 0.0)
        without_queue = took / (1.0 + waiting / self.backend.slots)
        sample = without_queue / self.work.relative(route)
        if self.service_time is None:
            self.service_time = sample
        self.work.note(route, without_queue / self.service_time)
        self.service_time += LATENCY_SMOOTHING * (sample - self.service_time)
        self._answers += 1
        self._work_time += sample

    def take_sample(self) -> WorkSample | None:
        """Return what there is to report since the last call; None if nothing."""
        if not self._answers and not self.outstanding and not self._outstanding_told:
            return None
        mean = self._work_time / self._answers if self._answers else 0.0
        sample = WorkSample(self.backend.backend_id, self.outstanding, self._answers, mean)
        self._outstanding_told = self.outstanding
        self._answers = 0
        self._work_time = 0.0
        return sample

    def note_failure(self, now: Seconds) -> None:
        """An attempt ended without an answer."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            span = EJECTION_TIME * 2.0 ** min(self.ejections, 10)
            self.ejected_until = now + min(span, LONGEST_EJECTION)
            self.ejections += 1

    def note_full(self, now: Seconds) -> None:
        """It turned a request away because its queue is full."""
        least = FULL_QUEUE * self.backend.slots - self.outstanding
        self._others = max(self._others if self._reported_at == now else 0.0, least, 0.0)
        self._reported_at = now

    def expected_load(self, now: Seconds) -> float:
        """Requests that are expected to be there now."""
        others = self._others
        if others:
            others *= math.exp(-(now - self._reported_at) / LOAD_MEMORY)
        if not self.tells_load and now - self._elsewhere_at < FLEET_LOAD_LIFE:
            others = max(others, self._elsewhere * self._growth())
        return self.outstanding + others

    def _growth(self) -> float:
        """How much other nodes' requests there have probably grown since they were told.

        A surge shows at all nodes alike, and first in this node's own requests.
        """
        now_here = self.outstanding + GROWTH_CERTAINTY
        growth = now_here / (self._outstanding_told + GROWTH_CERTAINTY)
        return min(max(growth, 1.0 / LARGEST_GROWTH), LARGEST_GROWTH)

    def load_age(self, now: Seconds) -> Seconds:
        """How long ago it was last heard what other nodes have there."""
        return now - max(self._reported_at, self._elsewhere_at)

    def is_full(self, now: Seconds) -> bool:
        """Whether one more request may be reset, as those do that tell no load."""
        return not self.tells_load and self.expected_load(now) >= FULL_QUEUE * self.backend.slots

    def capacity(self, now: Seconds, typical: Seconds) -> float:
        """Requests a second that it can work on."""
        return self.backend.slots / ((self.service_time or typical) * self._warming(now))

    def expected_time(self, now: Seconds, typical: Seconds, relative: float = 1.0) -> Seconds:
        """Time that one more request is expected to take.

        Parameters
        ----------
        relative
            Its work, as a part of the mean over the service's requests.
        """
        work = self.service_time or typical
        slots = self.backend.slots
        ahead = self.expected_load(now)
        queued = max(ahead + 1.0 - slots, 0.0) / slots
        busy = min(ahead / slots, 1.0)
        return work * (relative * (1.0 + 0.3 * busy) + queued) * self._warming(now)

    def expected_time_of(self, route: str, now: Seconds) -> Seconds | None:
        """Time that a request of this route is expected to take; None if too little is known."""
        if self.service_time is None or not self.work.is_measured(route):
            return None
        return self.expected_time(now, self.service_time, self.work.relative(route))

    def _warming(self, now: Seconds) -> float:
        age = now - self.seen_at
        return 2.0 if age < self.backend.warmup else 1.0


class BackendDirectory:
    """All back ends that the listing names, by service.

    Parameters
    ----------
    zone
        This node's zone.
    node_id
        Breaks ties differently on each node.
    """

    def __init__(self, zone: str, node_id: str) -> None:
        self._zone = zone
        self._node_id = node_id
        self._states: dict[str, BackendState] = {}
        self._services: dict[str, dict[str, BackendState]] = {}
        self._addresses: dict[str, str] = {}
        self._work: dict[str, ServiceWork] = {}

    def put(self, backend: Backend, now: Seconds) -> None:
        """A back end's entry is new or has changed."""
        self._addresses[backend.backend_id] = backend.address
        state = self._states.get(backend.backend_id)
        if state is None:
            work = self._work.setdefault(backend.service, ServiceWork())
            state = BackendState(backend, work, now)
            self._states[backend.backend_id] = state
        else:
            self._services.get(state.backend.service, {}).pop(backend.backend_id, None)
            state.backend = backend
        self._services.setdefault(backend.service, {})[backend.backend_id] = state

    def remove(self, backend_id: str) -> None:
        """A back end's entry is gone."""
        state = self._states.pop(backend_id, None)
        if state is not None:
            self._services[state.backend.service].pop(backend_id, None)

    def find(self, backend_id: str) -> BackendState | None:
        """Return a back end's state."""
        return self._states.get(backend_id)

    def last_address(self, backend_id: str) -> str | None:
        """Return where a back end was last listed, though its entry may be gone."""
        return self._addresses.get(backend_id)

    def addresses(self) -> set[str]:
        """Return where the listed back ends are."""
        return {state.backend.address for state in self._states.values()}

    def all_states(self) -> Collection[BackendState]:
        """Return all back ends that are listed."""
        return self._states.values()

    def of_service(self, service: str) -> list[BackendState]:
        """Return a service's back ends."""
        return list(self._services.get(service, {}).values())

    def choose(
        self, service: str, excluded: Collection[str], request_id: bytes, now: Seconds
    ) -> BackendState | None:
        """Choose the back end that is expected to answer first; None when there is none."""
        usable = [
            state
            for state in self.of_service(service)
            if not state.backend.draining and state.backend.backend_id not in excluded
        ]
        healthy = [state for state in usable if state.ejected_until <= now]
        candidates = healthy or usable
        if not candidates:
            return None
        if any(state.tells_load for state in candidates):
            return self._soonest(candidates, request_id, now)
        return self._by_share(candidates, request_id, now)

    def _soonest(
        self, candidates: list[BackendState], request_id: bytes, now: Seconds
    ) -> BackendState:
        """The one that is expected to answer first: each answer tells its load of that moment."""
        typical = self._typical_time(candidates)

        def cost(state: BackendState) -> float:
            near = state.backend.zone == self._zone
            spread = spread_of(state.backend.backend_id.encode() + request_id)
            time = state.expected_time(now, typical) * (1.0 + 0.1 * spread)
            return time if near else time * OTHER_ZONE_FACTOR

        return min(candidates, key=cost)

    def _by_share(
        self, candidates: list[BackendState], request_id: bytes, now: Seconds
    ) -> BackendState:
        """The better of two drawn by shares that level a load which is known late.

        Until loads are known anew, a part of the requests that are there will have been answered,
        and as many others will have come.
        """
        typical = self._typical_time(candidates)
        present = [state.expected_load(now) for state in candidates]
        remaining = math.exp(-REPORT_DELAY / typical)
        arrivals = max(sum(present) * (1.0 - remaining), FEWEST_ARRIVALS)
        loads = [load * remaining for load in present]
        weighed = [
            load
            if state.backend.zone == self._zone
            else load + OTHER_ZONE_LOAD * state.backend.slots
            for state, load in zip(candidates, loads, strict=True)
        ]
        capacities = [state.capacity(now, typical) for state in candidates]
        shares = levelling_shares(weighed, capacities, arrivals)
        drawn = [
            candidates[drawn_index(shares, spread_of(mark + request_id))] for mark in (b"1", b"2")
        ]
        return min(drawn, key=lambda state: state.outstanding * (state.service_time or typical))

    def _typical_time(self, states: list[BackendState]) -> Seconds:
        known = [state.service_time for state in states if state.service_time is not None]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME


def drawn_index(shares: Sequence[float], point: float) -> int:
    """Return the index of the share that holds `point`, a part of all shares from 0 to 1."""
    left = point * sum(shares)
    for index, share in enumerate(shares):
        left -= share
        if left < 0.0:
            return index
    return max(range(len(shares)), key=shares.__getitem__)


def spread_of(text: bytes) -> float:
    """A number from 0 to 1 that differs from text to text."""
    return xxhash.xxh32_intdigest(text) / float(1 << 32)
