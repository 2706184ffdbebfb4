"""Back ends that state false loads neither draw all work nor lose all of it."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.protocol import LoadReport
from limedeck.forwarding.request_cost import ServiceWork
from limedeck.forwarding.stated_load import DISTRUST_TIME, LoadFault, StatedLoadCheck
from limedeck.model import Backend
from tests.unit import load_world

SLOTS = 6
WORK = 0.223
ENDED = 14.0
SERVED_SHARE = 0.97
Statement = Callable[[LoadReport], LoadReport]


def always_idle(load: LoadReport) -> LoadReport:
    return LoadReport(0, 0, SLOTS)


def frozen_high(load: LoadReport) -> LoadReport:
    return LoadReport(SLOTS, 20 * SLOTS, SLOTS)


def huge(load: LoadReport) -> LoadReport:
    return LoadReport(10**9, 10**9, SLOTS)


def play(statement: Statement, nodes: int, keyed: bool, speed: float = 1.0) -> load_world.LoadWorld:
    rate = 0.6 * (7 + speed) * SLOTS / WORK
    world = load_world.LoadWorld(
        [load_world.kind("read", rate, WORK, 1.0, 4.0)],
        [speed, *[1.0] * 7],
        nodes,
        slots=SLOTS,
        queue=40,
        keyed=keyed,
        totals_delay=(0.05, 0.75),
    )
    world.backends["b0"].reported = statement
    world.run(ENDED)
    return world


def share_of_first(world: load_world.LoadWorld) -> float:
    counts = [sum(at >= 4.0 for at in backend.arrivals_at) for backend in world.backends.values()]
    return counts[0] / (sum(counts[1:]) / len(counts[1:]))


@pytest.mark.parametrize("nodes", [3, 70])
def test_a_slow_back_end_that_always_states_to_be_idle_does_not_draw_all_work(nodes: int) -> None:
    assert share_of_first(play(always_idle, nodes, keyed=False, speed=0.5)) <= 1.0


@pytest.mark.parametrize("statement", [frozen_high, huge])
@pytest.mark.parametrize("nodes", [3, 70])
def test_a_back_end_that_always_states_a_long_queue_is_used(
    nodes: int, statement: Statement
) -> None:
    assert 0.5 <= share_of_first(play(statement, nodes, keyed=False)) <= 1.5


@pytest.mark.parametrize("statement", [frozen_high, huge, always_idle])
def test_callers_of_an_owner_that_states_false_loads_are_served(statement: Statement) -> None:
    world = play(statement, 3, keyed=True)
    assert world.served("read", 4.0, ENDED - 4.0) >= SERVED_SHARE


def test_a_load_is_refuted_only_if_it_stays_impossible_for_longer_than_totals_are_old() -> None:
    check = StatedLoadCheck()
    idle = LoadReport(0, 0, 4)
    assert check.refute(idle, 4, 9, None, 10.0) is None
    assert check.refute(idle, 4, 9, None, 10.9) is None
    refuted = check.refute(idle, 4, 9, None, 11.0)
    assert refuted is not None and refuted.fault is LoadFault.UNDERSTATED
    assert (refuted.stated, refuted.known) == (0.0, 9.0)
    assert check.is_distrusted(11.0 + 0.9 * DISTRUST_TIME)
    assert not check.is_distrusted(11.0 + DISTRUST_TIME)


def test_a_plausible_load_in_between_ends_the_suspicion() -> None:
    check = StatedLoadCheck()
    for at in (10.0, 11.0, 12.0):
        assert check.refute(LoadReport(0, 0, 4), 4, 9, None, at) is None
        assert check.refute(LoadReport(4, 5, 4), 4, 9, None, at + 0.5) is None


def test_without_totals_a_long_queue_may_be_other_nodes_requests() -> None:
    check = StatedLoadCheck()
    for at in (10.0, 12.0):
        assert check.refute(LoadReport(4, 60, 4), 4, 1, None, at) is None
    assert check.refute(LoadReport(4, 60, 4), 4, 1, 3.0, 14.0) is None
    refuted = check.refute(LoadReport(4, 60, 4), 4, 1, 3.0, 15.0)
    assert refuted is not None and refuted.fault is LoadFault.OVERSTATED


def test_an_impossible_load_changes_nothing_that_was_known() -> None:
    state = BackendState(Backend("a", "s", "127.0.0.1:1", "z1", 4), ServiceWork(), 0.0)
    state.record_load(LoadReport(2, 0, 4), 1.0)
    refuted = state.record_load(LoadReport(10**9, 0, 4), 1.0)
    assert refuted is not None and refuted.fault is LoadFault.IMPOSSIBLE
    assert state.expected_load(1.0) == 2.0
