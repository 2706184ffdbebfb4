"""Requests for back ends that state a limit: permitted, sent elsewhere, or refused."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.commands import (
    Attempt,
    Command,
    RefusalReason,
    Refuse,
    RequestPermit,
    Wait,
)
from limedeck.forwarding.limits import LimitStatement
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.forwarding.permits import PERMIT_LIFETIME, Permit, PermitDenied
from limedeck.forwarding.protocol import LoadReport
from limedeck.forwarding.request import RequestCore, ServiceView
from limedeck.forwarding.request_permits import MAX_PERMIT_DENIALS, MAX_PERMIT_WAIT
from limedeck.model import Backend, Route, Target
from limedeck.routing.outcomes import FailurePhase, Outcome

NODES = 3


def directory_of(limits: dict[str, float | None]) -> BackendDirectory:
    directory = BackendDirectory("z1", "n")
    for number, (name, limit) in enumerate(limits.items()):
        directory.put(Backend(name, "s", f"127.0.0.1:{number}", "z1", 2), 0.0)
        if limit is not None:
            directory.limits.record(name, LimitStatement(limit, 1.0, 1.1))
    return directory


def core_of(
    directory: BackendDirectory, now: float = 10.0, keyed: bool = False, priority: int = 0
) -> RequestCore:
    route = Route("r", "host", "/", False, 2.0, 0.5, 3, priority, (Target("s", 1),))
    view = ServiceView("s", keyed, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    if keyed:
        view.owners = OwnerMap(1, (OwnedRange(0, 99, "a"),))
    position = 5 if keyed else None
    return RequestCore(b"r%d" % round(now * 1000), route, view, directory, position, now + 2.0, now)


def permit_command(command: Command) -> RequestPermit:
    assert isinstance(command, RequestPermit)
    return command


def test_permitted_request_is_sent_to_its_owner_at_its_turn() -> None:
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = permit_command(core.next_command(10.0, NODES))
    assert command.permit_request.bound.rate == 4.2
    waiting = core.handle_permit(command, Permit(0.05), 10.01, NODES)
    assert waiting == Wait(10.01 + 0.05)
    assert isinstance(core.next_command(10.07, NODES), Attempt)


def test_request_without_a_permit_for_its_owner_is_refused_at_once() -> None:
    directory = directory_of({"a": 4.2})
    core = core_of(directory, keyed=True)
    command = permit_command(core.next_command(10.0, NODES))
    refused = core.handle_permit(command, PermitDenied(0.2), 10.01, NODES)
    assert isinstance(refused, Refuse)
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, RefusalReason.LIMITED)
    assert 0.2 <= refused.retry_after <= 1.0
    # Requests that arrive meanwhile are refused without a permit request.
    assert isinstance(core_of(directory, 10.1, keyed=True).next_command(10.1, NODES), Refuse)
    permit_command(core_of(directory, 10.3, keyed=True).next_command(10.3, NODES))


def test_retry_times_of_refused_callers_are_spread() -> None:
    directory = directory_of({"a": 1.0})
    directory_state = directory.find("a")
    assert directory_state is not None
    directory_state.permits_denied_until = 10.2
    times = set()
    for number in range(20):
        core = core_of(directory, 10.0 + number / 1000, keyed=True)
        refused = core.next_command(10.0 + number / 1000, NODES)
        assert isinstance(refused, Refuse)
        times.add(round(refused.retry_after, 1))
    assert len(times) >= 5


def test_permit_that_arrives_too_late_is_not_used() -> None:
    """A node that froze would send in addition to what others have sent meanwhile."""
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = permit_command(core.next_command(10.0, NODES))
    permit_command(core.handle_permit(command, Permit(0.0), 10.01 + PERMIT_LIFETIME, NODES))


def test_permit_is_not_used_after_it_expired() -> None:
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = permit_command(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, Permit(0.08), 10.01, NODES), Wait)
    permit_command(core.next_command(10.01 + PERMIT_LIFETIME, NODES))


def test_each_attempt_needs_its_own_permit() -> None:
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = permit_command(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, Permit(0.0), 10.01, NODES), Attempt)
    core.next_command(10.02, NODES)
    permit_command(core.next_command(10.02, NODES))


def test_denied_request_is_sent_elsewhere_without_counting_an_attempt() -> None:
    directory = directory_of({"a": 4.2, "b": 3.0, "c": None})
    core = core_of(directory)
    command = core.next_command(10.0, NODES)
    while isinstance(command, RequestPermit):
        command = core.handle_permit(command, PermitDenied(0.2), 10.01, NODES)
    assert isinstance(command, Attempt)
    assert command.state.backend.backend_id == "c"
    assert core.attempts == 1


def test_request_is_refused_after_the_maximum_of_permit_denials() -> None:
    limits: dict[str, float | None] = {f"b{number}": 3.2 for number in range(20)}
    core = core_of(directory_of(limits))
    command = core.next_command(10.0, NODES)
    count = 0
    while isinstance(command, RequestPermit):
        count += 1
        command = core.handle_permit(command, PermitDenied(0.2), 10.01, NODES)
    assert count == MAX_PERMIT_DENIALS
    assert isinstance(command, Refuse)
    assert (command.outcome, command.reason) == (Outcome.NOT_RUN, RefusalReason.LIMITED)
    assert command.retry_after > 0.0


def test_urgent_requests_and_client_retries_wait_longer_for_their_turn() -> None:
    max_waits = []
    for priority in (0, 1, 4):
        core = core_of(directory_of({"a": 4.2}), priority=priority)
        max_waits.append(permit_command(core.next_command(10.0, NODES)).permit_request.max_wait)
    assert max_waits == [MAX_PERMIT_WAIT, MAX_PERMIT_WAIT / 2, MAX_PERMIT_WAIT / 5]
    core = core_of(directory_of({"a": 4.2}), priority=4)
    core.claim.is_client_retry = True
    assert permit_command(core.next_command(10.0, NODES)).permit_request.max_wait == MAX_PERMIT_WAIT


@pytest.mark.parametrize("keyed", [False, True])
def test_denial_does_not_outlast_the_limit(keyed: bool) -> None:
    """A node sent no requests for 40 s to a back end whose limit of zero was lifted.

    Another node had sent it the update, but the last denial ruled out permit requests until later.
    """
    directory = directory_of({"a": 0.0})
    core = core_of(directory, keyed=keyed)
    command = permit_command(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, PermitDenied(40.0), 10.01, NODES), Refuse)
    directory.limits.record("a", LimitStatement(None, 10.1, 10.2), object())
    assert isinstance(core_of(directory, 10.3, keyed).next_command(10.3, NODES), Attempt)


def test_permit_is_requested_again_soon_after_a_long_denial() -> None:
    directory = directory_of({"a": 0.0})
    core = core_of(directory)
    command = permit_command(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, PermitDenied(40.0), 10.01, NODES), Refuse)
    directory.limits.record("a", LimitStatement(40.0, 10.1, 10.2), object())
    permit_command(core_of(directory, 11.1).next_command(11.1, NODES))


def test_limit_does_not_apply_to_another_incarnation() -> None:
    directory = BackendDirectory("z1", "n")
    directory.put(Backend("a@1", "s", "127.0.0.1:1", "z1", 2, instance="a"), 0.0)
    directory.limits.record("a@1", LimitStatement(0.3, 1.0, 1.1))
    directory.put(Backend("a@2", "s", "127.0.0.1:1", "z1", 2, instance="a"), 5.0)
    assert isinstance(core_of(directory).next_command(10.0, NODES), Attempt)
    assert directory.limits.limited() == {}


def test_lower_of_cold_rate_and_stated_limit_applies() -> None:
    directory = directory_of({"a": 4.2})
    state = directory.find("a")
    assert state is not None
    directory.set_cold_rates({"s": 2.0})
    state.record_process_exit(9.9)
    bound = directory.availability.rate_bound(state, 10.0)
    assert bound is not None and bound.rate == 2.0


@pytest.mark.parametrize("reports_load", [True, False])
def test_back_end_with_a_limit_is_chosen_even_if_it_was_slow(reports_load: bool) -> None:
    """Otherwise it cannot state that it has recovered: five real nodes sent it nothing for 8 s."""
    limits: dict[str, float | None] = {"a": 4.2, "b": None, "c": None, "d": None}
    directory = directory_of(limits)
    for state in directory.all_states():
        took = 0.5 if state.backend.backend_id == "a" else 0.02
        state.record_response(took, LoadReport(1, 0, 2) if reports_load else None, 1.0, "r")
        state.reports_load = reports_load
    chosen = [core_of(directory, 10.0 + n / 100).next_command(10.0, NODES) for n in range(300)]
    permit_requests = sum(isinstance(command, RequestPermit) for command in chosen)
    assert 300 / 4 <= permit_requests <= 2.2 * 300 / 4


@given(
    st.dictionaries(
        st.sampled_from("abcd"), st.none() | st.floats(0.5, 20.0), min_size=1, max_size=4
    ),
    st.lists(st.booleans(), min_size=30, max_size=30),
    st.sampled_from([FailurePhase.REFUSED, FailurePhase.TURNED_AWAY, FailurePhase.NOT_CONNECTED]),
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_request_without_a_key_never_returns_to_a_back_end_that_rejected_it(
    limits: dict[str, float | None], permits: list[bool], phase: FailurePhase
) -> None:
    core = core_of(directory_of(limits))
    now = 10.0
    attempted: list[str] = []
    command = core.next_command(now, NODES)
    for is_permitted in permits:
        now += 0.01
        match command:
            case Refuse():
                break
            case RequestPermit():
                response = Permit(0.0) if is_permitted else PermitDenied(0.05)
                command = core.handle_permit(command, response, now, NODES)
            case Attempt(state):
                attempted.append(state.backend.backend_id)
                command = core.handle_failure(phase, now, NODES)
            case Wait(until):
                now = max(now, until)
                command = core.next_command(now, NODES)
    assert len(attempted) == len(set(attempted))
