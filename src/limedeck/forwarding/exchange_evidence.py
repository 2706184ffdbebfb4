"""What failed requests show about the links of this node, where connections are still accepted.

A link may accept connections and then reset them, or hold them without a byte, so that probes
succeed. Requests that fail at all tried back ends raise a suspicion; responses of back ends to the
same node through another node confirm it. Both a response on a connection of this node and a
suspicion that is not confirmed in time end it.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Mapping

from limedeck.identity import NEVER, Seconds

SILENCE: Seconds = 0.25
"""Time without a response from any back end, while requests are outstanding, that causes probes,
and after which failed requests count as evidence."""
OVERDUE_SILENCE: Seconds = 0.5
"""Time without a response after which overdue requests count as evidence: back ends pause."""
MIN_FAILING_BACKENDS = 2
"""Back ends at which requests must have failed, if there are as many; one may have failed itself.
"""
CONFIRMING_RESPONSES = 2
"""Responses through other nodes that confirm a suspicion; an overloaded service may respond to
one of many requests."""
EVIDENCE_LIFETIME: Seconds = 2.0
"""How long a failed request counts, and how long a suspicion lasts without being confirmed."""
DECISION_TIME: Seconds = 1.0
"""Time from the first failure for which it is open whether this node's links are at fault."""
RECENT_SERVICE_TIME: Seconds = 5.0
"""A service counts as in use at this node for this time after its last response."""
LINK_TRIAL_INTERVAL: Seconds = 0.25
"""Time between two link trials: bounds their rate, and the time until a healed link is used."""
MAX_LINK_TRIAL_WAIT: Seconds = 2.0
"""Time without a request that may be a link trial after which a probe ends the partition."""


class LinkBelief(enum.Enum):
    """What is believed about the links of this node that accept connections.

    WORKING
        Responses arrive, or too little is known.
    SUSPECTED
        Requests failed at all tried back ends; other nodes are asked to make attempts.
    CUT_OFF
        Other nodes got responses meanwhile: this node is partitioned.
    """

    WORKING = "working"
    SUSPECTED = "suspected"
    CUT_OFF = "cut-off"


