"""Keeps quarantines in the store, so that they outlast an end of all nodes at once.

The leader reads them when it takes office, writes what changes, and tells all nodes that follow it.
A node that starts while there is no leader reads them itself.
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
INTERVAL: Seconds = 1.0
"""Between two looks, and so between two writes: a call costs the store little, and callers whose
request ends back ends come again within about so long."""


class QuarantineRecordKeeper:
    """Reads the record if nobody tells this node, and writes it while this node leads.

    Parameters
    ----------
    hears_leader
        Whether a leader tells this node what it knows. It need not ask the store then: a site of
        hundreds of nodes makes some ten calls for each at a start.
    """

    def __init__(
        self,
        ledger: quarantine.QuarantineLedger,
        store: RowStore,
        control: ControlHost,
        hears_leader: Callable[[], bool],
    ) -> None:
        self._hears_leader = hears_leader
        self._ledger = ledger
        self._store = store
        self._control = control
        self._kept: frozenset[tuple[int, int]] | None = None
        self._log = get_logger("quarantine")

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await anyio.sleep(INTERVAL)
            try:
                await self._look()
            except (StoreError, PlatformProtocolError) as error:
                self._log.info("quarantine_record_missed", problem=str(error))

    async def _look(self) -> None:
        if self._kept is None:
            if not self._hears_leader():
                await self._read()
        elif self._control.leads and self._kept != _marks(self._ledger.quarantines()):
            await self._write()

    async def _read(self) -> None:
        found = await self._store.read(QUARANTINE_ROW.table, QUARANTINE_ROW.part)
        now = steady_clock()
        record = control_pb2.QuarantineRecord()
        for row in found.rows:
            try:
                record = control_pb2.QuarantineRecord.FromString(row.value)
            except DecodeError as error:
                raise PlatformProtocolError(f"row {row.key}", str(error)) from error
        offset = now - found.store_time
        kept = [
            quarantine_updates.Quarantine(
                row.request, row.level, row.began + offset, row.ends + offset
            )
            for row in record.rows
        ]
        self._ledger.apply(kept, self, now)
        self._kept = _marks(kept)
        if kept:
            self._log.info("quarantine_record_read", requests=len(kept))

    async def _write(self) -> None:
        kept = self._ledger.quarantines()
        offset = self._control.store_offset
        record = control_pb2.QuarantineRecord()
        for item in kept:
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
            # Another node leads, and keeps the record.
            self._log.info("quarantine_record_left", requests=len(kept))
            return
        self._kept = _marks(kept)
        self._log.info("quarantine_record_written", requests=len(kept))


def _marks(kept: list[quarantine_updates.Quarantine]) -> frozenset[tuple[int, int]]:
    return frozenset((item.request, item.level) for item in kept)
