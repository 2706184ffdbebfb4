"""Checks one request against the ledger of requests that crash back ends."""

from __future__ import annotations

from limedeck.forwarding.quarantine import QuarantineLedger
from limedeck.forwarding.request_content import RequestContent
from limedeck.identity import Seconds


class RequestGuard:
    """Checks one request against the ledger; computes its fingerprints only if they are needed."""

    def __init__(self, ledger: QuarantineLedger, content: RequestContent) -> None:
        self._ledger = ledger
        self._content = content

    def refused_for(self, now: Seconds) -> Seconds | None:
        """Return how long the request is refused from now on; None if it may be sent."""
        if not self._ledger.refuses_any:
            return None
        times = (self._ledger.refused_for(fingerprint, now) for fingerprint in self._fingerprints)
        return max((time for time in times if time is not None), default=None)

    def blocked_until(self, now: Seconds) -> Seconds | None:
        """Return until when the request waits for the evaluation of crashes; None if not at all."""
        if not self._ledger.suspects_any:
            return None
        times = (self._ledger.blocked_until(fingerprint, now) for fingerprint in self._fingerprints)
        return max((time for time in times if time is not None), default=None)

    def record_sent(self, now: Seconds) -> None:
        """Record that the request was sent to a back end."""
        if self._ledger.refuses_any:
            for fingerprint in self._fingerprints:
                self._ledger.record_sent(fingerprint, now)

    def record_served(self, now: Seconds) -> None:
        """Record that a back end responded to the request."""
        if self._ledger.suspects_any:
            for fingerprint in self._fingerprints:
                self._ledger.record_served(fingerprint, now)

    @property
    def _fingerprints(self) -> tuple[int, ...]:
        return self._content.fingerprints.from_narrowest
