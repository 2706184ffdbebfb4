"""Comparison of ways in which all nodes together can keep a limit: their cost and failures.

The figures in `docs/design/limits.md` are what this module prints when it is run with `python -m`.
Shares and a single sender are not implemented; they are the alternatives that were considered.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from tests.unit.permit_world import PermitWorld

WINDOW = 4.0
SECONDS = 60.0
LIMIT = 4.2
DEMAND = 60.0
"""Requests a second from all nodes together."""
ALLOWED = 1.5 * LIMIT * WINDOW + 5
NODES = (3, 11, 74, 195)


@dataclass(frozen=True)
class Figures:
    """The requests that the back end got.

    Parameters
    ----------
    max_count
        Most requests in any 4 s.
    used
        Part of its limit that was used over the whole time.
    """

    max_count: int
    used: float


def _figures(times: list[float], seconds: float) -> Figures:
    times = sorted(times)
    max_count = max((sum(at <= x < at + WINDOW for x in times) for at in times), default=0)
    return Figures(max_count, len(times) / seconds / LIMIT)


def shares(nodes: int, assumed_nodes: int, burst: float) -> Figures:
    """Simulate nodes that each send a share, by the number of nodes that they assume.

    Parameters
    ----------
    burst
        Requests that a node may send at once after a long pause.
    """
    source = random.Random(7)
    sent = []
    for _ in range(nodes):
        tokens, last, now = burst, 0.0, 0.0
        while (now := now + source.expovariate(DEMAND / nodes)) < SECONDS:
            tokens = min(tokens + (now - last) * LIMIT / assumed_nodes, max(burst, 1.0))
            last = now
            if tokens >= 1.0:
                tokens -= 1.0
                sent.append(now)
    return _figures(sent, SECONDS)


def single_sender(nodes: int) -> Figures:
    """Simulate one node that sends its own callers' requests, at half of the limit."""
    source = random.Random(7)
    sent: list[float] = []
    now, free_at = 0.0, 0.0
    while (now := now + source.expovariate(DEMAND / nodes)) < SECONDS:
        if now >= free_at:
            sent.append(now)
            free_at = now + 2.0 / LIMIT
    return _figures(sent, SECONDS)


def permits(nodes: int) -> Figures:
    """Simulate a leader that issues a permit for each request."""
    world = PermitWorld(7, nodes, DEMAND)
    world.elect(world.nodes)
    world.limit = LIMIT
    world.env.run(until=3.0)
    world.arrivals.clear()
    world.env.run(until=3.0 + SECONDS)
    return _figures([item.at for item in world.arrivals], SECONDS)


@pytest.mark.parametrize("nodes", NODES)
def test_permits_keep_and_use_the_limit_in_fleets_of_any_size(nodes: int) -> None:
    got = permits(nodes)
    assert got.max_count <= ALLOWED
    assert got.used >= 0.7


@pytest.mark.parametrize("nodes", NODES)
def test_shares_exceed_the_limit_with_an_outdated_node_count(nodes: int) -> None:
    assert shares(nodes, max(nodes // 2, 1), 1.0).max_count > ALLOWED


def test_shares_exceed_the_limit_by_the_first_request_of_each_node() -> None:
    assert shares(195, 195, 1.0).max_count > ALLOWED


def test_single_sender_leaves_most_of_the_limit_unused_in_a_large_fleet() -> None:
    assert single_sender(195).used < 0.2


def main() -> None:
    """Print the figures of all alternatives."""
    for nodes in NODES:
        ways = {
            "permits": permits(nodes),
            "shares": shares(nodes, nodes, 1.0),
            "shares, half the count": shares(nodes, max(nodes // 2, 1), 1.0),
            "shares from nothing": shares(nodes, nodes, 0.0),
            "a single sender": single_sender(nodes),
        }
        for name, got in ways.items():
            print(f"{nodes:4} nodes  {name:24} most in 4 s {got.max_count:4}  used {got.used:.2f}")


if __name__ == "__main__":
    main()
