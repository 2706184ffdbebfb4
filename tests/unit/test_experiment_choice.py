"""How evenly nodes use back ends, at the sizes of the known sites and of the design target."""

from __future__ import annotations

import pytest

from limedeck_lab.experiment_choice import Choice, Fleet, mean_of, run_choice

SEEDS = (1, 2)
MAX_BUSIEST_TO_MEAN = 1.95
"""A quarter of the back ends has a speed of 1.5 and gets more requests than the mean; the rest is
random variation."""
MAX_REJECTED_SHARE = 0.005
MAX_P99_SECONDS = 2.4
"""For work of 0.26 s at speeds down to 0.5; random choice gives about 3 s."""


@pytest.mark.parametrize(
    ("nodes", "backends", "rate"),
    [(11, 7, 27.0), (78, 37, 142.0), (195, 61, 235.0), (490, 150, 580.0)],
)
def test_many_nodes_use_back_ends_evenly(nodes: int, backends: int, rate: float) -> None:
    result = mean_of(run_choice(Fleet(nodes, backends, rate), SEEDS))
    assert result.busiest_to_mean < MAX_BUSIEST_TO_MEAN
    assert result.turned_away <= MAX_REJECTED_SHARE * result.arrivals
    assert result.unused == 0
    assert result.p99 < MAX_P99_SECONDS


def test_sums_sent_by_the_leader_reduce_p99() -> None:
    without_sums = mean_of(run_choice(Fleet(195, 61, 330.0, telling_interval=None), SEEDS))
    with_sums = mean_of(run_choice(Fleet(195, 61, 330.0), SEEDS))
    assert with_sums.p99 < 0.75 * without_sums.p99
    assert with_sums.turned_away < 0.25 * without_sums.turned_away


def test_choosing_the_soonest_back_end_overloads_it() -> None:
    """The rejected alternative: all nodes choose the back end reported to all as the best."""
    result = mean_of(run_choice(Fleet(78, 37, 142.0, choice=Choice.SOONEST), SEEDS))
    assert result.turned_away > 0.05 * result.arrivals
