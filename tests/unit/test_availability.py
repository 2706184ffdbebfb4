"""Availability checks, and the refusals that follow from them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limedeck.forwarding.availability import LEAVING_OWNER_GRACE, MAX_PROBES, UnavailableCause
from limedeck.forwarding.backends import MAX_CONFIRMATION_AGE, BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.commands import (
    Attempt,
    Command,
    RefusalReason,
    Refuse,
    RequestPermit,
    Wait,
)
from limedeck.forwarding.leaving import LeavingStatement
from limedeck.forwarding.limits import LimitStatement
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.forwarding.permits import Permit
from limedeck.forwarding.refusals import MAX_MOVE_WAIT, MOVE_WAIT_FRACTION
from limedeck.forwarding.request import MAX_BACKOFF_REJECTIONS, RequestCore, ServiceView
from limedeck.model import Backend, Route, Target
from limedeck.routing.outcomes import FailurePhase, Outcome

NODES = 3
KEY = 5


def directory_of(*names: str) -> BackendDirectory:
    directory = BackendDirectory("z1", "n")
    for number, name in enumerate(names):
        directory.put(Backend(name, "s", f"127.0.0.1:{number}", "z1", 2), 0.0)
    return directory


def announce_leaving(directory: BackendDirectory, *names: str, at: float = 9.0) -> None:
    for name in names:
        directory.leaving.record(name, LeavingStatement(True, at, at))


def core_of(
    directory: BackendDirectory, now: float = 10.0, owner: str | None = None
) -> RequestCore:
    route = Route("r", "host", "/", True, 2.0, 0.5, 5, 0, (Target("s", 1),))
    view = ServiceView("s", owner is not None, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    if owner is not None:
        view.owners = OwnerMap(1, (OwnedRange(0, 99, owner),))
    key = KEY if owner is not None else None
    name = b"%d" % round(now * 1000)
    return RequestCore(name, route, view, directory, key, now + 2.0, now)


def first_command(
    directory: BackendDirectory, now: float = 10.0, owner: str | None = None
) -> Command:
    return core_of(directory, now, owner).next_command(now, NODES)


def assert_refused(command: Command, reason: RefusalReason) -> Refuse:
    assert isinstance(command, Refuse)
    assert (command.outcome, command.reason) == (Outcome.NOT_RUN, reason)
    return command


def test_leaving_back_end_is_not_chosen() -> None:
    directory = directory_of("a", "b", "c")
    announce_leaving(directory, "a", "b")
    for number in range(50):
        command = first_command(directory, 10.0 + number / 100)
        assert isinstance(command, Attempt)
        assert command.state.backend.backend_id == "c"


def test_request_is_refused_if_all_back_ends_are_leaving() -> None:
    directory = directory_of("a", "b")
    announce_leaving(directory, "a", "b")
    refusal = assert_refused(first_command(directory), RefusalReason.LEAVING)
    assert refusal.retry_after >= 1.0


def test_retry_skips_back_end_that_started_leaving() -> None:
    directory = directory_of("a", "b")
    core = core_of(directory)
    command = core.next_command(10.0, NODES)
    assert isinstance(command, Attempt)
    announce_leaving(directory, "a", "b", at=10.1)
    core.service.budget.record_request(10.0)
    assert_refused(core.handle_failure(FailurePhase.REFUSED, 10.2, NODES), RefusalReason.REFUSED)


def test_permit_is_not_used_once_back_end_is_leaving() -> None:
    directory = directory_of("a")
    directory.limits.record("a", LimitStatement(4.2, 1.0, 1.1))
    core = core_of(directory)
    command = core.next_command(10.0, NODES)
    assert isinstance(command, RequestPermit)
    assert isinstance(core.handle_permit(command, Permit(0.05), 10.01, NODES), Wait)
    announce_leaving(directory, "a", at=10.02)
    assert_refused(core.next_command(10.06, NODES), RefusalReason.LEAVING)


def test_leaving_owner_receives_requests_only_while_its_keys_move() -> None:
    directory = directory_of("a", "b")
    announce_leaving(directory, "a", at=10.0)
    just_before = 10.0 + LEAVING_OWNER_GRACE - 0.01
    assert isinstance(first_command(directory, just_before, owner="a"), Attempt)
    refusal = assert_refused(
        first_command(directory, 10.0 + LEAVING_OWNER_GRACE, owner="a"), RefusalReason.LEAVING
    )
    assert 0.25 <= refusal.retry_after <= 0.55


def test_waiting_request_is_not_sent_to_leaving_owner() -> None:
    directory = directory_of("a", "b")
    core = core_of(directory, owner="a")
    assert isinstance(core.next_command(10.0, NODES), Attempt)
    assert isinstance(core.handle_failure(FailurePhase.REFUSED, 10.01, NODES), Wait)
    announce_leaving(directory, "a", at=10.06 - LEAVING_OWNER_GRACE)
    assert_refused(core.next_command(10.06, NODES), RefusalReason.LEAVING)


@pytest.mark.parametrize("by_entry", [True, False])
def test_entry_and_responses_stop_requests_to_owner_alike(by_entry: bool) -> None:
    directory = directory_of("a", "b")
    if by_entry:
        directory.put(Backend("a", "s", "127.0.0.1:0", "z1", 2, draining=True), 10.0)
    else:
        announce_leaving(directory, "a", at=10.0)
    state = directory.find("a")
    assert state is not None
    assert directory.availability.check_owner(state, 10.0 + LEAVING_OWNER_GRACE - 0.01) is None
    unavailable = directory.availability.check_owner(state, 10.0 + LEAVING_OWNER_GRACE)
    assert unavailable is not None and unavailable.cause is UnavailableCause.LEAVING


def test_leaving_back_end_is_shown_to_leader_as_draining() -> None:
    directory = directory_of("a", "b")
    announce_leaving(directory, "a")
    shown = directory.owner_candidates("s", 10.0, may_move=True)
    assert [item.backend_id for item in shown if item.draining] == ["a"]


def test_key_without_owner_is_refused_at_once_while_store_is_unavailable() -> None:
    directory = directory_of("a")
    directory.record_store_confirmation(0.0, 10.0)
    command = first_command(directory, 10.1, owner="")
    assert isinstance(command, Wait)
    assert command.until <= 10.1 + MAX_MOVE_WAIT
    refusal = assert_refused(
        first_command(directory, 10.0 + MAX_CONFIRMATION_AGE, owner=""), RefusalReason.NO_OWNER
    )
    assert refusal.retry_after >= 1.0
    directory.record_store_confirmation(MAX_CONFIRMATION_AGE, 12.0)
    assert_refused(first_command(directory, 12.0, owner=""), RefusalReason.NO_OWNER)
    directory.record_store_confirmation(0.1, 13.0)
    assert isinstance(first_command(directory, 13.0, owner=""), Wait)


def test_delayed_announcement_does_not_undo_revocation() -> None:
    directory = directory_of("a")
    directory.put(Backend("a", "s", "127.0.0.1:0", "z1", 2, draining=True), 5.0)
    directory.put(Backend("a", "s", "127.0.0.1:0", "z1", 2), 8.0)
    announce_leaving(directory, "a", at=6.0)
    assert isinstance(first_command(directory), Attempt)
    announce_leaving(directory, "a", at=9.0)
    assert_refused(first_command(directory), RefusalReason.LEAVING)


def back_off(
    directory: BackendDirectory, *names: str, seconds: float = 3.0, at: float = 10.0
) -> None:
    for name in names:
        directory.backoffs.record(name, seconds, at)


def resume_at(directory: BackendDirectory, name: str) -> float:
    backoff = directory.backoffs.find(name)
    assert backoff is not None
    return backoff.resume_at


def test_back_end_in_backoff_is_not_selected() -> None:
    directory = directory_of("a", "b", "c")
    back_off(directory, "a", "b")
    for number in range(50):
        command = first_command(directory, 10.0 + number / 100)
        assert isinstance(command, Attempt)
        assert command.state.backend.backend_id == "c"


def test_ejected_back_end_in_backoff_is_not_probed() -> None:
    directory = directory_of("a", "b")
    healthy = directory.find("b")
    assert healthy is not None
    for _ in range(3):
        healthy.record_failure(9.9)
    back_off(directory, "a")
    command = first_command(directory, 10.0)
    assert isinstance(command, Attempt)
    assert command.state is healthy


def test_request_is_refused_until_the_first_backoff_ends_if_all_back_ends_back_off() -> None:
    directory = directory_of("a", "b")
    back_off(directory, "a", seconds=5.0)
    back_off(directory, "b", seconds=2.0)
    refusal = assert_refused(first_command(directory, 11.0), RefusalReason.BACKING_OFF)
    remaining = resume_at(directory, "b") - 11.0
    assert remaining <= refusal.retry_after <= remaining + 0.3


def test_rejected_request_is_sent_to_another_back_end_at_once() -> None:
    directory = directory_of("a", "b")
    core = core_of(directory)
    command = core.next_command(10.0, NODES)
    assert isinstance(command, Attempt)
    rejecting = command.state.backend.backend_id
    back_off(directory, rejecting, at=10.01)
    other = core.handle_failure(FailurePhase.REFUSED, 10.01, NODES)
    assert isinstance(other, Attempt)
    assert other.state.backend.backend_id != rejecting
    assert command.state.expected_load(10.01) < 1.0


def test_request_rejected_with_several_backoffs_is_refused() -> None:
    directory = directory_of("a", "b", "c", "d")
    core = core_of(directory)
    command = core.next_command(10.0, NODES)
    for _ in range(MAX_BACKOFF_REJECTIONS):
        assert isinstance(command, Attempt)
        back_off(directory, command.state.backend.backend_id, at=10.01)
        command = core.handle_failure(FailurePhase.REFUSED, 10.01, NODES)
    assert_refused(command, RefusalReason.REFUSED)


def test_permit_is_not_used_during_backoff() -> None:
    directory = directory_of("a")
    directory.limits.record("a", LimitStatement(4.2, 1.0, 1.1))
    core = core_of(directory)
    command = core.next_command(10.0, NODES)
    assert isinstance(command, RequestPermit)
    assert isinstance(core.handle_permit(command, Permit(0.05), 10.01, NODES), Wait)
    back_off(directory, "a", at=10.02)
    assert_refused(core.next_command(10.06, NODES), RefusalReason.BACKING_OFF)


def test_request_rejected_by_its_owner_is_refused_without_a_second_attempt() -> None:
    directory = directory_of("a", "b")
    core = core_of(directory, owner="a")
    assert isinstance(core.next_command(10.0, NODES), Attempt)
    back_off(directory, "a", at=10.01)
    refusal = assert_refused(
        core.handle_failure(FailurePhase.REFUSED, 10.01, NODES), RefusalReason.BACKING_OFF
    )
    assert refusal.retry_after <= 1.3


def test_retry_after_is_the_end_of_the_backoff_if_keys_cannot_move() -> None:
    directory = directory_of("a", "b")
    directory.record_store_confirmation(0.0, 1.0)
    back_off(directory, "a", at=10.0)
    refusal = assert_refused(first_command(directory, 10.5, owner="a"), RefusalReason.BACKING_OFF)
    assert 2.5 <= refusal.retry_after <= 3.1


@pytest.mark.parametrize("owner", [None, "a"])
def test_few_requests_probe_a_back_end_after_its_backoff_until_one_is_served(
    owner: str | None,
) -> None:
    directory = directory_of("a")
    back_off(directory, "a")
    after = resume_at(directory, "a")
    for _ in range(MAX_PROBES):
        command = first_command(directory, after, owner)
        assert isinstance(command, Attempt)
        command.state.outstanding += 1
    assert_refused(first_command(directory, after, owner), RefusalReason.BACKING_OFF)
    directory.backoffs.record_served("a", after)
    assert isinstance(first_command(directory, after, owner), Attempt)


def test_backoff_does_not_apply_after_a_restart() -> None:
    directory = BackendDirectory("z1", "n")
    directory.put(Backend("a@1", "s", "127.0.0.1:0", "z1", 2, instance="a"), 0.0)
    back_off(directory, "a@1")
    directory.put(Backend("a@2", "s", "127.0.0.1:0", "z1", 2, instance="a"), 10.5)
    assert isinstance(first_command(directory, 10.6), Attempt)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 20.0), st.sampled_from([0.0, 0.4, 1.0, 3.0, 8.0])), max_size=12
    ),
    st.sampled_from([None, "a"]),
)
def test_nothing_is_sent_in_any_requested_period(
    requested_backoffs: list[tuple[float, float]], owner: str | None
) -> None:
    directory = directory_of("a")
    requested_backoffs = sorted(requested_backoffs)
    for number in range(600):
        now = number / 20
        while requested_backoffs and requested_backoffs[0][0] <= now:
            at, seconds = requested_backoffs.pop(0)
            directory.backoffs.record("a", seconds, at)
        sent = isinstance(first_command(directory, now, owner), Attempt)
        backoff = directory.backoffs.find("a")
        assert not sent or backoff is None or now >= backoff.ends_at


# ---------------------------------------------------------------------- keys that move


@pytest.mark.parametrize(
    ("objective", "longest_wait"),
    [(0.2, MAX_MOVE_WAIT), (3.0, MOVE_WAIT_FRACTION * 3.0)],
)
def test_a_request_waits_for_a_moving_key_as_long_as_its_objective_lets_it(
    objective: float, longest_wait: float
) -> None:
    """Guards against callers that are sent back although their key's move is about to end.

    Owners whose requests take half a second hand keys over only after they have ended.
    """
    view = ServiceView("s", True, RetryBudget(RetryAllowance(0.2, 30.0, 10.0)))
    view.owners = OwnerMap(1, (OwnedRange(0, 9, ""),))
    route = Route("r", "host", "/r/", True, 9.0, objective, 3, 1, (Target("s", 1),))
    core = RequestCore(b"1", route, view, BackendDirectory("z1", "n1"), 5, 10.0, 1.0)
    now = 1.0
    command = core.next_command(now, 3)
    while isinstance(command, Wait):
        now = command.until
        command = core.next_command(now, 3)
    assert isinstance(command, Refuse) and command.reason is RefusalReason.NO_OWNER
    assert now == pytest.approx(1.0 + longest_wait)
