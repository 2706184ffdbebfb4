"""Response times of keyed requests, at the size of a large site and with one very hot key."""

from __future__ import annotations

from limedeck_lab import experiment_keys

SEEDS = (1,)
MAX_LATE_SHARE = 0.045
"""0.07 are late if all back ends get equal utilization and small lasting differences remain."""
MAX_LOST_SHARE = 0.004
MAX_MOVED = 0.5
"""Positions that changed owner within the 40 s of the run, as a multiple of all positions."""


def test_key_balancing_keeps_late_responses_rare() -> None:
    """Guards against the late responses to a fifth of all lookups on zhbs-gate-large scale-1."""
    result = experiment_keys.mean_of(experiment_keys.run_keys(experiment_keys.KeyedFleet(), SEEDS))
    assert result.late < MAX_LATE_SHARE
    assert result.lost < MAX_LOST_SHARE
    assert result.moved < MAX_MOVED
