"""Ranges that are taken from their owners, under fences above all grants ever sent for them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from limedeck.identity import NEVER, Seconds
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.orders import Release
from limedeck.ownership.ranges import OwnerChangeCause, Phase, RangeState


def begin_release(
    found: RangeState, cause: OwnerChangeCause, target: str, fences: FenceCounter
) -> None:
    """Take a range from its owner, to give it to another one if `target` names it."""
    found.phase = Phase.RELEASING
    found.cause = cause
    found.target = target
    found.fence = fences.next()
    found.order_pending = False
    found.next_order = NEVER


def end_release(found: RangeState, handover: str, now: Seconds) -> None:
    """Nobody holds a range any more."""
    found.phase = Phase.FREE
    found.held_until = min(found.held_until, now)
    found.handover = handover


def due_releases(
    ranges: Iterable[RangeState], fences: FenceCounter, now: Seconds
) -> Iterator[Release]:
    """Yield what owners are to be asked now; one order for ranges side by side.

    A hot spot is cut into dozens of ranges at once, and its owner, which has a long queue, resets
    most of as many new connections.
    """
    group: list[RangeState] = []
    for item in ranges:
        due = item.phase is Phase.RELEASING and not item.order_pending
        if not due or now < item.next_order:
            continue
        last = group[-1] if group else None
        if last and (last.owner != item.owner or last.last + 1 != item.first):
            yield _release(group, fences)
            group = []
        group.append(item)
    if group:
        yield _release(group, fences)


def _release(group: list[RangeState], fences: FenceCounter) -> Release:
    fence = group[0].fence if len(group) == 1 else fences.next()
    for item in group:
        item.fence = fence
        item.order_pending = True
    return Release(group[0].owner, group[0].first, group[-1].last, fence)
