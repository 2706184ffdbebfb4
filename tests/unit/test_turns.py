"""Decisions about turns: the order among requests for a back end without a free slot."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limedeck.forwarding import turn_decision
from limedeck.forwarding.route_mix import MAX_COUNT, UPDATE_INTERVAL, RouteMix
from limedeck.forwarding.turn_decision import Allowance, RouteDemand, queue_allowance
from limedeck.forwarding.turns import (
    NoTurn,
    QueueEstimate,
    QueueSource,
    SendNow,
    TurnAt,
    TurnRequest,
)
from limedeck.forwarding.waiting_requests import LIFETIME, WaitingCounts, WaitingRequests
from limedeck.model import Route, Target

SLOTS = 4
SERVICE_TIME = 0.1
REQUEST = TurnRequest(objective=0.5, age=0.0, time_left=3.0, work=SERVICE_TIME)


def queue(load: float, waiting: WaitingCounts | None = None, full: bool = False) -> QueueEstimate:
    wait = max(load + 1.0 - SLOTS, 0.0) / SLOTS * SERVICE_TIME
    return QueueEstimate(
        "a",
        load,
        SLOTS,
        wait,
        0.1,
        QueueSource.LEADER,
        full,
        waiting or WaitingCounts(),
        SERVICE_TIME,
    )


def route(name: str, priority: int) -> Route:
    return Route(name, "host", f"/{name}/", True, 3.0, 0.5, 3, priority, (Target("s", 1),))


# ---------------------------------------------------------------------- allowances


def test_less_urgent_requests_leave_room_in_the_queue_for_urgent_ones() -> None:
    urgent, bulk = RouteDemand(0, 0.4), RouteDemand(2, 2.5)
    assert queue_allowance(urgent, [urgent, bulk]) == Allowance(0.4, False, own_wait=0.4)
    reduced = queue_allowance(bulk, [urgent, bulk])
    assert reduced.is_reduced
    assert reduced.longest_wait == pytest.approx(turn_decision.URGENT_SHARE * 0.4)


def test_routes_of_equal_priority_take_nothing_from_each_other() -> None:
    one, other = RouteDemand(1, 0.2), RouteDemand(1, 2.0)
    assert queue_allowance(other, [one, other]) == Allowance(2.0, False, own_wait=2.0)


# ---------------------------------------------------------------------- turns


@given(
    st.floats(0.0, SLOTS - 0.01),
    st.floats(0.0, 5.0),
    st.floats(0.001, 5.0),
    st.floats(0.001, 5.0),
    st.booleans(),
)
def test_a_back_end_with_a_free_slot_gets_every_request(
    load: float, age: float, time_left: float, work: float, is_reduced: bool
) -> None:
    request = TurnRequest(0.5, age, time_left, work, draw=0.99)
    allowance = Allowance(0.0, is_reduced)
    assert turn_decision.decide(request, queue(load), allowance) == SendNow()


def test_urgent_requests_are_sent_behind_a_queue_in_which_less_urgent_ones_wait() -> None:
    busy = queue(load=10.0)
    assert turn_decision.decide(REQUEST, busy, Allowance(0.4, False)) == SendNow()
    turn = turn_decision.decide(REQUEST, busy, Allowance(0.14, True))
    assert isinstance(turn, TurnAt) and not turn.is_late


def test_less_urgent_requests_get_their_turn_though_the_queue_is_never_short() -> None:
    """Guards against requests that wait at an owner which is busy all the time, in vain."""
    allowance = Allowance(0.1, True, own_wait=2.0)
    patient = replace(REQUEST, objective=3.0, draw=0.0)
    busy = queue(load=10.0)
    assert isinstance(turn_decision.decide(patient, busy, allowance), TurnAt)
    waited = replace(patient, age=1.4, waited=1.4, time_left=1.4)
    assert turn_decision.decide(waited, busy, allowance) == SendNow()


def test_requests_that_would_be_late_are_refused_at_once_so_that_their_callers_can_return() -> None:
    late = replace(REQUEST, age=0.45)
    turn = turn_decision.decide(late, queue(load=10.0), Allowance(0.4, False))
    assert isinstance(turn, NoTurn)


def test_requests_that_have_waited_are_not_refused_any_more() -> None:
    """Guards against callers that wait and are then sent back with too little time."""
    waited = replace(REQUEST, age=0.45, waited=0.2)
    turn = turn_decision.decide(waited, queue(load=10.0), Allowance(0.4, False))
    assert isinstance(turn, TurnAt) and turn.is_late


def test_late_client_retries_wait_until_there_is_hardly_a_queue() -> None:
    late = replace(REQUEST, age=0.45, is_client_retry=True)
    turn = turn_decision.decide(late, queue(load=10.0), Allowance(0.4, False))
    assert isinstance(turn, TurnAt) and turn.is_late
    assert turn_decision.decide(late, queue(load=5.0), Allowance(0.4, False)) == SendNow()


def test_requests_that_cannot_be_served_before_their_callers_leave_are_refused_at_once() -> None:
    hopeless = replace(REQUEST, time_left=0.1)
    turn = turn_decision.decide(hopeless, queue(load=30.0), Allowance(0.4, False))
    assert isinstance(turn, NoTurn)


def test_a_client_retry_is_refused_if_its_turn_is_not_expected_in_its_time() -> None:
    retry = replace(REQUEST, age=0.6, time_left=1.0, is_client_retry=True)
    crowd = queue(load=8.0, waiting=WaitingCounts(in_time=30, late=20))
    turn = turn_decision.decide(retry, crowd, Allowance(0.4, True))
    assert isinstance(turn, NoTurn) and turn.room_in > 1.0


def test_a_request_is_refused_if_those_that_wait_before_it_take_too_long() -> None:
    crowd = queue(load=8.0, waiting=WaitingCounts(in_time=30))
    turn = turn_decision.decide(REQUEST, crowd, Allowance(0.1, True))
    assert isinstance(turn, NoTurn)


def test_late_requests_may_queue_the_longer_the_less_time_they_have_left() -> None:
    allowance = Allowance(0.4, False)
    fresh = replace(REQUEST, age=1.0, waited=0.2, time_left=3.0)
    old = replace(REQUEST, age=1.0, waited=2.0, time_left=1.0)
    assert isinstance(turn_decision.decide(fresh, queue(load=12.0), allowance), TurnAt)
    assert turn_decision.decide(old, queue(load=12.0), allowance) == SendNow()


def test_nothing_is_sent_to_a_back_end_that_is_known_to_be_full() -> None:
    turn = turn_decision.decide(REQUEST, queue(load=3.0, full=True), Allowance(0.4, False))
    assert isinstance(turn, TurnAt)


def test_a_full_back_end_gets_nothing_of_which_the_work_is_not_known() -> None:
    """Guards against requests that a full back end resets, so that they may have run."""
    unknown = replace(REQUEST, work=None)
    turn = turn_decision.decide(unknown, queue(load=30.0, full=True), Allowance(0.4, False))
    assert isinstance(turn, NoTurn)
    assert turn_decision.decide(unknown, queue(load=30.0), Allowance(0.4, False)) == SendNow()


@given(st.floats(0.1, 3.0), st.floats(1.0, 30.0), st.integers(0, 30), st.booleans())
def test_a_request_that_is_kept_is_sent_before_its_time_is_over(
    objective: float, deadline: float, waiting: int, is_client_retry: bool
) -> None:
    """Guards against requests that wait for their whole time, and are refused at its end."""
    busy = queue(load=10.0, waiting=WaitingCounts(in_time=waiting, late=waiting))
    allowance = Allowance(0.05, True, own_wait=max(objective - SERVICE_TIME, 0.0))
    waited, turn = 0.0, None
    while waited < deadline - 0.02:
        request = TurnRequest(
            objective, waited, deadline - waited, SERVICE_TIME, waited, is_client_retry
        )
        turn = turn_decision.decide(request, busy, allowance)
        if not isinstance(turn, TurnAt):
            break
        waited += turn.delay
    if isinstance(turn, NoTurn):
        assert waited <= turn_decision.EARLY_REFUSAL_FRACTION * objective
    else:
        assert turn == SendNow()
        assert waited <= 0.75 * deadline


def test_requests_that_wait_at_all_nodes_are_sent_only_as_far_as_they_fit() -> None:
    """Guards against 60 nodes that all send what waits there when the totals show room."""
    waiting = WaitingCounts(in_time=40)
    estimate = queue(load=5.0, waiting=waiting)
    room = estimate.room_up_to(0.14, SERVICE_TIME)
    sent = sum(
        turn_decision.decide(replace(REQUEST, draw=index / 40), estimate, Allowance(0.14, True))
        == SendNow()
        for index in range(40)
    )
    assert abs(sent - room) <= 1.0


def test_late_requests_get_no_room_that_requests_in_time_need() -> None:
    late = replace(REQUEST, age=0.5, draw=0.0, is_client_retry=True)
    allowance = Allowance(0.4, False)
    crowded = queue(load=4.0, waiting=WaitingCounts(in_time=10, late=10))
    assert isinstance(turn_decision.decide(late, crowded, allowance), TurnAt)
    left_over = queue(load=4.0, waiting=WaitingCounts(in_time=0, late=10))
    assert turn_decision.decide(late, left_over, allowance) == SendNow()


@given(st.floats(0.0, 100.0), st.floats(0.0, 3.0), st.integers(0, 50), st.floats(0.0, 1.0))
def test_a_waiting_request_asks_again_before_it_no_longer_counts(
    load: float, age: float, waiting: int, draw: float
) -> None:
    request = TurnRequest(0.5, age, 10.0, SERVICE_TIME, draw=draw)
    estimate = queue(load, WaitingCounts(waiting, waiting))
    turn = turn_decision.decide(request, estimate, Allowance(0.2, True))
    if isinstance(turn, TurnAt):
        assert 0.0 < turn.delay < LIFETIME / 1.5


# ---------------------------------------------------------------------- what waits


def test_requests_count_as_waiting_until_they_have_not_asked_for_a_while() -> None:
    waiting = WaitingRequests()
    waiting.record(b"1", False, 1.0)
    waiting.record(b"2", True, 1.1)
    assert waiting.counts(1.2) == WaitingCounts(1, 1)
    waiting.record(b"1", True, 1.3)
    assert waiting.counts(1.3) == WaitingCounts(0, 2)
    assert waiting.counts(1.1 + LIFETIME) == WaitingCounts(0, 1)
    waiting.discard(b"1")
    assert not waiting.counts(1.2)


def test_room_is_kept_only_for_routes_with_a_part_of_the_requests() -> None:
    mix = RouteMix()
    rare, usual = route("rare", 0), route("usual", 2)
    for _ in range(2):
        mix.record(rare)
    for _ in range(4 * UPDATE_INTERVAL):
        mix.record(usual)
    assert list(mix.routes) == [usual] and not mix.has_priorities


def test_routes_without_requests_are_forgotten() -> None:
    mix = RouteMix()
    for _ in range(UPDATE_INTERVAL):
        mix.record(route("former", 0))
    for _ in range(int(10 * MAX_COUNT)):
        mix.record(route("usual", 2))
    assert [item.name for item in mix.routes] == ["usual"]
