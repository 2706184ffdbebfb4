"""Staggers the start of an action that one or a few of all nodes should do."""

from __future__ import annotations

import math

from limedeck import identity

STAGGER_INTERVAL: identity.Seconds = 0.5
"""Interval in which the number of nodes that have begun doubles.

Longer than the time in which the success of one node shows to the others."""


def delay(place: float, node_count: int) -> identity.Seconds:
    """Return how much later than the first node a node begins.

    Parameters
    ----------
    place
        Position of the node in the order of all nodes, from 0 to 1.
    """
    return STAGGER_INTERVAL * math.log2(1.0 + place * max(node_count - 1, 0))
