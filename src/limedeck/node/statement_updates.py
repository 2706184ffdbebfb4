"""Exchange of back ends' statements between nodes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from limedeck.api import control_pb2
from limedeck.forwarding.statements import Statement, StatementLedger, StatementUpdate
from limedeck.identity import Seconds

S = TypeVar("S", bound=Statement)


class StatementUpdatePeer(ABC, Generic[S]):
    """Exchanges one kind of statement with the node at the other end of a connection."""

    def __init__(self, ledger: StatementLedger[S]) -> None:
        self._ledger = ledger
        self._sent_version = 0

    @property
    def has_updates(self) -> bool:
        """Whether there are statements that the other node lacks."""
        return bool(self._ledger.updates_since(self._sent_version, self)[0])

    def fill(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Add the statements that the other node lacks."""
        updates, self._sent_version = self._ledger.updates_since(self._sent_version, self)
        for update in updates:
            self._write(message, update, now)

    def apply(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Record the statements that the other node sent."""
        for backend_id, statement in self._read(message, now):
            self._ledger.record(backend_id, statement, self)

    @abstractmethod
    def _write(
        self,
        message: control_pb2.Report | control_pb2.Status,
        update: StatementUpdate[S],
        now: Seconds,
    ) -> None:
        """Add one statement, with ages instead of times since nodes' clocks are not comparable.

        A delay of the message makes the statement appear younger by that amount.
        """

    @abstractmethod
    def _read(
        self, message: control_pb2.Report | control_pb2.Status, now: Seconds
    ) -> list[tuple[str, S]]:
        """Return the valid statements with the ids of their back ends."""
