"""How news of crashes travels: in messages, to nodes without a leader, and through the store."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import pytest

from limedeck import clock
from limedeck.api import control_pb2
from limedeck.forwarding import budget, crashes, quarantine, quarantine_updates, request_content
from limedeck.identity import Seconds
from limedeck.model import Backend
from limedeck.node import (
    crash_gossip,
    crash_updates,
    followers,
    framing,
    quarantine_record,
    table_exchange,
)
from limedeck.node import state as node_state
from limedeck.store.rows import (
    ConditionFailed,
    RowCondition,
    RowStore,
    RowWrite,
    StoredRow,
    StoreUnavailable,
    TableChanges,
    TableRead,
    WriteResult,
)
from limedeck_lab import processes
from tests.unit import polling, test_telling

pytestmark = pytest.mark.anyio
BAD = 0xFFFF_0000_1234_5678
ALLOWANCE = budget.RetryAllowance(0.2, 30.0, 10.0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def fingerprints(number: int) -> request_content.RequestFingerprints:
    """A request that is known by one number, however widely it is looked at."""
    return request_content.RequestFingerprints(number, number, number)


def convicting(ledger: quarantine.QuarantineLedger, start: Seconds) -> None:
    """Let a node see three back ends end under one request."""
    for number in range(3):
        ledger.record_lost_request(f"b{number}", fingerprints(BAD), start)
        ledger.record_process_exit(f"b{number}", start)


def test_news_survive_the_message_on_the_other_nodes_clock() -> None:
    told: list[quarantine_updates.QuarantineUpdate] = [
        quarantine_updates.CrashUpdate("b1", 95.0, frozenset({fingerprints(BAD), fingerprints(2)})),
        quarantine_updates.Quarantine(BAD, 2, 90.0, 400.0),
        quarantine_updates.Quarantine(7, 0, 10.0, 70.0),
        quarantine_updates.ServedUpdate(3, 99.0),
    ]
    message = crash_updates.encoded(told, 100.0)
    received = control_pb2.CrashNews.FromString(message.SerializeToString())
    assert crash_updates.decoded(received, 1100.0) == [
        quarantine_updates.CrashUpdate(
            "b1", 1095.0, frozenset({fingerprints(BAD), fingerprints(2)})
        ),
        quarantine_updates.Quarantine(BAD, 2, 1090.0, 1400.0),
        quarantine_updates.Quarantine(7, 0, 1010.0, 1070.0),
        quarantine_updates.ServedUpdate(3, 1099.0),
    ]


def test_a_full_message_is_bounded() -> None:
    """A crash of a back end with a full queue, in each of the items."""
    ledger = quarantine.QuarantineLedger("n")
    for number in range(200):
        for request in range(quarantine.MAX_LOST_REQUESTS):
            sign = (number << 32) + request
            asked = request_content.RequestFingerprints(sign, sign + (1 << 24), sign + (2 << 24))
            ledger.record_lost_request(f"i-{number:010x}", asked, 1.0)
        ledger.record_process_exit(f"i-{number:010x}", 1.0)
    peer = crash_updates.CrashUpdatePeer(ledger)
    sizes = []
    while (message := peer.news(2.0)) is not None:
        sizes.append(message.ByteSize())
    crashes_told = quarantine.MOST_TOLD // (1 + quarantine.SIGNS * crashes.MOST_SUSPECTS)
    assert len(sizes) == -(-200 // crashes_told)
    assert max(sizes) < 16_000


def test_a_node_that_starts_is_told_thousands_of_quarantines_in_a_few_messages() -> None:
    ledger = quarantine.QuarantineLedger("n")
    kept = [quarantine_updates.Quarantine(number << 40, 0, 1.0, 900.0) for number in range(3_000)]
    ledger.apply(kept, "store", 2.0)
    peer = crash_updates.CrashUpdatePeer(ledger)
    sizes = []
    while (message := peer.news(2.0)) is not None:
        sizes.append(message.ByteSize())
    assert len(sizes) <= 4
    assert max(sizes) < 16_000


# ---------------------------------------------------------------------- without a leader


async def test_without_leader_and_store_nodes_tell_each_other() -> None:
    """The leader is lost while the store is away: nobody can be elected for as long as that lasts.

    Three nodes that know each other only in a row, real connections between them.
    """
    addresses = [f"127.0.0.1:{port}" for port in processes.free_ports(3)]
    states = [node_state.NodeState("z1", f"n{number}", ALLOWANCE) for number in range(3)]
    states[0].peers = (addresses[1],)
    states[1].peers = (addresses[0], addresses[2])
    now = clock.steady_clock()
    async with anyio.create_task_group() as tasks:
        for state, address in zip(states, addresses, strict=True):
            host, _ = test_telling.leader()
            host._state = state
            listener = followers.FollowerConnections(
                address, "z1", host, table_exchange.TableExchange(()), test_telling.TIMING
            )
            tasks.start_soon(listener.serve)
            gossip = crash_gossip.CrashGossip(state, lambda: False, "127.0.0.1")
            tasks.start_soon(gossip.run)
        convicting(states[0].quarantine, now)
        await polling.until(lambda: states[2].quarantine.suspects_any)
        tasks.cancel_scope.cancel()
    later = now + quarantine.GATHERING + 1.0
    for state in states:
        state.quarantine.handle_tick(later)
        assert state.quarantine.refused_for(BAD, later) is not None


async def test_news_between_nodes_make_nobody_a_follower() -> None:
    (port,) = processes.free_ports(1)
    host, state = test_telling.leader()
    connections = followers.FollowerConnections(
        f"127.0.0.1:{port}", "z1", host, table_exchange.TableExchange(()), test_telling.TIMING
    )
    told = quarantine.QuarantineLedger("other")
    convicting(told, 0.0)
    message = crash_updates.CrashUpdatePeer(told).news(0.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connections.serve)
        await polling.until(lambda: not processes.is_free("127.0.0.1", port))
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            frame = framing.encode_frame(control_pb2.ControlMessage(crash_news=message))
            await stream.send(frame)
            await polling.until(lambda: state.quarantine.suspects_any)
            assert connections.node_count() == 1
        tasks.cancel_scope.cancel()


# ---------------------------------------------------------------------- in the store


class RecordStore(RowStore):
    """One row, written under the condition that a node leads."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.leader_version = 4
        self.away = False
        self.now: Seconds = 5_000.0
        self.writes = 0
        self.reads = 0

    async def read(self, table: str, part: str = "") -> TableRead:
        self.reads += 1
        if self.away:
            raise StoreUnavailable("away")
        row = quarantine_record.QUARANTINE_ROW
        rows = [] if self.value is None else [StoredRow(table, part, row.key, self.value, 7)]
        return TableRead(tuple(rows), 7, self.now)

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        if self.away:
            raise StoreUnavailable("away")
        if conditions[0].version != self.leader_version:
            raise ConditionFailed(())
        self.value = writes[0].value
        self.writes += 1
        return WriteResult(8, self.now)

    async def changes(self, table: str, after: int, wait: Seconds) -> TableChanges:
        raise NotImplementedError

    async def aclose(self) -> None:
        raise NotImplementedError


