"""Ways to keep a limit of all nodes together, compared: what each costs and where each fails.

The figures in `docs/design/limits.md` are what this module prints when it is run with `python -m`.
Shares and a single sender are not built; they stand here as what was weighed.
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
"""Requests a second of all nodes."""
ALLOWED = 1.5 * LIMIT * WINDOW + 5
NODES = (3, 11, 74, 195)


@dataclass(frozen=True)
class Figures:
    """What the back end got.

    Parameters
    ----------
    most
        Requests in any 4 s.
    used
        Part of its limit over the whole time.
    """

    most: int
    used: float


def _figures(times: list[float], seconds: float) -> Figures:
    times = sorted(times)
    most = max((sum(at <= x < at + WINDOW for x in times) for at in times), default=0)
    return Figures(most, len(times) / seconds / LIMIT)


def shares(nodes: int, believed: int, at_once: float) -> Figures:
    """Each node sends its share, by how many nodes it believes there are.

    Parameters
    ----------
    at_once
        Requests that a node may send at once when it has not sent for long.
    """
    source = random.Random(7)
    sent = []
    for _ in range(nodes):
        tokens, last, now = at_once, 0.0, 0.0
        while (now := now + source.expovariate(DEMAND / nodes)) < SECONDS:
            tokens = min(tokens + (now - last) * LIMIT / believed, max(at_once, 1.0))
            last = now
            if tokens >= 1.0:
                tokens -= 1.0
                sent.append(now)
    return _figures(sent, SECONDS)


def single_sender(nodes: int) -> Figures:
    """Only one node sends, from the callers that it happens to have; half of the limit."""
    source = random.Random(7)
    sent: list[float] = []
    now, free_at = 0.0, 0.0
    while (now := now + source.expovariate(DEMAND / nodes)) < SECONDS:
        if now >= free_at:
            sent.append(now)
            free_at = now + 2.0 / LIMIT
    return _figures(sent, SECONDS)


def permits(nodes: int) -> Figures:
    """The leader lends a permit for each request."""
    world = PermitWorld(7, nodes, DEMAND)
    world.elect(world.nodes)
    world.limit = LIMIT
    world.env.run(until=3.0)
    world.arrivals.clear()
    world.env.run(until=3.0 + SECONDS)
    return _figures([item.at for item in world.arrivals], SECONDS)


@pytest.mark.parametrize("nodes", NODES)
def test_permits_keep_the_limit_and_use_it_at_any_size(nodes: int) -> None:
    got = permits(nodes)
    assert got.most <= ALLOWED
    assert got.used >= 0.7


@pytest.mark.parametrize("nodes", NODES)
def test_shares_break_it_with_a_count_that_is_out_of_date(nodes: int) -> None:
    assert shares(nodes, max(nodes // 2, 1), 1.0).most > ALLOWED


def test_shares_break_it_by_the_one_request_that_each_node_may_start_with() -> None:
    assert shares(195, 195, 1.0).most > ALLOWED


def test_a_single_sender_leaves_most_of_it_unused_in_a_large_fleet() -> None:
    assert single_sender(195).used < 0.2


def main() -> None:
    """Print the figures of all ways."""
    for nodes in NODES:
        ways = {
            "permits": permits(nodes),
            "shares": shares(nodes, nodes, 1.0),
            "shares, half the count": shares(nodes, max(nodes // 2, 1), 1.0),
            "shares from nothing": shares(nodes, nodes, 0.0),
            "a single sender": single_sender(nodes),
        }
        for name, got in ways.items():
            print(f"{nodes:4} nodes  {name:24} most in 4 s {got.most:4}  used {got.used:.2f}")


if __name__ == "__main__":
    main()
