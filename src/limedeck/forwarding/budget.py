"""A node's share of the retry budget that all nodes have together for a service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from limedeck.identity import Seconds

MARGIN = 0.85
"""Part of the allowance that is used, since nodes do not see each other's windows."""
PIECES = 10
"""A window is counted in so many pieces."""


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """What operators allow: attempts beyond the first in any window.

    Parameters
    ----------
    ratio
        Part of the requests of the window.
    slack
        Added to it, for all nodes together.
    window
        In seconds.
    """

    ratio: float
    slack: float
    window: Seconds


@dataclass(slots=True)
class _Piece:
    start: Seconds
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Counts one service's requests and retries at one node in a sliding window."""

    def __init__(self, allowance: RetryAllowance) -> None:
        self._allowance = allowance
        self._pieces: deque[_Piece] = deque()
        self._older: deque[_Piece] = deque()
        self._requests = 0
        self._retries = 0

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Operators allow more or less from now on."""
        self._allowance = allowance

    def record_request(self, now: Seconds) -> None:
        """A request came in."""
        self._piece(now).requests += 1
        self._requests += 1

    def try_acquire(self, now: Seconds, sharing_nodes: int) -> bool:
        """Use up one retry, if there is one left for this node.

        Parameters
        ----------
        sharing_nodes
            Nodes that share the slack, see `forwarding.fleet_size`. Zero: this node has no part in
            it.
        """
        piece = self._piece(now)
        slack = self._allowance.slack / sharing_nodes if sharing_nodes else 0.0
        allowed = MARGIN * (self._allowance.ratio * self._requests + slack)
        if self._retries + 1 > allowed:
            return False
        piece.retries += 1
        self._retries += 1
        return True

    def _piece(self, now: Seconds) -> _Piece:
        """Return the piece of now.

        What a piece holds came at any time within it. So requests count until its begin leaves the
        window, and retries until its end does: else up to a piece's retries are taken twice.
        """
        pieces = self._pieces
        length = self._allowance.window / PIECES
        while pieces and pieces[0].start <= now - self._allowance.window:
            self._requests -= pieces[0].requests
            self._older.append(pieces.popleft())
        while self._older and self._older[0].start <= now - self._allowance.window - length:
            self._retries -= self._older.popleft().retries
        if not pieces or now - pieces[-1].start >= length:
            pieces.append(_Piece(now))
        return pieces[-1]
