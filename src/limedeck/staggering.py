"""Lets one node after the other do what one or a few of all nodes should do."""

from __future__ import annotations

import math

from limedeck import identity

STAGGER_INTERVAL: identity.Seconds = 0.5
"""Twice as many nodes have begun after each of these; above the time in which one shows success."""


def delay(place: float, node_count: int) -> identity.Seconds:
    """Return how much later than the first a node begins.

    Parameters
    ----------
    place
        Where the node stands among all, from 0 to 1.
    """
    return STAGGER_INTERVAL * math.log2(1.0 + place * max(node_count - 1, 0))
