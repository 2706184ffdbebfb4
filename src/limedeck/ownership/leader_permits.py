"""A leader's permits for back ends that bear little: begun anew in each term, over with it."""

from __future__ import annotations

from limedeck.forwarding.permits import PermitDenied, PermitIssuer, PermitRequest, PermitResponse
from limedeck.identity import Seconds
from limedeck.ownership.election import ElectionCore, Role

NO_RESPONSE_RETRY_DELAY: Seconds = 0.3
"""Without a leader's answer a node asks again after so long: about the time of an election."""
NO_LEADER_RESPONSE = PermitDenied(NO_RESPONSE_RETRY_DELAY)
"""What is assumed without a leader's answer."""


class LeaderPermitIssuer:
    """Lends permits while this node leads, as far as it knows."""

    def __init__(self, election: ElectionCore) -> None:
        self._election = election
        self._issuer: PermitIssuer | None = None
        self._term = 0

    @property
    def leads(self) -> bool:
        """Whether this node leads, as far as it knows."""
        return self._election.role is Role.LEADER

    def handle_tick(self, now: Seconds) -> None:
        """Begin anew in each term, and end with it."""
        if not self.leads:
            self._issuer = None
            return
        if self._issuer is None or self._term != self._election.term:
            self._issuer = PermitIssuer(now)
            self._term = self._election.term
        self._issuer.forget_old(now)

    def issue(self, request: PermitRequest, known: float | None, now: Seconds) -> PermitResponse:
        """Lend a permit, if there is room.

        Parameters
        ----------
        known
            Requests a second that this node believes the back end takes; None: without bound.
        """
        is_in_office = self.leads and self._term == self._election.term
        if self._issuer is None or not is_in_office:
            return NO_LEADER_RESPONSE
        return self._issuer.issue(request, known, self._election.store_silence(now), now)
