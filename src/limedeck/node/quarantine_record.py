"""Keeps quarantines in the store, so that they survive a failure of all nodes at once.

The leader reads them once it is elected, writes changes, and sends them to all nodes that follow
it. A node that starts while there is no leader reads them itself.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
from google.protobuf.message import DecodeError

from limedeck.api import control_pb2
from limedeck.clock import steady_clock
from limedeck.errors import PlatformProtocolError
from limedeck.forwarding import quarantine, quarantine_updates
from limedeck.identity import Seconds
from limedeck.node.control import ControlHost
from limedeck.node.logs import get_logger
from limedeck.store.rows import (
    ABSENT,
    ConditionFailed,
    RowKey,
    RowStore,
    RowWrite,
    StoreError,
)

QUARANTINE_ROW = RowKey("limedeck_quarantine", "", "requests")
UNKNOWN_RECORD = frozenset({(0, -1)})
"""Stands for a record that differs from every ledger, so that the leader writes it again."""
CHECK_INTERVAL: Seconds = 1.0
"""Time between two checks, and so the shortest time between two writes. A call costs the store
little, and callers repeat a request that crashes back ends after about this time."""


class QuarantineRecordKeeper:
    """Reads the record if no leader sends quarantines, and writes it while this node leads.

    Parameters
    ----------
    follows_leader
        Whether this node receives quarantines from a leader and need not read them from the store:
        when a site of hundreds of nodes starts, each node already makes some ten calls to it.
    """

    def __init__(
        self,
        ledger: quarantine.QuarantineLedger,
        store: RowStore,
        control: ControlHost,
        follows_leader: Callable[[], bool],
    ) -> None:
        self._hears_leader = follows_leader
        self._ledger = ledger
        self._store = store
        self._control = control
        self._stored: frozenset[tuple[int, int]] | None = None
        self._stored_era = store.era
        self._log = get_logger("quarantine")

    async def run(self) -> None:
        """Read or write the record at intervals until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            try:
                await self._update()
            except (StoreError, PlatformProtocolError) as error:
                self._log.info("quarantine_record_missed", problem=str(error))

    async def _update(self) -> None:
        if self._stored is not None and self._stored_era != self._store.era:
            # The store has returned from a copy, which may lack the record or hold an older one.
            self._stored = UNKNOWN_RECORD
            self._stored_era = self._store.era
        if self._stored is None:
            if not self._hears_leader():
                await self._read()
        elif self._control.leads and self._stored != _record_keys(self._ledger.quarantines()):
            await self._write()

    async def _read(self) -> None:
        table = await self._store.read(QUARANTINE_ROW.table, QUARANTINE_ROW.part)
        now = steady_clock()
        record = control_pb2.QuarantineRecord()
        for row in table.rows:
            try:
                record = control_pb2.QuarantineRecord.FromString(row.value)
            except DecodeError as error:
                raise PlatformProtocolError(f"row {row.key}", str(error)) from error
        offset = now - table.store_time
        quarantines = [
            quarantine_updates.Quarantine(
                row.request, row.level, row.began + offset, row.ends + offset
            )
            for row in record.rows
        ]
        self._ledger.apply(quarantines, self, now)
        self._stored = _record_keys(quarantines)
        self._stored_era = self._store.era
        if quarantines:
            self._log.info("quarantine_record_read", requests=len(quarantines))

    async def _write(self) -> None:
        quarantines = self._ledger.quarantines()
        offset = self._control.store_offset
        record = control_pb2.QuarantineRecord()
        for item in quarantines:
            record.rows.add(
                request=item.request,
                level=item.level,
                began=item.began + offset,
                ends=item.ends + offset,
            )
        write = RowWrite(QUARANTINE_ROW, record.SerializeToString())
        condition = self._control.leader_condition()
        if condition.version == ABSENT:
            return
        try:
            await self._store.transact([condition], [write])
        except ConditionFailed:
            # Another node leads by now and writes the record.
            self._log.info("quarantine_record_left", requests=len(quarantines))
            return
        self._stored = _record_keys(quarantines)
        self._log.info("quarantine_record_written", requests=len(quarantines))


def _record_keys(quarantines: list[quarantine_updates.Quarantine]) -> frozenset[tuple[int, int]]:
    return frozenset((item.request, item.level) for item in quarantines)
