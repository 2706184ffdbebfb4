"""What nodes tell each other of the store, which may serve some of them and not others."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from limedeck.api import control_pb2
from limedeck.store import replica

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limedeck import identity
    from limedeck.node import watchers


PATIENCE: identity.Seconds = 0.6
"""Another node is told what it lacks this long after this one learned it; above the interval of
reports, so that nodes which the store serves are told nothing."""


@dataclasses.dataclass(slots=True)
class PeerTables:
    """How far the replicas of the node at the other end of a connection are.

    Parameters
    ----------
    since
        When the connection was opened.
    newest
        Newest version by table, as told last; None until it was told.
    """

    since: identity.Seconds
    newest: dict[str, int] | None = None


class StoreNews:
    """Exchanges, with the leader or with all that follow it, what replicas of tables lack."""

    def __init__(self, tables: Sequence[watchers.TableWatcher]) -> None:
        self._watchers = {watcher.table: watcher for watcher in tables}

    def fill(
        self,
        message: control_pb2.Report | control_pb2.Status,
        peer: PeerTables,
        now: identity.Seconds,
    ) -> None:
        """Add how far this node is, and what the other one lacks."""
        for watcher in self._watchers.values():
            message.tables.append(
                control_pb2.TableVersion(table=watcher.table, version=watcher.newest)
            )
            if peer.newest is None or now - peer.since < PATIENCE:
                continue
            told = peer.newest.get(watcher.table, 0)
            news = watcher.replica.news_for(told, now - PATIENCE)
            if news is not None:
                message.news.append(_encoded(news))

    def take(
        self,
        message: control_pb2.Report | control_pb2.Status,
        peer: PeerTables,
        now: identity.Seconds,
    ) -> None:
        """Take in what the other node tells."""
        for news in message.news:
            watcher = self._watchers.get(news.table)
            if watcher is not None:
                watcher.handle_news(_decoded(news), now)
        peer.newest = {item.table: item.version for item in message.tables}
        for watcher in self._watchers.values():
            watcher.handle_told(peer.newest.get(watcher.table, 0), now)


def _encoded(news: replica.TableNews) -> control_pb2.TableNews:
    entries = [
        control_pb2.TableEntry(
            key=entry.key,
            version=entry.version,
            value=entry.value or b"",
            dropped=entry.value is None,
        )
        for entry in news.entries
    ]
    return control_pb2.TableNews(
        table=news.table, whole=news.whole, newest=news.newest, entries=entries
    )


def _decoded(news: control_pb2.TableNews) -> replica.TableNews:
    entries = tuple(
        replica.Entry(entry.key, entry.version, None if entry.dropped else entry.value)
        for entry in news.entries
    )
    return replica.TableNews(news.table, entries, news.newest, news.whole)
