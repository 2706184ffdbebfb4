"""The order of one connection's requests and responses, over all orders of their ends."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limedeck.node import response_order
from limedeck.node.response_order import Cancel, Close, ResponseOrder, Start, Write


@dataclass
class Connection:
    """Drives an order, and checks each command against what was recorded."""

    order: ResponseOrder = field(default_factory=ResponseOrder)
    overlapping: list[bool] = field(default_factory=list)
    running: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)
    started: list[int] = field(default_factory=list)
    written: list[int] = field(default_factory=list)
    cancelled: set[int] = field(default_factory=set)
    closing: int | None = None
    is_closed: bool = False
    is_paused: bool = False
    has_left: bool = False

    def receive(self, may_overlap: bool) -> None:
        if not self.order.accepts_requests:
            return
        assert self.order.receive(may_overlap, 10) == len(self.overlapping)
        self.overlapping.append(may_overlap)
        self.carry_out()

    def finish(self, number: int, size: int, closes: bool) -> None:
        self.running.discard(number)
        self.finished.add(number)
        self.order.record_waiting_bytes(number, size)
        self.order.finish(number, closes)
        if closes:
            self.closing = number
        self.carry_out()

    def answered(self, number: int) -> bool:
        return number in self.written and number in self.finished

    def carry_out(self) -> None:
        while (command := self.order.next_command()) is not None:
            match command:
                case Start(number):
                    self._check_start(number)
                    self.started.append(number)
                    self.running.add(number)
                case Write(number):
                    assert not self.is_paused
                    assert number == len(self.written)
                    assert all(self.answered(item) for item in range(number))
                    self.written.append(number)
                case Cancel(number):
                    is_behind = self.closing is not None and number > self.closing
                    assert self.has_left or is_behind
                    self.running.discard(number)
                    self.cancelled.add(number)
                case Close():
                    assert self.closing is not None
                    assert self.written[-1] == self.closing
                    self.is_closed = True

    def _check_start(self, number: int) -> None:
        assert number not in self.started
        unanswered = [item for item in range(number) if not self.answered(item)]
        if unanswered:
            assert self.overlapping[number]
            assert all(self.overlapping[item] for item in unanswered)
        assert len(self.running) < response_order.MAX_OVERLAPPING


actions = st.one_of(
    st.tuples(st.just("receive"), st.booleans()),
    st.tuples(st.just("finish"), st.integers(0, 7), st.integers(0, 1 << 17), st.just(False)),
    st.tuples(st.just("finish"), st.integers(0, 7), st.integers(0, 99), st.booleans()),
    st.tuples(st.just("pause"), st.booleans()),
    st.tuples(st.just("last")),
)


@settings(max_examples=400)
@given(st.lists(actions, max_size=60), st.booleans())
def test_responses_come_in_order_and_nothing_unsafe_runs_beside_others(
    steps: list[tuple[object, ...]], leaves: bool
) -> None:
    connection = Connection()
    for step in steps:
        match step:
            case ("receive", bool(may_overlap)):
                connection.receive(may_overlap)
            case ("finish", int(index), int(size), bool(closes)) if connection.running:
                running = sorted(connection.running)
                connection.finish(running[index % len(running)], size, closes)
            case ("pause", bool(paused)):
                connection.is_paused = paused
                (connection.order.pause_writing() if paused else connection.order.resume_writing())
                connection.carry_out()
            case ("last",) if connection.order.depth and connection.closing is None:
                connection.closing = len(connection.overlapping) - 1
                connection.order.close_behind_last()
                connection.carry_out()
    if leaves:
        begun = set(connection.running)
        connection.has_left = True
        connection.order.give_up()
        connection.carry_out()
        assert begun <= connection.cancelled
        assert not connection.running
    else:
        _finish_all(connection)
    assert connection.order.depth == 0
    assert connection.order.held_bytes == connection.order.waiting_bytes == 0


def _finish_all(connection: Connection) -> None:
    """Finish what runs, and check that each accepted request was answered or counts as unread."""
    connection.is_paused = False
    connection.order.resume_writing()
    connection.carry_out()
    while connection.running:
        connection.finish(min(connection.running), 1, False)
    accepted = range(len(connection.overlapping))
    last = connection.closing
    answered = accepted if last is None else range(last + 1)
    assert connection.written == list(answered)
    assert connection.cancelled == set(accepted) - set(answered)
    assert connection.is_closed == (last is not None)
    # What runs behind a closing response may be given up.
    for number in set(connection.started) - set(answered):
        assert connection.overlapping[number]


def test_all_that_may_overlap_start_at_once_up_to_the_bound() -> None:
    connection = Connection()
    for _ in range(response_order.MAX_OVERLAPPING + 5):
        connection.receive(True)
    assert connection.started == list(range(response_order.MAX_OVERLAPPING))
    assert not connection.order.may_read
    connection.finish(0, 0, False)
    assert len(connection.started) == response_order.MAX_OVERLAPPING + 1


def test_nothing_more_starts_while_responses_of_the_bound_wait() -> None:
    connection = Connection()
    for _ in range(5):
        connection.receive(True)
    half = response_order.MAX_HELD_BYTES // 2
    connection.finish(1, half, False)
    connection.receive(True)
    assert 5 not in connection.started
    connection.finish(2, half, False)
    assert not connection.order.may_read
    connection.finish(0, 0, False)
    assert connection.order.may_read
    assert connection.order.waiting_bytes == 0
    assert connection.written == [0, 1, 2, 3]


def test_request_that_runs_alone_waits_and_is_waited_for() -> None:
    connection = Connection()
    for may_overlap in (True, True, False, True):
        connection.receive(may_overlap)
    assert connection.started == [0, 1]
    connection.finish(1, 5, False)
    assert connection.started == [0, 1]
    connection.finish(0, 5, False)
    assert connection.started == [0, 1, 2]
    connection.finish(2, 5, False)
    assert connection.started == [0, 1, 2, 3]


def test_request_behind_a_closing_response_is_not_accepted() -> None:
    connection = Connection()
    connection.receive(True)
    connection.receive(True)
    connection.finish(1, 5, True)
    assert not connection.order.accepts_requests
    with pytest.raises(ValueError, match="behind one that closes"):
        connection.order.receive(True, 10)
    connection.finish(0, 5, False)
    assert connection.is_closed
