"""What nodes tell each other of the limits that back ends name."""

from __future__ import annotations

from limedeck.api import control_pb2
from limedeck.forwarding.limits import LimitLedger, LimitStatement
from limedeck.forwarding.statements import StatementNews
from limedeck.identity import Seconds
from limedeck.node import ages

HIGHEST_RATE = 1e9
"""Requests a second; a node tells no higher one, since it reads none."""


class LimitNewsPeer:
    """How far the node at the other end of a connection was told."""

    def __init__(self, ledger: LimitLedger) -> None:
        self._ledger = ledger
        self._told = 0

    @property
    def has_news(self) -> bool:
        """Whether there is anything that the other node lacks."""
        return bool(self._ledger.news_since(self._told, self)[0])

    def fill(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Add what the other node lacks."""
        news, self._told = self._ledger.news_since(self._told, self)
        message.limits.extend(_written(item, now) for item in news)

    def take(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Take in what the other node tells."""
        for item in message.limits:
            statement = _read(item, now)
            if statement is not None:
                self._ledger.take(item.backend, statement, self)


def _written(item: StatementNews[LimitStatement], now: Seconds) -> control_pb2.LimitNews:
    """Write news; ages instead of times, since nodes' clocks have nothing in common.

    A message that is late makes what it tells younger by as much. The next answer puts that right.
    """
    statement = item.statement
    return control_pb2.LimitNews(
        backend=item.backend_id,
        rate=statement.rate,
        asked=ages.age_of(statement.asked_at, now),
        heard=ages.age_of(statement.heard_at, now),
    )


def _read(item: control_pb2.LimitNews, now: Seconds) -> LimitStatement | None:
    rate = item.rate if item.HasField("rate") else None
    if rate is not None and not 0.0 <= rate <= HIGHEST_RATE:
        return None
    return LimitStatement(rate, ages.time_of(item.asked, now), ages.time_of(item.heard, now))
