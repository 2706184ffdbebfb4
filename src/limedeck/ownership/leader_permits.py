"""Permits that the leader issues for rate-bounded back ends; their state lasts for one term."""

from __future__ import annotations

from limedeck.forwarding.permits import PermitDenied, PermitIssuer, PermitRequest, PermitResponse
from limedeck.identity import Seconds
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.election_events import (
    Role,
)

NO_RESPONSE_RETRY_DELAY: Seconds = 0.3
"""Delay before a node without a leader's response requests a permit again; about the time of an
election."""
NO_LEADER_RESPONSE = PermitDenied(NO_RESPONSE_RETRY_DELAY)
"""Response that is assumed if the leader does not respond."""


class LeaderPermitIssuer:
    """Issues permits while this node leads, as far as it knows."""

    def __init__(self, election: ElectionCore) -> None:
        self._election = election
        self._issuer: PermitIssuer | None = None
        self._term = 0

    @property
    def leads(self) -> bool:
        """Whether this node leads, as far as it knows."""
        return self._election.role is Role.LEADER

    def handle_tick(self, now: Seconds) -> None:
        """Start without permits in each term, and drop them at its end."""
        if not self.leads:
            self._issuer = None
            return
        if self._issuer is None or self._term != self._election.term:
            self._issuer = PermitIssuer(now)
            self._term = self._election.term
        self._issuer.drop_expired(now)

    def issue(self, request: PermitRequest, known: float | None, now: Seconds) -> PermitResponse:
        """Issue a permit, if the rate bound allows it.

        Parameters
        ----------
        known
            Rate bound of the back end as this node knows it; None if there is none.
        """
        is_in_office = self.leads and self._term == self._election.term
        if self._issuer is None or not is_in_office:
            return NO_LEADER_RESPONSE
        return self._issuer.issue(request, known, self._election.store_silence(now), now)