class ExchangeEvidence:
    """Failed requests of one node since the last response on a connection of its own.

    Attributes
    ----------
    belief
        What they show.
    """

    def __init__(self) -> None:
        self.belief = LinkBelief.WORKING
        self._failed: dict[str, Seconds] = {}
        self._failing_since: Seconds | None = None
        self._suspected_at: Seconds = NEVER
        self._link_trial_at: Seconds = NEVER
        self._confirming = 0
        self._responded_at: Seconds = NEVER

    @property
    def failing_backends(self) -> tuple[str, ...]:
        """Back ends at which requests failed."""
        return tuple(sorted(self._failed))

    def is_undecided(self, now: Seconds) -> bool:
        """Whether failed requests may still turn out to be due to this node's links."""
        if self.belief is LinkBelief.SUSPECTED:
            return True
        since = self._failing_since
        return since is not None and now - since < DECISION_TIME

    def awaits_probes(self, reached_at: Seconds, now: Seconds) -> bool:
        """Whether no probe has reached a back end since requests fail; paused nodes are late."""
        since = self._failing_since
        return since is not None and reached_at < since and now - since < EVIDENCE_LIFETIME

    def record_failure(self, backend_id: str, now: Seconds) -> None:
        """Record that a request failed without a byte of a response, at one not overloaded."""
        if self._failing_since is None:
            self._failing_since = now
        self._failed[backend_id] = now

    def record_response(self, now: Seconds) -> None:
        """Record a response on a connection of this node: its links work."""
        self._responded_at = now
        if self._failing_since is not None or self.belief is not LinkBelief.WORKING:
            self.clear()

    def clear(self) -> None:
        """Forget all failures."""
        self.belief = LinkBelief.WORKING
        self._failed.clear()
        self._failing_since = None
        self._confirming = 0

    def needs_evaluation(self, overdue: Collection[str]) -> bool:
        """Whether there is anything to decide."""
        has_failures = bool(overdue) or self._failing_since is not None
        return has_failures and self.belief is not LinkBelief.CUT_OFF

    def needs_probes(self, reached_at: Seconds, now: Seconds) -> bool:
        """Whether it is open if back ends accept connections while no request gets a response."""
        since = self._failing_since
        return since is not None and reached_at < since and now - self._responded_at >= SILENCE

    def evaluate(
        self,
        overdue: Collection[str],
        listed: Mapping[str, str],
        responses: Mapping[str, Seconds],
        reached_at: Seconds,
        now: Seconds,
    ) -> bool:
        """Update the belief; return whether a suspicion begins.

        Parameters
        ----------
        overdue
            Back ends that have not responded for much longer than usual.
        listed
            The service of each back end in the store.
        responses
            When each back end last responded on a connection of this node.
        reached_at
            When a probe last reached a back end; links that accept no connection are found by
            probes alone.
        """
        if not self.needs_evaluation(overdue):
            return False
        if self.belief is LinkBelief.SUSPECTED:
            if now - self._suspected_at >= EVIDENCE_LIFETIME:
                self.clear()
            return False
        if now - self._responded_at < SILENCE:
            return False
        if now - self._responded_at >= OVERDUE_SILENCE:
            for backend_id in overdue:
                self.record_failure(backend_id, now)
        self._drop_old(now)
        if self._failing_since is None or reached_at < self._failing_since:
            return False
        if not self._covers_all_tried(listed, responses):
            return False
        self.belief = LinkBelief.SUSPECTED
        self._suspected_at = now
        # The first link trial may begin at once: it ends a suspicion without cause.
        self._link_trial_at = now - LINK_TRIAL_INTERVAL
        self._confirming = 0
        return True

    def record_served_by_other(self, now: Seconds) -> bool:
        """Record a response through another node; return whether a partition is shown by it."""
        if self.belief is not LinkBelief.SUSPECTED:
            return False
        self._confirming += 1
        if self._confirming < CONFIRMING_RESPONSES:
            return False
        self.belief = LinkBelief.CUT_OFF
        return True

    def require_response(self, now: Seconds) -> None:
        """Let only a response end a partition that probes have shown.

        Connections were reset in it, and a later one may be reset after the time of a probe.
        """
        self.belief = LinkBelief.CUT_OFF
        self._link_trial_at = now - LINK_TRIAL_INTERVAL

    def is_link_trial_due(self, now: Seconds) -> bool:
        """Whether a repeatable request should be sent on a connection of this node."""
        is_doubted = self.belief is not LinkBelief.WORKING
        return is_doubted and now - self._link_trial_at >= LINK_TRIAL_INTERVAL

    def record_link_trial(self, now: Seconds) -> None:
        """Record that a request is sent to find out whether links work again."""
        self._link_trial_at = now

    def has_no_link_trials(self, now: Seconds) -> bool:
        """Whether there have been no requests that could be used as link trials."""
        return now - self._link_trial_at >= MAX_LINK_TRIAL_WAIT

    def _drop_old(self, now: Seconds) -> None:
        self._failed = {key: at for key, at in self._failed.items() if now - at < EVIDENCE_LIFETIME}
        if not self._failed:
            self._failing_since = None

    def _covers_all_tried(
        self, listed: Mapping[str, str], responses: Mapping[str, Seconds]
    ) -> bool:
        """Whether requests failed at enough back ends, and in each service that is in use."""
        failing = [key for key in self._failed if key in listed]
        if not failing or len(failing) < min(MIN_FAILING_BACKENDS, len(listed)):
            return False
        in_use = {
            listed[key]
            for key, at in responses.items()
            if key in listed and self._responded_at - at < RECENT_SERVICE_TIME
        }
        return in_use <= {listed[key] for key in failing}
