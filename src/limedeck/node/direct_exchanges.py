"""Attempts on connections of this node that have no response yet, for itself or other nodes."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

import anyio

from limedeck.clock import steady_clock
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.exchange_evidence import SILENCE
from limedeck.identity import Seconds
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

OVERDUE_FACTOR = 4.0
"""Multiple of the time that a back end usually takes after which it is overdue."""


ABORTED = "aborted: this node does not reach the back end"
"""Problem of an attempt that was aborted to be made through another node."""


@dataclass(slots=True, eq=False)
class DirectExchange:
    """An attempt on a connection of this node that has no response yet.

    Parameters
    ----------
    queue
        Requests for each slot that the back end was expected to have when the attempt began.
    """

    backend_id: str
    started_at: Seconds
    repeatable: bool
    queue: float
    scope: anyio.CancelScope


class DirectExchanges:
    """All such attempts of one node."""

    def __init__(self, directory: BackendDirectory) -> None:
        self._directory = directory
        self._waiting: set[DirectExchange] = set()

    @contextlib.contextmanager
    def waiting(self, backend_id: str, repeatable: bool) -> Iterator[None]:
        """Count the block as an attempt.

        Raises
        ------
        AttemptFailed
            The attempt was aborted.
        """
        with anyio.CancelScope() as scope:
            item = self._begin(backend_id, repeatable, scope)
            try:
                yield
            finally:
                self._waiting.discard(item)
        if scope.cancelled_caught:
            raise AttemptFailed(FailurePhase.LINK_LOST, ABORTED)

    def _begin(self, backend_id: str, repeatable: bool, scope: anyio.CancelScope) -> DirectExchange:
        now = steady_clock()
        state = self._directory.find(backend_id)
        queue = state.expected_load(now) / state.backend.slots if state is not None else 0.0
        item = DirectExchange(backend_id, now, repeatable, queue, scope)
        self._waiting.add(item)
        return item

    def oldest(self) -> Seconds | None:
        """Return since when the oldest attempt counts as unanswered; None if there is none."""
        return min((self._waits_since(item) for item in self._waiting), default=None)

    def overdue_backends(self, now: Seconds) -> list[str]:
        """Return back ends with requests that wait for much longer than they usually take."""
        return sorted({item.backend_id for item in self._waiting if self._is_overdue(item, now)})

    def abort(self, backend_id: str | None) -> None:
        """Abort the repeatable attempts at a back end, or at all of them (None)."""
        for item in self._waiting:
            if item.repeatable and backend_id in (None, item.backend_id):
                item.scope.cancel()

    def abort_overdue(self, most: int | None = None) -> None:
        """Abort repeatable attempts that are overdue, the oldest ones first, or all (None)."""
        now = steady_clock()
        found = [item for item in self._waiting if item.repeatable and self._is_overdue(item, now)]
        found.sort(key=lambda item: item.started_at)
        for item in found[:most]:
            item.scope.cancel()

    def usual_time(self, backend_id: str, queue: float = 0.0) -> Seconds:
        """Return after which time a response of a back end counts as late."""
        state = self._directory.find(backend_id)
        usual = state.service_time if state is not None else None
        return OVERDUE_FACTOR * (usual or 0.0) * max(queue, 1.0)

    def _waits_since(self, item: DirectExchange) -> Seconds:
        """Return from when on an attempt counts as unanswered: later if it usually takes long."""
        usual = self.usual_time(item.backend_id, item.queue)
        return item.started_at + max(usual - SILENCE, 0.0)

    def _is_overdue(self, item: DirectExchange, now: Seconds) -> bool:
        return now - self._waits_since(item) >= SILENCE
