"""Choice of requests that show whether links that accept connections work again."""

from __future__ import annotations

from limedeck.clock import steady_clock
from limedeck.forwarding.exchange_evidence import SILENCE
from limedeck.forwarding.reachability import Reachability
from limedeck.identity import Seconds
from limedeck.node.direct_exchanges import DirectExchanges

TIME_FACTOR = 2.0
"""A request is used if it has this multiple of the longest time of its link trial left, so that it
can still be served through another node."""


class LinkTrials:
    """The link trials of one node."""

    def __init__(self, reachability: Reachability, direct: DirectExchanges) -> None:
        self._reachability = reachability
        self._direct = direct

    def begin(self, backend_id: str, is_repeatable: bool, until: Seconds) -> Seconds | None:
        """Return until when a request may be tried on a connection of this node.

        None if it is not to be tried: a trial may lose it, or another one began lately.

        Parameters
        ----------
        until
            Deadline of the request on this node's clock.
        """
        now = steady_clock()
        longest = SILENCE + self._direct.usual_time(backend_id)
        has_time = until - now >= TIME_FACTOR * longest
        if not is_repeatable or not has_time:
            return None
        if not self._reachability.exchanges.is_link_trial_due(now):
            return None
        self._reachability.exchanges.record_link_trial(now)
        return now + longest
