"""Which nodes keep feeds of the store: the leader and a few observers; these update the others.

With a feed at every node, calls to the store would grow with the number of nodes times the number
of changes. A node without feeds resumes them as soon as it cannot be sure that the leader learns
of changes.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from limedeck import identity, staggering

if TYPE_CHECKING:
    from collections.abc import Mapping


OBSERVER_COUNT = 2
"""Nodes besides the leader that keep feeds; a leader whose feed is dead finds that their tables are
newer."""
INITIAL_STATUS_TIMEOUT: identity.Seconds = 1.0
"""How long a node that has just started waits for the leader's status before it keeps feeds."""
STATUS_TIMEOUT: identity.Seconds = 0.7
"""Longest time between two statuses of the leader: more than one of its heartbeat intervals, less
than two."""
MAX_LEADER_STORE_SILENCE: identity.Seconds = 1.2
"""A leader that the store has not confirmed for this long may miss changes."""
MIN_FEED_TIME: identity.Seconds = 1.5
"""Shortest time for which a node keeps resumed feeds; longer than two of their calls."""
MAX_FEED_CALLS_PER_SECOND = 300.0
"""Calls for one table by all nodes together while each keeps feeds of its own; far below what any
known store accepts. It slows down the feeds of more than 45 nodes."""
MAX_TEMPORARY_FEED_PAUSE: identity.Seconds = 0.8
"""Upper bound of the delay of a change when there are too many nodes for the rate above: changes
have to be in force at all nodes after 2 s."""


class FeedMode(enum.Enum):
    """How a node learns of changes.

    NONE
        It keeps no feeds; other nodes send it updates.
    TEMPORARY
        It keeps feeds while nobody sends updates; no other node would show that one is dead.
    PERMANENT
        It keeps feeds; newer tables at other nodes show when one is dead.
    """

    NONE = "none"
    TEMPORARY = "brief"
    PERMANENT = "lasting"


class FeedPolicy:
    """Decides whether a node keeps feeds of its own.

    Parameters
    ----------
    now
        Start time of the node, on its clock.
    place
        Position of this node among all, from 0 to 1; nodes at lower ones resume feeds earlier.
    """

    def __init__(self, now: identity.Seconds, place: float = 0.0) -> None:
        self._place = place
        self._status_valid_until = now + INITIAL_STATUS_TIMEOUT
        self._keeps_feeds_until: identity.Seconds = identity.NEVER
        self._is_observer = False
        self._node_count = 1

    def handle_status(
        self,
        observes: bool,
        leader_store_silence: identity.Seconds,
        now: identity.Seconds,
        node_count: int = 1,
    ) -> None:
        """Handle a status that the leader sent.

        Parameters
        ----------
        observes
            Whether the leader wants this node to keep feeds.
        leader_store_silence
            Time since the store last confirmed the leader.
        node_count
            Nodes that follow the leader, and the leader.
        """
        # Nodes resume feeds one after the other: if the store serves the first of them, these
        # update the others; if it serves none, it gets few calls.
        max_silence = MAX_LEADER_STORE_SILENCE + staggering.delay(self._place, node_count)
        self._is_observer = observes
        self._node_count = node_count
        if leader_store_silence <= max_silence:
            self._status_valid_until = now + STATUS_TIMEOUT
        else:
            self._status_valid_until = identity.NEVER

    def temporary_feed_pause(self) -> identity.Seconds:
        """Return the shortest time between two calls of a temporary feed.

        All nodes keep temporary feeds at the same time, and each change would wake all of them.
        """
        return min(self._node_count / MAX_FEED_CALLS_PER_SECOND, MAX_TEMPORARY_FEED_PAUSE)

    def feeds(self, leads: bool, now: identity.Seconds) -> FeedMode:
        """Return the mode of this node's feeds."""
        if now > self._status_valid_until and not leads:
            self._keeps_feeds_until = now + MIN_FEED_TIME
        if now <= self._keeps_feeds_until:
            return FeedMode.TEMPORARY
        return FeedMode.PERMANENT if leads or self._is_observer else FeedMode.NONE


def choose_observers(zones: Mapping[str, str], leader_zone: str) -> frozenset[str]:
    """Choose the nodes that keep feeds besides the leader, each in a zone of its own if possible.

    Parameters
    ----------
    zones
        Zone by node, for the nodes that follow the leader, the longest-standing follower first.
    """
    chosen: list[str] = []
    covered = {leader_zone}
    for node, zone in zones.items():
        if zone not in covered:
            chosen.append(node)
            covered.add(zone)
    chosen += [node for node in zones if node not in chosen]
    return frozenset(chosen[:OBSERVER_COUNT])
