"""Keeps back ends from holding keys by grants that the record of owners does not show.

After the store has returned from a copy, its record may name owners that keys no longer had, and
leaders may have granted keys under terms that nobody knows any more. So before a new leader grants
any keys, it orders every back end to release all keys that it is not to keep, under a new fence.
A back end that has confirmed this holds no others, and refuses older grants. One that does not
respond may hold keys until the last lease that may have been granted to it has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.orders import Release
from limedeck.ownership.ranges import Phase, RangeState

RETRY_INTERVAL: Seconds = 0.25
"""Delay before an order without a confirmation is sent again; all keys wait for the response."""
ENTRY_RETURN_TIME: Seconds = 3.0
"""Time after the store's return within which the entries of all back ends are listed again. They
return within about two seconds."""


@dataclass(slots=True)
class _Order:
    """Order to one back end to release adjacent keys; a fence of zero means that none was sent."""

    first: int
    last: int
    fence: int = 0
    next_order: Seconds = NEVER
    is_pending: bool = False
    is_done: bool = False


class EraFencing:
    """Releases of all keys that back ends are not to keep, for one service.

    Parameters
    ----------
    key_positions
        Number of key positions; keys are mapped to positions from 0 to `key_positions - 1`.
    not_before
        Until then, back ends may be listed that hold keys.
    deadline
        When leases of back ends that do not respond have certainly ended.
    """

    def __init__(
        self, key_positions: int, fences: FenceCounter, not_before: Seconds, deadline: Seconds
    ) -> None:
        self.deadline = deadline
        self._last_position = key_positions - 1
        self._fences = fences
        self._not_before = not_before
        self._orders: dict[str, list[_Order]] = {}

    def shorten(self, deadline: Seconds) -> None:
        """Bring the deadline forward: no earlier leader grants keys any more."""
        self.deadline = min(self.deadline, deadline)

    def require(self, backend_ids: Iterable[str], ranges: list[RangeState]) -> None:
        """Require that back ends release all keys but those of which they are the owners."""
        for backend_id in backend_ids:
            if backend_id not in self._orders:
                self._orders[backend_id] = list(self._foreign_keys(backend_id, ranges))

    def is_complete(self, now: Seconds) -> bool:
        """Whether no back end can hold keys of another owner."""
        if now >= self.deadline:
            return True
        if not self._orders or now < self._not_before:
            return False
        return all(order.is_done for orders in self._orders.values() for order in orders)

    def due(self, now: Seconds) -> list[Release]:
        """Return the orders that are due."""
        releases = []
        for backend_id, orders in self._orders.items():
            for order in orders:
                if order.is_done or order.is_pending or now < order.next_order:
                    continue
                order.fence = self._fences.next()
                order.is_pending = True
                releases.append(Release(backend_id, order.first, order.last, order.fence))
        return releases

    def handle_response(self, release: Release, done: bool, now: Seconds) -> bool:
        """Handle the response to an order, or its loss; return whether it was one of these."""
        for order in self._orders.get(release.backend_id, ()):
            if order.fence != release.fence:
                continue
            order.is_pending = False
            order.is_done = order.is_done or done
            order.next_order = now + RETRY_INTERVAL
            return True
        return False

    def _foreign_keys(self, backend_id: str, ranges: list[RangeState]) -> Iterator[_Order]:
        first = 0
        for item in ranges:
            if item.owner != backend_id or item.phase is not Phase.OWNED:
                continue
            if first < item.first:
                yield _Order(first, item.first - 1)
            first = item.last + 1
        if first <= self._last_position:
            yield _Order(first, self._last_position)
