"""Shares of one amount never add up to more than it, however nodes come, go and are cut off."""

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
class Sharer:
    """One node, which repeats as much as it may.

    Parameters
    ----------
    group
        Nodes that hear the same leader; None: it hears none.
    """

    group: str | None = "all"
    size: FleetSize = field(default_factory=FleetSize)
    budget: RetryBudget = field(
        default_factory=lambda: RetryBudget(RetryAllowance(0.0, SLACK, WINDOW))
    )


class Fleet:
    """Nodes of which each hears how many follow its leader, some of them late."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = 0.0
        self.nodes = [Sharer() for _ in range(count)]
        self.taken: list[float] = []
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
                    self.taken.append(self.now)

    def most_taken(self) -> int:
        """The most in any window."""
        steps = sorted(set(self.taken))
        return max((sum(at <= x < at + WINDOW for x in self.taken) for at in steps), default=0)


COUNTS = [3, 11, 74]


@pytest.mark.parametrize("count", COUNTS)
def test_in_a_calm_time_the_amount_is_shared(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(25.0)
    used = sum(at >= 25.0 - WINDOW for at in fleet.taken)
    assert fleet.most_taken() <= SLACK
    assert used >= 0.5 * SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_half_of_the_nodes_that_hear_no_leader_any_more_leave_the_rest_to_the_others(
    count: int,
) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    for node in fleet.nodes[: count // 2]:
        node.group = None
    fleet.run(50.0)
    assert fleet.most_taken() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_two_leaders_with_half_of_the_nodes_each_do_not_make_it_twice_at_once(count: int) -> None:
    """A leader that was replaced unheard goes on for some seconds, then its nodes hear the other.

    Its followers tell it of no more nodes than before, so that all of them go by the whole number.
    """
    fleet = Fleet(count)
    fleet.run(20.0)
    for node in fleet.nodes[: count // 2]:
        node.group = "cut off"
    fleet.run(28.0)
    for node in fleet.nodes:
        node.group = "all"
    fleet.run(50.0)
    assert fleet.most_taken() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_a_fleet_that_doubles_shares_it_anew(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    fleet.nodes += [Sharer() for _ in range(count)]
    fleet.run(45.0)
    assert fleet.most_taken() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_nodes_that_are_all_started_again_have_none_of_what_their_former_lives_used(
    count: int,
) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    fleet.nodes = [Sharer() for _ in range(count)]
    fleet.run(45.0)
    assert fleet.most_taken() <= SLACK


@pytest.mark.parametrize("count", COUNTS)
def test_a_new_leader_that_few_have_found_yet_tells_no_low_number(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(20.0)
    for _ in range(3):
        for number, node in enumerate(fleet.nodes):
            node.group = "new" if number == 0 else None
        fleet.run(fleet.now + 0.5)
        for node in fleet.nodes:
            node.group = "new"
        fleet.run(fleet.now + 3.0)
    assert fleet.most_taken() <= SLACK


def test_a_node_that_was_cut_off_has_no_share_for_a_window_after_that() -> None:
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
