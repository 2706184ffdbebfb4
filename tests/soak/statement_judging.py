"""Checks that nodes comply with the statements in back ends' responses that they forwarded.

Once a node has forwarded a leaving announcement, requests that callers send to that node more than
`LEAVING_GRACE` later must not reach the back end. During a back-off period, a back end may receive
at most `MAX_REQUESTS_IN_BACKOFF` requests from the node, not counting the first `BACKOFF_GRACE`
seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from tests.system import platform_site

LEAVING_GRACE = 2.0
"""Seconds after a node forwards a leaving announcement in which it may still send requests."""
BACKOFF_GRACE = 0.5
"""Seconds after the response that requests back-off in which requests are not counted."""
MAX_REQUESTS_IN_BACKOFF = 2
Span = tuple[float, float]


@dataclass(frozen=True)
class SentRequest:
    """A request as its caller sent it.

    Parameters
    ----------
    node
        Identifies the node, and its incarnation if nodes restart.
    at
        On the test's clock, in seconds.
    """

    node: str
    at: float


def requests_after_leaving(
    upstreams: Iterable[platform_site.Upstream],
    sent: Mapping[str, SentRequest],
    held_up: Sequence[Span] = (),
) -> list[str]:
    """Return requests that reached back ends from nodes that knew that they were leaving.

    Parameters
    ----------
    sent
        By request.
    held_up
        Periods in which faults delayed nodes or requests in transit.
    """
    found = []
    for upstream in upstreams:
        announced_at: dict[tuple[str, int], float] = {}
        for response in upstream.leaving_responses:
            if response.request in sent:
                announced_at.setdefault((sent[response.request].node, response.life), response.at)
        for arrival in upstream.arrivals_after_statement:
            request = sent.get(arrival.request)
            since = announced_at.get((request.node, arrival.life)) if request is not None else None
            if request is None or since is None or request.at <= since + LEAVING_GRACE:
                continue
            if not _is_held_up(since, arrival.at, held_up):
                late = arrival.at - since
                found.append(
                    f"{upstream.name} received {arrival.request} {late:.2f} s after announcing"
                )
    return found


def requests_during_backoff(
    upstreams: Iterable[platform_site.Upstream],
    sent: Mapping[str, SentRequest],
    held_up: Sequence[Span] = (),
) -> list[str]:
    """Return back-off periods in which the node that was rejected sent too many requests."""
    found = []
    for upstream in upstreams:
        arrivals: dict[tuple[str, int], list[float]] = {}
        for arrival in upstream.arrivals_after_statement:
            if arrival.request in sent:
                key = (sent[arrival.request].node, arrival.life)
                arrivals.setdefault(key, []).append(arrival.at)
        for backoff in upstream.backoff_requests:
            rejected = backoff.arrival
            if rejected.request not in sent:
                continue
            begin, end = rejected.at + BACKOFF_GRACE, rejected.at + backoff.seconds
            times = arrivals.get((sent[rejected.request].node, rejected.life), [])
            count = sum(begin <= at < end for at in times)
            if count > MAX_REQUESTS_IN_BACKOFF and not _is_held_up(rejected.at, end, held_up):
                found.append(
                    f"{upstream.name} received {count} in {backoff.seconds:g} s of back-off"
                )
    return found


def _is_held_up(begin: float, end: float, held_up: Sequence[Span]) -> bool:
    return any(start < end and begin < over for start, over in held_up)
