"""Exchange of leaving statements between nodes."""

from __future__ import annotations

from limedeck.api import control_pb2
from limedeck.forwarding.leaving import LeavingStatement
from limedeck.forwarding.statements import StatementUpdate
from limedeck.identity import Seconds
from limedeck.node import message_ages
from limedeck.node.statement_updates import StatementUpdatePeer


class LeavingUpdatePeer(StatementUpdatePeer[LeavingStatement]):
    """Exchanges leaving statements with the node at the other end of a connection."""

    def _write(
        self,
        message: control_pb2.Report | control_pb2.Status,
        update: StatementUpdate[LeavingStatement],
        now: Seconds,
    ) -> None:
        statement = update.statement
        message.leaving.add(
            backend=update.backend_id,
            leaving=statement.is_leaving,
            asked=message_ages.age_of(statement.requested_at, now),
            heard=message_ages.age_of(statement.received_at, now),
        )

    def _read(
        self, message: control_pb2.Report | control_pb2.Status, now: Seconds
    ) -> list[tuple[str, LeavingStatement]]:
        return [
            (
                item.backend,
                LeavingStatement(
                    item.leaving,
                    message_ages.time_of(item.asked, now),
                    message_ages.time_of(item.heard, now),
                ),
            )
            for item in message.leaving
        ]
