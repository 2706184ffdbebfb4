"""How evenly nodes use back ends, at the sizes of the known sites and of the one to design for."""

from __future__ import annotations

import pytest

from limedeck_lab.experiment_choice import Choice, Fleet, mean_of, run_choice

SEEDS = (1, 2)
MOST_TO_MEAN = 1.95
"""A third of the back ends is half as fast again as most; the rest is chance."""
MOST_TURNED_AWAY = 0.005
LONGEST_P99 = 2.4
"""Seconds, for work of 0.26 s at speeds down to a half: sending at random takes some 3 s."""


@pytest.mark.parametrize(
    ("nodes", "backends", "rate"),
    [(11, 7, 27.0), (78, 37, 142.0), (195, 61, 235.0), (490, 150, 580.0)],
)
def test_many_nodes_level_the_use_of_back_ends(nodes: int, backends: int, rate: float) -> None:
    result = mean_of(run_choice(Fleet(nodes, backends, rate), SEEDS))
    assert result.busiest_to_mean < MOST_TO_MEAN
    assert result.turned_away <= MOST_TURNED_AWAY * result.arrivals
    assert result.unused == 0
    assert result.p99 < LONGEST_P99


def test_a_leader_that_tells_the_sums_shortens_the_longest_times() -> None:
    untold = mean_of(run_choice(Fleet(195, 61, 330.0, telling_interval=None), SEEDS))
    told = mean_of(run_choice(Fleet(195, 61, 330.0), SEEDS))
    assert told.p99 < 0.75 * untold.p99
    assert told.turned_away < 0.25 * untold.turned_away


def test_taking_the_best_back_end_swamps_it() -> None:
    """The way that was given up: every node takes the back end that all were told is the best."""
    result = mean_of(run_choice(Fleet(78, 37, 142.0, choice=Choice.SOONEST), SEEDS))
    assert result.turned_away > 0.05 * result.arrivals
