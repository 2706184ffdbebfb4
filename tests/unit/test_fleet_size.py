"""Shares never exceed the shared amount, however nodes start, stop and are cut off."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.fleet_size import COUNT_LIFETIME, FleetSize

WINDOW = 10.0
SLACK = 188.0
STEP = 0.1
HEARTBEAT = 0.3


@dataclass(eq=False)
class SimulatedNode:
    """One node, which uses as much of its share as it may.

    Parameters
    ----------
    group
        Identifies the nodes that follow the same leader; None: it has no leader.
    """

    group: str | None = "all"
    size: FleetSize = field(default_factory=FleetSize)
    budget: RetryBudget = field(
        default_factory=lambda: RetryBudget(RetryAllowance(0.0, SLACK, WINDOW))
    )


class Fleet:
    """Nodes that receive the number of their leader's followers, some of them late."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = 0.0
        self.nodes = [SimulatedNode() for _ in range(count)]
        self.acquired_at: list[float] = []
        self._random = random.Random(seed)

    def run(self, until: float) -> None:
        while self.now < until:
            self.now = round(self.now + STEP, 3)
            groups = [node.group for node in self.nodes]
            for node in self.nodes:
                if node.group is not None and self._random.random() < STEP / HEARTBEAT:
                    node.size.record_node_count(groups.count(node.group), self.now)
                sharing_nodes = node.size.sharing_nodes(WINDOW, self.now)
                while node.budget.try_acquire(self.now, sharing_nodes):
                    self.acquired_at.append(self.now)

    def max_acquired(self) -> int:
        """Return the most that was acquired in any window."""
        steps = sorted(set(self.acquired_at))
        return max(
            (sum(at <= x < at + WINDOW for x in self.acquired_at) for at in steps), default=0
        )


COUNTS = [3, 11, 74]


@pytest.mark.parametrize("count", COUNTS)
def test_amount_is_shared_without_failures(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(25.0)
    acquired_in_window = sum(at >= 25.0 - WINDOW for at in fleet.acquired_at)
    assert fleet.max_acquired() <= SLACK
    assert acquired_in_window >= 0.5 * SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_amount_is_kept_if_half_of_the_nodes_lose_their_leader(
    count: int,
) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    for node in fleet.nodes[: count // 2]:
        node.group = None
    fleet.run(50.0)
    assert fleet.max_acquired() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_amount_is_kept_with_two_leaders(count: int) -> None:
    """A leader that does not know that it was replaced continues for some seconds.

    Its followers then follow the other leader. The number that it counts is no larger than before,
    so that all of them keep to the number of the whole fleet.
    """
    fleet = Fleet(count)
    fleet.run(20.0)
    for node in fleet.nodes[: count // 2]:
        node.group = "cut off"
    fleet.run(28.0)
    for node in fleet.nodes:
        node.group = "all"
    fleet.run(50.0)
    assert fleet.max_acquired() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_amount_is_kept_if_the_fleet_doubles(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    fleet.nodes += [SimulatedNode() for _ in range(count)]
    fleet.run(45.0)
    assert fleet.max_acquired() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_amount_is_kept_if_all_nodes_restart(
    count: int,
) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    fleet.nodes = [SimulatedNode() for _ in range(count)]
    fleet.run(45.0)
    assert fleet.max_acquired() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_amount_is_kept_if_a_new_leader_has_few_followers(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    for _ in range(3):
        for number, node in enumerate(fleet.nodes):
            node.group = "new" if number == 0 else None
        fleet.run(fleet.now + 0.5)
        for node in fleet.nodes:
            node.group = "new"
        fleet.run(fleet.now + 3.0)
    assert fleet.max_acquired() <= SLACK


def test_reconnected_node_has_no_share_for_a_window() -> None:
    size = FleetSize()
    for second in range(20):
        size.record_node_count(3, float(second))
    assert size.sharing_nodes(WINDOW, 19.0) == 3
    assert size.sharing_nodes(WINDOW, 19.1 + COUNT_LIFETIME) == 0
    size.record_node_count(3, 30.0)
    assert size.sharing_nodes(WINDOW, 31.0) == 0
    for second in range(30, 42):
        size.record_node_count(3, float(second))
    assert size.sharing_nodes(WINDOW, 41.0) == 3
