"""Keeps orders to a former life of a back end from being carried out by a later one.

A back end may start again under its name. It then holds no keys and has seen no fence, so a grant
that was meant for its former life, and is carried out late, would give it keys that are another
one's by now. So before a back end that is new to a leader gets any keys, it is asked to release all
of them, under a fence above all that were ever sent: from its answer on it refuses older grants.

The answer also proves that no earlier life of it holds keys: that one has ended, and what another
leader still sends to it reaches the later life, which refuses it.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds, is_later_incarnation, split_incarnation_id
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.orders import Release

BARRIER_RETRY_INTERVAL: Seconds = 0.5
"""A barrier without an answer is asked for again after so long; it gets no keys meanwhile."""


@dataclass(slots=True)
class _Barrier:
    """What one back end was asked last; a fence of zero: nothing yet."""

    fence: int = 0
    next_order: Seconds = NEVER
    is_pending: bool = False


class Barriers:
    """Back ends of one service that must refuse older orders before they get keys.

    Parameters
    ----------
    key_positions
        Keys are numbers from 0 up to this, which is excluded.
    """

    def __init__(self, key_positions: int, fences: FenceCounter) -> None:
        self._last_position = key_positions - 1
        self._fences = fences
        self._unconfirmed: dict[str, _Barrier] = {}
        self._confirmed: dict[str, str] = {}

    def require(self, backend_ids: Collection[str]) -> None:
        """These back ends are new to this leader."""
        for backend_id in sorted(backend_ids):
            self._unconfirmed.setdefault(backend_id, _Barrier())

    def retain(self, listed: Collection[str]) -> None:
        """All others are gone."""
        for backend_id in [item for item in self._unconfirmed if item not in listed]:
            del self._unconfirmed[backend_id]
        for name in [name for name, item in self._confirmed.items() if item not in listed]:
            del self._confirmed[name]

    def is_unconfirmed(self, backend_id: str) -> bool:
        """Whether it may still carry out orders that were meant for a former life."""
        return backend_id in self._unconfirmed

    def is_replaced(self, backend_id: str) -> bool:
        """Whether a later life of it, which is listed, refuses what was meant for this one."""
        name, _ = split_incarnation_id(backend_id)
        confirmed = self._confirmed.get(name)
        return confirmed is not None and is_later_incarnation(confirmed, backend_id)

    def due(self, now: Seconds) -> list[Release]:
        """Return the orders that are to be sent now."""
        orders = []
        for backend_id, barrier in self._unconfirmed.items():
            if barrier.is_pending or now < barrier.next_order:
                continue
            barrier.fence = self._fences.next()
            barrier.is_pending = True
            orders.append(Release(backend_id, 0, self._last_position, barrier.fence))
        return orders

    def handle_response(self, order: Release, done: bool, now: Seconds) -> bool:
        """An order was answered, or had no answer in time; tell whether it was one of these."""
        barrier = self._unconfirmed.get(order.backend_id)
        if barrier is None or barrier.fence != order.fence:
            return False
        if done:
            del self._unconfirmed[order.backend_id]
            name, _ = split_incarnation_id(order.backend_id)
            self._confirmed[name] = order.backend_id
        else:
            barrier.is_pending = False
            barrier.next_order = now + BARRIER_RETRY_INTERVAL
        return True
