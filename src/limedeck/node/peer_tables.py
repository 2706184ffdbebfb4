"""What the node at the other end of a connection knows of each table, and what it was sent."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from limedeck import identity, versions

if TYPE_CHECKING:
    from limedeck.store import replica


FEED_GRACE: identity.Seconds = 0.6
"""A node with feeds of its own is sent changes only once it has lacked one for this long. Above the
interval of reports, so that nodes which the store serves are sent nothing."""
ACKNOWLEDGEMENT_TIMEOUT: identity.Seconds = 1.0
"""A node that does not report a version this long after it was sent is sent the changes again.
Four intervals of reports."""


@dataclasses.dataclass(slots=True)
class TableProgress:
    """How far the other node's replica of one table has come.

    The lag of a replica begins with the first change that it lacks, and ends when it has reached
    the version that was the newest at that time. Changes that are made meanwhile do not begin it
    again: otherwise a node would lack all changes for as long as they come in quick succession.

    Parameters
    ----------
    version
        Version that the other node last reported.
    target
        Newest version at the time when the current lag was noticed; None without a lag.
    lacks_since
        When this node learned of the first change that the other one lacks.
    sent
        Newest version that was sent on this connection.
    sent_at
        When it was sent.
    held_sent_era
        Latest era in which it was sent what this node holds on to against the store.
    """

    version: versions.StoreVersion = 0
    target: versions.StoreVersion | None = None
    lacks_since: identity.Seconds = identity.NEVER
    sent: versions.StoreVersion = 0
    sent_at: identity.Seconds = identity.NEVER
    held_sent_era: int = 0

    def record_lag(self, table: replica.TableReplica, now: identity.Seconds) -> None:
        """Record whether the other replica lacks changes of this node's replica of the table."""
        if self.version >= table.newest:
            self.target = None
        elif self.target is None:
            self.target = table.newest
            self.lacks_since = min(table.learned_after(self.version), now)
        elif self.version >= self.target:
            self.target = table.newest
            self.lacks_since = now

    def record_sent(self, version: versions.StoreVersion, now: identity.Seconds) -> None:
        """Record that changes up to this version were sent."""
        self.sent = version
        self.sent_at = now

    def is_acknowledgement_pending(self, now: identity.Seconds) -> bool:
        """Whether the other node has yet to report a version that it was sent."""
        return self.version < self.sent and now - self.sent_at < ACKNOWLEDGEMENT_TIMEOUT

    def known_version(self, now: identity.Seconds) -> versions.StoreVersion:
        """Return the version that the other replica reaches with all that is on its way to it."""
        return self.sent if self.is_acknowledgement_pending(now) else self.version


@dataclasses.dataclass(slots=True)
class PeerTables:
    """Tables of the node at the other end of a connection.

    Parameters
    ----------
    since
        When the connection was opened.
    has_reported
        Whether it has reported its versions.
    keeps_feeds
        Whether it reads changes from the store itself.
    node_id
        Its id, once it was received.
    """

    since: identity.Seconds
    has_reported: bool = False
    keeps_feeds: bool = True
    node_id: str | None = None
    tables: dict[str, TableProgress] = dataclasses.field(default_factory=dict)

    def progress(self, table: str) -> TableProgress:
        """Return the progress of its replica of a table."""
        return self.tables.setdefault(table, TableProgress())

    def has_lacked_changes(self, table: str, now: identity.Seconds) -> bool:
        """Whether it has lacked a change for so long that the store apparently does not serve it.

        A new connection leaves it time to read the store.
        """
        lag = now - self.progress(table).lacks_since
        return lag > FEED_GRACE and now - self.since >= FEED_GRACE
