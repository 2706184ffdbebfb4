"""How requests without a key are divided among back ends that differ in speed, for good and for
moments, by many nodes that learn of each other's requests up to a second late."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection
from dataclasses import replace

import pytest

from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.service_speed import MeasuredSpeed, ServiceSpeed
from limedeck.forwarding.sharing import kept_part, remaining_load, speed_exponent
from tests.unit import load_world

SPEEDS = (0.5, 1.0, 1.5)
TOTALS_DELAY = (0.05, 0.75)
"""With the interval of reports and the one of totals, totals are 0.3 to 1 s old when used."""
MEAN_SLOWNESS = 0.8 + 0.2 * 3.0
WORK = 0.223
SLOTS = 6
OBJECTIVE = 0.8
FROM, ENDED = 2.0, 18.0
UNTIL = ENDED - 2.5
MAX_BUSIEST_TO_MEAN = 1.3
MAX_BUSIEST_TO_MEAN_UNIFORM = 1.15
MAX_BELOW_ORACLE = 0.05
"""Difference of the parts in time to a choice that knows all queues."""


def lasting_speeds(count: int) -> list[float]:
    return [random.Random(number).choice(SPEEDS) for number in range(count)]


def uneven(
    nodes: int, choose: load_world.Chooser | None = None, use: float = 0.7
) -> tuple[load_world.LoadWorld, list[float]]:
    """Play back ends of three speeds that are slow for moments, at a part of what they can do."""
    speeds = lasting_speeds(38)
    rate = use * sum(speeds) * SLOTS / WORK / MEAN_SLOWNESS
    world = load_world.LoadWorld(
        [load_world.kind("read", rate, WORK, OBJECTIVE, 4.0)],
        [load_world.slow_moments(speed, number) for number, speed in enumerate(speeds)],
        nodes,
        slots=SLOTS,
        queue=24,
        totals_delay=TOTALS_DELAY,
        choose=choose,
    )
    world.run(ENDED)
    return world, speeds


def uniform(choose: load_world.Chooser | None = None) -> load_world.LoadWorld:
    rate = 0.7 * 38 * SLOTS / WORK
    world = load_world.LoadWorld(
        [load_world.kind("read", rate, WORK, 0.519, 2.6)],
        [1.0] * 38,
        70,
        slots=SLOTS,
        queue=24,
        totals_delay=TOTALS_DELAY,
        choose=choose,
    )
    world.run(ENDED)
    return world


# ---------------------------------------------------------------------- whole fleets


def test_many_nodes_divide_requests_evenly_among_equal_back_ends() -> None:
    assert uniform().busiest_to_mean() <= MAX_BUSIEST_TO_MEAN_UNIFORM


@pytest.mark.parametrize("nodes", [3, 70])
def test_requests_are_divided_by_speed(nodes: int) -> None:
    world, speeds = uneven(nodes)
    assert world.busiest_to_mean(speeds) <= MAX_BUSIEST_TO_MEAN


@pytest.mark.parametrize("nodes", [3, 70])
def test_callers_are_served_in_time_as_by_a_choice_that_knows_all_queues(nodes: int) -> None:
    world, _ = uneven(nodes)
    oracle, _ = uneven(nodes, load_world.choose_by_true_queues)
    difference = oracle.in_time("read", FROM, UNTIL) - world.in_time("read", FROM, UNTIL)
    assert difference <= MAX_BELOW_ORACLE


def choose_of_two(
    world: load_world.LoadWorld, directory: BackendDirectory, excluded: Collection[str]
) -> BackendState | None:
    """The rejected alternative: the better of two back ends drawn at random."""
    now = world.env.now
    states = [
        state
        for state in directory.of_service(load_world.SERVICE)
        if state.backend.backend_id not in excluded
    ]
    drawn = world.source.sample(states, 2)
    return min(
        drawn, key=lambda state: state.expected_time(now, WORK) * world.source.uniform(1, 1.1)
    )


def choose_of_subset(
    world: load_world.LoadWorld, directory: BackendDirectory, excluded: Collection[str]
) -> BackendState | None:
    """The rejected alternative: the better of two of eight back ends that each node has."""
    now = world.env.now
    states = [
        state
        for state in directory.of_service(load_world.SERVICE)
        if state.backend.backend_id not in excluded
    ]
    number = next(
        index for index, node in enumerate(world.node_list) if node.directory is directory
    )
    subset = random.Random(number).sample(range(len(states)), 8)
    drawn = [states[index] for index in world.source.sample(subset, 2)]
    return min(drawn, key=lambda state: state.expected_time(now, WORK))


@pytest.mark.parametrize("choose", [choose_of_two, choose_of_subset])
def test_levelling_shares_serve_more_callers_in_time(choose: load_world.Chooser) -> None:
    shares, other = uniform(), uniform(choose)
    assert shares.in_time("read", FROM, UNTIL) > other.in_time("read", FROM, UNTIL)


@pytest.mark.parametrize("nodes", [3, 70])
def test_a_back_end_has_its_share_back_two_seconds_after_it_was_slow(nodes: int) -> None:
    """It is tried meanwhile, but gets few requests."""

    def slow_for_seconds(now: float) -> float:
        return 0.2 if 6.0 <= now < 11.0 else 1.0

    speeds: list[float | Callable[[float], float]] = [slow_for_seconds, *[1.0] * 11]
    world = load_world.LoadWorld(
        [load_world.kind("read", 0.5 * 12 * SLOTS / WORK, WORK, OBJECTIVE, 4.0)],
        speeds,
        nodes,
        slots=SLOTS,
        queue=24,
        totals_delay=TOTALS_DELAY,
    )
    world.run(ENDED)

    def share(since: float, until: float) -> float:
        counts = [
            sum(since <= at < until for at in item.arrivals_at) for item in world.backends.values()
        ]
        return counts[0] / (sum(counts[1:]) / len(counts[1:]))

    well_since = 11.0 + WORK / 0.2
    assert 0.02 < share(8.0, 11.0) < 0.6
    assert share(well_since + 2.0, ENDED) >= 0.8


def swinging_zones() -> load_world.LoadWorld:
    """Play three zones whose demand swings by a half each 12 s, out of step."""
    mean = 0.6 * 39 * SLOTS / WORK / 3

    def demand(zone: int) -> Callable[[float], float]:
        return lambda now: mean * (1.0 + 0.5 * math.sin(2.0 * math.pi * (now / 12.0 + zone / 3)))

    kinds = [
        replace(load_world.kind(f"read{zone}", demand(zone), WORK, 0.519, 2.6), zone=f"z{zone + 1}")
        for zone in range(3)
    ]
    world = load_world.LoadWorld(
        kinds, [1.0] * 39, 69, slots=SLOTS, queue=24, zones=3, totals_delay=TOTALS_DELAY
    )
    world.run(ENDED)
    return world


def test_other_zones_serve_the_peak_of_a_zone_and_little_else() -> None:
    """Guards against nodes that know too few back ends' loads to use those of other zones."""
    world = swinging_zones()
    for zone in range(3):
        assert world.in_time(f"read{zone}", FROM, UNTIL) >= 0.97
    assert world.sent_to_other_zones <= 0.25 * world.sent


