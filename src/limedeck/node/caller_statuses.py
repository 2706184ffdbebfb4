"""Statuses of the responses that a node itself gives to callers."""

from __future__ import annotations

from limedeck.forwarding.commands import RefusalReason, Refuse

NO_ROUTE_STATUS = 404
BAD_REQUEST_STATUS = 400
TOO_LARGE_STATUS = 413
NOT_RUN_STATUS = 503
"""Tells a caller that its request did not run; sent only with a `NotRunProof`."""
LOST_STATUS = 502
TIMED_OUT_STATUS = 504


def status_of_refusal(refuse: Refuse) -> int:
    """Return the status with which a request is refused, by whether there is a proof."""
    if refuse.proof is not None:
        return NOT_RUN_STATUS
    return TIMED_OUT_STATUS if refuse.reason is RefusalReason.TIMED_OUT else LOST_STATUS
