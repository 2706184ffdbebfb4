"""One request's side of the ledger of requests that end back ends."""

from __future__ import annotations

from limedeck.forwarding.quarantine import QuarantineLedger
from limedeck.forwarding.request_content import RequestContent
from limedeck.identity import Seconds


class RequestGuard:
    """One request's side of the ledger; its fingerprint is worked out only if it matters."""

    def __init__(self, ledger: QuarantineLedger, content: RequestContent) -> None:
        self._ledger = ledger
        self._content = content

    def refused_for(self, now: Seconds) -> Seconds | None:
        """How long the request is refused from now on; None if it may be sent."""
        if not self._ledger.refuses_any:
            return None
        spans = (self._ledger.refused_for(sign, now) for sign in self._signs)
        return max((span for span in spans if span is not None), default=None)

    def blocked_until(self, now: Seconds) -> Seconds | None:
        """Until when the request waits for the judgement on it; None if it need not wait."""
        if not self._ledger.suspects_any:
            return None
        times = (self._ledger.blocked_until(sign, now) for sign in self._signs)
        return max((time for time in times if time is not None), default=None)

    def record_sent(self, now: Seconds) -> None:
        """It is sent to a back end."""
        if self._ledger.refuses_any:
            for sign in self._signs:
                self._ledger.record_sent(sign, now)

    def record_served(self, now: Seconds) -> None:
        """A back end has answered it."""
        if self._ledger.suspects_any:
            for sign in self._signs:
                self._ledger.record_served(sign, now)

    @property
    def _signs(self) -> tuple[int, ...]:
        return self._content.fingerprints.from_narrowest
