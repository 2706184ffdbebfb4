"""Leases: clock offsets, delayed grants, restarts and releases keep ownership exclusive."""

import pytest

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.control.leases import LeaseExchange, LeaseTable
from limedeck.control.timing import ControlTiming
from limedeck.errors import InvariantViolation
from limedeck.identity import BackendId, GroupId, Incarnation
from limedeck.keyspace.slices import Slice
from limedeck_lab.standins.backend import BackendRules, Refusal, StandInBackend, Work

TIMING = ControlTiming()
BACKEND = BackendId("backend")
OTHER = BackendId("other")
SLICE = Slice(0, 100, BACKEND)
NEIGHBOUR = Slice(100, 200, BACKEND)
CLOCK_OFFSET = 5_000.0
"""Seconds by which the back end's clock is ahead of the leader's."""


class Exchange:
    """A lease table and one back end whose clock differs from the leader's."""

    def __init__(self, rules: BackendRules | None = None, term: int = 1) -> None:
        self.table = LeaseTable(GroupId("group"), term, TIMING, elected_at=0.0)
        self.table.track({BACKEND: "127.0.0.1:1"})
        self.backend = StandInBackend(BACKEND, Incarnation(7), 2, 8, True, rules or BackendRules())

    def request(self, now: float, *owned: Slice) -> LeaseExchange:
        lease = self.table.lease(BACKEND)
        assert lease is not None
        return self.table.start_exchange(lease, owned, (), now)

    def reply_to(self, exchange: LeaseExchange, received_at: float) -> LeaseReply:
        return self.backend.handle_lease(exchange.request, received_at + CLOCK_OFFSET)

    def round_trip(self, now: float, *owned: Slice) -> LeaseReply:
        exchange = self.request(now, *owned)
        reply = self.reply_to(exchange, now)
        self.table.handle_reply(BACKEND, exchange.fence, reply, now)
        return reply

    def serves(self, now: float, position: int = 5) -> bool:
        return self.backend.owns(position, now + CLOCK_OFFSET)


def test_the_first_exchange_reads_the_clock_and_grants_nothing() -> None:
    exchange = Exchange()
    exchange.round_trip(1.0, SLICE)
    assert not exchange.serves(1.0)
    exchange.round_trip(1.1, SLICE)
    assert exchange.serves(1.1)


def test_a_lease_ends_on_the_back_end_before_it_lapses_for_the_leader() -> None:
    exchange = Exchange()
    exchange.round_trip(1.0, SLICE)
    exchange.round_trip(1.1, SLICE)
    end = 1.0 + TIMING.backend_lease
    assert exchange.serves(end - 0.01)
    assert not exchange.serves(end)
    assert not exchange.table.has_lapsed(BACKEND, end)
    assert exchange.table.has_lapsed(BACKEND, 1.1 + TIMING.longest_backend_lease + 0.01)


@pytest.mark.parametrize("until_clock", [True, False])
def test_only_a_grant_for_a_duration_holds_when_delivered_after_a_freeze(until_clock: bool) -> None:
    exchange = Exchange(BackendRules(holds_until_clock=until_clock))
    exchange.round_trip(1.0, SLICE)
    exchange.round_trip(1.1, SLICE)
    buffered = exchange.request(1.3, SLICE)
    thawed_at = 60.0
    assert exchange.table.has_lapsed(BACKEND, thawed_at)
    exchange.reply_to(buffered, thawed_at)
    # A back end that holds a grant for a duration from its arrival serves after the lapse.
    assert exchange.serves(thawed_at) is not until_clock


@pytest.mark.parametrize("checks_fences", [True, False])
def test_a_delayed_grant_of_an_earlier_leader_is_refused_by_its_fence(checks_fences: bool) -> None:
    exchange = Exchange(BackendRules(checks_fences=checks_fences))
    exchange.round_trip(1.0, SLICE)
    delayed = exchange.request(1.1, SLICE)
    newer = Exchange(term=2)
    newer.backend = exchange.backend
    newer.round_trip(1.2)
    reply = exchange.reply_to(delayed, 1.3)
    assert reply.accepted is not checks_fences
    assert exchange.serves(1.3) is not checks_fences


