"""Calls to the store that elect, confirm and read the leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from limedeck import addresses, versions
from limedeck.api.control_pb2 import LeaderConfirmation, LeaderRecord
from limedeck.clock import steady_clock
from limedeck.identity import Seconds
from limedeck.node.logs import get_logger
from limedeck.node.telemetry import Telemetry
from limedeck.ownership import terms
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.election_events import (
    Campaign,
    Confirm,
    ElectionCommand,
    LeaderReadResult,
    ReadLeader,
)
from limedeck.store.rows import (
    ConditionFailed,
    RowCondition,
    RowKey,
    RowStore,
    RowWrite,
    StoredRow,
    StoreError,
    StoreProtocolError,
)

LEADER_ROW = RowKey("limedeck_leader", "", "leader")
CONFIRMATION_ROW = RowKey("limedeck_leader", "", "confirmation")
Record = TypeVar("Record", bound=Message)


class ElectionCalls:
    """Executes the election's commands.

    Attributes
    ----------
    store_offset
        The store's clock minus this node's clock, in seconds.
    on_store_recovered
        Called when the store responds after calls that failed.
    on_leader
        Called when the store names a leader of a later term.
    """

    def __init__(self, election: ElectionCore, store: RowStore, telemetry: Telemetry) -> None:
        self.store_offset: Seconds = 0.0
        self.on_store_recovered: Callable[[], None] = lambda: None
        self.on_leader: Callable[[], None] = lambda: None
        self._election = election
        self._store = store
        self._telemetry = telemetry
        self._store_failed = False
        self._log = get_logger("control")

    async def execute(self, command: ElectionCommand) -> None:
        """Make the call, and pass the result to the election."""
        try:
            match command:
                case ReadLeader():
                    await self._read_leader(command)
                case Campaign():
                    await self._campaign(command)
                case Confirm():
                    await self._confirm(command)
        except StoreError as error:
            self._log.info("election_call_failed", problem=str(error))
            self._election.handle_store_failure(steady_clock())
            self._election.handle_era(self._store.era, steady_clock())
            self._store_failed = True
            return
        if self._store_failed:
            self._store_failed = False
            self.on_store_recovered()

    async def _read_leader(self, command: ReadLeader) -> None:
        found = await self._store.read(LEADER_ROW.table, LEADER_ROW.part)
        result = leader_read_result(found.rows, found.absent, found.store_time)
        self._record_store_time(found.store_time)
        self._log.info(
            "leader_read",
            why=command.why.value,
            term=result.record.term if result.record else 0,
            leader=result.record.node_id if result.record else "",
            confirmation_age=result.confirmation_age,
        )
        known = self._election.term
        self._election.handle_era(self._store.era, steady_clock())
        self._election.handle_leader_read(result, steady_clock())
        self._telemetry.term.set(self._election.term)
        if self._election.term > known:
            self.on_leader()

    async def _campaign(self, command: Campaign) -> None:
        condition = RowCondition(LEADER_ROW, command.row_version)
        write = RowWrite(LEADER_ROW, command.record.SerializeToString())
        try:
            written = await self._store.transact([condition], [write])
        except ConditionFailed as error:
            result = leader_read_result(error.rows, error.absent)
            self._election.handle_leader_read(result, steady_clock())
            return
        self._log.info("elected", term=command.record.term, why=command.why.value)
        self._record_store_time(written.store_time)
        self._election.handle_elected(command.record, written.version, steady_clock())
        self._telemetry.term.set(self._election.term)

    async def _confirm(self, command: Confirm) -> None:
        sent_at = steady_clock()
        confirmation = LeaderConfirmation(
            term=command.term, confirmed_at=sent_at + self.store_offset
        )
        condition = RowCondition(LEADER_ROW, command.row_version)
        write = RowWrite(CONFIRMATION_ROW, confirmation.SerializeToString())
        try:
            written = await self._store.transact([condition], [write])
        except ConditionFailed as error:
            result = leader_read_result(error.rows, error.absent)
            self._election.handle_leader_read(result, steady_clock())
            return
        self._record_store_time(written.store_time)
        self._election.handle_confirmed(sent_at)

    def _record_store_time(self, store_time: Seconds) -> None:
        self.store_offset = store_time - steady_clock()


def leader_read_result(
    rows: tuple[StoredRow, ...],
    absent: versions.StoreVersion,
    store_time: Seconds | None = None,
) -> LeaderReadResult:
    """Read the leader's rows.

    Parameters
    ----------
    absent
        Version of an absent row.
    store_time
        The store's clock; None if the rows are those that a failed write returned.
    """
    by_key = {row.key: row for row in rows}
    row = by_key.get(LEADER_ROW.key)
    record = _if_readable(_read_record, row)
    confirmation_row = by_key.get(CONFIRMATION_ROW.key)
    confirmation = _if_readable(_read_confirmation, confirmation_row)
    if record is not None and confirmation is not None and record.term < confirmation.term:
        # Only the leader of its own record confirms, so another program wrote an earlier one back.
        problem = (
            f"term {record.term} of the leader's row is below the confirmed {confirmation.term}"
        )
        get_logger("control").error("record_not_read", problem=problem)
        record = None
    is_unreadable = row is not None and record is None
    version = row.version if row is not None else absent
    age = None
    if confirmation is not None and store_time is not None:
        # The store's clock may have been set back with its rows.
        is_current = record is None or terms.era_of(record.term) >= versions.era_of(version)
        if is_current and (record is None or confirmation.term == record.term):
            age = store_time - confirmation.confirmed_at
    return LeaderReadResult(
        record,
        version,
        age,
        confirmed_term=confirmation.term if confirmation is not None else None,
        is_unreadable=is_unreadable,
        is_term_unreadable=is_unreadable and confirmation_row is not None and confirmation is None,
        is_conflict=store_time is None,
    )


def _if_readable(read: Callable[[StoredRow], Record], row: StoredRow | None) -> Record | None:
    """Read a row's record; None if there is no row, or if it holds none."""
    if row is None:
        return None
    try:
        return read(row)
    except StoreProtocolError as error:
        get_logger("control").error("record_not_read", problem=str(error))
        return None


def _read_record(row: StoredRow) -> LeaderRecord:
    record = decode_record(row, LeaderRecord)
    _check_term(row, record.term)
    try:
        addresses.parse_address(record.peer_address)
    except addresses.InvalidAddress as error:
        raise StoreProtocolError(f"row {row.key} of {row.table}: {error}") from error
    return record


def _read_confirmation(row: StoredRow) -> LeaderConfirmation:
    confirmation = decode_record(row, LeaderConfirmation)
    _check_term(row, confirmation.term)
    return confirmation


def _check_term(row: StoredRow, term: int) -> None:
    era = versions.era_of(row.version)
    if not terms.is_plausible(term, era):
        raise StoreProtocolError(f"row {row.key} of {row.table}: no term {term} in era {era}")


def decode_record(row: StoredRow, kind: type[Record]) -> Record:
    """Decode a record that a node has written to a row.

    Raises
    ------
    StoreProtocolError
        The row does not hold such a record.
    """
    try:
        return kind.FromString(row.value)
    except DecodeError as error:
        raise StoreProtocolError(f"row {row.key} of {row.table}: {error}") from error
