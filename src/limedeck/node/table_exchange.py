"""Exchange of table changes between nodes, since the store may serve only some of them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import anyio
from google.protobuf import message

from limedeck import clock, errors, versions
from limedeck.api import control_pb2
from limedeck.node import logs, peer_tables
from limedeck.store import replica

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from limedeck import identity
    from limedeck.node import watchers
    from limedeck.store import feeds


MAX_UPDATE_SIZE = 32_768
"""Compressed bytes of the largest update that is sent immediately to a node without feeds. Larger
ones are read from the store: sending them to hundreds of nodes would saturate the leader's link for
seconds."""
MAX_PIPELINED_SIZE = 2_048
"""Compressed bytes of the largest update that is sent before the node has reported that it has the
one before. Larger ones wait for its report, so that at most one to each node is on the leader's
link, and the next one holds only the newest value of each row."""
UPDATE_LINK_SHARE = 0.5
"""Maximum share of its link that a leader uses for immediate updates of tables; the rest is left
for heartbeats, orders and requests."""
ENCODED_CACHE_SIZE = 64
"""Number of encoded updates that are cached, since most nodes lack the same changes."""
DEFAULT_LINK_RATE = 1.25e6
"""Bytes a second (10 Mbit/s): the link of the slowest machine of the known sites."""
MAX_DECODED_SIZE = 64 << 20
"""Bytes of an update after decompression; all rows of the store together are far smaller."""
FEED_CHECK_INTERVAL: identity.Seconds = 0.1
"""Interval between checks of whether this node should keep feeds."""


class TableExchange:
    """Exchanges table changes that replicas lack, with the leader or with all its followers.

    Parameters
    ----------
    link
        Capacity of this node's link in bytes a second.
    """

    def __init__(
        self, tables: Sequence[watchers.TableWatcher], link: float = DEFAULT_LINK_RATE
    ) -> None:
        self._watchers = {watcher.table: watcher for watcher in tables}
        self._allowance = ByteAllowance(link * UPDATE_LINK_SHARE)
        self._encoded: dict[tuple[str, int, int, bool], control_pb2.TableNews] = {}
        self._log = logs.get_logger("store")

    def set_on_change(self, handler: Callable[[], None]) -> None:
        """Set a function that is called whenever a replica has changed."""
        for watcher in self._watchers.values():
            watcher.replica.on_change = handler

    def fill(
        self,
        peer_message: control_pb2.Report | control_pb2.Status,
        peer: peer_tables.PeerTables,
        now: identity.Seconds,
    ) -> None:
        """Add this node's table versions and the changes that the other node lacks."""
        for watcher in self._watchers.values():
            peer_message.tables.append(
                control_pb2.TableVersion(table=watcher.table, version=watcher.newest)
            )
            update = self._update_for(watcher.replica, peer, now)
            if update is not None:
                peer_message.news.append(update)
            held = self._held_update_for(watcher.replica, peer)
            if held is not None:
                peer_message.news.append(held)

    def apply(
        self,
        peer_message: control_pb2.Report | control_pb2.Status,
        peer: peer_tables.PeerTables,
        now: identity.Seconds,
    ) -> None:
        """Apply the changes and record the table versions that the other node sent."""
        for update in peer_message.news:
            watcher = self._watchers.get(update.table)
            if watcher is not None:
                watcher.handle_update(_decode_update(update), now)
        for item in peer_message.tables:
            peer.progress(item.table).version = item.version
        peer.has_reported = True
        for watcher in self._watchers.values():
            watcher.handle_peer_version(peer.progress(watcher.table).version, now)

    def _update_for(
        self, table: replica.TableReplica, peer: peer_tables.PeerTables, now: identity.Seconds
    ) -> control_pb2.TableNews | None:
        if not peer.has_reported:
            return None
        progress = peer.progress(table.table)
        progress.record_lag(table, now)
        is_late = progress.target is not None and peer.has_lacked_changes(table.table, now)
        if peer.keeps_feeds and not is_late:
            return None
        known_version = progress.known_version(now)
        update = table.update_for(known_version)
        if update is None:
            return None
        encoded = self._encode(update, known_version)
        size = len(encoded.entries)
        if size > MAX_PIPELINED_SIZE and progress.is_acknowledgement_pending(now):
            return None
        if is_late:
            self._log_late_update(peer, update, now)
        elif size > MAX_UPDATE_SIZE or not self._allowance.try_acquire(size, now):
            return None
        progress.record_sent(update.newest, now)
        return encoded

    def _held_update_for(
        self, table: replica.TableReplica, peer: peer_tables.PeerTables
    ) -> control_pb2.TableNews | None:
        """Return what the other node may have read from a copy of the store only, once an era."""
        progress = peer.progress(table.table)
        is_same_era = versions.era_of(progress.version) == table.era
        if not is_same_era or progress.held_sent_era >= table.era:
            return None
        update = table.held_update()
        if update is None:
            return None
        progress.held_sent_era = table.era
        return _encode_update(update)

    def _log_late_update(
        self, peer: peer_tables.PeerTables, update: replica.TableUpdate, now: identity.Seconds
    ) -> None:
        progress = peer.progress(update.table)
        self._log.info(
            "peer_lacked_changes",
            node=peer.node_id or "",
            table=update.table,
            reported=progress.version,
            version=update.newest,
            lacked=round(now - max(progress.lacks_since, peer.since), 2),
        )

    def _encode(self, update: replica.TableUpdate, peer_version: int) -> control_pb2.TableNews:
        key = (update.table, peer_version, update.newest, update.whole)
        encoded = self._encoded.get(key)
        if encoded is None:
            if len(self._encoded) >= ENCODED_CACHE_SIZE:
                self._encoded.clear()
            encoded = _encode_update(update)
            self._encoded[key] = encoded
        return encoded


