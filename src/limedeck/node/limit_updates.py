"""Exchange of limit statements between nodes."""

from __future__ import annotations

from limedeck.api import control_pb2
from limedeck.forwarding.limits import LimitStatement
from limedeck.forwarding.statements import StatementUpdate
from limedeck.identity import Seconds
from limedeck.node import message_ages
from limedeck.node.statement_updates import StatementUpdatePeer

MAX_RATE = 1e9
"""Requests a second. Nodes read no higher rate from back ends, so none of them sends one."""


class LimitUpdatePeer(StatementUpdatePeer[LimitStatement]):
    """Exchanges limit statements with the node at the other end of a connection."""

    def _write(
        self,
        message: control_pb2.Report | control_pb2.Status,
        update: StatementUpdate[LimitStatement],
        now: Seconds,
    ) -> None:
        statement = update.statement
        message.limits.add(
            backend=update.backend_id,
            rate=statement.rate,
            asked=message_ages.age_of(statement.requested_at, now),
            heard=message_ages.age_of(statement.received_at, now),
        )

    def _read(
        self, message: control_pb2.Report | control_pb2.Status, now: Seconds
    ) -> list[tuple[str, LimitStatement]]:
        read = [(item.backend, _read_limit(item, now)) for item in message.limits]
        return [(backend_id, statement) for backend_id, statement in read if statement is not None]


def _read_limit(item: control_pb2.LimitNews, now: Seconds) -> LimitStatement | None:
    """Read a statement; None if its rate is out of range."""
    rate = item.rate if item.HasField("rate") else None
    if rate is not None and not 0.0 <= rate <= MAX_RATE:
        return None
    return LimitStatement(
        rate, message_ages.time_of(item.asked, now), message_ages.time_of(item.heard, now)
    )
