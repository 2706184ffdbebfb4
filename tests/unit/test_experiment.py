"""The balance experiment: bounds for the planner, and its baselines on the same trace."""

from limedeck_lab.experiment_balance import PhaseResult, run_experiment

MAX_SETTLED_IMBALANCE = 1.15
MAX_MOVED_TO_LEAST = 1.2


def test_planner_balances_with_few_moves() -> None:
    results = run_experiment(backend_count=14, slices_per_backend=50, seed=2)
    planner = [item for item in results if item.way == "limedeck"]
    assert [item.phase for item in planner] == ["hot keys", "other hot keys", "join", "loss"]
    for item in planner:
        assert item.imbalance_settled <= max(MAX_SETTLED_IMBALANCE, item.floor), item
        if item.least_moved:
            assert item.moved <= MAX_MOVED_TO_LEAST * item.least_moved, item
        for baseline in _same_phase(results, item):
            assert item.imbalance_settled < baseline.imbalance_settled


def _same_phase(results: list[PhaseResult], result: PhaseResult) -> list[PhaseResult]:
    return [item for item in results if item.phase == result.phase and item.way != result.way]
