"""Drives election and ownership: executes their commands and passes the results back to them."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from limedeck.api.control_pb2 import (
    AssignmentRecord,
    LeaderRecord,
    ServiceLoad,
    ServiceOwners,
    Status,
)
from limedeck.clock import steady_clock
from limedeck.forwarding.intermediaries import Intermediary
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.forwarding.quarantine import QuarantineLedger
from limedeck.http_client import HttpClient
from limedeck.identity import Seconds
from limedeck.node import (
    fleet_intermediaries,
    load_exchange,
    order_sender,
    ownership_log,
    permit_exchange,
)
from limedeck.node.connection_updates import ConnectionUpdates
from limedeck.node.election_calls import LEADER_ROW, ElectionCalls, decode_record
from limedeck.node.logs import get_logger
from limedeck.node.owner_changes import PublishedOwners, read_owners
from limedeck.node.reachability_monitor import ReachabilityMonitor
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry
from limedeck.ownership import candidate_priority
from limedeck.ownership.commands import OwnershipCommand, SendGrant, SendRelease, WriteRecord
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.election_events import (
    Campaign,
    ElectionCommand,
    Role,
)
from limedeck.ownership.orders import OrderProtocol
from limedeck.ownership.service import ServiceOwnership
from limedeck.ownership.timing import OwnershipTiming
from limedeck.store.rows import (
    ConditionFailed,
    RowCondition,
    RowKey,
    RowStore,
    RowWrite,
    StoredRow,
    StoreError,
)

ASSIGNMENT_TABLE = "limedeck_assignment"
TICK_INTERVAL: Seconds = 0.05
"""Interval between checks for due work: a tenth of the renewal interval."""
RECORD_RETRY_DELAY: Seconds = 0.1
"""Short, because keys wait for the record meanwhile and a call costs the store little."""
MAX_STORE_SILENCE: Seconds = 1.0
"""Planned moves of keys require that the store has confirmed the leader within this time, since the
move will then be recorded soon. Above the interval of confirmations."""
OWN_LOADS_INTERVAL: Seconds = 0.5
"""The leader counts its own requests by key as often as other nodes report theirs."""
RECENT_CONTACT: Seconds = 1.0
"""A node that has had no response from a back end for this long probes before it is elected."""
VERSION_BITS = 32


@dataclass(frozen=True, slots=True)
class _OwnedService:
    """A service whose ownership this node manages as leader, in one term."""

    term: int
    core: ServiceOwnership
    leads_since: Seconds


class ControlHost:
    """A node's part in the control of the fleet: as the leader or as a follower.

    Parameters
    ----------
    identity
        This node's record for elections.
    processor
        Cores that this node may use.
    first_start
        Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        identity: LeaderRecord,
        state: NodeState,
        store: RowStore,
        orders: OrderProtocol,
        key_positions: int,
        client: HttpClient,
        timing: OwnershipTiming,
        telemetry: Telemetry,
        monitor: ReachabilityMonitor,
        processor: float = 1.0,
        first_start: bool = True,
    ) -> None:
        self._monitor = monitor
        self.election = ElectionCore(identity, timing, steady_clock(), processor, first_start)
        self.loads = load_exchange.LoadExchange(state.directory, identity.node_id)
        self.permits = permit_exchange.PermitExchange(state.directory, self.election)
        self.intermediaries = fleet_intermediaries.FleetIntermediaries(identity.node_id)
        self.intermediary_address = ""
        self._used_changes = 0
        self.processor = processor
        self.fleet: Callable[[], candidate_priority.Fleet] = lambda: (
            candidate_priority.describe_fleet([processor])
        )
        self.on_owners: Callable[[], None] = lambda: None
        self.on_leader: Callable[[], None] = lambda: None
        self.on_statements: Callable[[], None] = lambda: None
        state.directory.limits.on_change = self._handle_statement
        state.directory.leaving.on_change = self._handle_statement
        self.on_store_recovered: Callable[[], None] = lambda: None
        self._election_calls = ElectionCalls(self.election, store, telemetry)
        self._election_calls.on_store_recovered = lambda: self.on_store_recovered()
        self._election_calls.on_leader = lambda: self.on_leader()
        self._identity = identity
        self._state = state
        self._store = store
        self._key_positions = key_positions
        self._order_sender = order_sender.OrderSender(
            state.directory, orders, client, timing.order_timeout, telemetry, monitor
        )
        self._timing = timing
        self._telemetry = telemetry
        self._services: dict[str, _OwnedService] = {}
        self._opening: set[str] = set()
        self._listing_seen = -1
        self._owners = PublishedOwners()
        self._log = get_logger("control")
        self._next_own_loads: Seconds = 0.0
        self._ownership_log = ownership_log.OwnershipLog(telemetry)
        self._tasks: TaskGroup | None = None

    @property
    def leads(self) -> bool:
        """Whether this node leads, as far as it knows."""
        return self.election.role is Role.LEADER

    @property
    def is_partitioned(self) -> bool:
        """Whether this node reaches no back end."""
        return self._state.directory.reachability.is_partitioned

    def set_intermediary(self, intermediary: Intermediary) -> None:
        """Set where this node accepts the attempts of other nodes."""
        self.intermediary_address = intermediary.address
        self.intermediaries.set_own(intermediary)

    def handle_partition_changed(self) -> None:
        """Report a changed partition of this node to the leader, or to all nodes as the leader."""
        self.intermediaries.record_own_partition(self.is_partitioned)
        self.permits.notifier.notify()
        self.on_leader()

    @property
    def quarantine(self) -> QuarantineLedger:
        """This node's ledger of requests that crash back ends."""
        return self._state.quarantine

    def connection_updates(self) -> ConnectionUpdates:
        """Return the exchange of updates for a new connection to another node."""
        return ConnectionUpdates(self._state.quarantine, self._state.directory)

    @property
    def store_offset(self) -> Seconds:
        """The store's clock minus this node's clock."""
        return self._election_calls.store_offset

    def leader_condition(self) -> RowCondition:
        """Return a condition that holds in the store as long as this node leads."""
        return RowCondition(LEADER_ROW, self.election.row_version)

    async def run(self) -> None:
        """Tick until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                due = steady_clock() + TICK_INTERVAL
                self._tick(steady_clock())
                await anyio.sleep(TICK_INTERVAL)
                self._ownership_log.record_tick_delay(steady_clock() - due)

    def status(self) -> Status:
        """Return this node's status for the nodes that follow it, without owners."""
        now = steady_clock()
        silence = self.election.store_silence(now) if self.leads else 0.0
        record = self.election.record if not self.leads else None
        fleet = self.fleet()
        return Status(
            term=self.election.term,
            leads=self.leads,
            node_count=fleet.node_count,
            strongest=fleet.strongest,
            strong_count=fleet.strong_count,
            store_silence=silence,
            incarnation=self._identity.incarnation,
            resigned=self.election.has_resigned(now),
            clock=now,
            leader=record,
            leader_row_version=self.election.row_version if record is not None else 0,
        )

    def owners_since(self, sent: dict[str, OwnerMap]) -> list[ServiceOwners]:
        """Return the owners that a node lacks and add them to `sent`; none if this node follows."""
        return self._owners.updates_since(sent) if self.leads else []

    def handle_status(self, status: Status, leader: LeaderRecord) -> None:
        """Handle a status from the leader, or from a node that was taken for the leader."""
        now = steady_clock()
        if not status.leads:
            self.election.handle_denial(leader.term, status.incarnation, status.resigned)
            if status.HasField("leader"):
                self.election.handle_peer_record(status.leader, status.leader_row_version, now)
            return
        fleet = candidate_priority.Fleet(status.node_count, status.strongest, status.strong_count)
        self.election.handle_heartbeat(status.term, status.store_silence, now, fleet)
        if status.term >= self.election.term:
            self._state.record_leader(status.store_silence, status.node_count, now)
            if status.HasField("backend_totals"):
                self.loads.handle_totals(status.backend_totals, now)
            if status.intermediaries or status.no_intermediaries:
                self._state.directory.intermediaries.set_known(
                    fleet_intermediaries.read_intermediaries(status.intermediaries)
                )
            if status.peers:
                own = self._identity.peer_address
                self._state.peers = tuple(peer for peer in status.peers if peer != own)
        for owners in status.owners:
            known = self._state.service(owners.service).owners
            if owners.version > known.version:
                clock_lead = now - status.clock
                self._state.set_owners(owners.service, read_owners(owners, known, clock_lead))

    def resign(self) -> None:
        """Resign leadership and notify all followers, because this process is about to stop."""
        self.election.resign()
        self.on_leader()

    def collect_loads(self) -> list[ServiceLoad]:
        """Return this node's request counts by key since the last call, for the leader."""
        return self._state.collect_loads()

    def handle_loads(self, loads: Iterable[ServiceLoad]) -> None:
        """Record the request counts by key that a node reported."""
        now = steady_clock()
        for load in loads:
            owned = self._services.get(load.service)
            if owned is None:
                continue
            owned.core.record_requests(((item.position, item.count) for item in load.keys), now)

    def handle_report_term(self, term: int) -> None:
        """Handle the term that another node reported; a later one ends this node's leadership."""
        self.election.handle_superseded(term)

    def _handle_statement(self) -> None:
        """Send statements immediately; nodes keep sending requests until they receive one."""
        self.permits.notifier.notify()
        self.on_statements()

    # ------------------------------------------------------------------ ticking

    def _tick(self, now: Seconds) -> None:
        self.election.handle_era(self._store.era, now)
        self.election.is_partitioned = self._monitor.must_stand_last(self.leads, now)
        command = self.election.handle_tick(now)
        if command is not None:
            self._start(self._execute_election_command, command)
        self.permits.handle_tick(now)
        if not self.leads:
            self._end_leadership()
            return
        node_count = self.fleet().node_count
        self._state.record_leader(self.election.store_silence(now), node_count, now)
        self._use_intermediaries()
        self._open_services()
        if self.election.must_yield_to_reaching_nodes(self.intermediaries.count_reaching(), now):
            self._yield_leadership("", self.election.term, now)
            return
        self._refresh_listing(now)
        self._refresh_totals(now)
        if now >= self._next_own_loads:
            self._next_own_loads = now + OWN_LOADS_INTERVAL
            self.handle_loads(self._state.collect_loads())
        may_renew = self.election.may_renew(now)
        may_yield = self.election.may_yield(now) and node_count > 1
        may_move = self._may_move(now)
        for name, owned in list(self._services.items()):
            owned.core.set_partitioned(self.is_partitioned, self._monitor.is_in_doubt(now))
            if not self.election.former_leaders():
                owned.core.handle_former_leaders_ended(now)
            for order in owned.core.handle_tick(may_renew, now, may_yield, may_move):
                self._start(self._execute_command, name, owned, order)
            self._ownership_log.record_tick(name, owned.term, owned.core, now)
            self._publish(name, owned, now)
            if owned.core.fenced_off:
                self._log.warning("fenced_off", service=name, term=owned.term)
                self.election.step_down()
            elif owned.core.should_yield:
                self._yield_leadership(name, owned.term, now)
        self._telemetry.leads.set(1)

    def _use_intermediaries(self) -> None:
        """Take this leader's own intermediaries from those that it names to others."""
        if self._used_changes != self.intermediaries.changes:
            self._used_changes = self.intermediaries.changes
            zone = self.intermediaries.own_zone
            chosen = self.intermediaries.choose_for(self._identity.node_id, zone)
            self._state.directory.intermediaries.set_known(chosen)

    def _yield_leadership(self, service: str, term: int, now: Seconds) -> None:
        """Let another node lead, and notify all followers of this one."""
        self._log.warning(
            "leadership_yielded", service=service, term=term, partitioned=self.is_partitioned
        )
        self.election.yield_leadership(now)
        self.on_leader()

    async def _execute_election_command(self, command: ElectionCommand) -> None:
        """Execute a command, unless this node would lead without reaching any back end."""
        if isinstance(command, Campaign) and not (
            self.leads or self.is_partitioned or await self._monitor.ensure_contact(RECENT_CONTACT)
        ):
            self._log.info("campaign_dropped", term=command.record.term)
            self.election.handle_campaign_dropped()
            return
        await self._election_calls.execute(command)

    def _end_leadership(self) -> None:
        if self._services:
            self._log.info("leadership_ended", term=self.election.term)
            self._services.clear()
            self._ownership_log.clear()
            self._owners.clear()
            self.loads.clear()
            self._telemetry.leads.set(0)

    def _open_services(self) -> None:
        term = self.election.term
        for view in self._state.services.values():
            owned = self._services.get(view.name)
            is_open = owned is not None and owned.term == term
            if view.keyed and not is_open and view.name not in self._opening:
                self._opening.add(view.name)
                self._start(self._open_service, view.name, term)

    def _may_move(self, now: Seconds) -> bool:
        """Whether the next owners of released keys can be recorded soon."""
        is_confirmed = self.election.store_silence(now) < MAX_STORE_SILENCE
        return is_confirmed and not self.election.is_election_lost and not self.is_partitioned

    def _refresh_listing(self, now: Seconds) -> None:
        may_move = self._may_move(now)
        for name, owned in self._services.items():
            listed = self._state.directory.owner_candidates(name, now, may_move)
            owned.core.set_backends(listed, now)
            owned.core.set_limits(self._state.directory.limits.limited(), now)

    def _refresh_totals(self, now: Seconds) -> None:
        totals = self.loads.refresh(now)
        if not totals:
            return
        for name, owned in self._services.items():
            states = self._state.directory.of_service(name)
            known = {
                item.backend.backend_id: totals.get(item.backend.backend_id) for item in states
            }
            excluded = {key for key, total in known.items() if total and total.excluded}
            owned.core.set_failing_backends(excluded | (self.loads.avoided_owners & known.keys()))
            for backend_id, total in known.items():
                if total is None:
                    continue
                owned.core.record_last_response(backend_id, total.responded_at)
                if total.lasting_time > 0.0:
                    owned.core.set_service_time(backend_id, total.lasting_time)

    def _publish(self, name: str, owned: _OwnedService, now: Seconds) -> None:
        ranges = owned.core.published(now)
        version = owned.term << VERSION_BITS | owned.core.version
        if not ranges or self._owners.version(name) == version:
            return
        owners = OwnerMap(version, ranges)
        self._owners.publish(name, owners)
        self._state.set_owners(name, owners)
        self.on_owners()

    def _start(
        self, function: Callable[..., Coroutine[object, object, None]], *arguments: object
    ) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *arguments)

    # ------------------------------------------------------------------ ownership

    async def _open_service(self, name: str, term: int) -> None:
        """Read a service's assignment record and take the service over."""
        try:
            found = await self._store.read(ASSIGNMENT_TABLE, "")
            row = next((row for row in found.rows if row.key == name), None)
            record = _parse_assignment(row)
        except StoreError as error:
            self._log.info("record_not_read", service=name, problem=str(error))
            await anyio.sleep(RECORD_RETRY_DELAY)
            self._opening.discard(name)
            return
        self._opening.discard(name)
        if not self.leads or self.election.term != term:
            return
        core = ServiceOwnership(
            name,
            self._key_positions,
            term,
            record,
            row.version if row else found.absent,
            self._timing,
            steady_clock(),
            self._known_owners(name, record),
            self._continued_core(name),
        )
        self._services[name] = _OwnedService(term, core, self.election.leads_since)
        self._log.info(
            "service_opened",
            service=name,
            term=term,
            ranges=len(record.ranges) if record else 0,
            fencing=core.is_fencing,
        )

    def _known_owners(self, name: str, record: AssignmentRecord | None) -> tuple[OwnedRange, ...]:
        """Return the owners that this node knows from a leader, unless the record is newer."""
        owners = self._state.service(name).owners
        if record is not None and owners.version >> VERSION_BITS < record.term:
            return ()
        return owners.ranges

    def _continued_core(self, name: str) -> ServiceOwnership | None:
        """Return the core of an earlier term if this node has led without a break since."""
        owned = self._services.get(name)
        if owned is None or owned.leads_since != self.election.leads_since:
            return None
        return owned.core

    async def _execute_command(
        self, name: str, owned: _OwnedService, command: OwnershipCommand
    ) -> None:
        if isinstance(command, SendGrant):
            await self._order_sender.send_grant(name, owned.core, command.order)
        elif isinstance(command, SendRelease):
            await self._order_sender.send_release(name, owned.core, command.order)
        else:
            await self._write_record(name, owned, command)

    async def _write_record(self, name: str, owned: _OwnedService, command: WriteRecord) -> None:
        """Retry the write until the store responds.

        An earlier attempt has then either taken effect or cannot do so any more.
        """
        row = RowKey(ASSIGNMENT_TABLE, "", name)
        conditions = [
            RowCondition(LEADER_ROW, self.election.row_version),
            RowCondition(row, command.row_version),
        ]
        write = RowWrite(row, command.record.SerializeToString())
        while self._services.get(name) is owned and self.leads:
            try:
                written = await self._store.transact(conditions, [write])
            except ConditionFailed as error:
                self._log.info("record_conflict", service=name)
                if self._handle_record_conflict(name, owned, error):
                    return
                await anyio.sleep(RECORD_RETRY_DELAY)
                continue
            except StoreError as error:
                self._log.info("record_not_written", service=name, problem=str(error))
                await anyio.sleep(RECORD_RETRY_DELAY)
                continue
            owned.core.handle_record_written(written.version)
            return

    def _handle_record_conflict(
        self, name: str, owned: _OwnedService, conflict: ConditionFailed
    ) -> bool:
        """Pass the stored record to the core; return False if it cannot be read."""
        found = next((item for item in conflict.rows if item.key == name), None)
        try:
            record = _parse_assignment(found)
        except StoreError as error:
            self._log.error("record_not_read", service=name, problem=str(error))
            return False
        version = found.version if found else conflict.absent
        owned.core.handle_record_conflict(record, version)
        return True


def _parse_assignment(row: StoredRow | None) -> AssignmentRecord | None:
    return decode_record(row, AssignmentRecord) if row is not None else None
