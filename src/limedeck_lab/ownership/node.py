"""A node's control in simulated time: the product's own cores with simulated calls."""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING

import simpy

from limedeck import versions
from limedeck.api.control_pb2 import AssignmentRecord, LeaderConfirmation, LeaderRecord
from limedeck.forwarding.owners import OwnerMap
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend
from limedeck.node import election_calls
from limedeck.ownership.commands import SendGrant, SendRelease, WriteRecord
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.election_events import (
    Campaign,
    Confirm,
    ElectionCommand,
    ReadLeader,
    Role,
)
from limedeck.ownership.leader_permits import LeaderPermitIssuer
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.service import ServiceOwnership
from limedeck.store import replica
from limedeck.store.rows import (
    ConditionFailed,
    EraChanged,
    RowCondition,
    RowKey,
    RowWrite,
    StoredRow,
    StoreError,
    TableRead,
    WriteResult,
)

if TYPE_CHECKING:
    from limedeck_lab.ownership.world import World

LEADER = election_calls.LEADER_ROW
CONFIRMATION = election_calls.CONFIRMATION_ROW
RECORD = RowKey("assignment", "", "service")
TICK_INTERVAL: Seconds = 0.05
ORDER_TRANSIT_TIME: Seconds = 0.002
ORDER_PROCESSING_TIME: Seconds = 0.0005
"""Processor time for sending an order, and again for reading its response."""
UNUSED_ADDRESS = "127.0.0.1:1"
"""Nodes of the simulation do not connect to each other."""
RECORD_RETRY_DELAY: Seconds = 0.1
PARTITION_DETECTION_TIME: Seconds = 0.55
"""Time in which a node finds that it reaches no back end: silence, a round of probes, a tick."""
OWNERS_VERSION_BITS = 32
"""Bits of an owner map's version for its number within the leader's term."""

Process = Generator[simpy.Event, object, None]


