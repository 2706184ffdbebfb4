"""The simulated platform: a table that can be slow, down or lose responses, and a machine list."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from limedeck.api.peer_pb2 import GroupRecord
from limedeck.control.group_record import (
    ReadRecord,
    RecordConflict,
    RecordEvent,
    RecordRead,
    RecordUnavailable,
    RecordWritten,
    WriteRecord,
)
from limedeck.errors import TransactionConflict
from limedeck.identity import NodeId, Seconds
from limedeck.store.table import ABSENT, Condition, Write
from limedeck_lab.simulation.kernel import Kernel
from limedeck_lab.standins.table import MemoryTable

CALL_DELAY: Seconds = 0.01
CALL_TIMEOUT: Seconds = 1.0


@dataclass
class StoreFaults:
    """Faults of the table.

    Parameters
    ----------
    lost_answers
        Fraction of calls whose response is lost; writes among them take effect.
    """

    down: bool = False
    delay: Seconds = 0.0
    lost_answers: float = 0.0


class SimulatedPlatform:
    """Executes record commands after a delay.

    Parameters
    ----------
    list_lag
        Time until a machine whose node was killed is removed from the list.
    """

    def __init__(self, kernel: Kernel, generator: random.Random, list_lag: Seconds) -> None:
        self._kernel = kernel
        self._random = generator
        self.table = MemoryTable()
        self.faults = StoreFaults()
        self.list_lag = list_lag
        self.machines: dict[NodeId, str] = {}
        """Peer address of the node of every machine on the list."""

    def access_record(
        self, command: ReadRecord | WriteRecord, respond: Callable[[RecordEvent], None]
    ) -> None:
        """Execute a record command and call `respond` with its result."""
        if self.faults.down:
            self._kernel.after(CALL_TIMEOUT, lambda: respond(RecordUnavailable()))
            return
        arrival = CALL_DELAY * (0.5 + self._random.random()) + self.faults.delay
        self._kernel.after(arrival, lambda: self._execute(command, respond, arrival))

    def _execute(
        self,
        command: ReadRecord | WriteRecord,
        respond: Callable[[RecordEvent], None],
        arrival: Seconds,
    ) -> None:
        event = self._read(command) if isinstance(command, ReadRecord) else self._write(command)
        lost = self._random.random() < self.faults.lost_answers
        if lost or arrival > CALL_TIMEOUT:
            event = RecordUnavailable()
        self._kernel.after(CALL_DELAY, lambda: respond(event))

    def _read(self, command: ReadRecord) -> RecordEvent:
        rows = self.table.read([command.group])
        if not rows:
            return RecordRead(None, ABSENT)
        return RecordRead(GroupRecord.FromString(rows[0].value), rows[0].revision)

    def _write(self, command: WriteRecord) -> RecordEvent:
        value = command.record.SerializeToString()
        try:
            revision = self.table.transact(
                [Condition(command.group, command.expected_revision)],
                [Write(command.group, value)],
            )
        except TransactionConflict:
            return RecordConflict()
        return RecordWritten(revision)

    def list_machine(self, node_id: NodeId, address: str) -> None:
        """Add a machine to the list."""
        self.machines[node_id] = address

    def unlist_later(self, node_id: NodeId, is_still_down: Callable[[], bool]) -> None:
        """Remove a machine from the list after the lag if its node is still not running then."""

        def unlist() -> None:
            if is_still_down():
                self.machines.pop(node_id, None)

        self._kernel.after(self.list_lag, unlist)
