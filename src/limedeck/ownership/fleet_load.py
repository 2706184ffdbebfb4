"""Aggregates at the leader the load of each back end, as reported by all nodes."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from limedeck.forwarding.service_speed import PRIOR_RESPONSES, MeasuredSpeed
from limedeck.forwarding.waiting_requests import NONE_WAITING, WaitingCounts
from limedeck.identity import NEVER, Seconds

RESPONSE_WEIGHT = 0.05
"""Weight of one response in a back end's mean service time; averages uneven work over some 20."""
FRESH_TIME: Seconds = 1.0
"""Time since a node last reported a response for which a service time is taken unchanged."""
LASTING_DECAY_TIME: Seconds = 30.0
"""The same for lasting service times, which change rarely: an owner that was slow for long and so
lost its keys is given some again."""
DECAY_TIME: Seconds = 3.0
"""Time constant by which, after `FRESH_TIME`, a service time decays to the mean of its service.
Without the decay, a back end that was slow once got no requests and so counted as slow forever: an
idle one of six got none of 60 requests per second for 8 s. With it, a slow back end gets a request
every few seconds."""
MIN_WEIGHT = 1e-6
"""Least weight of a service time in the mean, so that there is a mean if all of them are old."""


@dataclass(frozen=True, slots=True)
class BackendReport:
    """Report of one node about one back end.

    Parameters
    ----------
    backend
        Hash of the back end's id.
    outstanding
        Requests of this node to which the back end has not responded yet.
    answers
        Complete responses since the last report.
    service_time
        Mean service time of these responses, without queueing.
    failures
        Attempts since the last report that failed by the back end's fault.
    backoff
        Remaining time for which this node backs off from the back end; zero if it does not.
    waiting
        Requests of this node that wait for their turn at the back end.
    """

    backend: int
    outstanding: int
    answers: int
    service_time: Seconds
    failures: int = 0
    backoff: Seconds = 0.0
    waiting: WaitingCounts = NONE_WAITING


@dataclass(frozen=True, slots=True)
class BackendTotal:
    """Sum of all nodes' reports about one back end; a service time of zero means unknown.

    Parameters
    ----------
    excluded
        Whether the back end gets no requests because it fails too often.
    responded_at
        When a node last reported a response, on the leader's clock; known only to the leader.
    waiting
        Requests of all nodes that wait for their turn.
    lasting_time
        Lasting service time, of which moments of slowness are a part; zero means unknown.
    slowness
        Present service time over the lasting one; 1 within chance.
    responses
        Number of responses on which the lasting service time rests; known only to the leader.
    """

    backend: int
    outstanding: int
    service_time: Seconds
    excluded: bool = False
    responded_at: Seconds = NEVER
    waiting: WaitingCounts = NONE_WAITING
    lasting_time: Seconds = 0.0
    slowness: float = 1.0
    responses: float = 0.0


def with_decayed_service_times(
    totals: Sequence[BackendTotal], services: Mapping[int, str], now: Seconds
) -> list[BackendTotal]:
    """Return totals in which old service times have decayed to the mean of their service.

    Parameters
    ----------
    services
        Service of each back end.
    """
    times = [total.service_time for total in totals]
    weights = [_freshness(total.responded_at, now) for total in totals]
    decayed = _drawn_to_mean(times, weights, [services[total.backend] for total in totals])
    return [replace(total, service_time=time) for total, time in zip(totals, decayed, strict=True)]


def with_decayed_lasting_times(
    totals: Sequence[BackendTotal], services: Mapping[int, str], now: Seconds
) -> list[BackendTotal]:
    """Return totals in which lasting service times decay as well, but more slowly.

    One that rests on few responses is close to the mean of its service.
    """
    times = [total.lasting_time for total in totals]
    weights = [
        _freshness(total.responded_at, now, LASTING_DECAY_TIME)
        * total.responses
        / (total.responses + PRIOR_RESPONSES)
        for total in totals
    ]
    decayed = _drawn_to_mean(times, weights, [services[total.backend] for total in totals])
    return [replace(total, lasting_time=time) for total, time in zip(totals, decayed, strict=True)]


def _drawn_to_mean(
    times: Sequence[Seconds], weights: Sequence[float], services: Sequence[str]
) -> list[Seconds]:
    """Return times that are their service's mean at a weight of 0, unchanged at 1; zeros stay."""
    rows = list(zip(times, weights, services, strict=True))
    total_weights: dict[str, float] = dict.fromkeys(services, 0.0)
    sums = dict(total_weights)
    for time, weight, service in rows:
        if time > 0.0:
            total_weights[service] += max(weight, MIN_WEIGHT)
            sums[service] += max(weight, MIN_WEIGHT) * time
    typical = {
        service: sums[service] / weight for service, weight in total_weights.items() if weight
    }
    return [
        typical[service] + (time - typical[service]) * weight if time > 0.0 else 0.0
        for time, weight, service in rows
    ]