def test_a_grant_to_an_earlier_incarnation_is_refused_and_its_lease_lapses_at_once() -> None:
    exchange = Exchange()
    exchange.round_trip(1.0, SLICE)
    exchange.round_trip(1.1, SLICE)
    exchange.backend = StandInBackend(BACKEND, Incarnation(8), 2, 8, True)
    reply = exchange.round_trip(1.2, SLICE)
    assert not reply.accepted
    assert not exchange.serves(1.2)
    assert exchange.table.has_lapsed(BACKEND, 1.21)
    exchange.round_trip(1.3, SLICE)
    assert exchange.serves(1.3)


def test_an_older_incarnation_is_an_invariant_violation() -> None:
    exchange = Exchange()
    exchange.round_trip(1.0, SLICE)
    exchange.backend = StandInBackend(BACKEND, Incarnation(6), 2, 8, True)
    with pytest.raises(InvariantViolation):
        exchange.round_trip(1.2, SLICE)


def test_a_slice_is_released_only_when_work_on_it_has_ended() -> None:
    exchange = Exchange()
    exchange.round_trip(1.0, SLICE, NEIGHBOUR)
    exchange.round_trip(1.1, SLICE, NEIGHBOUR)
    number = exchange.backend.admit(Work("r", 5, True), 1.2 + CLOCK_OFFSET)
    assert isinstance(number, int)
    lease = exchange.table.lease(BACKEND)
    assert lease is not None
    exchange.round_trip(1.3, NEIGHBOUR)
    assert not lease.has_released(SLICE.start)
    assert exchange.backend.admit(Work("s", 5, True), 1.3 + CLOCK_OFFSET) is Refusal.NOT_OWNER
    exchange.backend.finish(number)
    exchange.round_trip(1.4, NEIGHBOUR)
    assert lease.has_released(SLICE.start)
    assert not lease.has_released(NEIGHBOUR.start)


def test_work_is_not_executed_after_the_lease_has_ended() -> None:
    exchange = Exchange()
    exchange.round_trip(1.0, SLICE)
    exchange.round_trip(1.1, SLICE)
    number = exchange.backend.admit(Work("r", 5, True), 1.2 + CLOCK_OFFSET)
    assert isinstance(number, int)
    late = 1.0 + TIMING.backend_lease
    assert exchange.backend.execute(number, late + CLOCK_OFFSET) is Refusal.NOT_OWNER
    assert exchange.backend.executions["r"] == 0


def test_a_new_leader_waits_out_a_full_lease_for_earlier_grants() -> None:
    table = LeaseTable(GroupId("group"), 2, TIMING, elected_at=10.0)
    table.track({BACKEND: "127.0.0.1:1"})
    assert not table.has_lapsed(BACKEND, 10.0 + TIMING.backend_lease)
    assert not table.has_lapsed(OTHER, 10.0 + TIMING.backend_lease)
    assert table.has_lapsed(BACKEND, 10.0 + TIMING.longest_backend_lease + 0.01)


def test_granting_a_slice_to_two_back_ends_is_an_invariant_violation() -> None:
    exchange = Exchange()
    exchange.table.track({BACKEND: "127.0.0.1:1", OTHER: "127.0.0.1:2"})
    exchange.round_trip(1.0, SLICE)
    exchange.round_trip(1.1, SLICE)
    other = exchange.table.lease(OTHER)
    assert other is not None
    other.incarnation = Incarnation(1)
    other.clock = other.clock_received_at = 1.1
    with pytest.raises(InvariantViolation):
        exchange.table.start_exchange(other, (SLICE,), (), 1.2)


def test_an_exchange_without_a_reply_is_due_again_after_its_timeout() -> None:
    exchange = Exchange()
    exchange.request(1.0)
    assert exchange.table.due(1.0 + TIMING.exchange_timeout) == []
    assert len(exchange.table.due(1.01 + TIMING.exchange_timeout)) == 1
