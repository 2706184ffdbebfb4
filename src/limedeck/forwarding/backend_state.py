"""A node's state of one back end: its entry, load, service time and failures."""

from __future__ import annotations

import math
from dataclasses import dataclass

from limedeck.forwarding.protocol import LoadReport
from limedeck.forwarding.request_cost import ServiceWork
from limedeck.forwarding.service_speed import ServiceSpeed
from limedeck.forwarding.stated_load import RefutedLoad, StatedLoadCheck
from limedeck.forwarding.turns import QueueEstimate, QueueSource
from limedeck.forwarding.waiting_requests import NONE_WAITING, WaitingCounts, WaitingRequests
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend

LATENCY_SMOOTHING = 0.15
"""Weight of one response in a back end's service time; about seven responses show a slowdown."""
LOAD_DECAY_TIME: Seconds = 0.5
"""Time after which a load reported in a response counts only for a third."""
FLEET_LOAD_LIFETIME: Seconds = 1.5
"""How long data sent by the leader about a back end is used; several reports may be missed."""
FLEET_LOAD_AGE: Seconds = 0.25
"""Age of the nodes' request counts when the leader sends their sum: the mean of the intervals at
which nodes report and the leader adds up."""
GROWTH_SMOOTHING_REQUESTS = 2.0
"""Added to both counts from which growth is estimated, since small counts change by chance."""
MAX_GROWTH = 3.0
"""Largest factor by which other nodes' requests are assumed to have grown or shrunk."""
FAILURES_TO_EJECT = 2
"""Consecutive failures that cause an ejection; a single one may be chance."""
BASE_EJECTION_TIME: Seconds = 0.5
"""Duration of a back end's first ejection; doubled for each one that follows."""
EXIT_COOLDOWN: Seconds = 4.0
"""Exit cooldown: how long a back end whose process exited counts as cold, at most, until its entry
changes. It is cold when it returns, and says so a second later: requests that hundreds of nodes
sent meanwhile would overload it. Longer than the time in which the entry of an exited one lapses.
"""
MAX_EXIT_COOLDOWN_EXTENSION: Seconds = 20.0
"""Time since the last observed process exit until which exit cooldowns are extended while the store
is unreachable, since no entry can change then. A back end that returned after 2 s and was cold for
5 s more got 16 to 47 requests in a second where 14 are allowed, from five nodes whose cooldowns of
`EXIT_COOLDOWN` were over (soak, seed 420021). Longer than the time for which back ends say that
they are cold. A node cannot distinguish a back end that no longer needs the cooldown from one that
would be overloaded."""
MAX_EJECTION_TIME: Seconds = 4.0
"""About as long as crashed back ends are away; a longer ejection keeps a healthy one idle."""
SLOWDOWN_DECAY_TIME: Seconds = 0.2
"""Time in which a slowdown is assumed to return to its mean by two thirds: a back end's neighbours
on its machine change it several times a second."""
SLOWDOWN_SMOOTHING = 0.05
"""Weight of one response in a back end's mean slowdown, which varies by a factor of three; about 20
responses give the mean."""
KNOWN_FULL_FRACTION = 0.8
"""Fraction of `full_load` from which a back end is assumed to be full: its reported load decays,
and hundreds of requests may be on their way. With `LOAD_DECAY_TIME` it counts as full for 0.1 s
after a report."""
MIN_FULL_LOAD_PER_SLOT = 2.0
"""Requests for each slot from which a rejection shows a full queue; with fewer, it is a failure."""
REJECTION_REPORT_AGE: Seconds = 0.05
"""Age up to which a reported load is taken to be that of the rejection that is being handled."""
ASSUMED_FULL_LOAD_PER_SLOT = 4.0
"""Requests for each slot that a back end is assumed to have, at least, when it rejects one."""


@dataclass(frozen=True, slots=True)
class WorkSample:
    """What this node observed of one back end since the last report.

    Parameters
    ----------
    outstanding
        Requests of this node without a response yet.
    answers
        Complete responses.
    service_time
        Their mean time in seconds, excluding queueing; zero without responses.
    failures
        Failed attempts that count as the back end's own fault.
    waiting
        Requests of this node that wait for their turn.
    """

    backend_id: str
    outstanding: int
    answers: int
    service_time: Seconds
    failures: int = 0
    waiting: WaitingCounts = NONE_WAITING


