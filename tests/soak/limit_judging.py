"""Checks that nodes that know a back end's stated limit do not exceed it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from tests.system import platform_site

WINDOW = 4.0
"""Seconds."""
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
"""A window may have this many requests more than `EXCESS_FACTOR` times what the limit allows."""
LIMIT_GRACE = 3.0
"""Seconds after a back end begins to state limits in which they are not checked."""
NODE_LIMIT_GRACE = 0.5
"""Seconds after a node forwards a response with a limit in which the limit is not checked."""
Span = tuple[float, float]


def excesses(
    upstreams: Iterable[platform_site.Upstream], senders: Mapping[str, str], held_up: Sequence[Span]
) -> list[str]:
    """Describe the first window in which each back end received more than its limit allows.

    Parameters
    ----------
    senders
        By request: the node, with its incarnation, that it was sent to. Other requests are not
        checked.
    held_up
        Periods in which faults delayed requests in transit, which may then arrive all at once.
    """
    found = []
    for upstream in upstreams:
        for start, received, allowed in _windows(upstream, senders, held_up):
            if received > allowed:
                found.append(
                    f"{upstream.name} got {received} from {start:.3f} on, allowed {allowed:g}"
                )
                break
    return found


def _windows(
    upstream: platform_site.Upstream, senders: Mapping[str, str], held_up: Sequence[Span]
) -> Iterable[tuple[float, int, float]]:
    arrivals = _limited_arrivals(upstream, senders)
    for start in arrivals:
        end = start + WINDOW
        if any(begin < end and start < over for begin, over in held_up):
            continue
        limit = _highest_limit(upstream, start - NODE_LIMIT_GRACE, end)
        if limit is None or start < _limited_since(upstream, start) + LIMIT_GRACE:
            continue
        received = sum(start <= at < end for at in arrivals)
        yield start, received, EXCESS_FACTOR * limit * WINDOW + EXCESS_REQUESTS


def _limited_arrivals(upstream: platform_site.Upstream, senders: Mapping[str, str]) -> list[float]:
    """Return when requests arrived from nodes that had known a limit for `NODE_LIMIT_GRACE`."""
    informed_at: dict[str, float] = {}
    for item in upstream.limit_responses:
        sender = senders.get(item.request)
        if sender is not None:
            informed_at.setdefault(sender, item.at)
    arrivals = []
    for item in upstream.arrivals:
        sender = senders.get(item.request)
        if sender in informed_at and item.at >= informed_at[sender] + NODE_LIMIT_GRACE:
            arrivals.append(item.at)
    return arrivals


def _highest_limit(upstream: platform_site.Upstream, start: float, end: float) -> float | None:
    """Return the highest limit stated in a span; None if none was stated in a part of it."""
    before = [limit for at, limit in upstream.stated_limits if at <= start][-1:]
    within = [limit for at, limit in upstream.stated_limits if start < at < end]
    named = before + within
    if not before or b"" in named:
        return None
    return max(float(limit) for limit in named)


def _limited_since(upstream: platform_site.Upstream, until: float) -> float:
    """Return since when, up to a time, the back end has stated limits without interruption."""
    since = until
    for at, limit in reversed(upstream.stated_limits):
        if at > until:
            continue
        if limit == b"":
            break
        since = at
    return since
