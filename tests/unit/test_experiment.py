"""The balance experiment: what the planner is to reach, beside its baselines, on one trace."""

from limedeck_lab.experiment_balance import PhaseResult, run_experiment

HIGHEST_SETTLED = 1.15
MOST_OVER_LEAST = 1.2


def test_the_planner_reaches_balance_and_moves_little() -> None:
    results = run_experiment(backend_count=14, slices_per_backend=50, seed=2)
    planner = [item for item in results if item.way == "limedeck"]
    assert [item.phase for item in planner] == ["hot keys", "other hot keys", "join", "loss"]
    for item in planner:
        assert item.imbalance_settled <= max(HIGHEST_SETTLED, item.floor), item
        if item.least_moved:
            assert item.moved <= MOST_OVER_LEAST * item.least_moved, item
        for baseline in _same_phase(results, item):
            assert item.imbalance_settled < baseline.imbalance_settled


def _same_phase(results: list[PhaseResult], wanted: PhaseResult) -> list[PhaseResult]:
    return [item for item in results if item.phase == wanted.phase and item.way != wanted.way]
