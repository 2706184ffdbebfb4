"""One request at back ends that name how much they take: asked for, sent elsewhere, or refused."""

from __future__ import annotations

import pytest

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
from limedeck.forwarding.request_permits import MAX_PERMIT_WAIT, MAX_PERMIT_DENIALS
from limedeck.model import Backend, Route, Target
from limedeck.routing.outcomes import Outcome

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


def asked(command: Command) -> RequestPermit:
    assert isinstance(command, RequestPermit)
    return command


def test_an_owner_that_has_room_gets_the_request_at_its_turn() -> None:
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = asked(core.next_command(10.0, NODES))
    assert command.permit_request.bound.rate == 4.2
    waiting = core.handle_permit(command, Permit(0.05), 10.01, NODES)
    assert waiting == Wait(10.01 + 0.05)
    assert isinstance(core.next_command(10.07, NODES), Attempt)


def test_without_room_at_its_owner_a_request_is_refused_at_once_and_truly() -> None:
    directory = directory_of({"a": 4.2})
    core = core_of(directory, keyed=True)
    command = asked(core.next_command(10.0, NODES))
    refused = core.handle_permit(command, PermitDenied(0.2), 10.01, NODES)
    assert isinstance(refused, Refuse)
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, RefusalReason.LIMITED)
    assert 0.2 <= refused.retry_after <= 1.0
    # Those that come meanwhile need not ask.
    assert isinstance(core_of(directory, 10.1, keyed=True).next_command(10.1, NODES), Refuse)
    asked(core_of(directory, 10.3, keyed=True).next_command(10.3, NODES))


def test_callers_are_told_to_return_one_after_the_other() -> None:
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


def test_a_permit_that_came_too_late_is_not_used() -> None:
    """A machine that froze would send what the back end has had from others meanwhile."""
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = asked(core.next_command(10.0, NODES))
    asked(core.handle_permit(command, Permit(0.0), 10.01 + PERMIT_LIFETIME, NODES))


def test_a_permit_that_was_not_used_in_time_is_not_used_later() -> None:
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = asked(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, Permit(0.08), 10.01, NODES), Wait)
    asked(core.next_command(10.01 + PERMIT_LIFETIME, NODES))


def test_another_attempt_needs_another_permit() -> None:
    core = core_of(directory_of({"a": 4.2}), keyed=True)
    command = asked(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, Permit(0.0), 10.01, NODES), Attempt)
    core.next_command(10.02, NODES)
    asked(core.next_command(10.02, NODES))


def test_what_has_no_room_is_sent_to_another_one_and_no_attempt_is_lost_by_that() -> None:
    directory = directory_of({"a": 4.2, "b": 3.0, "c": None})
    core = core_of(directory)
    command = core.next_command(10.0, NODES)
    while isinstance(command, RequestPermit):
        command = core.handle_permit(command, PermitDenied(0.2), 10.01, NODES)
    assert isinstance(command, Attempt)
    assert command.state.backend.backend_id == "c"
    assert core.attempts == 1


def test_a_request_asks_few_back_ends_and_is_then_sent_or_refused() -> None:
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


def test_the_urgent_and_who_came_back_wait_longer_for_their_turn() -> None:
    patience = []
    for priority in (0, 1, 4):
        core = core_of(directory_of({"a": 4.2}), priority=priority)
        patience.append(asked(core.next_command(10.0, NODES)).permit_request.max_wait)
    assert patience == [MAX_PERMIT_WAIT, MAX_PERMIT_WAIT / 2, MAX_PERMIT_WAIT / 5]
    core = core_of(directory_of({"a": 4.2}), priority=4)
    core.claim.is_client_retry = True
    assert asked(core.next_command(10.0, NODES)).permit_request.max_wait == MAX_PERMIT_WAIT


@pytest.mark.parametrize("keyed", [False, True])
def test_who_was_turned_away_hears_that_the_limit_is_lifted(keyed: bool) -> None:
    """A node sent a back end nothing for 40 s that had named zero and needed no limit any more.

    Another node had heard so, and told it; but it had been told to ask no sooner.
    """
    directory = directory_of({"a": 0.0})
    core = core_of(directory, keyed=keyed)
    command = asked(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, PermitDenied(40.0), 10.01, NODES), Refuse)
    directory.limits.record("a", LimitStatement(None, 10.1, 10.2), object())
    assert isinstance(core_of(directory, 10.3, keyed).next_command(10.3, NODES), Attempt)


def test_who_was_turned_away_asks_again_soon_since_a_limit_may_have_risen() -> None:
    directory = directory_of({"a": 0.0})
    core = core_of(directory)
    command = asked(core.next_command(10.0, NODES))
    assert isinstance(core.handle_permit(command, PermitDenied(40.0), 10.01, NODES), Refuse)
    directory.limits.record("a", LimitStatement(40.0, 10.1, 10.2), object())
    asked(core_of(directory, 11.1).next_command(11.1, NODES))


def test_another_life_of_a_back_end_has_no_limit() -> None:
    directory = BackendDirectory("z1", "n")
    directory.put(Backend("a@1", "s", "127.0.0.1:1", "z1", 2, instance="a"), 0.0)
    directory.limits.record("a@1", LimitStatement(0.3, 1.0, 1.1))
    directory.put(Backend("a@2", "s", "127.0.0.1:1", "z1", 2, instance="a"), 5.0)
    assert isinstance(core_of(directory).next_command(10.0, NODES), Attempt)
    assert directory.limits.limited() == {}


def test_of_a_cold_one_that_names_a_limit_the_lower_bound_holds() -> None:
    directory = directory_of({"a": 4.2})
    state = directory.find("a")
    assert state is not None
    directory.set_cold_rates({"s": 2.0})
    state.record_process_exit(9.9)
    bound = directory.availability.rate_bound(state, 10.0)
    assert bound is not None and bound.rate == 2.0


@pytest.mark.parametrize("reports_load", [True, False])
def test_one_that_names_a_limit_is_used_though_it_was_slow_once(reports_load: bool) -> None:
    """Five real nodes sent it nothing for eight seconds: it could not say that it is well again."""
    limits: dict[str, float | None] = {"a": 4.2, "b": None, "c": None, "d": None}
    directory = directory_of(limits)
    for state in directory.all_states():
        took = 0.5 if state.backend.backend_id == "a" else 0.02
        state.record_response(took, LoadReport(1, 0, 2) if reports_load else None, 1.0, "r")
        state.reports_load = reports_load
    chosen = [core_of(directory, 10.0 + n / 100).next_command(10.0, NODES) for n in range(300)]
    asks = sum(isinstance(command, RequestPermit) for command in chosen)
    assert 300 / 4 <= asks <= 2.2 * 300 / 4
