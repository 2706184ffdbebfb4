"""A node's share of the retry budget that all nodes have together for a service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from limedeck.identity import Seconds

USED_FRACTION = 0.85
"""Fraction of the allowance that is used, since nodes do not see each other's windows."""
BUCKETS_PER_WINDOW = 10
"""Buckets into which a window is divided for counting."""


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Retries that operators allow in any window.

    Parameters
    ----------
    ratio
        Fraction of the window's requests.
    slack
        Retries allowed in addition, for all nodes together.
    window
        Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window: Seconds


@dataclass(slots=True)
class _Bucket:
    start: Seconds
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Counts one service's requests and retries at one node in a sliding window."""

    def __init__(self, allowance: RetryAllowance) -> None:
        self._allowance = allowance
        self._buckets: deque[_Bucket] = deque()
        self._older_buckets: deque[_Bucket] = deque()
        self._requests = 0
        self._retries = 0

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Replace the allowance from now on."""
        self._allowance = allowance

    def record_request(self, now: Seconds) -> None:
        """Record that a request arrived."""
        self._current_bucket(now).requests += 1
        self._requests += 1

    def try_acquire(self, now: Seconds, sharing_nodes: int) -> bool:
        """Use up one retry, if there is one left for this node.

        Parameters
        ----------
        sharing_nodes
            Number of nodes that share the slack, see `forwarding.fleet_size`; zero if this node
            has no share.
        """
        bucket = self._current_bucket(now)
        slack = self._allowance.slack / sharing_nodes if sharing_nodes else 0.0
        allowed = USED_FRACTION * (self._allowance.ratio * self._requests + slack)
        if self._retries + 1 > allowed:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def _current_bucket(self, now: Seconds) -> _Bucket:
        """Return the bucket of the current time.

        The requests and retries of a bucket arrived at any time within it. So its requests count
        until its start leaves the window, and its retries until its end does; otherwise up to a
        bucket's retries would be granted twice.
        """
        buckets = self._buckets
        length = self._allowance.window / BUCKETS_PER_WINDOW
        while buckets and buckets[0].start <= now - self._allowance.window:
            self._requests -= buckets[0].requests
            self._older_buckets.append(buckets.popleft())
        while (
            self._older_buckets
            and self._older_buckets[0].start <= now - self._allowance.window - length
        ):
            self._retries -= self._older_buckets.popleft().retries
        if not buckets or now - buckets[-1].start >= length:
            buckets.append(_Bucket(now))
        return buckets[-1]