class SimulatedNode:
    """One incarnation of one node's process."""

    def __init__(self, world: World, node_id: str, incarnation: int) -> None:
        self.world = world
        self.node_id = node_id
        self.up = True
        self.paused = False
        self.reaches_store = True
        self.reaches_backends = True
        self.reaches_nodes = True
        self._backends_lost_at: Seconds | None = None
        self.slowdown = 0.0
        """Multiple of `ORDER_PROCESSING_TIME` that orders take; at 0 they take no time."""
        self._processor = simpy.Resource(world.environment)
        self.identity = LeaderRecord(
            node_id=node_id, incarnation=incarnation, peer_address=UNUSED_ADDRESS
        )
        now = world.environment.now
        self.election = ElectionCore(self.identity, world.timing, now)
        self.permit_issuer = LeaderPermitIssuer(self.election)
        self.core: ServiceOwnership | None = None
        self._core_term = 0
        self._opening = False
        self._backends_seen: dict[str, Backend] = {}
        self._known_owners = OwnerMap()
        self._leads_since: Seconds = NEVER
        self._known_era = 0
        self._listing_era = world.store.era
        self._listing_settles_at: Seconds = NEVER
        self._dropped: set[str] = set()
        self._addresses: set[str] = set()
        """Back ends that this incarnation of the node has seen listed and can therefore address."""
        world.environment.process(self._run())

    def _run(self) -> Process:
        while self.up:
            if not self.paused:
                self._tick(self.world.environment.now)
            yield self.world.environment.timeout(TICK_INTERVAL)

    def _tick(self, now: Seconds) -> None:
        if self.reaches_store or self.reaches_nodes:
            self._see_listing(now)
        self._receive_heartbeat(now)
        self.election.is_partitioned = self._detects_partition(now)
        if self.reaches_store:
            self.election.handle_era(self._known_era, now)
        command = self.election.handle_tick(now)
        if isinstance(command, Campaign) and self._probes_in_vain():
            self.election.handle_campaign_dropped()
        elif command is not None:
            self._start(self._election_call(command))
        self.permit_issuer.handle_tick(now)
        if self.election.role is not Role.LEADER:
            self.core = None
            return
        is_continued = self.core is not None and self._leads_since == self.election.leads_since
        if self.core is None or self._core_term != self.election.term:
            if not is_continued:
                self.core = None
            if not self._opening:
                self._opening = True
                self._start(self._open(self.election.term))
        if self.core is None:
            return
        self._lead(self.core, now)

    def _detects_partition(self, now: Seconds) -> bool:
        if self.reaches_backends:
            self._backends_lost_at = None
            return False
        if self._backends_lost_at is None:
            self._backends_lost_at = now
        return now - self._backends_lost_at >= PARTITION_DETECTION_TIME

    def _probes_in_vain(self) -> bool:
        """Whether a node that does not know that it is partitioned probes before it stands."""
        leads = self.election.role is Role.LEADER
        return not (self.reaches_backends or self.election.is_partitioned or leads)

    def _count_reaching(self) -> int:
        """Count the other nodes that report that they reach back ends."""
        return sum(
            node is not self
            and node.up
            and not node.paused
            and node.reaches_nodes
            and not node.election.is_partitioned
            for node in self.world.nodes.values()
        )

    def _see_listing(self, now: Seconds) -> None:
        """Learn of back ends as a node's replica does, which holds rows after a changed era."""
        listing = self.world.listing()
        self._addresses |= listing.keys()
        if self._listing_era != self.world.store.era:
            self._listing_era = self.world.store.era
            self._listing_settles_at = now + replica.ROW_RETURN_TIME
        if now < self._listing_settles_at and self._backends_seen:
            new = {key: item for key, item in listing.items() if key not in self._dropped}
            self._backends_seen = {**new, **self._backends_seen}
            return
        self._dropped |= self._backends_seen.keys() - listing.keys()
        self._backends_seen = listing

    def _lead(self, core: ServiceOwnership, now: Seconds) -> None:
        reaching = self._count_reaching() if self.reaches_nodes else 0
        if self.election.must_yield_to_reaching_nodes(reaching, now):
            self.election.yield_leadership(now)
            return
        core.set_partitioned(self.election.is_partitioned)
        self._query_former_leaders()
        if not self.election.former_leaders():
            core.handle_former_leaders_ended(now)
        core.set_backends(self._backends_seen.values(), now)
        self._receive_response_reports(core, now)
        may_yield = self.election.may_yield(now) and len(self.world.nodes) > 1
        may_move = not (self.election.is_election_lost or self.election.is_partitioned)
        for command in core.handle_tick(self.election.may_renew(now), now, may_yield, may_move):
            if isinstance(command, SendGrant):
                self._start(self._grant(core, command.order))
            elif isinstance(command, SendRelease):
                self._start(self._release(core, command.order))
            else:
                self._start(self._write_record(core, command))
        published = core.published(now)
        if published:
            version = self._core_term << OWNERS_VERSION_BITS | core.version
            self._known_owners = OwnerMap(version, published)
        if core.fenced_off:
            self.election.step_down()
        elif core.should_yield:
            self.election.yield_leadership(now)

    def _receive_response_reports(self, core: ServiceOwnership, now: Seconds) -> None:
        """Record the back ends that respond to requests, as other nodes report."""
        reporting = [node for node in self.world.nodes.values() if node.reaches_backends]
        if not self.reaches_nodes or not reporting:
            return
        for backend in self.world.backends.values():
            if backend.reachable and backend.serves(now):
                core.record_last_response(backend.backend_id, now)

    def _query_former_leaders(self) -> None:
        for former in self.election.former_leaders():
            node = self.world.nodes.get(former.node_id)
            if node is None or not node.up or node.paused:
                continue
            if not (node.reaches_nodes and self.reaches_nodes):
                continue
            node.election.handle_superseded(self.election.term)
            if node.election.role is not Role.LEADER:
                self.election.handle_former_leader_ended(former)

    def _start(self, process: Process) -> None:
        self.world.environment.process(process)

    def _receive_heartbeat(self, now: Seconds) -> None:
        record = self.election.record
        if record is None or self.election.role is Role.LEADER:
            return
        leader = self.world.nodes.get(record.node_id)
        if leader is None or not leader.up or leader.paused:
            return
        if not (leader.reaches_nodes and self.reaches_nodes):
            return
        if leader.election.role is Role.LEADER and leader.election.term >= record.term:
            silence = leader.election.store_silence(now)
            self.election.handle_heartbeat(leader.election.term, silence, now)
            if leader._known_owners.version > self._known_owners.version:
                self._known_owners = leader._known_owners
        else:
            incarnation = leader.identity.incarnation
            has_resigned = leader.election.has_resigned(now)
            self.election.handle_denial(record.term, incarnation, has_resigned)

    # ------------------------------------------------------------------ store

    def _election_call(self, command: ElectionCommand) -> Process:
        store = self.world.store
        started = self.world.environment.now
        try:
            if isinstance(command, ReadLeader):
                found = yield from store.read(LEADER.table, self.reaches_store)
                assert isinstance(found, TableRead)
                seen = election_calls.leader_read_result(found.rows, found.absent, found.store_time)
                self._record_era(versions.era_of(found.version))
                self.election.handle_leader_read(seen, self.world.environment.now)
                return
            if isinstance(command, Campaign):
                conditions = [RowCondition(LEADER, command.row_version)]
                write = RowWrite(LEADER, command.record.SerializeToString())
            else:
                conditions = [RowCondition(LEADER, command.row_version)]
                confirmation = LeaderConfirmation(term=command.term, confirmed_at=started)
                write = RowWrite(CONFIRMATION, confirmation.SerializeToString())
            written = yield from store.transact(conditions, [write], self.reaches_store)
            assert isinstance(written, WriteResult)
        except ConditionFailed as error:
            self.election.handle_leader_read(
                election_calls.leader_read_result(error.rows, error.absent),
                self.world.environment.now,
            )
            return
        except StoreError as error:
            self.election.handle_store_failure(self.world.environment.now)
            if isinstance(error, EraChanged):
                self._record_era(error.era)
            return
        if isinstance(command, Confirm):
            self.election.handle_confirmed(started)
        else:
            now = self.world.environment.now
            self.election.handle_elected(command.record, written.version, now)

    def _record_era(self, era: int) -> None:
        self._known_era = max(self._known_era, era)
        self.election.handle_era(self._known_era, self.world.environment.now)

    def _open(self, term: int) -> Process:
        try:
            found = yield from self.world.store.read(RECORD.table, self.reaches_store)
        except StoreError:
            self._opening = False
            return
        self._opening = False
        assert isinstance(found, TableRead)
        if self.election.role is not Role.LEADER or self.election.term != term:
            return
        row = next(iter(found.rows), None)
        record = _decode_record(row)
        is_newer = record is not None and record.term > (
            self._known_owners.version >> OWNERS_VERSION_BITS
        )
        is_continued = self._leads_since == self.election.leads_since
        self.core = ServiceOwnership(
            "service",
            self.world.positions,
            term,
            record,
            row.version if row else found.absent,
            self.world.timing,
            self.world.environment.now,
            () if is_newer else self._known_owners.ranges,
            self.core if is_continued else None,
        )
        self._core_term = term
        self._leads_since = self.election.leads_since

    def _write_record(self, core: ServiceOwnership, command: WriteRecord) -> Process:
        conditions = [
            RowCondition(LEADER, self.election.row_version),
            RowCondition(RECORD, command.row_version),
        ]
        write = RowWrite(RECORD, command.record.SerializeToString())
        while self.up and self.core is core:
            try:
                written = yield from self.world.store.transact(
                    conditions, [write], self.reaches_store
                )
            except ConditionFailed as error:
                row = next((item for item in error.rows if item.key == RECORD.key), None)
                version = row.version if row else error.absent
                core.handle_record_conflict(_decode_record(row), version)
                return
            except StoreError:
                yield self.world.environment.timeout(RECORD_RETRY_DELAY)
                continue
            assert isinstance(written, WriteResult)
            core.handle_record_written(written.version)
            return

    # ------------------------------------------------------------------ orders

    def _grant(self, core: ServiceOwnership, order: Grant) -> Process:
        environment = self.world.environment
        sent_at = environment.now
        accepted = yield from self._deliver(order)
        if not self.up:
            return
        if accepted is None:
            core.handle_order_lost(order, environment.now)
        else:
            core.handle_grant_response(order, accepted, not accepted, sent_at, environment.now)

    def _release(self, core: ServiceOwnership, order: Release) -> Process:
        accepted = yield from self._deliver(order)
        if not self.up:
            return
        if accepted is None:
            core.handle_order_lost(order, self.world.environment.now)
        else:
            core.handle_release_response(order, True, "", self.world.environment.now)

    def _deliver(self, order: Grant | Release) -> Generator[simpy.Event, object, bool | None]:
        """Send an order; return None if there is no response in time."""
        if not self.slowdown:
            return (yield from self._exchange(order))
        # An exchange that timed out goes on and takes processor time from the orders after it.
        environment = self.world.environment
        exchange = environment.process(self._process_and_exchange(order))
        timed_out = environment.timeout(self.world.timing.order_timeout)
        yield environment.any_of([exchange, timed_out])
        return exchange.value if exchange.processed else None

    def _process_and_exchange(
        self, order: Grant | Release
    ) -> Generator[simpy.Event, object, bool | None]:
        yield from self._process_order()
        accepted = yield from self._exchange(order)
        yield from self._process_order()
        return accepted

    def _process_order(self) -> Process:
        with self._processor.request() as turn:
            yield turn
            yield self.world.environment.timeout(ORDER_PROCESSING_TIME * self.slowdown)

    def _exchange(self, order: Grant | Release) -> Generator[simpy.Event, object, bool | None]:
        environment = self.world.environment
        yield environment.timeout(ORDER_TRANSIT_TIME)
        backend = self.world.addressee_of(order)
        reachable = backend is not None and backend.reachable and self.reaches_backends
        if (self.node_id, order.backend_id) in self.world.pair_cuts:
            reachable = False
        if order.backend_id not in self._addresses:
            reachable = False
        lost = self.world.random.random() < self.world.late_orders
        if backend is None or not reachable or not backend.up or lost:
            if lost and backend is not None:
                self.world.deliver_late(order)
            yield environment.timeout(self.world.timing.order_timeout)
            return None
        accepted = self.world.deliver(backend, order, late=False)
        yield environment.timeout(ORDER_TRANSIT_TIME)
        return accepted


def _decode_record(row: StoredRow | None) -> AssignmentRecord | None:
    return AssignmentRecord.FromString(row.value) if row is not None else None
