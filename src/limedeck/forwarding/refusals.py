"""Refusals of requests that no back end may receive now, and their Retry-After times.

Callers make few retries, so Retry-After reflects when a back end is expected to be available, where
that is known. A per-request offset spreads the retries.
"""

from __future__ import annotations

from limedeck.forwarding.admission import Claim
from limedeck.forwarding.availability import Unavailable, UnavailableCause
from limedeck.forwarding.commands import RefusalReason, Refuse
from limedeck.forwarding.hashing import hash_fraction
from limedeck.identity import Seconds

NO_OWNER_RETRY_AFTER: Seconds = 0.25
"""For keys that are being moved; a planned move takes a few store calls."""
LOST_OWNER_RETRY_AFTER: Seconds = 1.0
"""For keys whose owner this node cannot reach, while the leader has not reported when they become
free: about half of the time that takes."""
STORE_UNAVAILABLE_RETRY_AFTER: Seconds = 1.0
"""For keys that cannot be assigned an owner until the store confirms a leader again."""
NO_BACKEND_RETRY_AFTER: Seconds = 1.0
"""For a service whose back ends are all leaving, so that new ones must start."""
CUT_OFF_RETRY_AFTER: Seconds = 0.5
"""For a node that reaches no back end itself or through others; twice the time in which it finds
that it does again."""
BACKOFF_MOVE_TIME: Seconds = 1.0
"""For keys of an owner that requests back-off. The leader moves them within this time if the owner
requests back-off from more nodes than it serves."""
MAX_MOVE_WAIT: Seconds = 0.4
"""Longest time that a request waits for its key to be assigned an owner, unless its objective lets
it wait for longer."""
MOVE_WAIT_FRACTION = 0.35
"""Fraction of its objective for which a request waits for an owner. An owner hands a key over once
the requests that it is running have ended; where requests take long and callers expect that, a
return would cost a caller one of its few retries for a move that is about to end."""
RETRY_SPREAD: Seconds = 0.3
"""Interval over which retries are spread, so that the next owner can work off the backlog."""
_OWNER_REASONS = {
    UnavailableCause.LEAVING: RefusalReason.LEAVING,
    UnavailableCause.EVACUATED: RefusalReason.EVACUATED,
    UnavailableCause.BACKING_OFF: RefusalReason.BACKING_OFF,
    UnavailableCause.COLD: RefusalReason.COLD,
}


def longest_move_wait(objective: Seconds) -> Seconds:
    """Return how long a request with this objective waits for its key to be assigned an owner."""
    return max(MAX_MOVE_WAIT, MOVE_WAIT_FRACTION * objective)


def owner_unavailable(claim: Claim, unavailable: Unavailable, can_move: bool) -> Refuse:
    """Refuse a request whose key's owner may not receive it now.

    Parameters
    ----------
    can_move
        Whether the key is expected to be assigned another owner soon.
    """
    if not can_move:
        delay = (
            STORE_UNAVAILABLE_RETRY_AFTER
            if unavailable.remaining is None
            else unavailable.remaining
        )
    elif unavailable.cause is UnavailableCause.BACKING_OFF:
        delay = min(unavailable.remaining or 0.0, BACKOFF_MOVE_TIME)
    elif unavailable.cause is UnavailableCause.COLD:
        delay = min(unavailable.remaining or 0.0, MAX_MOVE_WAIT)
    else:
        delay = NO_OWNER_RETRY_AFTER
    return claim.refuse(_OWNER_REASONS[unavailable.cause], delay + _spread(claim), unavailable)


def no_owner(claim: Claim) -> Refuse:
    """Refuse a request whose key cannot be assigned an owner until the store confirms a leader."""
    return claim.refuse(RefusalReason.NO_OWNER, STORE_UNAVAILABLE_RETRY_AFTER + _spread(claim))


def service_unavailable(claim: Claim, unavailable: Unavailable | None) -> Refuse:
    """Refuse an unkeyed request that no back end of its service may receive now.

    Parameters
    ----------
    unavailable
        The cause that ends first; None if the service has no back end.
    """
    if unavailable is not None and unavailable.cause is UnavailableCause.BACKING_OFF:
        # Retries are spread by priority, the most urgent first.
        rank = 1 + max(claim.route.priority, 0)
        delay = (unavailable.remaining or 0.0) + rank * _spread(claim)
        return claim.refuse(RefusalReason.BACKING_OFF, delay, unavailable)
    if unavailable is not None and unavailable.cause is UnavailableCause.LEAVING:
        return claim.refuse(
            RefusalReason.LEAVING, NO_BACKEND_RETRY_AFTER + _spread(claim), unavailable
        )
    return claim.refuse(RefusalReason.NO_BACKEND, NO_OWNER_RETRY_AFTER)


def cut_off(claim: Claim) -> Refuse:
    """Refuse a request at a node that reaches no back end, while no other node is known to."""
    return claim.refuse(RefusalReason.UNREACHABLE, CUT_OFF_RETRY_AFTER + _spread(claim))


def _spread(claim: Claim) -> Seconds:
    return RETRY_SPREAD * hash_fraction(claim.request_id)
