"""A back end's lasting speed and its present slowness, as two values with ages.

Back ends differ in speed for good, and each is slow for moments, since others use its machine too.
What lasts decides how many requests and keys a back end should have; a moment is over before keys
have moved, or before all nodes know of it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds

LASTING_TIME: Seconds = 10.0
"""Time constant of a lasting service time: it averages over some twenty moments of slowness."""
PRESENT_TIME: Seconds = 1.0
"""Time constant of a present service time."""
KNOWN_RESPONSES = 40.0
"""Responses for which a service time counts that was known before a measurement began."""
PRIOR_RESPONSES = 12.0
"""Responses for which the assumption counts that a back end is as fast as usual, or as the others:
the work of requests varies, and a single short one would draw the requests of all nodes."""
SLOWNESS_PRIOR_RESPONSES = 6.0
"""The same in a slowness, which has to show within a second."""
UNUSUAL_WEIGHT = 0.1
"""Weight in a lasting service time of responses during a slowness: it becomes the usual only if it
lasts for a minute. Otherwise a back end that is well again would have the share of a slow one."""
MAX_DEVIATION = 3.0
"""Factor of the lasting service time beyond which no response changes it further: until a slowness
shows, its responses count as usual ones."""
MIN_RATIO = 2.0
"""Ratio of present to lasting service time below which the difference may be due to chance, or to a
moment that will be over before the nodes learn of it."""
MAX_SLOWNESS = 10.0
"""Bound of a slowness, so that a back end is still tried now and then."""
SLOWNESS_LIFETIME: Seconds = 1.0
"""Age after which a slowness counts only for a third; it ends with what caused it, which requests
that are not sent cannot show."""


@dataclass(slots=True)
class _DecayingMean:
    """Mean service time over responses whose weight decays; zero without any."""

    decay_time: Seconds
    decayed_at: Seconds
    responses: float = 0.0
    work_time: Seconds = 0.0

    def decay(self, now: Seconds) -> None:
        factor = math.exp(-max(now - self.decayed_at, 0.0) / self.decay_time)
        self.responses *= factor
        self.work_time *= factor
        self.decayed_at = now

    def add(self, responses: float, service_time: Seconds, now: Seconds) -> None:
        self.decay(now)
        self.responses += responses
        self.work_time += responses * service_time

    def mean(self, prior: Seconds, prior_responses: float) -> Seconds:
        weight = self.responses + prior_responses
        return (self.work_time + prior_responses * prior) / weight if weight else 0.0


class MeasuredSpeed:
    """One back end's service times, from the responses that all nodes report to the leader.

    Parameters
    ----------
    known
        Lasting service time known from before, in seconds; zero if none is.
    """

    def __init__(self, known: Seconds, now: Seconds) -> None:
        self._lasting = _DecayingMean(LASTING_TIME, now)
        self._present = _DecayingMean(PRESENT_TIME, now)
        if known > 0.0:
            self._lasting.add(KNOWN_RESPONSES, known, now)

    def record(self, responses: int, service_time: Seconds, now: Seconds) -> None:
        """Record responses and their mean service time, which are above zero."""
        weight = 1.0 if self.slowness(now) == 1.0 else UNUSUAL_WEIGHT
        usual = service_time
        if self.responses >= PRIOR_RESPONSES:
            usual = min(max(usual, self.lasting / MAX_DEVIATION), self.lasting * MAX_DEVIATION)
        self._lasting.add(weight * responses, usual, now)
        self._present.add(responses, service_time, now)

    @property
    def lasting(self) -> Seconds:
        """The lasting service time in seconds; zero while it is unknown."""
        return self._lasting.mean(0.0, 0.0)

    @property
    def responses(self) -> float:
        """Number of responses on which the lasting service time rests."""
        return self._lasting.responses

    def slowness(self, now: Seconds) -> float:
        """Return the present service time over the lasting one; 1 within chance."""
        lasting = self.lasting
        if not lasting:
            return 1.0
        self._present.decay(now)
        ratio = self._present.mean(lasting, SLOWNESS_PRIOR_RESPONSES) / lasting
        if 1.0 / MIN_RATIO < ratio < MIN_RATIO:
            return 1.0
        return min(max(ratio, 1.0 / MAX_SLOWNESS), MAX_SLOWNESS)


@dataclass(slots=True)
class ServiceSpeed:
    """One node's view of a back end's speed, as the leader sent it.

    Parameters
    ----------
    lasting
        Lasting service time in seconds; zero while it is unknown.
    slowness
        Factor by which requests took longer than that when it was measured.
    measured_at
        When this node received both.
    """

    lasting: Seconds = 0.0
    slowness: float = 1.0
    measured_at: Seconds = NEVER

    def record(self, lasting: Seconds, slowness: float, now: Seconds) -> None:
        """Record what the leader sent; an unknown lasting time, zero, changes nothing."""
        if lasting <= 0.0:
            return
        self.lasting = lasting
        self.slowness = slowness
        self.measured_at = now

    def present_slowness(self, now: Seconds) -> float:
        """Return by which factor requests are expected to take longer than usual now."""
        if self.slowness == 1.0:
            return 1.0
        age = max(now - self.measured_at, 0.0)
        return float(self.slowness ** math.exp(-age / SLOWNESS_LIFETIME))

    def service_time(self, now: Seconds) -> Seconds | None:
        """Return the time expected for one request now, without queueing; None if unknown."""
        return self.lasting * self.present_slowness(now) if self.lasting else None
