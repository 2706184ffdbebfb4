"""How soon keyed requests are answered, at the size of a large site and with one very hot key."""

from __future__ import annotations

from limedeck_lab import experiment_keys

SEEDS = (1,)
MOST_LATE = 0.045
"""Where all back ends are used to the same part, and small lasting differences stay, 0.07 are."""
MOST_LOST = 0.004
MOST_MOVED = 0.5
"""Times that all keys changed owner within half a minute."""


def test_keys_are_balanced_so_that_few_answers_are_late() -> None:
    """Found on zhbs-gate-large scale-1: a fifth of all lookups was answered late."""
    result = experiment_keys.mean_of(experiment_keys.run_keys(experiment_keys.KeyedFleet(), SEEDS))
    assert result.late < MOST_LATE
    assert result.lost < MOST_LOST
    assert result.moved < MOST_MOVED
