"""Which nodes keep feeds of the store: the leader and a few others; these tell the rest.

A feed at every node would cost calls that grow with nodes times changes. A node that is told goes
back to feeds of its own as soon as it cannot be sure that the leader would know of a change.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from limedeck import identity, staggering

if TYPE_CHECKING:
    from collections.abc import Mapping


OBSERVERS = 2
"""Nodes beside the leader that keep feeds; they show a leader that its own feed is dead."""
START_PATIENCE: identity.Seconds = 1.0
"""A node that has just started waits so long to be told."""
TOLD_PATIENCE: identity.Seconds = 0.7
"""Longest time between two words of the leader; above its heartbeat interval, below two."""
LEADER_STORE_SILENCE: identity.Seconds = 1.2
"""A leader that the store has not confirmed for so long may not know of changes."""
SHORTEST_STAY: identity.Seconds = 1.5
"""A node that has gone back to feeds keeps them at least so long; above two of their calls."""
FLEET_CALLS = 300.0
"""Calls a second that all nodes together make for one table while each keeps feeds of its own: an
estimate, far below what any known store takes. It slows more than 45 nodes."""
LONGEST_BRIEF_PAUSE: identity.Seconds = 0.8
"""With more nodes than that allows, a change is known so late; changes bind nodes after 2 s."""


class FeedMode(enum.Enum):
    """What a node does to learn of changes.

    NONE
        Nothing: it is told.
    BRIEF
        It keeps feeds while nobody tells it, and nobody would show it that one is dead.
    LASTING
        It keeps feeds, and other nodes show it when one is dead.
    """

    NONE = "none"
    TEMPORARY = "brief"
    PERMANENT = "lasting"


class FeedPolicy:
    """Whether one node keeps feeds of its own.

    Parameters
    ----------
    now
        When the node started, on its clock.
    place
        Where this node stands among all, from 0 to 1; the first ones ask the store first.
    """

    def __init__(self, now: identity.Seconds, place: float = 0.0) -> None:
        self._place = place
        self._told_until = now + START_PATIENCE
        self._stays_until: identity.Seconds = identity.NEVER
        self._is_observer = False
        self._node_count = 1

    def handle_status(
        self,
        observes: bool,
        leader_store_silence: identity.Seconds,
        now: identity.Seconds,
        node_count: int = 1,
    ) -> None:
        """The leader was heard.

        Parameters
        ----------
        observes
            The leader wants this node to keep feeds.
        leader_store_silence
            How long the store has not confirmed the leader.
        node_count
            Nodes that follow the leader, and itself.
        """
        # If the store serves some nodes they tell the others; if it serves none, calls are few.
        patience = LEADER_STORE_SILENCE + staggering.delay(self._place, node_count)
        self._is_observer = observes
        self._node_count = node_count
        if leader_store_silence <= patience:
            self._told_until = now + TOLD_PATIENCE
        else:
            self._told_until = identity.NEVER

    def temporary_feed_pause(self) -> identity.Seconds:
        """Least time between two calls of a feed that is kept while nobody tells this node.

        All nodes keep such feeds at the same time, and each change would wake all of them.
        """
        return min(self._node_count / FLEET_CALLS, LONGEST_BRIEF_PAUSE)

    def feeds(self, leads: bool, now: identity.Seconds) -> FeedMode:
        """What this node does now."""
        if now > self._told_until and not leads:
            self._stays_until = now + SHORTEST_STAY
        if now <= self._stays_until:
            return FeedMode.TEMPORARY
        return FeedMode.PERMANENT if leads or self._is_observer else FeedMode.NONE


def choose_observers(zones: Mapping[str, str], leader_zone: str) -> frozenset[str]:
    """Choose the nodes that keep feeds beside the leader, each in a zone of its own if possible.

    Parameters
    ----------
    zones
        Zone by node, for the nodes that follow; those that have followed longest first.
    """
    chosen: list[str] = []
    covered = {leader_zone}
    for node, zone in zones.items():
        if zone not in covered:
            chosen.append(node)
            covered.add(zone)
    chosen += [node for node in zones if node not in chosen]
    return frozenset(chosen[:OBSERVERS])