class Control:
    """What the keeper asks of a node's control.

    Parameters
    ----------
    version
        Of the row by which this node leads.
    """

    def __init__(self, leads: bool, version: int = 4) -> None:
        self.leads = leads
        self.store_offset = 0.0
        self._version = version

    def leader_condition(self) -> RowCondition:
        return RowCondition(quarantine_record.QUARANTINE_ROW, self._version)


def keeper_of(
    ledger: quarantine.QuarantineLedger,
    store: RecordStore,
    leads: bool,
    version: int = 4,
    hears_leader: bool = False,
) -> quarantine_record.QuarantineRecordKeeper:
    control = Control(leads, version)
    control.store_offset = store.now - clock.steady_clock()
    return quarantine_record.QuarantineRecordKeeper(
        ledger,
        store,
        control,  # type: ignore[arg-type]
        lambda: hears_leader,
    )


def quarantined() -> quarantine.QuarantineLedger:
    ledger = quarantine.QuarantineLedger("n")
    now = clock.steady_clock()
    convicting(ledger, now - 1.0)
    ledger.handle_tick(now)
    assert ledger.refused_for(BAD, now) is not None
    return ledger


async def test_quarantines_outlast_an_end_of_all_nodes() -> None:
    store = RecordStore()
    leader = keeper_of(quarantined(), store, leads=True)
    await leader._look()
    await leader._look()
    started = quarantine.QuarantineLedger("started")
    await keeper_of(started, store, leads=False)._look()
    now = clock.steady_clock()
    left = started.refused_for(BAD, now)
    assert left is not None
    assert left > quarantine.BASE_QUARANTINE_TIME - 5.0


async def test_a_node_that_is_told_by_a_leader_does_not_ask_the_store() -> None:
    store = RecordStore()
    follower = keeper_of(quarantine.QuarantineLedger("n"), store, leads=False, hears_leader=True)
    for _ in range(5):
        await follower._look()
    assert store.reads == 0


async def test_the_record_is_written_when_it_changes_and_by_the_leader_alone() -> None:
    store = RecordStore()
    leader = keeper_of(quarantined(), store, leads=True)
    for _ in range(5):
        await leader._look()
    assert store.writes == 1
    for follower in (
        keeper_of(quarantined(), store, leads=False),
        keeper_of(quarantined(), store, leads=True, version=3),
    ):
        store.value = None
        await follower._look()
        await follower._look()
        assert store.writes == 1


async def test_a_node_that_cannot_read_the_record_writes_nothing_over_it() -> None:
    store = RecordStore()
    await_read = keeper_of(quarantined(), store, leads=True)
    store.away = True
    for _ in range(3):
        with pytest.raises(StoreUnavailable):
            await await_read._look()
    assert store.writes == 0
    store.away = False
    await await_read._look()
    await await_read._look()
    assert store.writes == 1


def test_a_closed_port_takes_a_back_end_out_of_the_choice_at_once() -> None:
    state = node_state.NodeState("z1", "n", ALLOWANCE)
    state.directory.put(Backend("b", "s", "127.0.0.1:1", "z1", 2), 0.0)
    found = state.directory.find("b")
    assert found is not None
    found.record_process_exit(1.0)
    assert found.is_ejected(1.1)
    assert not found.is_ejected(2.0)
