"""When a node's turn comes to stand for election: one after the other, strong machines first.

A leader does more the more nodes follow it. On a machine much weaker than others it cannot send its
orders in time, and back ends are then taken for silent that are not.
"""

from __future__ import annotations

import dataclasses

from limedeck import identity, staggering

MAX_CANDIDATE_DELAY: identity.Seconds = 0.25
"""Candidates begin within so long of each other, so that mostly one writes."""
STRONG_NODE_PART = 0.8
"""A machine with this part of the strongest one's processor is as good a leader."""
DEFAULT_STRONGEST_CORES = 1.0
"""The strongest machine is taken to have so many cores while no leader has told."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What a leader tells of all nodes that follow it, and itself.

    Parameters
    ----------
    strongest
        Cores that the strongest node may use; zero if that is not known.
    strong_count
        Nodes that are about as strong.
    """

    node_count: int = 1
    strongest: float = 0.0
    strong_count: int = 1


def describe_fleet(processors: list[float]) -> Fleet:
    """Describe nodes by the cores that each may use."""
    strongest = max(processors)
    strong = sum(item >= STRONG_NODE_PART * strongest for item in processors)
    return Fleet(len(processors), strongest, strong)


class CandidatePriority:
    """One node's turn.

    Parameters
    ----------
    processor
        Cores that this node may use.
    weakness_delay
        A machine without any would stand so much later than the strongest one, in seconds.
    """

    def __init__(self, processor: float, max_weak_node_delay: identity.Seconds) -> None:
        self.fleet = Fleet()
        self._processor = processor
        self._max_weak_node_delay = max_weak_node_delay

    @property
    def weak_node_delay(self) -> identity.Seconds:
        """How much later than a strong one this node stands."""
        strongest = self.fleet.strongest or DEFAULT_STRONGEST_CORES
        return self._max_weak_node_delay * max(1.0 - self._processor / strongest, 0.0)

    def urgent_delay(self, place: float) -> identity.Seconds:
        """How much later than the first this node stands if all have to, and one must win soon.

        Parameters
        ----------
        place
            Where the node stands among all, from 0 to 1.
        """
        return place * MAX_CANDIDATE_DELAY + self.weak_node_delay

    def staggered_delay(self, place: float) -> identity.Seconds:
        """The same if it is not certain that anyone has to: few begin, then twice as many."""
        fleet = self.fleet
        if self._processor >= STRONG_NODE_PART * fleet.strongest:
            return staggering.delay(place, fleet.strong_count)
        after_strong = staggering.delay(1.0, fleet.strong_count) + staggering.STAGGER_INTERVAL
        return after_strong + staggering.delay(place, fleet.node_count)
