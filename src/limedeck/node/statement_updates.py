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
        self._told = 0

    @property
    def has_updates(self) -> bool:
        """Whether there are statements that the other node lacks."""
        return bool(self._ledger.updates_since(self._told, self)[0])

    def fill(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Add the statements that the other node lacks."""
        news, self._told = self._ledger.updates_since(self._told, self)
        for item in news:
            self._write(message, item, now)

    def apply(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Record the statements that the other node sent."""
        for backend_id, statement in self._read(message, now):
            self._ledger.record(backend_id, statement, self)

    @abstractmethod
    def _write(
        self,
        message: control_pb2.Report | control_pb2.Status,
        news: StatementUpdate[S],
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
