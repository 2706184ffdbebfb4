"""What all nodes together have at each back end, as the leader hears it from each of them."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from limedeck.identity import NEVER, Seconds

RESPONSE_WEIGHT = 0.05
"""Weight of one answer in a back end's service time; some 20 tell the mean of uneven work."""
FRESH: Seconds = 1.0
"""A service time is believed as it is for so long after the last answer of any node."""
DECAY_TIME: Seconds = 3.0
"""After `FRESH`, its difference from the others' mean fades by two thirds in so long. A back
end that looked slow once and then got nothing looked slow for ever: an idle one of six got none of
60 requests a second for 8 s. One that is slow gets some request every few seconds instead."""
MIN_WEIGHT = 1e-6
"""Of a service time in the mean, so that there is one if all are old."""


@dataclass(frozen=True, slots=True)
class BackendReport:
    """What one node tells of one back end.

    Parameters
    ----------
    backend
        A hash of its id.
    outstanding
        This node's requests that it has not answered.
    answers
        Whole answers since the last report.
    service_time
        Their mean time in seconds, queues left out.
    failures
        Attempts that failed by its fault since the last report.
    backoff
        Remaining back-off of this node for it, in seconds; zero if none.
    """

    backend: int
    outstanding: int
    answers: int
    service_time: Seconds
    failures: int = 0
    backoff: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class BackendTotal:
    """What all nodes know of one back end; a service time of zero is not known.

    Parameters
    ----------
    excluded
        It is to be passed over because it fails.
    answered_at
        When a node last told of an answer from it, on the leader's clock; only the leader knows.
    """

    backend: int
    outstanding: int
    service_time: Seconds
    excluded: bool = False
    answered_at: Seconds = NEVER


def with_decayed_service_times(
    totals: Sequence[BackendTotal], services: Mapping[int, str], now: Seconds
) -> list[BackendTotal]:
    """Return totals in which old service times have come nearer to the fresh ones of their service.

    Parameters
    ----------
    services
        By back end, its service.
    """
    measured = [total for total in totals if total.service_time > 0.0]
    weights: dict[str, float] = dict.fromkeys(services.values(), 0.0)
    sums = dict(weights)
    for total in measured:
        weight = max(_freshness(total.answered_at, now), MIN_WEIGHT)
        weights[services[total.backend]] += weight
        sums[services[total.backend]] += weight * total.service_time
    decayed = []
    for total in totals:
        if total.service_time > 0.0:
            service = services[total.backend]
            typical = sums[service] / weights[service]
            time = typical + (total.service_time - typical) * _freshness(total.answered_at, now)
            total = replace(total, service_time=time)
        decayed.append(total)
    return decayed


def _freshness(answered_at: Seconds, now: Seconds) -> float:
    """What a service time is worth by the time of the last answer, from 1 to 0."""
    return math.exp(-max(now - answered_at - FRESH, 0.0) / DECAY_TIME)


class FleetLoad:
    """Adds up nodes' reports; a node that is not heard any more is left out."""

    def __init__(self) -> None:
        self._by_node: dict[str, dict[int, int]] = {}
        self._service_times: dict[int, Seconds] = {}
        self._answered_at: dict[int, Seconds] = {}

    def initialize(self, service_times: Mapping[int, Seconds], now: Seconds) -> None:
        """Go on from what this node was told by the leader before it, or has seen itself."""
        for backend, known in service_times.items():
            self._service_times.setdefault(backend, known)
            self._answered_at.setdefault(backend, now)

    def record_report(self, node: str, reports: Iterable[BackendReport], now: Seconds) -> None:
        """Take in a node's report, which names every back end that has requests of it."""
        outstanding: dict[int, int] = {}
        for report in reports:
            if report.outstanding:
                outstanding[report.backend] = report.outstanding
            if report.answers:
                self._record_responses(report, now)
                self._answered_at[report.backend] = now
        self._by_node[node] = outstanding

    def forget(self, node: str) -> None:
        """A node is not connected any more."""
        self._by_node.pop(node, None)

    def clear(self) -> None:
        """Forget everything: this node leads no more."""
        self._by_node.clear()
        self._service_times.clear()
        self._answered_at.clear()

    def service_time(self, backend: int) -> Seconds | None:
        """Return a back end's service time, if it is known."""
        return self._service_times.get(backend)

    def totals(self, listed: Iterable[int]) -> list[BackendTotal]:
        """Return what is known of these back ends; the others are forgotten."""
        wanted = list(listed)
        sums = dict.fromkeys(wanted, 0)
        for outstanding in self._by_node.values():
            for backend, count in outstanding.items():
                if backend in sums:
                    sums[backend] += count
        kept = {item: self._service_times[item] for item in wanted if item in self._service_times}
        self._service_times = kept
        answered = {item: self._answered_at.get(item, NEVER) for item in wanted}
        self._answered_at = answered
        return [
            BackendTotal(item, sums[item], kept.get(item, 0.0), answered_at=answered[item])
            for item in wanted
        ]

    def _record_responses(self, report: BackendReport, now: Seconds) -> None:
        known = self._service_times.get(report.backend)
        if known is None:
            self._service_times[report.backend] = report.service_time
            return
        # What is old has faded by as much as nodes were told.
        kept = _freshness(self._answered_at.get(report.backend, now), now)
        weight = 1.0 - kept * (1.0 - RESPONSE_WEIGHT) ** report.answers
        self._service_times[report.backend] = known + weight * (report.service_time - known)
