"""Back ends that have announced in responses that they are leaving.

A back end that is leaving announces it in every response. Its store entry may say so too, but the
store can be unavailable. From then on it accepts no new requests until its incarnation ends. A
response without the announcement does not revoke it, since it may be delayed or belong to a request
that was already in flight. Only a store entry that changes back from draining revokes it.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.forwarding import statements
from limedeck.identity import Seconds

LEAVING_RETENTION: Seconds = 600.0
"""Retention for unlisted back ends: a leaving one may keep serving for long, and its entry may
lapse and reappear meanwhile."""


@dataclass(frozen=True, slots=True)
class LeavingStatement:
    """Whether a back end is leaving, as it stated once.

    Parameters
    ----------
    is_leaving
        False if an earlier announcement is revoked.
    requested_at
        When the request was sent, or when the store entry changed.
    received_at
        When the response arrived, or when the store entry changed.
    """

    is_leaving: bool
    requested_at: Seconds
    received_at: Seconds

    @property
    def is_default(self) -> bool:
        """Whether the back end is not leaving."""
        return not self.is_leaving

    def is_equivalent(self, known: LeavingStatement) -> bool:
        """Whether both state the same, regardless of their times."""
        return self.is_leaving == known.is_leaving

    def replaces(self, known: LeavingStatement) -> bool:
        """Whether this statement supersedes the known one.

        The earliest of equivalent announcements is kept, so that the time since the first one is
        not shortened. A contradicting statement must have been made later beyond doubt.
        """
        if self.is_equivalent(known):
            return self.is_leaving and self.received_at < known.received_at
        return self.requested_at >= known.received_at


class LeavingLedger(statements.StatementLedger[LeavingStatement]):
    """One node's knowledge of leaving back ends, and the changes to send to other nodes."""

    def __init__(self) -> None:
        super().__init__(LEAVING_RETENTION)

    def revoke(self, backend_id: str, now: Seconds) -> None:
        """Record that the store entry has changed back from draining.

        The revocation is kept even if no announcement is known, since a delayed one may arrive.
        """
        revocation = LeavingStatement(False, now, now)
        if self.find(backend_id) is None:
            self.put(backend_id, revocation)
        else:
            self.record(backend_id, revocation)

    def leaving_since(self, backend_id: str) -> Seconds | None:
        """Return when the back end was first known to be leaving; None if it is not."""
        known = self.find(backend_id)
        return known.received_at if known is not None and known.is_leaving else None

    def leaving_backends(self) -> list[str]:
        """Return the ids of all leaving back ends, including unlisted ones."""
        return [key for key, statement in self.all_statements() if statement.is_leaving]
