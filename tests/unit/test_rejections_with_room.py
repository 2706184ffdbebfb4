"""Back ends that reject requests although they report room for them."""

from __future__ import annotations

import pytest

from limedeck.forwarding.backend_state import FAILURES_TO_EJECT, BackendState
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.commands import Attempt, Wait
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.forwarding.protocol import LoadReport
from limedeck.forwarding.request import RequestCore, ServiceView
from limedeck.forwarding.route_mix import UPDATE_INTERVAL
from limedeck.model import Backend, Route, Target
from limedeck.routing.outcomes import FailurePhase

SLOTS = 4
HANDLED_AFTER = 0.001
"""Seconds from the reading of a response to the decision that follows it."""


def route(name: str, priority: int) -> Route:
    return Route(name, "host", f"/{name}/", True, 3.0, 0.5, 3, priority, (Target("s", 1),))


def directory_of(*names: str) -> BackendDirectory:
    directory = BackendDirectory("z1", "n1")
    for name in names:
        directory.put(Backend(name, "s", f"127.0.0.1:{len(name)}", "z1", SLOTS), 0.0)
    return directory


def state_in(directory: BackendDirectory, name: str) -> BackendState:
    state = directory.find(name)
    assert state is not None
    return state


def reject(core: RequestCore, state: BackendState, report: LoadReport, now: float) -> object:
    state.record_load(report, now)
    return core.handle_failure(FailurePhase.REFUSED, now + HANDLED_AFTER, 3)


@pytest.mark.parametrize(
    ("report", "is_full"),
    [(LoadReport(1, 0, SLOTS), False), (LoadReport(SLOTS, 12, SLOTS), True)],
    ids=["room", "full"],
)
def test_a_rejection_counts_as_a_failure_unless_the_queue_is_full(
    report: LoadReport, is_full: bool
) -> None:
    """Guards against back ends that are taken for full, and are passed over, while they idle."""
    directory = directory_of("a")
    state = state_in(directory, "a")
    for step in range(FAILURES_TO_EJECT):
        now = 1.0 + step
        state.record_load(report, now)
        state.record_rejection(now + HANDLED_AFTER)
    assert state.is_ejected(now + 2 * HANDLED_AFTER) is not is_full
    assert (state.full_load is not None) is is_full
    sample = state.take_sample(now)
    assert (sample is not None and sample.failures > 0) is not is_full


def test_a_request_rejected_by_a_back_end_with_room_goes_to_another() -> None:
    directory = directory_of("a", "bb")
    view = ServiceView("s", False, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    core = RequestCore(b"1", route("r", 0), view, directory, None, 4.0, 1.0)
    first = core.next_command(1.0, 3)
    assert isinstance(first, Attempt)
    second = reject(core, first.state, LoadReport(0, 0, SLOTS), 1.01)
    assert isinstance(second, Attempt) and second.state is not first.state


def test_a_request_whose_owner_rejects_it_with_room_is_sent_again_where_requests_get_turns() -> (
    None
):
    """An owner that rejects a part of its requests serves most of them at the second attempt."""
    directory = directory_of("a")
    state = state_in(directory, "a")
    view = ServiceView("s", True, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    view.owners = OwnerMap(1, (OwnedRange(0, 9, "a"),))
    for _ in range(UPDATE_INTERVAL):
        view.mix.record(route("urgent", 0))
        view.mix.record(route("bulk", 2))
        for name in ("urgent", "bulk"):
            state.record_response(0.1, LoadReport(1, 0, SLOTS), 0.5, name)
    core = RequestCore(b"1", route("bulk", 2), view, directory, 5, 4.0, 1.0)
    assert isinstance(core.next_command(1.0, 3), Attempt)
    command = reject(core, state, LoadReport(1, 0, SLOTS), 1.01)
    now = 1.01
    while isinstance(command, Wait):
        now = command.until
        command = core.next_command(now, 3)
    assert isinstance(command, Attempt)
    assert now <= 1.1


def test_one_patient_caller_does_not_make_others_look_like_retries_for_long() -> None:
    """Guards against first attempts that are taken for late ones until the node restarts."""
    view = ServiceView("s", False, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    assert not view.record_wait("r", 30.0)
    assert view.record_wait("r", 3.0)
    for _ in range(200):
        view.record_wait("r", 3.0)
    assert not view.record_wait("r", 3.0)
    assert view.time_since_first_attempt("r", 3.0) < 0.1


def test_a_connection_that_is_turned_away_is_no_failure_of_a_back_end_with_room() -> None:
    """Guards against back ends that are ejected after a single reset connection."""
    directory = directory_of("a", "bb")
    view = ServiceView("s", False, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    core = RequestCore(b"1", route("r", 0), view, directory, None, 4.0, 1.0)
    first = core.next_command(1.0, 3)
    assert isinstance(first, Attempt)
    first.state.record_load(LoadReport(0, 0, SLOTS), 1.0)
    core.handle_failure(FailurePhase.TURNED_AWAY, 1.01, 3)
    assert first.state.failures == 0
