"""Which back ends fail more often than the others of their service, as all nodes see it together.

A node of a large fleet sends one back end a request a minute and would learn too late that it
fails. What is taken from Envoy's published outlier detection: the comparison with the others of
the same service, exclusion for a time that grows, and a bound on how many are excluded. What is
not: its intervals of 10 s, since callers here wait for seconds only, and its probes, since real
requests show enough.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds

DECAY_TIME: Seconds = 2.0
"""After so long, an attempt counts for a third; an estimate."""
MIN_ATTEMPTS = 8.0
"""Fewer tell chance: where two in a hundred fail everywhere, three of eight is one in 2,300."""
MIN_FAILURE_EXCESS = 0.3
"""An outlier's share of failures is above that of the others by so much; an application's own
errors come from all back ends alike."""
MAX_EXCLUDED_PART = 0.4
"""Part of a service's back ends that is excluded at most: the others must be able to do the work.
Back ends are used to half of their capacity at the known sites."""
BASE_EXCLUSION_TIME: Seconds = 1.5
"""The first exclusion; each further one is twice as long."""
MAX_EXCLUSION_TIME: Seconds = 6.0
"""Faults of back ends that were seen last for some 5 s; longer ones keep sound back ends idle."""
OVERLOAD_REQUESTS_PER_SLOT = 2.0
"""Requests for each slot from which a back end is overloaded: as many wait as it works on. A hot
spot's owner has five for each slot and resets what comes beyond (docs/policy/large-fleets.md)."""
MAX_TIME_WITHOUT_RESPONSE: Seconds = 1.0
"""A back end that is overloaded still answers some requests; one that answers none for so long
hangs. An estimate, above the times that single requests take at the known sites."""
EXCLUSION_RESET_TIME: Seconds = 10.0
"""An exclusion so long ago does not make the next one longer."""


@dataclass(slots=True)
class _History:
    """One back end's attempts, fading, and its exclusions.

    Parameters
    ----------
    silent_since
        When it answered last, or when requests began to end after none had for a while.
    noted_at
        When a request ended there last, answered or failed.
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
    """Finds outliers from nodes' reports."""

    def __init__(self) -> None:
        self._histories: dict[int, _History] = {}

    def record(self, backend: int, answers: int, failures: int, now: Seconds) -> None:
        """A node reports answers and failed attempts of a back end, named by its hash."""
        history = self._histories.setdefault(backend, _History(decayed_at=now))
        if now < history.excluded_until:
            return
        history.record(answers, failures, now)

    def clear(self) -> None:
        """Forget everything: this node leads no more."""
        self._histories.clear()

    def excluded(
        self, services: Mapping[int, str], now: Seconds, overloaded: Collection[int] = ()
    ) -> frozenset[int]:
        """Return the back ends that are passed over now; ones that are not listed are forgotten.

        Parameters
        ----------
        services
            The service of each listed back end, by the hash of its id.
        overloaded
            Back ends with a long queue. As long as they answer, what fails there tells of too many
            requests: excluding them would only give their requests, and so the overload, to others.
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
    """Compare one with the others of its service, whose sums are given with it."""
    others = attempts - history.attempts
    if history.attempts < MIN_ATTEMPTS or others < MIN_ATTEMPTS:
        return False
    usual = (failures - history.failures) / others
    return history.failures / history.attempts >= usual + MIN_FAILURE_EXCESS
