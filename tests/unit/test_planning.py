"""Planning of owners: only slices that have to change owner are moved."""

from hypothesis import given
from hypothesis import strategies as st

from limedeck.identity import BackendId
from limedeck.keyspace.planning import (
    BALANCE_TOLERANCE,
    backend_weights,
    initial_assignment,
    plan_balance_step,
    plan_evacuation,
    plan_merges,
    plan_rebalance,
    plan_splits,
    slice_weights,
)
from limedeck.keyspace.slices import SliceMap, change_of, slice_map_from

BACKENDS = [BackendId(f"backend-{index}") for index in range(5)]


def build(slices_per_backend: int = 10) -> SliceMap:
    return slice_map_from(initial_assignment(BACKENDS, slices_per_backend))


def test_the_initial_assignment_is_even() -> None:
    slices = build()
    assert {slices.slice_count(item) for item in BACKENDS} == {10}


def test_evacuation_moves_only_what_the_leaving_back_end_owns() -> None:
    slices = build()
    moves = plan_evacuation(slices, {}, {BACKENDS[0]}, BACKENDS[1:])
    assert {move.start for move in moves} == {item.start for item in slices.slices_of(BACKENDS[0])}
    counts = [sum(move.target == item for move in moves) for item in BACKENDS[1:]]
    assert max(counts) - min(counts) <= 1


def test_evacuation_without_receivers_plans_nothing() -> None:
    assert plan_evacuation(build(), {}, {BACKENDS[0]}, []) == []


@given(
    st.lists(st.floats(min_value=0, max_value=200), min_size=50, max_size=50), st.integers(1, 40)
)
def test_rebalancing_never_raises_the_highest_weight(rates: list[float], budget: int) -> None:
    slices = build()
    loads = dict(zip([item.start for item in slices], rates, strict=True))
    weights = slice_weights(slices, loads, len(BACKENDS))
    before = backend_weights(slices, weights, BACKENDS)
    moves = plan_rebalance(slices, weights, BACKENDS, budget)
    assert len(moves) <= budget
    slices.apply(change_of((move.start, move.target) for move in moves))
    after = backend_weights(slices, weights, BACKENDS)
    assert max(after.values()) <= max(before.values()) + 1e-6


def test_rebalancing_leaves_a_balanced_map_alone() -> None:
    slices = build()
    weights = slice_weights(slices, {}, len(BACKENDS))
    assert plan_rebalance(slices, weights, BACKENDS, 100) == []


def test_a_new_back_end_gets_its_share() -> None:
    slices = build()
    joined = [*BACKENDS, BackendId("joined")]
    weights = slice_weights(slices, {}, len(joined))
    moves = plan_rebalance(slices, weights, joined, 100)
    assert {move.target for move in moves} == {"joined"}
    slices.apply(change_of((move.start, move.target) for move in moves))
    totals = backend_weights(slices, weights, joined)
    assert max(totals.values()) <= BALANCE_TOLERANCE * sum(totals.values()) / len(totals)


def test_a_hot_slice_is_halved_and_keeps_its_owner() -> None:
    slices = build()
    hot = next(iter(slices))
    loads = {hot.start: 500.0}
    weights = slice_weights(slices, loads, len(BACKENDS))
    change = plan_splits(slices, loads, weights, BACKENDS, 8)
    assert [(item.start, item.owner) for item in change.upserts] == [
        ((hot.start + hot.end) // 2, hot.owner)
    ]


def test_a_key_that_stays_hot_does_not_prevent_moves_of_other_slices() -> None:
    """The hot key's slice stays heavy however often it is halved, so moves must precede splits."""
    slices = build()
    first, second = slices.slices_of(BACKENDS[0])[:2]
    for _ in range(30):
        hot = slices.locate(first.start)
        loads = {hot.start: 900.0, second.start: 400.0}
        step = plan_balance_step(slices, loads, BACKENDS, 16, len(slices))
        slices.apply(change_of((move.start, move.target) for move in step.moves))
        slices.apply(step.reshape)
    assert slices.locate(first.start).owner != slices.locate(second.start).owner
    assert len(slices) <= 80


def test_merging_keeps_owners_and_the_minimum_number_of_slices() -> None:
    slices = slice_map_from(change_of((index * 2**56, "a") for index in range(256)))
    weights = {item.start: 1.0 if item.start == 0 else 0.0 for item in slices}
    change = plan_merges(slices, weights, 1, minimum_slices=250, budget=100)
    assert len(change.removed_starts) == 6
    slices.apply(change)
    assert slices.owners() == {"a"}
