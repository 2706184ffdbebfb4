"""The simulated platform: a table and a machine list, slow, down, or losing answers."""

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

CALL_SECONDS: Seconds = 0.01
CALL_TIMEOUT: Seconds = 1.0


@dataclass
class StoreFaults:
    """Faults of the table.

    Parameters
    ----------
    lost_answers
        Part of writes that take effect without an answer.
    """

    down: bool = False
    delay: Seconds = 0.0
    lost_answers: float = 0.0


class SimulatedPlatform:
    """Answers record commands after a delay.

    Parameters
    ----------
    list_lag
        Seconds until a lost machine is gone from the list.
    """

    def __init__(self, kernel: Kernel, generator: random.Random, list_lag: Seconds) -> None:
        self._kernel = kernel
        self._random = generator
        self.table = MemoryTable()
        self.faults = StoreFaults()
        self.list_lag = list_lag
        self.machines: dict[NodeId, str] = {}
        """Peer address of every machine on the list."""

    def access_record(
        self, command: ReadRecord | WriteRecord, answer: Callable[[RecordEvent], None]
    ) -> None:
        """Carry out a record command and call back with the answer."""
        if self.faults.down:
            self._kernel.after(CALL_TIMEOUT, lambda: answer(RecordUnavailable()))
            return
        arrival = CALL_SECONDS * (0.5 + self._random.random()) + self.faults.delay
        self._kernel.after(arrival, lambda: self._do(command, answer, arrival))

    def _do(
        self,
        command: ReadRecord | WriteRecord,
        answer: Callable[[RecordEvent], None],
        arrival: Seconds,
    ) -> None:
        event = self._read(command) if isinstance(command, ReadRecord) else self._write(command)
        lost = self._random.random() < self.faults.lost_answers
        if lost or arrival > CALL_TIMEOUT:
            event = RecordUnavailable()
        self._kernel.after(CALL_SECONDS, lambda: answer(event))

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
        """Put a machine on the list."""
        self.machines[node_id] = address

    def unlist_later(self, node_id: NodeId, still_gone: Callable[[], bool]) -> None:
        """Take a lost machine off the list after the lag, if it is still gone then."""

        def unlist() -> None:
            if still_gone():
                self.machines.pop(node_id, None)

        self._kernel.after(self.list_lag, unlist)
