"""What nodes tell each other of the store, which may serve some of them and not others."""

from __future__ import annotations

import dataclasses
import zlib
from typing import TYPE_CHECKING

import anyio
from google.protobuf import message

from limedeck import clock, errors
from limedeck.api import control_pb2
from limedeck.store import replica

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from limedeck import identity
    from limedeck.node import watchers
    from limedeck.store import feeds


PATIENCE: identity.Seconds = 0.6
"""A node that asks the store itself is told what it lacks this long after this one learned it;
above the interval of reports, so that nodes which the store serves are told nothing."""
LARGEST_TOLD = 32_768
"""Compressed bytes that a node without feeds is told at once; an estimate, not measured. More is
read from the store: hundreds of nodes that are told it would fill a leader's link for seconds."""
TOLD_SHARE = 0.5
"""Part of its link that a leader spends at most on telling tables whole; the rest is left for
heartbeats, orders and requests. An estimate."""
ENCODED_KEPT = 64
"""Encoded news that are remembered: most nodes lack the same."""
DEFAULT_LINK = 1.25e6
"""Bytes a second, 10 Mbit/s: the slowest machine of the known sites."""
LARGEST_NEWS = 64 << 20
"""Bytes after decompression; the store's rows are far smaller together."""
TICK: identity.Seconds = 0.1
"""Between two looks at whether this node keeps feeds."""


@dataclasses.dataclass(slots=True)
class PeerTables:
    """How far the replicas of the node at the other end of a connection are.

    Parameters
    ----------
    since
        When the connection was opened.
    newest
        Newest version by table, as told last; None until it was told.
    keeps_feeds
        It learns from the store itself.
    node_id
        Its name, once it has told it.
    """

    since: identity.Seconds
    newest: dict[str, int] | None = None
    keeps_feeds: bool = True
    node_id: str | None = None


class TableExchange:
    """Exchanges, with the leader or with all that follow it, what replicas of tables lack.

    Parameters
    ----------
    link
        Bytes a second that this node can send.
    """

    def __init__(self, tables: Sequence[watchers.TableWatcher], link: float = DEFAULT_LINK) -> None:
        self._watchers = {watcher.table: watcher for watcher in tables}
        self._whole_tables = ByteAllowance(link * TOLD_SHARE)
        self._encoded: dict[tuple[str, int, int, bool], control_pb2.TableNews] = {}

    def set_on_change(self, handler: Callable[[], None]) -> None:
        """Call a function whenever a replica has changed."""
        for watcher in self._watchers.values():
            watcher.replica.on_change = handler

    def fill(
        self,
        told: control_pb2.Report | control_pb2.Status,
        peer: PeerTables,
        now: identity.Seconds,
    ) -> None:
        """Add how far this node is, and what the other one lacks."""
        for watcher in self._watchers.values():
            told.tables.append(
                control_pb2.TableVersion(table=watcher.table, version=watcher.newest)
            )
            news = self._news_for(watcher.replica, peer, now)
            if news is not None:
                told.news.append(news)

    def apply(
        self,
        told: control_pb2.Report | control_pb2.Status,
        peer: PeerTables,
        now: identity.Seconds,
    ) -> None:
        """Take in what the other node tells."""
        for news in told.news:
            watcher = self._watchers.get(news.table)
            if watcher is not None:
                watcher.handle_update(_decoded(news), now)
        peer.newest = {item.table: item.version for item in told.tables}
        for watcher in self._watchers.values():
            watcher.handle_peer_version(peer.newest.get(watcher.table, 0), now)

    def _news_for(
        self, table: replica.TableReplica, peer: PeerTables, now: identity.Seconds
    ) -> control_pb2.TableNews | None:
        if peer.newest is None:
            return None
        told = peer.newest.get(table.table, 0)
        if not peer.keeps_feeds:
            news = table.update_for(told, now)
            if news is None:
                return None
            encoded = self._encode(news, told)
            if self._may_tell(encoded, now):
                return encoded
        if now - peer.since < PATIENCE:
            return None
        news = table.update_for(told, now - PATIENCE)
        return self._encode(news, told) if news is not None else None

    def _may_tell(self, encoded: control_pb2.TableNews, now: identity.Seconds) -> bool:
        size = len(encoded.entries)
        if size > LARGEST_TOLD:
            return False
        return not encoded.whole or self._whole_tables.try_acquire(size, now)

    def _encode(self, news: replica.TableUpdate, told: int) -> control_pb2.TableNews:
        key = (news.table, told, news.newest, news.whole)
        encoded = self._encoded.get(key)
        if encoded is None:
            if len(self._encoded) >= ENCODED_KEPT:
                self._encoded.clear()
            encoded = _encoded(news)
            self._encoded[key] = encoded
        return encoded


class ByteAllowance:
    """Bytes that may be sent: so many a second, and what was not sent in the last second."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._filled_at: identity.Seconds | None = None

    def try_acquire(self, size: int, now: identity.Seconds) -> bool:
        """Take so many bytes, or none if there are too few."""
        if self._filled_at is not None:
            self._left = min(self._left + self._rate * (now - self._filled_at), self._rate)
        self._filled_at = now
        if size > self._left:
            return False
        self._left -= size
        return True


class FeedKeeper:
    """Lets this node's watchers keep feeds, or be told."""

    def __init__(
        self,
        policy: feeds.FeedPolicy,
        tables: Sequence[watchers.TableWatcher],
        leads: Callable[[], bool],
    ) -> None:
        self._policy = policy
        self._watchers = tables
        self._leads = leads

    def handle_store_back(self) -> None:
        """The store answers after calls without an answer; feeds that waited may be dead."""
        for watcher in self._watchers:
            watcher.restart_feed()

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            wanted = self._policy.feeds(self._leads(), clock.steady_clock())
            for watcher in self._watchers:
                watcher.set_feeds(wanted, self._policy.temporary_feed_pause())
            await anyio.sleep(TICK)


def _encoded(news: replica.TableUpdate) -> control_pb2.TableNews:
    entries = control_pb2.TableEntries(
        entries=[
            control_pb2.TableEntry(
                key=entry.key,
                version=entry.version,
                value=entry.value or b"",
                dropped=entry.value is None,
            )
            for entry in news.entries
        ]
    )
    return control_pb2.TableNews(
        table=news.table,
        whole=news.whole,
        newest=news.newest,
        entries=zlib.compress(entries.SerializeToString()),
    )


def _decoded(news: control_pb2.TableNews) -> replica.TableUpdate:
    try:
        unpacked = zlib.decompressobj().decompress(news.entries, LARGEST_NEWS)
        told = control_pb2.TableEntries.FromString(unpacked)
    except (zlib.error, message.DecodeError) as exc:
        raise errors.PeerProtocolError(f"news of {news.table}", str(exc)) from exc
    entries = tuple(
        replica.Entry(entry.key, entry.version, None if entry.dropped else entry.value)
        for entry in told.entries
    )
    return replica.TableUpdate(news.table, entries, news.newest, news.whole)
