"""Back ends that are well again are used again, whatever nodes learned while they were slow."""

from __future__ import annotations

import pytest

from tests.unit import load_world

SLOW_FROM, SLOW_UNTIL = 3.0, 6.0
WORK = 0.05
SLOWNESS = 28.0
WELL_SINCE = SLOW_UNTIL + WORK * SLOWNESS
"""When the last requests that began in that time have ended and their slots are free."""
SERVED_SHARE = 0.97
RECOVERY = 1.0
"""Seconds after the back ends are well within which callers are served again."""
ENDED = 18.0


def slow_for_a_moment(now: float) -> float:
    return 1.0 / SLOWNESS if SLOW_FROM <= now < SLOW_UNTIL else 1.0


def play(keyed: bool, nodes: int, reports_load: bool, rate: float = 100.0) -> load_world.LoadWorld:
    kind = load_world.kind("read", rate, WORK, objective=0.5, deadline=4.0)
    world = load_world.LoadWorld(
        [kind], [slow_for_a_moment] * 8, nodes, keyed=keyed, reports_load=reports_load, slots=2
    )
    world.run(ENDED)
    return world


@pytest.mark.parametrize("nodes", [3, 60])
@pytest.mark.parametrize("keyed", [False, True], ids=["unkeyed", "keyed"])
@pytest.mark.parametrize("reports_load", [False, True], ids=["silent", "reports"])
def test_idle_back_ends_are_used_again_after_a_moment_of_slowness(
    keyed: bool, nodes: int, reports_load: bool
) -> None:
    """Guards against estimates that refuse every request and are never corrected by a response."""
    world = play(keyed, nodes, reports_load)
    assert world.in_time("read", since=WELL_SINCE + RECOVERY, until=ENDED - 2.0) >= SERVED_SHARE


def test_callers_are_served_again_at_higher_load() -> None:
    world = play(keyed=False, nodes=3, reports_load=True, rate=220.0)
    assert world.in_time("read", since=WELL_SINCE + RECOVERY, until=ENDED - 2.0) >= SERVED_SHARE


def test_requests_are_not_all_refused_while_back_ends_are_slow() -> None:
    """An idle back end is always worth a request: nothing else shows whether it is well again."""
    world = play(keyed=False, nodes=3, reports_load=True)
    since = SLOW_FROM + 2.0
    arrived = world.backend_arrivals(since, SLOW_UNTIL)
    assert arrived > 0