class ByteAllowance:
    """Token bucket for bytes to be sent: refilled at a rate, and holding one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._filled_at: identity.Seconds | None = None

    def try_acquire(self, size: int, now: identity.Seconds) -> bool:
        """Take `size` bytes and return True, or take nothing and return False if fewer are left."""
        if self._filled_at is not None:
            self._left = min(self._left + self._rate * (now - self._filled_at), self._rate)
        self._filled_at = now
        if size > self._left:
            return False
        self._left -= size
        return True


class FeedKeeper:
    """Sets whether this node's watchers keep feeds or rely on updates from other nodes."""

    def __init__(
        self,
        policy: feeds.FeedPolicy,
        tables: Sequence[watchers.TableWatcher],
        leads: Callable[[], bool],
    ) -> None:
        self._policy = policy
        self._watchers = tables
        self._leads = leads

    def handle_store_recovered(self) -> None:
        """Restart feeds once the store responds again: those that waited meanwhile may be dead."""
        for watcher in self._watchers:
            watcher.restart_feed()

    async def run(self) -> None:
        """Apply the feed policy at intervals until cancelled."""
        while True:
            wanted = self._policy.feeds(self._leads(), clock.steady_clock())
            now = clock.steady_clock()
            for watcher in self._watchers:
                watcher.set_feeds(wanted, self._policy.temporary_feed_pause())
                watcher.settle(now)
            await anyio.sleep(FEED_CHECK_INTERVAL)


def _encode_update(update: replica.TableUpdate) -> control_pb2.TableNews:
    entries = control_pb2.TableEntries(
        entries=[
            control_pb2.TableEntry(
                key=entry.key,
                version=entry.version,
                value=entry.value or b"",
                dropped=entry.value is None,
            )
            for entry in update.entries
        ]
    )
    return control_pb2.TableNews(
        table=update.table,
        whole=update.whole,
        newest=update.newest,
        entries=zlib.compress(entries.SerializeToString()),
    )


def _decode_update(update: control_pb2.TableNews) -> replica.TableUpdate:
    try:
        unpacked = zlib.decompressobj().decompress(update.entries, MAX_DECODED_SIZE)
        decoded = control_pb2.TableEntries.FromString(unpacked)
    except (zlib.error, message.DecodeError) as exc:
        raise errors.PeerProtocolError(f"update of table {update.table}", str(exc)) from exc
    entries = tuple(
        replica.Entry(entry.key, entry.version, None if entry.dropped else entry.value)
        for entry in decoded.entries
    )
    return replica.TableUpdate(update.table, entries, update.newest, update.whole)
