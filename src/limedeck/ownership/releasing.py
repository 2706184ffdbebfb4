"""Releases of ranges by their owners, under fences above those of all grants sent for them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from limedeck.identity import NEVER, Seconds
from limedeck.ownership.fences import FenceCounter
from limedeck.ownership.orders import Release
from limedeck.ownership.ranges import OwnerChangeCause, Phase, RangeState


def begin_release(
    found: RangeState, cause: OwnerChangeCause, target: str, fences: FenceCounter
) -> None:
    """Begin to release a range at its owner, for the next owner `target` if one is chosen."""
    found.phase = Phase.RELEASING
    found.cause = cause
    found.target = target
    found.fence = fences.next()
    found.order_pending = False
    found.next_order = NEVER


def end_release(found: RangeState, handover: str, now: Seconds) -> None:
    """Mark a range as free: no back end holds it any more."""
    found.phase = Phase.FREE
    found.held_until = min(found.held_until, now)
    found.handover = handover


def due_releases(
    ranges: Iterable[RangeState], fences: FenceCounter, now: Seconds
) -> Iterator[Release]:
    """Yield the releases that are due, one for adjacent ranges of one owner.

    A hot spot is split into dozens of ranges at once. Its owner has a long queue and would reset
    most connections if one were opened for each range.
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
