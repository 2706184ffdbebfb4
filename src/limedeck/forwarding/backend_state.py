"""What a node knows of one back end: its entry, its load, how fast it answers, its failures."""

from __future__ import annotations

import math
from dataclasses import dataclass

from limedeck.forwarding.protocol import LoadReport
from limedeck.forwarding.request_cost import ServiceWork
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend

LATENCY_SMOOTHING = 0.15
"""Weight of one answer in a back end's service time; some seven answers show that it slowed."""
LOAD_MEMORY: Seconds = 0.5
"""After so long, a load that an answer told counts for a third only."""
FLEET_LOAD_LIFE: Seconds = 1.5
"""What other nodes have at a back end is believed for so long: several reports may be missed."""
SUM_AGE: Seconds = 0.25
"""Nodes' requests were counted so long before the leader tells their sum: the mean of the intervals
at which nodes report and the leader adds up."""
GROWTH_CERTAINTY = 2.0
"""Requests added to both counts from which growth is told, since small counts change by chance."""
LARGEST_GROWTH = 3.0
"""Other nodes' requests are believed to have grown or shrunk so many times at most."""
FAILURES_TO_EJECT = 2
"""One failure may be chance."""
BASE_EJECTION_TIME: Seconds = 0.5
"""A back end that failed is tried again after so long; twice as long each time that it fails."""
ENDED_REST: Seconds = 4.0
"""A back end whose process was seen to have ended is taken for cold until its entry changes, for so
long at most. It is cold when it is back, and says so a second later: hundreds of nodes that tried
it meanwhile would make it fall over. Above the time in which the entry of one that is gone lapses.
"""
LONGEST_UNHEARD_REST: Seconds = 20.0
"""While the store is away no entry changes: a rest lasts on until the store is heard, and so long
after the end was last seen at most. A back end that was back after 2 s and cold for 5 s more got 16
to 47 requests in a second where 14 are allowed, by five nodes whose rests of `ENDED_REST` were over
(soak, seed 420021). An estimate, above the time for which back ends say that they are cold; nobody
could tell a back end that rests so long in vain from one that would fall over."""
MAX_EJECTION_TIME: Seconds = 4.0
"""About as long as back ends that crash are away; a longer one keeps a sound one idle."""
PACE_MEMORY: Seconds = 0.2
"""How long its work takes is believed to have gone back by two thirds towards its mean after so
long: a back end's neighbours on its machine change it several times a second."""
PACE_SMOOTHING = 0.05
"""Weight of one answer in a back end's mean pace; some 20 tell the mean of what varies by three."""
NEARLY_FULL = 0.8
"""Part of what it holds when full from which a back end is taken to be full: what is believed of it
fades, and hundreds of requests may be on their way; with `LOAD_MEMORY` for 0.1 s after the word."""
PLAUSIBLY_FULL = 2.0
"""A back end that turns requests away with fewer for each slot fails; it is not full."""
FULL_QUEUE = 4.0
"""Requests for each slot that a back end is taken to hold when it turns one away, at least."""


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
    failures
        Attempts that failed by its fault.
    """

    backend_id: str
    outstanding: int
    answers: int
    service_time: Seconds
    failures: int = 0


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
    full_at
        Requests that it had when it last turned one away, if it tells; None if it never did.
    draining_since
        When this node learned from its store entry that it is draining; None if it is not.
    turned_away_until
        No permit for it is to be had until then, as the leader told last.
    """

    def __init__(self, backend: Backend, work: ServiceWork, now: Seconds) -> None:
        self.backend = backend
        self.work = work
        self.seen_at = now
        self.cold_rate = 0.0
        self.draining_since: Seconds | None = None
        self._cold_until = now
        self._ended_at: Seconds = NEVER
        self._ended_until: Seconds = NEVER
        self.outstanding = 0
        self.service_time: Seconds | None = None
        self.tells_load = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until: Seconds = NEVER
        self.full_at: float | None = None
        self.turned_away_until: Seconds = NEVER
        self._others = 0.0
        self._reported_at: Seconds = NEVER
        self._pace = 1.0
        self._mean_pace = 1.0
        self._elsewhere = 0.0
        self._elsewhere_at: Seconds = NEVER
        self._outstanding_told = 0
        self._answers = 0
        self._faults = 0
        self._work_time: Seconds = 0.0
        self._excluded_until: Seconds = NEVER

    def note_listed(self, now: Seconds) -> None:
        """Its entry is new or has changed: it is written by the back end itself."""
        self._ended_until = NEVER
        self._cold_until = now + self.backend.warmup
        if not self.backend.draining:
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = now

    def is_cold(self, now: Seconds) -> bool:
        """Whether it bears few requests only: it says so, or comes back from an end.

        Without a bound for cold ones they are used like others, as slow ones.
        """
        return self.cold_rate > 0.0 and now < max(self._cold_until, self._ended_until)

    def cold_for(self, now: Seconds) -> Seconds:
        """How much longer it will be cold, as far as is known."""
        return max(self._cold_until, self._ended_until) - now if self.is_cold(now) else 0.0

    def record_load(self, report: LoadReport, now: Seconds) -> None:
        """Take in the load that an answer told."""
        self.tells_load = True
        self._others = max(report.running + report.waiting - self.outstanding, 0.0)
        self._reported_at = now
        self._pace = report.slowdown
        self._mean_pace += PACE_SMOOTHING * (report.slowdown - self._mean_pace)

    def record_fleet_load(
        self, outstanding: int, service_time: Seconds, now: Seconds, excluded: bool = False
    ) -> None:
        """Take in what the leader tells: all nodes' requests there, and its service time.

        Parameters
        ----------
        excluded
            It fails more often than others and is to be passed over.
        """
        self._excluded_until = now + FLEET_LOAD_LIFE if excluded else NEVER
        self._elsewhere = float(max(outstanding - self._outstanding_told, 0))
        self._elsewhere_at = now
        if service_time > 0.0:
            self.service_time = service_time

    def record_response(
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
        self.work.record(route, without_queue / self.service_time)
        self.service_time += LATENCY_SMOOTHING * (sample - self.service_time)
        self._answers += 1
        self._work_time += sample

    def take_sample(self) -> WorkSample | None:
        """Return what there is to report since the last call; None if nothing."""
        told = self._answers or self._faults or self.outstanding or self._outstanding_told
        if not told:
            return None
        mean = self._work_time / self._answers if self._answers else 0.0
        sample = WorkSample(
            self.backend.backend_id, self.outstanding, self._answers, mean, self._faults
        )
        self._outstanding_told = self.outstanding
        self._answers = 0
        self._faults = 0
        self._work_time = 0.0
        return sample

    def is_ejected(self, now: Seconds) -> bool:
        """Whether it failed lately, at this node or at others."""
        return now < self.ejected_until or now < self._excluded_until

    def record_failure(self, now: Seconds, own_fault: bool = True) -> None:
        """An attempt ended without an answer that can be used.

        Parameters
        ----------
        own_fault
            It is not known to have had too much to do; only such failures are told to others.
        """
        self.failures += 1
        self._faults += own_fault
        if self.failures >= FAILURES_TO_EJECT:
            span = BASE_EJECTION_TIME * 2.0 ** min(self.ejections, 10)
            self.ejected_until = now + min(span, MAX_EJECTION_TIME)
            self.ejections += 1

    def record_process_exit(self, now: Seconds) -> None:
        """No process listens at its address: no second failure is needed to pass it over."""
        self.failures = max(self.failures, FAILURES_TO_EJECT - 1)
        self.record_failure(now)
        self._ended_at = now
        self._ended_until = now + ENDED_REST

    def extend_exit_cooldown(self, now: Seconds) -> None:
        """The store is away: what has ended cannot be heard of."""
        if now < self._ended_until:
            latest = min(now, self._ended_at + LONGEST_UNHEARD_REST)
            self._ended_until = max(self._ended_until, latest + ENDED_REST)

    def record_queue_full(self, now: Seconds) -> None:
        """It turned a request away because its queue is full."""
        if self.tells_load and self._reported_at == now:
            told = self.outstanding + self._others
            if told >= PLAUSIBLY_FULL * self.backend.slots:
                self.full_at = told
        least = FULL_QUEUE * self.backend.slots - self.outstanding
        self._others = max(self._others if self._reported_at == now else 0.0, least, 0.0)
        self._reported_at = now

    def expected_load(self, now: Seconds) -> float:
        """Requests that are expected to be there now."""
        return self.outstanding + self._expected_others(now)

    def _expected_others(self, now: Seconds) -> float:
        """Other nodes' requests there: what the newest answer told, or the leader."""
        others = self._others
        if others:
            others *= math.exp(-(now - self._reported_at) / LOAD_MEMORY)
        if now - self._elsewhere_at >= FLEET_LOAD_LIFE:
            return others
        elsewhere = self._elsewhere * self._growth()
        if not self.tells_load:
            return max(others, elsewhere)
        counted_at = self._elsewhere_at - SUM_AGE
        return elsewhere if counted_at > self._reported_at else others

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

    def is_known_full(self, now: Seconds) -> bool:
        """Whether a back end that tells its load is believed to have as many as it ever takes."""
        return self.full_at is not None and self.expected_load(now) >= NEARLY_FULL * self.full_at

    def relative_pace(self, now: Seconds) -> float:
        """How long its work takes now, as a multiple of its mean."""
        told = self._pace / self._mean_pace - 1.0
        return 1.0 + told * math.exp(-(now - self._reported_at) / PACE_MEMORY)

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
