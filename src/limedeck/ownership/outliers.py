"""Detects back ends that fail more often than others of their service, from all nodes' reports.

A single node of a large fleet sends one back end about a request per minute, and would detect too
late that it fails. The method follows Envoy's published outlier detection: comparison with the
other back ends of the service, exclusion times that grow, and a bound on the number of exclusions.
It differs in two points: there are no intervals of 10 s, since callers wait for seconds only, and
no probes, since regular requests show enough.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds

DECAY_TIME: Seconds = 2.0
"""Time constant after which the weight of an attempt has decayed to about a third (1/e)."""
MIN_ATTEMPTS = 8.0
"""Attempts below which a share of failures may be due to chance. Where 2 % of all attempts fail,
three failures of eight attempts have a probability of 1 in 2,300."""
MIN_FAILURE_EXCESS = 0.3
"""Least difference between an outlier's share of failures and that of the other back ends. Errors
of the application itself affect all back ends alike."""
MAX_EXCLUDED_PART = 0.4
"""Largest part of a service's back ends that may be excluded, since the others have to take over
their load. Back ends run at half of their capacity at the known sites."""
BASE_EXCLUSION_TIME: Seconds = 1.5
"""Duration of the first exclusion; each further one is twice as long."""
MAX_EXCLUSION_TIME: Seconds = 6.0
"""Observed faults of back ends last for about 5 s; longer exclusions leave healthy back ends
idle."""
OVERLOAD_REQUESTS_PER_SLOT = 2.0
"""Requests per slot from which a back end counts as overloaded: as many wait as are being
processed. The owner of a hot spot has five per slot and resets further connections
(docs/policy/large-fleets.md)."""
MAX_TIME_WITHOUT_RESPONSE: Seconds = 1.0
"""Time without a response after which an overloaded back end counts as hung; an overloaded one
still responds to some requests. Longer than single requests take at the known sites."""
EXCLUSION_RESET_TIME: Seconds = 10.0
"""Time after the end of an exclusion from which the next one has the base duration again."""


@dataclass(slots=True)
class _History:
    """Decaying attempts of one back end, and its exclusions.

    Parameters
    ----------
    no_response_since
        Time of the last response, or of the first report after a time without any attempts.
    last_attempt_at
        Time of the last report of a response or a failed attempt.
    """

    attempts: float = 0.0
    failures: float = 0.0
    decayed_at: Seconds = NEVER
    no_response_since: Seconds = NEVER
    last_attempt_at: Seconds = NEVER
    exclusions: int = 0
    excluded_until: Seconds = NEVER

    def decay(self, now: Seconds) -> None:
        factor = math.exp(-(now - self.decayed_at) / DECAY_TIME)
        self.attempts *= factor
        self.failures *= factor
        self.decayed_at = now

    def record(self, answers: int, failures: int, now: Seconds) -> None:
        if not answers and not failures:
            return
        if answers or now - self.last_attempt_at > MAX_TIME_WITHOUT_RESPONSE:
            self.no_response_since = now
        self.last_attempt_at = now
        self.decay(now)
        self.attempts += answers + failures
        self.failures += failures

    def reset_attempts(self) -> None:
        self.attempts = 0.0
        self.failures = 0.0

    def exclude(self, now: Seconds) -> None:
        if now - self.excluded_until > EXCLUSION_RESET_TIME:
            self.exclusions = 0
        exclusion_time = min(BASE_EXCLUSION_TIME * 2.0**self.exclusions, MAX_EXCLUSION_TIME)
        self.excluded_until = now + exclusion_time
        self.exclusions += 1
        self.reset_attempts()


class OutlierDetector:
    """Detects outliers from the reports of all nodes."""

    def __init__(self) -> None:
        self._histories: dict[int, _History] = {}

    def record(self, backend: int, answers: int, failures: int, now: Seconds) -> None:
        """Record a node's report of responses and failed attempts; `backend` is an id's hash."""
        history = self._histories.setdefault(backend, _History(decayed_at=now))
        if now < history.excluded_until:
            return
        history.record(answers, failures, now)

    def clear(self) -> None:
        """Drop all reports when this node is no longer the leader."""
        self._histories.clear()

    def excluded(
        self, services: Mapping[int, str], now: Seconds, overloaded: Collection[int] = ()
    ) -> frozenset[int]:
        """Return the back ends that are excluded now, and forget those that are not listed.

        Parameters
        ----------
        services
            Service of each listed back end, by the hash of its id.
        overloaded
            Back ends with a long queue. While they respond, their failures are attributed to the
            overload: excluding them would only move their requests, and the overload, to others.
        """
        self._histories = {key: item for key, item in self._histories.items() if key in services}
        for backend in overloaded:
            history = self._histories.get(backend)
            if history is not None and now - history.no_response_since <= MAX_TIME_WITHOUT_RESPONSE:
                history.reset_attempts()
        members: defaultdict[str, list[int]] = defaultdict(list)
        for backend, service in services.items():
            members[service].append(backend)
        for listed in members.values():
            self._exclude_outliers(listed, now)
        return frozenset(
            key for key, history in self._histories.items() if now < history.excluded_until
        )

    def _exclude_outliers(self, listed: list[int], now: Seconds) -> None:
        histories = [self._histories[key] for key in listed if key in self._histories]
        for history in histories:
            history.decay(now)
        excluded = sum(now < history.excluded_until for history in histories)
        allowed = int(MAX_EXCLUDED_PART * len(listed)) - excluded
        if allowed <= 0:
            return
        attempts = sum(history.attempts for history in histories)
        failures = sum(history.failures for history in histories)
        outliers = [history for history in histories if _is_outlier(history, attempts, failures)]
        outliers.sort(key=lambda history: history.failures / history.attempts, reverse=True)
        for history in outliers[:allowed]:
            history.exclude(now)


def _is_outlier(history: _History, attempts: float, failures: float) -> bool:
    """Compare a back end with the others of its service; the given sums include the back end."""
    others = attempts - history.attempts
    if history.attempts < MIN_ATTEMPTS or others < MIN_ATTEMPTS:
        return False
    usual = (failures - history.failures) / others
    return history.failures / history.attempts >= usual + MIN_FAILURE_EXCESS