def _freshness(responded_at: Seconds, now: Seconds, decay_time: Seconds = DECAY_TIME) -> float:
    """Return the weight, from 1 to 0, of a service time whose last response was reported then."""
    return math.exp(-max(now - responded_at - FRESH_TIME, 0.0) / decay_time)


class FleetLoad:
    """Adds up the reports of all connected nodes."""

    def __init__(self) -> None:
        self._by_node: dict[str, dict[int, int]] = {}
        self._waiting_by_node: dict[str, dict[int, WaitingCounts]] = {}
        self._service_times: dict[int, Seconds] = {}
        self._speeds: dict[int, MeasuredSpeed] = {}
        self._answered_at: dict[int, Seconds] = {}

    def initialize(self, service_times: Mapping[int, Seconds], now: Seconds) -> None:
        """Start from the service times known from the former leader or measured by this node."""
        for backend, known in service_times.items():
            self._service_times.setdefault(backend, known)
            self._speeds.setdefault(backend, MeasuredSpeed(known, now))
            self._answered_at.setdefault(backend, now)

    def record_report(self, node: str, reports: Sequence[BackendReport], now: Seconds) -> None:
        """Record a node's report, which lists every back end with outstanding requests of it."""
        outstanding: dict[int, int] = {}
        for report in reports:
            if report.outstanding:
                outstanding[report.backend] = report.outstanding
            if report.answers:
                self._record_responses(report, now)
                self._answered_at[report.backend] = now
        self._by_node[node] = outstanding
        self._waiting_by_node[node] = {
            report.backend: report.waiting for report in reports if report.waiting
        }

    def forget(self, node: str) -> None:
        """Drop the outstanding requests of a node that has disconnected."""
        self._by_node.pop(node, None)
        self._waiting_by_node.pop(node, None)

    def clear(self) -> None:
        """Drop all reports when this node is no longer the leader."""
        self._by_node.clear()
        self._waiting_by_node.clear()
        self._service_times.clear()
        self._speeds.clear()
        self._answered_at.clear()

    def service_time(self, backend: int) -> Seconds | None:
        """Return a back end's mean service time, or None if it is unknown."""
        return self._service_times.get(backend)

    def totals(self, listed: Iterable[int], now: Seconds = NEVER) -> list[BackendTotal]:
        """Return the totals of the listed back ends, and forget the others."""
        wanted = list(listed)
        sums = dict.fromkeys(wanted, 0)
        for outstanding in self._by_node.values():
            for backend, count in outstanding.items():
                if backend in sums:
                    sums[backend] += count
        waiting: dict[int, WaitingCounts] = {}
        for counts in self._waiting_by_node.values():
            for backend, waiting_there in counts.items():
                waiting[backend] = waiting.get(backend, NONE_WAITING) + waiting_there
        kept = {item: self._service_times[item] for item in wanted if item in self._service_times}
        self._service_times = kept
        speeds = {item: self._speeds[item] for item in kept if item in self._speeds}
        self._speeds = speeds
        answered = {item: self._answered_at.get(item, NEVER) for item in wanted}
        self._answered_at = answered
        totals = []
        for item in wanted:
            total = BackendTotal(
                item,
                sums[item],
                kept.get(item, 0.0),
                responded_at=answered[item],
                waiting=waiting.get(item, NONE_WAITING),
            )
            if item in speeds:
                speed = speeds[item]
                total = replace(
                    total,
                    lasting_time=speed.lasting,
                    slowness=speed.slowness(now),
                    responses=speed.responses,
                )
            totals.append(total)
        return totals

    def _record_responses(self, report: BackendReport, now: Seconds) -> None:
        if report.service_time > 0.0:
            speed = self._speeds.setdefault(report.backend, MeasuredSpeed(0.0, now))
            speed.record(report.answers, report.service_time, now)
        known = self._service_times.get(report.backend)
        if known is None:
            self._service_times[report.backend] = report.service_time
            return
        # The old value counts only as far as it has not decayed in the totals sent to nodes.
        kept = _freshness(self._answered_at.get(report.backend, now), now)
        weight = 1.0 - kept * (1.0 - RESPONSE_WEIGHT) ** report.answers
        self._service_times[report.backend] = known + weight * (report.service_time - known)
