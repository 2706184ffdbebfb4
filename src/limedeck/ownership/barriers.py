"""Keeps orders for an earlier incarnation of a back end from being carried out by a later one.

A back end may restart under the same name. It then holds no keys and has seen no fence, so that a
delayed grant for its earlier incarnation would give it keys that another back end owns by now. So
before a back end that is new to a leader gets any keys, it is ordered to release all keys, under a
fence above all that were sent before. From its response on, it refuses older grants.

The response also proves that no earlier incarnation holds keys: those have ended, and grants that
another leader still sends to them reach the later incarnation, which refuses them.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds, is_later_incarnation, split_incarnation_id
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.orders import Release

BARRIER_RETRY_INTERVAL: Seconds = 0.5
"""Delay before a barrier that was not confirmed is requested again; until then the back end gets no
keys."""


@dataclass(slots=True)
class _Barrier:
    """Last barrier order to one back end; a fence of zero means that none was sent yet."""

    fence: int = 0
    next_order: Seconds = NEVER
    is_pending: bool = False


class Barriers:
    """Back ends of one service that must refuse older orders before they get keys.

    Parameters
    ----------
    key_positions
        Number of key positions; keys are mapped to positions from 0 to `key_positions - 1`.
    """

    def __init__(self, key_positions: int, fences: FenceCounter) -> None:
        self._last_position = key_positions - 1
        self._fences = fences
        self._unconfirmed: dict[str, _Barrier] = {}
        self._confirmed: dict[str, str] = {}

    def require(self, backend_ids: Collection[str]) -> None:
        """Require a barrier of back ends that are new to this leader."""
        for backend_id in sorted(backend_ids):
            self._unconfirmed.setdefault(backend_id, _Barrier())

    def retain(self, listed: Collection[str]) -> None:
        """Forget all back ends that are not listed."""
        for backend_id in [item for item in self._unconfirmed if item not in listed]:
            del self._unconfirmed[backend_id]
        for name in [name for name, item in self._confirmed.items() if item not in listed]:
            del self._confirmed[name]

    def is_unconfirmed(self, backend_id: str) -> bool:
        """Whether the back end may still carry out orders for an earlier incarnation."""
        return backend_id in self._unconfirmed

    def is_replaced(self, backend_id: str) -> bool:
        """Whether a later, listed incarnation has confirmed that it refuses orders for this one."""
        name, _ = split_incarnation_id(backend_id)
        confirmed = self._confirmed.get(name)
        return confirmed is not None and is_later_incarnation(confirmed, backend_id)

    def due(self, now: Seconds) -> list[Release]:
        """Return the barrier orders that are due."""
        orders = []
        for backend_id, barrier in self._unconfirmed.items():
            if barrier.is_pending or now < barrier.next_order:
                continue
            barrier.fence = self._fences.next()
            barrier.is_pending = True
            orders.append(Release(backend_id, 0, self._last_position, barrier.fence))
        return orders

    def handle_response(self, order: Release, done: bool, now: Seconds) -> bool:
        """Handle the response to an order, or its loss; return whether it was a barrier order."""
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