# ---------------------------------------------------------------------- speed and slowness


def test_a_moment_of_slowness_hardly_changes_the_lasting_service_time() -> None:
    speed = MeasuredSpeed(0.0, 0.0)
    for step in range(100):
        speed.record(3, 0.1, step * 0.25)
    speed.record(3, 0.3, 25.0)
    speed.record(3, 0.3, 25.25)
    assert speed.lasting == pytest.approx(0.1, rel=0.15)


def test_a_slow_back_end_shows_within_two_seconds_and_so_does_its_recovery() -> None:
    speed = MeasuredSpeed(0.1, 0.0)
    for step in range(40):
        speed.record(4, 0.1, step * 0.25)
    assert speed.slowness(10.0) == 1.0
    for step in range(8):
        speed.record(4, 0.5, 10.0 + step * 0.25)
    assert speed.slowness(12.0) > 1.5
    assert speed.slowness(15.0) == 1.0


def test_one_response_is_no_slowness() -> None:
    """Guards against a short first request that draws the requests of all nodes."""
    speed = MeasuredSpeed(0.1, 0.0)
    speed.record(1, 0.005, 1.0)
    assert speed.slowness(1.0) == 1.0


def test_a_slowness_fades_at_a_node_that_hears_no_more_of_it() -> None:
    known = ServiceSpeed()
    assert known.service_time(1.0) is None
    known.record(0.1, 4.0, 1.0)
    assert known.service_time(1.0) == pytest.approx(0.4)
    assert known.present_slowness(4.0) < 1.1
    known.record(0.0, 4.0, 5.0)
    assert known.service_time(6.0) == pytest.approx(0.1, rel=0.05)


# ---------------------------------------------------------------------- shares


def test_a_queue_is_worked_off_at_the_rate_of_the_back_end_and_slots_empty_ever_slower() -> None:
    assert remaining_load(10.0, 4, 20.0, 0.2) == pytest.approx(6.0)
    assert remaining_load(10.0, 4, 20.0, 0.3) == pytest.approx(4.0)
    assert remaining_load(10.0, 4, 20.0, 0.5) == pytest.approx(4.0 * 2.718281828**-1.0)
    assert kept_part(5.0, 1e-6) == pytest.approx(1.0, abs=1e-4)
    assert kept_part(5.0, 100.0) == pytest.approx(1.0 / 500.0)


def test_fast_back_ends_have_more_slots_in_use_only_while_requests_wait() -> None:
    assert speed_exponent(0.3) == 0.0
    assert 0.0 < speed_exponent(0.6) < speed_exponent(0.7) <= 0.5
    assert speed_exponent(5.0) == 0.5