class BackendState:
    """One node's state of one back end.

    Attributes
    ----------
    outstanding
        Requests of this node without a response yet.
    service_time
        Smoothed time to process one request of the service's present mix, in seconds.
    speed
        Its lasting speed and present slowness, as measured by all nodes together.
    reports_load
        Whether its responses report how many requests it has.
    full_load
        Requests that it had when it last rejected one, if it reports its load; None if it never
        did.
    draining_since
        When this node learned from its store entry that it is draining; None if it is not.
    permits_denied_until
        Until when permits for it are denied, by the leader's last response.
    waiting
        Requests of this node that wait for their turn.
    """

    def __init__(self, backend: Backend, work: ServiceWork, now: Seconds) -> None:
        self.backend = backend
        self.work = work
        self.first_listed_at = now
        self.cold_rate = 0.0
        self.draining_since: Seconds | None = None
        self._cold_until = now
        self._exited_at: Seconds = NEVER
        self._exit_cooldown_until: Seconds = NEVER
        self.outstanding = 0
        self.service_time: Seconds | None = None
        self.speed = ServiceSpeed()
        self._load_check = StatedLoadCheck()
        self.reports_load = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until: Seconds = NEVER
        self.full_load: float | None = None
        self.permits_denied_until: Seconds = NEVER
        self.waiting = WaitingRequests()
        self._other_waiting = NONE_WAITING
        self._reported_waiting = NONE_WAITING
        self._other_requests = 0.0
        self._load_reported_at: Seconds = NEVER
        self._slowdown = 1.0
        self._mean_slowdown = 1.0
        self._other_requests_from_leader = 0.0
        self._leader_data_at: Seconds = NEVER
        self._reported_outstanding = 0
        self._responses = 0
        self._own_faults = 0
        self._work_time: Seconds = 0.0
        self._excluded_until: Seconds = NEVER

    def record_listed(self, now: Seconds) -> None:
        """Record that its entry, which the back end itself writes, is new or has changed."""
        self._exit_cooldown_until = NEVER
        self._cold_until = now + self.backend.warmup
        if not self.backend.draining:
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = now

    def is_cold(self, now: Seconds) -> bool:
        """Whether it can process few requests only: it is warming up, or its process exited.

        Without a cold rate it is used like others, as a slow one.
        """
        return self.cold_rate > 0.0 and now < max(self._cold_until, self._exit_cooldown_until)

    def remaining_cold_time(self, now: Seconds) -> Seconds:
        """Return for how much longer it is expected to be cold."""
        return max(self._cold_until, self._exit_cooldown_until) - now if self.is_cold(now) else 0.0

    def record_load(self, report: LoadReport, now: Seconds) -> RefutedLoad | None:
        """Record the load that a response reported; return why it is not believed, if it is not.

        While loads are not believed, the back end counts as one that reports none.
        """
        has_totals = now - self._leader_data_at < FLEET_LOAD_LIFETIME
        others = self._other_requests_from_leader if has_totals else None
        refuted = self._load_check.refute(report, self.backend.slots, self.outstanding, others, now)
        if self._load_check.is_distrusted(now):
            self.reports_load = False
            return refuted
        self.reports_load = True
        self._other_requests = max(report.running + report.waiting - self.outstanding, 0.0)
        self._load_reported_at = now
        self._slowdown = report.slowdown
        self._mean_slowdown += SLOWDOWN_SMOOTHING * (report.slowdown - self._mean_slowdown)
        return None

    def record_fleet_load(
        self,
        outstanding: int,
        service_time: Seconds,
        now: Seconds,
        excluded: bool = False,
        waiting: WaitingCounts = NONE_WAITING,
    ) -> None:
        """Record what the leader sent: the requests of all nodes to it, and its service time.

        Parameters
        ----------
        excluded
            It fails more often than others and should not be chosen.
        waiting
            Requests of all nodes that wait for their turn.
        """
        self._other_waiting = waiting.without(self._reported_waiting)
        self._excluded_until = now + FLEET_LOAD_LIFETIME if excluded else NEVER
        self._other_requests_from_leader = float(max(outstanding - self._reported_outstanding, 0))
        self._leader_data_at = now
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
        """Record an attempt with a complete response.

        Parameters
        ----------
        ahead
            Requests that the back end was expected to have when this one was sent; used if the
            response reports no load.
        """
        self.failures = 0
        self.ejections = 0
        self.ejected_until = NEVER
        is_believed = load is not None and not self._load_check.is_distrusted(now)
        waiting = (
            load.waiting if load and is_believed else max(ahead + 1.0 - self.backend.slots, 0.0)
        )
        without_queue = took / (1.0 + waiting / self.backend.slots)
        sample = without_queue / self.work.relative(route)
        if self.service_time is None:
            self.service_time = sample
        self.work.record(route, without_queue / self.service_time)
        self.work.record_speedup(sample / self.service_time)
        self.service_time += LATENCY_SMOOTHING * (sample - self.service_time)
        self._responses += 1
        self._work_time += sample

    def take_sample(self, now: Seconds) -> WorkSample | None:
        """Return what has been observed since the last call; None if there is nothing to report."""
        waiting = self.waiting.counts(now)
        self._reported_waiting = waiting
        has_data = (
            self._responses
            or self._own_faults
            or self.outstanding
            or self._reported_outstanding
            or waiting
        )
        if not has_data:
            return None
        mean = self._work_time / self._responses if self._responses else 0.0
        sample = WorkSample(
            self.backend.backend_id,
            self.outstanding,
            self._responses,
            mean,
            self._own_faults,
            waiting,
        )
        self._reported_outstanding = self.outstanding
        self._responses = 0
        self._own_faults = 0
        self._work_time = 0.0
        return sample

    def is_ejected(self, now: Seconds) -> bool:
        """Whether it is ejected by this node, or excluded by the leader."""
        return now < self.ejected_until or now < self._excluded_until

    def record_failure(self, now: Seconds, own_fault: bool = True) -> None:
        """Record an attempt that ended without a usable response.

        Parameters
        ----------
        own_fault
            Whether the back end is not known to be overloaded; only such failures are reported.
        """
        self.failures += 1
        self._own_faults += own_fault
        if self.failures >= FAILURES_TO_EJECT:
            span = BASE_EJECTION_TIME * 2.0 ** min(self.ejections, 10)
            self.ejected_until = now + min(span, MAX_EJECTION_TIME)
            self.ejections += 1

    def record_own_fault(self) -> None:
        """Report a failure that was recorded before it was known to be the back end's own."""
        self._own_faults += 1

    def clear_failures(self) -> None:
        """Forget failed attempts and their ejection: they were not the back end's fault."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = NEVER
        self._own_faults = 0

    def record_process_exit(self, now: Seconds) -> None:
        """Record that no process listens at its address: it is ejected without another failure."""
        self.failures = max(self.failures, FAILURES_TO_EJECT - 1)
        self.record_failure(now)
        self._exited_at = now
        self._exit_cooldown_until = now + EXIT_COOLDOWN

    def restart_exit_cooldown(self, now: Seconds) -> None:
        """Restart its exit cooldown, if it is in one: it has just been reached again."""
        if now < self._exit_cooldown_until:
            self._exited_at = now
            self._exit_cooldown_until = now + EXIT_COOLDOWN

    def extend_exit_cooldown(self, now: Seconds) -> None:
        """Extend its exit cooldown while the store is unreachable and its entry cannot change."""
        if now < self._exit_cooldown_until:
            latest = min(now, self._exited_at + MAX_EXIT_COOLDOWN_EXTENSION)
            self._exit_cooldown_until = max(self._exit_cooldown_until, latest + EXIT_COOLDOWN)

    def record_rejection(self, now: Seconds) -> None:
        """Record that it rejected a request without running it.

        With a full queue it is busy; if it reports that it has room, it fails.
        """
        has_room = self.outstanding + self._other_requests < (
            MIN_FULL_LOAD_PER_SLOT * self.backend.slots
        )
        if self._has_just_reported(now) and has_room:
            self.record_failure(now)
        else:
            self.record_queue_full(now)

    def record_queue_full(self, now: Seconds) -> None:
        """Record that it rejected a request because its queue is full."""
        has_report = self._has_just_reported(now)
        if has_report:
            load = self.outstanding + self._other_requests
            if load >= MIN_FULL_LOAD_PER_SLOT * self.backend.slots:
                self.full_load = load
        least = ASSUMED_FULL_LOAD_PER_SLOT * self.backend.slots - self.outstanding
        self._other_requests = max(self._other_requests if has_report else 0.0, least, 0.0)
        self._load_reported_at = now

    def _has_just_reported(self, now: Seconds) -> bool:
        return self.reports_load and now - self._load_reported_at <= REJECTION_REPORT_AGE

    def expected_load(self, now: Seconds) -> float:
        """Return how many requests it is expected to have now."""
        return self.outstanding + self._expected_other_requests(now)

    def observed_load(self, now: Seconds) -> float:
        """Return its requests as far as this node has observed them itself."""
        age = now - self._load_reported_at
        return self.outstanding + self._other_requests * math.exp(-age / LOAD_DECAY_TIME)

    def _expected_other_requests(self, now: Seconds) -> float:
        """Estimate other nodes' requests to it from the newest response or the leader's data."""
        from_responses = self._other_requests
        if from_responses:
            from_responses *= math.exp(-(now - self._load_reported_at) / LOAD_DECAY_TIME)
        if now - self._leader_data_at >= FLEET_LOAD_LIFETIME:
            return from_responses
        from_leader = self._other_requests_from_leader * self._other_requests_growth()
        if not self.reports_load:
            return max(from_responses, from_leader)
        counted_at = self._leader_data_at - FLEET_LOAD_AGE
        return from_leader if counted_at > self._load_reported_at else from_responses

    def _other_requests_growth(self) -> float:
        """Estimate the growth of other nodes' requests to it since the last report, as a factor.

        A surge affects all nodes alike, and shows first in this node's own requests.
        """
        current = self.outstanding + GROWTH_SMOOTHING_REQUESTS
        growth = current / (self._reported_outstanding + GROWTH_SMOOTHING_REQUESTS)
        return min(max(growth, 1.0 / MAX_GROWTH), MAX_GROWTH)

    def has_free_slot(self, now: Seconds) -> bool:
        """Whether it is expected to process one more request at once."""
        return self.expected_load(now) < self.backend.slots

    def queue_estimate(self, now: Seconds) -> QueueEstimate:
        """Return the estimate of its queue."""
        load = self.expected_load(now)
        slots = self.backend.slots
        wait = time = None
        if self.service_time is not None:
            time = self.service_time * self.work.speedup * self._warmup_factor(now)
            wait = time * max(load + 1.0 - slots, 0.0) / slots
        newest = max(self._load_reported_at, self._leader_data_at)
        source = QueueSource.LEADER if newest == self._leader_data_at else QueueSource.RESPONSE
        if newest == NEVER:
            source = QueueSource.NONE
        is_full = self.is_full(now) or self.is_known_full(now)
        return QueueEstimate(
            self.backend.backend_id,
            load,
            slots,
            wait,
            now - newest,
            source,
            is_full,
            self._waiting_at_all_nodes(now),
            time,
        )

    def _waiting_at_all_nodes(self, now: Seconds) -> WaitingCounts:
        is_known = now - self._leader_data_at < FLEET_LOAD_LIFETIME
        own = self.waiting.counts(now)
        return own + self._other_waiting if is_known else own

    @property
    def leader_data_at(self) -> Seconds:
        """When the leader's totals last arrived."""
        return self._leader_data_at

    def work_time(self, route: str, now: Seconds) -> Seconds | None:
        """Return the time that it takes for a request of a route; None if too little is known."""
        if self.service_time is None or not self.work.is_measured(route):
            return None
        time = self.service_time * self.work.speedup * self.work.relative(route)
        return time * self._warmup_factor(now)

    def load_age(self, now: Seconds) -> Seconds:
        """Return the age of the newest data on other nodes' requests to it."""
        return now - max(self._load_reported_at, self._leader_data_at)

    def is_full(self, now: Seconds) -> bool:
        """Whether it reports no load and may reset one more request because its queue is full."""
        return (
            not self.reports_load
            and self.expected_load(now) >= ASSUMED_FULL_LOAD_PER_SLOT * self.backend.slots
        )

    def is_known_full(self, now: Seconds) -> bool:
        """Whether it reports its load and is expected to have close to `full_load` requests."""
        return (
            self.full_load is not None
            and self.expected_load(now) >= KNOWN_FULL_FRACTION * self.full_load
        )

    def relative_slowdown(self, now: Seconds) -> float:
        """Return its present slowdown, as a multiple of its mean slowdown."""
        deviation = self._slowdown / self._mean_slowdown - 1.0
        return 1.0 + deviation * math.exp(-(now - self._load_reported_at) / SLOWDOWN_DECAY_TIME)

    def capacity(self, now: Seconds, typical: Seconds) -> float:
        """Return how many requests a second it can process."""
        time = self.speed.service_time(now) or self.service_time or typical
        return self.backend.slots / (time * self._warmup_factor(now))

    def expected_time(self, now: Seconds, typical: Seconds, relative: float = 1.0) -> Seconds:
        """Return the time that one more request is expected to take.

        Parameters
        ----------
        relative
            Cost of the request, as a multiple of the mean over the service's requests.
        """
        return self._time_at(self.service_time or typical, now, relative)

    def _time_at(self, service_time: Seconds, now: Seconds, relative: float) -> Seconds:
        slots = self.backend.slots
        ahead = self.expected_load(now)
        queued = max(ahead + 1.0 - slots, 0.0) / slots
        busy = min(ahead / slots, 1.0)
        return service_time * (relative * (1.0 + 0.3 * busy) + queued) * self._warmup_factor(now)

    def expected_time_of(self, route: str, now: Seconds) -> Seconds | None:
        """Return the time expected for a request of this route; None if too little is known."""
        if self.service_time is None or not self.work.is_measured(route):
            return None
        service_time = self.service_time * self.work.speedup
        return self._time_at(service_time, now, self.work.relative(route))

    def _warmup_factor(self, now: Seconds) -> float:
        age = now - self.first_listed_at
        return 2.0 if age < self.backend.warmup else 1.0
