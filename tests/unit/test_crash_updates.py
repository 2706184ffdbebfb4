"""Crash updates in messages, between nodes without a leader, and in the store."""

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
from tests.unit import polling, test_statuses

pytestmark = pytest.mark.anyio
BAD = 0xFFFF_0000_1234_5678
ALLOWANCE = budget.RetryAllowance(0.2, 30.0, 10.0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def fingerprints(number: int) -> request_content.RequestFingerprints:
    """Return fingerprints of a request that all have the same number."""
    return request_content.RequestFingerprints(number, number, number)


def record_crashes(ledger: quarantine.QuarantineLedger, start: Seconds) -> None:
    """Record three back ends that exit while processing the same request."""
    for number in range(3):
        ledger.record_lost_request(f"b{number}", fingerprints(BAD), start)
        ledger.record_process_exit(f"b{number}", start)


def test_updates_are_decoded_on_the_other_nodes_clock() -> None:
    updates: list[quarantine_updates.QuarantineUpdate] = [
        quarantine_updates.CrashUpdate("b1", 95.0, frozenset({fingerprints(BAD), fingerprints(2)})),
        quarantine_updates.Quarantine(BAD, 2, 90.0, 400.0),
        quarantine_updates.Quarantine(7, 0, 10.0, 70.0),
        quarantine_updates.ServedUpdate(3, 99.0),
    ]
    message = crash_updates.encode_updates(updates, 100.0)
    received = control_pb2.CrashNews.FromString(message.SerializeToString())
    assert crash_updates.decode_updates(received, 1100.0) == [
        quarantine_updates.CrashUpdate(
            "b1", 1095.0, frozenset({fingerprints(BAD), fingerprints(2)})
        ),
        quarantine_updates.Quarantine(BAD, 2, 1090.0, 1400.0),
        quarantine_updates.Quarantine(7, 0, 1010.0, 1070.0),
        quarantine_updates.ServedUpdate(3, 1099.0),
    ]


def test_size_of_a_full_message_is_bounded() -> None:
    """Each item is a crash of a back end with a full queue."""
    ledger = quarantine.QuarantineLedger("n")
    for number in range(200):
        for request in range(quarantine.MAX_LOST_REQUESTS):
            fingerprint = (number << 32) + request
            request_fingerprints = request_content.RequestFingerprints(
                fingerprint, fingerprint + (1 << 24), fingerprint + (2 << 24)
            )
            ledger.record_lost_request(f"i-{number:010x}", request_fingerprints, 1.0)
        ledger.record_process_exit(f"i-{number:010x}", 1.0)
    peer = crash_updates.CrashUpdatePeer(ledger)
    sizes = []
    while (message := peer.next_update(2.0)) is not None:
        sizes.append(message.ByteSize())
    crashes_per_message = quarantine.MAX_UPDATE_FINGERPRINTS // (
        1 + quarantine.FINGERPRINTS_PER_REQUEST * crashes.MAX_LOST_PER_CRASH
    )
    assert len(sizes) == -(-200 // crashes_per_message)
    assert max(sizes) < 16_000


def test_starting_node_receives_thousands_of_quarantines_in_a_few_messages() -> None:
    ledger = quarantine.QuarantineLedger("n")
    kept = [quarantine_updates.Quarantine(number << 40, 0, 1.0, 900.0) for number in range(3_000)]
    ledger.apply(kept, "store", 2.0)
    peer = crash_updates.CrashUpdatePeer(ledger)
    sizes = []
    while (message := peer.next_update(2.0)) is not None:
        sizes.append(message.ByteSize())
    assert len(sizes) <= 4
    assert max(sizes) < 16_000


# ---------------------------------------------------------------------- without a leader


async def test_nodes_exchange_crashes_without_leader_and_store() -> None:
    """The leader fails while the store is unreachable, so that no leader can be elected.

    The first node knows only the second, which knows the third; the connections are real.
    """
    addresses = [f"127.0.0.1:{port}" for port in processes.free_ports(3)]
    states = [node_state.NodeState("z1", f"n{number}", ALLOWANCE) for number in range(3)]
    states[0].peers = (addresses[1],)
    states[1].peers = (addresses[0], addresses[2])
    now = clock.steady_clock()
    async with anyio.create_task_group() as tasks:
        for state, address in zip(states, addresses, strict=True):
            host, _ = test_statuses.leader()
            host._state = state
            listener = followers.FollowerConnections(
                address, "z1", host, table_exchange.TableExchange(()), test_statuses.TIMING
            )
            tasks.start_soon(listener.serve)
            gossip = crash_gossip.CrashGossip(state, lambda: False, "127.0.0.1")
            tasks.start_soon(gossip.run)
        record_crashes(states[0].quarantine, now)
        await polling.until(lambda: states[2].quarantine.suspects_any)
        tasks.cancel_scope.cancel()
    later = now + quarantine.MIN_EVALUATION_DELAY + 1.0
    for state in states:
        state.quarantine.handle_tick(later)
        assert state.quarantine.refused_for(BAD, later) is not None


# Guards against a node that ends because another one names a peer without a valid address.
async def test_peers_without_a_valid_address_do_not_end_the_exchange_of_crashes() -> None:
    addresses = [f"127.0.0.1:{port}" for port in processes.free_ports(1)]
    states = [node_state.NodeState("z1", f"n{number}", ALLOWANCE) for number in range(2)]
    states[0].peers = ("", "nowhere", "127.0.0.1:port", "127.0.0.1:70000", *addresses)
    host, _ = test_statuses.leader()
    host._state = states[1]
    listener = followers.FollowerConnections(
        addresses[0], "z1", host, table_exchange.TableExchange(()), test_statuses.TIMING
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve)
        gossip = crash_gossip.CrashGossip(states[0], lambda: False, "127.0.0.1")
        tasks.start_soon(gossip.run)
        record_crashes(states[0].quarantine, clock.steady_clock())
        await polling.until(lambda: states[1].quarantine.suspects_any)
        await anyio.sleep(2 * crash_gossip.ROUND_INTERVAL)
        tasks.cancel_scope.cancel()


async def test_crash_updates_do_not_make_the_sender_a_follower() -> None:
    (port,) = processes.free_ports(1)
    host, state = test_statuses.leader()
    connections = followers.FollowerConnections(
        f"127.0.0.1:{port}", "z1", host, table_exchange.TableExchange(()), test_statuses.TIMING
    )
    ledger = quarantine.QuarantineLedger("other")
    record_crashes(ledger, 0.0)
    message = crash_updates.CrashUpdatePeer(ledger).next_update(0.0)
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
    """A store of one row, which is written on condition that the node leads."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.leader_version = 4
        self.unreachable = False
        self.now: Seconds = 5_000.0
        self.writes = 0
        self.reads = 0

    async def read(self, table: str, part: str = "") -> TableRead:
        self.reads += 1
        if self.unreachable:
            raise StoreUnavailable("unreachable")
        row = quarantine_record.QUARANTINE_ROW
        rows = [] if self.value is None else [StoredRow(table, part, row.key, self.value, 7)]
        return TableRead(tuple(rows), 7, self.now)

    async def transact(
        self, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> WriteResult:
        if self.unreachable:
            raise StoreUnavailable("unreachable")
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
    """The part of a node's control that the keeper uses.

    Parameters
    ----------
    version
        Version of the leader row that this node wrote.
    """

    def __init__(self, leads: bool, version: int = 4) -> None:
        self.leads = leads
        self.store_offset = 0.0
        self._version = version

    def leader_condition(self) -> RowCondition:
        return RowCondition(quarantine_record.QUARANTINE_ROW, self._version)


def make_keeper(
    ledger: quarantine.QuarantineLedger,
    store: RecordStore,
    leads: bool,
    version: int = 4,
    follows_leader: bool = False,
) -> quarantine_record.QuarantineRecordKeeper:
    control = Control(leads, version)
    control.store_offset = store.now - clock.steady_clock()
    return quarantine_record.QuarantineRecordKeeper(
        ledger,
        store,
        control,  # type: ignore[arg-type]
        lambda: follows_leader,
    )


def make_quarantined_ledger() -> quarantine.QuarantineLedger:
    ledger = quarantine.QuarantineLedger("n")
    now = clock.steady_clock()
    record_crashes(ledger, now - 1.0)
    ledger.handle_tick(now)
    assert ledger.refused_for(BAD, now) is not None
    return ledger


async def test_quarantines_survive_a_restart_of_all_nodes() -> None:
    store = RecordStore()
    leader = make_keeper(make_quarantined_ledger(), store, leads=True)
    await leader._update()
    await leader._update()
    started = quarantine.QuarantineLedger("started")
    await make_keeper(started, store, leads=False)._update()
    now = clock.steady_clock()
    remaining = started.refused_for(BAD, now)
    assert remaining is not None
    assert remaining > quarantine.BASE_QUARANTINE_TIME - 5.0


async def test_node_that_follows_a_leader_does_not_read_the_store() -> None:
    store = RecordStore()
    follower = make_keeper(
        quarantine.QuarantineLedger("n"), store, leads=False, follows_leader=True
    )
    for _ in range(5):
        await follower._update()
    assert store.reads == 0


async def test_record_is_written_only_on_changes_and_only_by_the_leader() -> None:
    store = RecordStore()
    leader = make_keeper(make_quarantined_ledger(), store, leads=True)
    for _ in range(5):
        await leader._update()
    assert store.writes == 1
    for follower in (
        make_keeper(make_quarantined_ledger(), store, leads=False),
        make_keeper(make_quarantined_ledger(), store, leads=True, version=3),
    ):
        store.value = None
        await follower._update()
        await follower._update()
        assert store.writes == 1


async def test_node_that_cannot_read_the_record_does_not_overwrite_it() -> None:
    store = RecordStore()
    reader = make_keeper(make_quarantined_ledger(), store, leads=True)
    store.unreachable = True
    for _ in range(3):
        with pytest.raises(StoreUnavailable):
            await reader._update()
    assert store.writes == 0
    store.unreachable = False
    await reader._update()
    await reader._update()
    assert store.writes == 1


def test_closed_port_ejects_a_back_end_immediately() -> None:
    state = node_state.NodeState("z1", "n", ALLOWANCE)
    state.directory.put(Backend("b", "s", "127.0.0.1:1", "z1", 2), 0.0)
    found = state.directory.find("b")
    assert found is not None
    found.record_process_exit(1.0)
    assert found.is_ejected(1.1)
    assert not found.is_ejected(2.0)
