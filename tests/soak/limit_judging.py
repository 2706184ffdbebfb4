"""Whether back ends that named limits got more than they allow from nodes that knew of them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from tests.system import platform_site

WINDOW = 4.0
EXCESS = 1.5
SLACK = 5
"""In any window a back end gets at most so many times what its limit allows, and so many more."""
BINDS_AFTER = 3.0
"""Seconds after a back end first named a limit."""
TOLD = 0.5
"""A node that passed on an answer with a limit is bound by it so many seconds later."""
Span = tuple[float, float]


def excesses(
    upstreams: Iterable[platform_site.Upstream], senders: Mapping[str, str], held_up: Sequence[Span]
) -> list[str]:
    """Return what was above a limit, one text for each back end and window.

    Parameters
    ----------
    senders
        By request: the life of the node that it was sent to. Others are not judged.
    held_up
        When faults held requests up on their way: they may come all at once after that.
    """
    found = []
    for upstream in upstreams:
        for start, got, allowed in _windows(upstream, senders, held_up):
            if got > allowed:
                found.append(f"{upstream.name} got {got} from {start:.3f} on, allowed {allowed:g}")
                break
    return found


def _windows(
    upstream: platform_site.Upstream, senders: Mapping[str, str], held_up: Sequence[Span]
) -> Iterable[tuple[float, int, float]]:
    bound = _bound_arrivals(upstream, senders)
    for start in bound:
        end = start + WINDOW
        if any(begin < end and start < over for begin, over in held_up):
            continue
        limit = _highest_limit(upstream, start - TOLD, end)
        if limit is None or start < _first_named(upstream, start) + BINDS_AFTER:
            continue
        got = sum(start <= at < end for at in bound)
        yield start, got, EXCESS * limit * WINDOW + SLACK


def _bound_arrivals(upstream: platform_site.Upstream, senders: Mapping[str, str]) -> list[float]:
    """Arrivals from nodes that had been told long enough before."""
    told: dict[str, float] = {}
    for item in upstream.told:
        sender = senders.get(item.request)
        if sender is not None:
            told.setdefault(sender, item.at)
    bound = []
    for item in upstream.arrivals:
        sender = senders.get(item.request)
        if sender in told and item.at >= told[sender] + TOLD:
            bound.append(item.at)
    return bound


def _highest_limit(upstream: platform_site.Upstream, start: float, end: float) -> float | None:
    """Return the highest limit named in a span; None if it named none for a part of it."""
    before = [limit for at, limit in upstream.limits_named if at <= start][-1:]
    within = [limit for at, limit in upstream.limits_named if start < at < end]
    named = before + within
    if not before or b"" in named:
        return None
    return max(float(limit) for limit in named)


def _first_named(upstream: platform_site.Upstream, until: float) -> float:
    """Return since when it names limits without a break."""
    since = until
    for at, limit in reversed(upstream.limits_named):
        if at > until:
            continue
        if limit == b"":
            break
        since = at
    return since
