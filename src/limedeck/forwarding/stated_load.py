"""Whether a load that a back end states can be true, by what nodes know of their own requests.

A back end that always states that it is idle would draw all work, one that always states a long
queue would get none. What nodes sent there and have no response to is known without the back end.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.forwarding.protocol import LoadReport
from limedeck.identity import NEVER, Seconds

MAX_REQUESTS_PER_SLOT = 1000.0
"""Requests for each slot that no back end has."""
REFUTING_RATIO = 3.0
"""Ratio of stated and known requests that growth since the last totals does not explain."""
OWN_TOLERANCE = 2.0
"""Requests of this node that may be on their way to the back end or back."""
MIN_REFUTED_TIME: Seconds = 1.0
"""How long a load has to be refuted without a plausible one: longer than totals are old."""
DISTRUST_TIME: Seconds = 10.0
"""How long no load is believed after the last refuted one."""


class LoadFault(enum.Enum):
    """Why a stated load cannot be true."""

    IMPOSSIBLE = "impossible"
    UNDERSTATED = "understated"
    OVERSTATED = "overstated"


@dataclass(frozen=True, slots=True)
class RefutedLoad:
    """A stated load that is not believed.

    Parameters
    ----------
    stated, known
        Requests that the back end states, and that nodes know to be there.
    """

    fault: LoadFault
    stated: float
    known: float


class StatedLoadCheck:
    """Checks the loads that one back end states."""

    def __init__(self) -> None:
        self._refuted_since: Seconds | None = None
        self._distrusted_until: Seconds = NEVER

    def is_distrusted(self, now: Seconds) -> bool:
        """Whether its stated loads are not used at present."""
        return now < self._distrusted_until

    def refute(
        self, report: LoadReport, slots: int, own: float, others: float | None, now: Seconds
    ) -> RefutedLoad | None:
        """Return why a stated load is not believed; None if it is, or may be true.

        Parameters
        ----------
        own
            Requests of this node without a response.
        others
            Requests of all other nodes by the leader's newest totals; None without any.
        """
        stated = float(report.running + report.waiting)
        known = own + (others or 0.0)
        if stated > MAX_REQUESTS_PER_SLOT * slots:
            self._distrusted_until = now + DISTRUST_TIME
            return RefutedLoad(LoadFault.IMPOSSIBLE, stated, known)
        fault = _fault(stated, slots, own, others)
        if fault is None:
            self._refuted_since = None
            return None
        if self._refuted_since is None:
            self._refuted_since = now
        if now - self._refuted_since < MIN_REFUTED_TIME:
            return None
        self._distrusted_until = now + DISTRUST_TIME
        return RefutedLoad(fault, stated, known)


def _fault(stated: float, slots: int, own: float, others: float | None) -> LoadFault | None:
    if REFUTING_RATIO * stated + OWN_TOLERANCE < own:
        return LoadFault.UNDERSTATED
    if others is None:
        return None
    known = own + others
    if REFUTING_RATIO * stated + slots < known:
        return LoadFault.UNDERSTATED
    if stated > REFUTING_RATIO * (known + slots):
        return LoadFault.OVERSTATED
    return None
