"""Whether nodes keep to what back ends said in answers that passed through them.

A request that a caller sent long enough after a node had passed on that a back end leaves must not
reach it from that node. A back end that asked a node for rest gets at most two requests from it,
from half a second later until the end of that time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from tests.system import platform_site

LEFT = 2.0
"""Seconds after which a back end that leaves gets nothing from a node that passed on its word."""
REST_HEARD = 0.5
"""A node is bound by a rest from so many seconds after the answer that asks for it."""
MOST_IN_REST = 2
Span = tuple[float, float]


@dataclass(frozen=True)
class Sent:
    """A request as its caller sent it.

    Parameters
    ----------
    node
        The life of the node that it was sent to.
    at
        On the test's clock, in seconds.
    """

    node: str
    at: float


def requests_after_leaving(
    upstreams: Iterable[platform_site.Upstream],
    sent: Mapping[str, Sent],
    held_up: Sequence[Span] = (),
) -> list[str]:
    """Return the requests that came to back ends from nodes that knew that they leave.

    Parameters
    ----------
    sent
        By request.
    held_up
        When faults held up nodes, or requests on their way.
    """
    found = []
    for upstream in upstreams:
        told: dict[tuple[str, int], float] = {}
        for answer in upstream.leaving_told:
            if answer.request in sent:
                told.setdefault((sent[answer.request].node, answer.life), answer.at)
        for arrival in upstream.bound_arrivals:
            caller = sent.get(arrival.request)
            since = told.get((caller.node, arrival.life)) if caller is not None else None
            if caller is None or since is None or caller.at <= since + LEFT:
                continue
            if not _is_held_up(since, arrival.at, held_up):
                late = arrival.at - since
                found.append(f"{upstream.name} got {arrival.request} {late:.2f} s after its word")
    return found


def requests_during_rest(
    upstreams: Iterable[platform_site.Upstream],
    sent: Mapping[str, Sent],
    held_up: Sequence[Span] = (),
) -> list[str]:
    """Return the rests in which back ends got too many requests of the node that they asked."""
    found = []
    for upstream in upstreams:
        arrivals: dict[tuple[str, int], list[float]] = {}
        for arrival in upstream.bound_arrivals:
            if arrival.request in sent:
                key = (sent[arrival.request].node, arrival.life)
                arrivals.setdefault(key, []).append(arrival.at)
        for rest in upstream.rests_asked:
            asked = rest.arrival
            if asked.request not in sent:
                continue
            begin, end = asked.at + REST_HEARD, asked.at + rest.seconds
            times = arrivals.get((sent[asked.request].node, asked.life), [])
            count = sum(begin <= at < end for at in times)
            if count > MOST_IN_REST and not _is_held_up(asked.at, end, held_up):
                found.append(f"{upstream.name} got {count} in {rest.seconds:g} s of rest")
    return found


def _is_held_up(begin: float, end: float, held_up: Sequence[Span]) -> bool:
    return any(start < end and begin < over for start, over in held_up)
