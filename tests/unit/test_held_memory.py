"""The account of what a process holds: its bound, and who is broken off first."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from limedeck import held_memory
from limedeck.held_memory import (
    BreakOff,
    BreakOffCause,
    Holder,
    MemoryAccount,
    MemoryLimits,
    Purpose,
)
from limedeck.node.settings import NodeSection
from limedeck.response_memory import MAX_BYTES

LIMIT = 1_000_000
LIMITS = MemoryLimits(
    LIMIT, {purpose: int(LIMIT * share) for purpose, share in held_memory.SHARES.items()}
)


def open_holder(account: MemoryAccount, purpose: Purpose, size: int, now: float = 0.0) -> Holder:
    holder = account.open(purpose, now)
    assert account.resize(holder, size, now) == []
    return holder


def test_the_slowest_reader_is_broken_off_first() -> None:
    account = MemoryAccount(LIMITS)
    readers = [open_holder(account, Purpose.UNREAD, 100_000) for _ in range(4)]
    for taken, reader in zip((2000, 500, 90_000, 9000), readers, strict=True):
        account.record(reader, 100_000 - taken, 1.0)
    late = account.open(Purpose.UNREAD, 1.0)
    broken_off = account.resize(late, 380_000, 1.0)
    assert [item.holder for item in broken_off] == [readers[1], readers[0], readers[3]]
    assert {item.cause for item in broken_off} == {BreakOffCause.SLOW_READER}
    assert broken_off[0].size == 99_500
    assert broken_off[0].age == 1.0
    assert readers[2].is_open
    assert account.totals[Purpose.UNREAD] == 390_000


def test_above_the_share_alone_no_reader_that_reads_is_broken_off() -> None:
    account = MemoryAccount(LIMITS)
    readers = [open_holder(account, Purpose.UNREAD, 150_000) for _ in range(2)]
    for reader in readers:
        account.record(reader, 100_000, 0.5)
    late = account.open(Purpose.UNREAD, 0.5)
    assert account.resize(late, 300_000, 0.5) == []
    assert all(reader.is_open for reader in readers)


def test_a_reader_that_reads_outlives_responses_in_progress() -> None:
    account = MemoryAccount(LIMITS)
    reader = open_holder(account, Purpose.UNREAD, 300_000)
    account.record(reader, 200_000, 0.5)
    response = open_holder(account, Purpose.RECEIVED, 390_000, 0.5)
    body = open_holder(account, Purpose.REQUESTS, 290_000, 0.5)
    other = account.open(Purpose.OTHER_NODES, 0.5)
    broken_off = account.resize(other, 200_000, 0.5)
    assert [item.holder for item in broken_off] == [response]
    assert reader.is_open
    assert body.is_open


def test_the_largest_response_in_progress_is_given_up_above_its_share() -> None:
    account = MemoryAccount(LIMITS)
    small = open_holder(account, Purpose.RECEIVED, 100_000)
    large = open_holder(account, Purpose.RECEIVED, 250_000)
    broken_off = account.resize(small, 200_000, 1.0)
    assert [(item.holder, item.cause) for item in broken_off] == [
        (large, BreakOffCause.MEMORY_EXHAUSTED)
    ]


def test_what_is_needed_is_not_broken_off() -> None:
    account = MemoryAccount(LIMITS)
    kept = open_holder(account, Purpose.REQUESTS, 290_000)
    kept.is_needed = True
    late = account.open(Purpose.REQUESTS, 1.0)
    assert [item.holder for item in account.resize(late, 50_000, 1.0)] == [late]
    assert kept.is_open


def test_the_newest_connection_is_closed_when_nothing_else_is_held() -> None:
    account = MemoryAccount(LIMITS)
    first = open_holder(account, Purpose.CONNECTIONS, LIMIT - 1000)
    newest = account.open(Purpose.CONNECTIONS, 1.0)
    assert [item.holder for item in account.resize(newest, 16_000, 1.0)] == [newest]
    assert first.is_open


@pytest.mark.parametrize(("idle", "is_broken_off"), [(59.9, False), (60.0, True)])
def test_a_reader_that_takes_nothing_is_broken_off_in_time(
    idle: float, is_broken_off: bool
) -> None:
    account = MemoryAccount(LIMITS)
    reader = open_holder(account, Purpose.UNREAD, 20_000)
    account.record(reader, 10_000, 100.0)
    broken_off = account.check_readers(100.0 + idle)
    assert [item.cause for item in broken_off] == [BreakOffCause.UNREAD] * is_broken_off


def test_new_requests_have_no_room_near_the_bound() -> None:
    account = MemoryAccount(LIMITS)
    open_holder(account, Purpose.CONNECTIONS, 840_000)
    assert account.has_room(Purpose.REQUESTS, 10_000)
    assert not account.has_room(Purpose.REQUESTS, 10_001)


def test_expected_responses_stay_within_the_share_of_those_received() -> None:
    account = MemoryAccount(LIMITS)
    expected = 0
    while account.has_room_for_response(50_000):
        account.promised += 50_000
        expected += 1
    assert expected == 8


def test_without_a_bound_nothing_is_refused_or_broken_off() -> None:
    account = MemoryAccount(MemoryLimits())
    open_holder(account, Purpose.UNREAD, 10 * LIMIT)
    assert account.has_room(Purpose.REQUESTS, LIMIT)
    assert account.has_room_for_response(LIMIT)


@pytest.mark.parametrize(
    ("machine", "bound"), [(160_000_000, 48_000_000), (300_000_000, 146_000_000), (1, 16_000_000)]
)
def test_the_bound_follows_the_machine(machine: int, bound: int) -> None:
    limits = held_memory.limits_for_machine(machine, 32 << 20)
    assert limits.total == bound
    assert limits.by_purpose[Purpose.RECEIVED] == min(int(bound * 0.4), 32 << 20)


class AccountMachine(RuleBasedStateMachine):
    """Holders open, grow, are read and close in any order; all that grows may be broken off."""

    def __init__(self) -> None:
        super().__init__()
        self.account = MemoryAccount(LIMITS)
        self.now = 0.0
        self.sizes: dict[Holder, int] = {}

    def handle(self, commands: list[BreakOff], before: dict[Holder, tuple[float, bool]]) -> None:
        for command in commands:
            assert command.size == self.sizes.pop(command.holder)
            assert not command.holder.is_open
            if command.cause is BreakOffCause.UNREAD:
                assert self.now - command.holder.progressed_at >= held_memory.UNREAD_TIMEOUT
            elif command.holder.purpose is Purpose.UNREAD:
                speed, is_slow = before[command.holder]
                others = [before[holder] for holder in self.sizes if holder in before]
                slow_speeds = [other_speed for other_speed, other_slow in others if other_slow]
                assert is_slow or not slow_speeds
                assert all(speed <= other for other in slow_speeds)

    def readers(self) -> dict[Holder, tuple[float, bool]]:
        """Return speed and slowness of the readers, by their sizes as the test knows them."""
        found = {}
        for holder, size in self.sizes.items():
            if holder.purpose is Purpose.UNREAD:
                speed = holder.speed(self.now)
                is_judged = holder.age(self.now) >= held_memory.JUDGED_AFTER
                found[holder] = speed, is_judged and size > speed * held_memory.PROMPT_READ
        return found

    @rule(purpose=strategies.sampled_from(Purpose), size=strategies.integers(0, LIMIT // 2))
    def open_and_grow(self, purpose: Purpose, size: int) -> None:
        holder = self.account.open(purpose, self.now)
        self.sizes[holder] = size
        before = self.readers()
        self.handle(self.account.resize(holder, size, self.now), before)

    @precondition(lambda self: self.sizes)
    @rule(data=strategies.data(), size=strategies.integers(0, LIMIT // 2))
    def resize(self, data: strategies.DataObject, size: int) -> None:
        holder = data.draw(strategies.sampled_from(list(self.sizes)))
        self.sizes[holder] = size
        before = self.readers()
        self.handle(self.account.resize(holder, size, self.now), before)

    @precondition(lambda self: self.account.readers())
    @rule(data=strategies.data(), part=strategies.floats(0.0, 1.0))
    def read(self, data: strategies.DataObject, part: float) -> None:
        holder = data.draw(strategies.sampled_from(self.account.readers()))
        self.sizes[holder] = int(self.sizes[holder] * part)
        self.account.record(holder, self.sizes[holder], self.now)

    @precondition(lambda self: self.sizes)
    @rule(data=strategies.data())
    def close(self, data: strategies.DataObject) -> None:
        holder = data.draw(strategies.sampled_from(list(self.sizes)))
        self.account.close(holder)
        self.account.close(holder)
        del self.sizes[holder]

    @rule(seconds=strategies.floats(0.0, 20.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        before = self.readers()
        self.handle(self.account.check_readers(self.now), before)

    @invariant()
    def stays_within_its_bound(self) -> None:
        assert self.account.total <= LIMIT

    @invariant()
    def loses_nothing(self) -> None:
        assert self.account.total == sum(self.sizes.values())
        for purpose in Purpose:
            sizes = [size for holder, size in self.sizes.items() if holder.purpose is purpose]
            assert self.account.totals[purpose] == sum(sizes)


TestAccount = AccountMachine.TestCase
TestAccount.settings = settings(max_examples=300, stateful_step_count=50, deadline=None)


@pytest.mark.parametrize(("memory_mb", "total"), [(0.0, None), (160.0, 48_000_000)])
def test_a_node_that_is_not_told_its_memory_bounds_only_what_it_receives(
    memory_mb: float, total: int | None
) -> None:
    address = "127.0.0.1:1"
    node = NodeSection("n", "z", "127.0.0.1", address, address, 1, memory_mb=memory_mb)
    assert node.memory_limits.total == total
    if total is None:
        assert node.memory_limits.by_purpose == {Purpose.RECEIVED: MAX_BYTES}
