"""Order in which nodes stand for election: at staggered times, strong machines first.

The work of a leader grows with the number of nodes that follow it. On a machine much weaker than
the others it cannot send its orders in time, and takes sound back ends for unresponsive.
"""

from __future__ import annotations

import dataclasses

from limedeck import identity, staggering

MAX_CANDIDATE_DELAY: identity.Seconds = 0.25
"""Time over which candidates are spread, so that mostly only one of them writes its record."""
STRONG_NODE_PART = 0.8
"""A node with at least this part of the strongest one's processor counts as strong."""
DEFAULT_STRONGEST_CORES = 1.0
"""Cores that the strongest node is assumed to have until a leader has reported it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Description of the leader and all nodes that follow it.

    Parameters
    ----------
    strongest
        Cores that the strongest node may use; zero if not known.
    strong_count
        Number of nodes that are about as strong, the strongest included.
    """

    node_count: int = 1
    strongest: float = 0.0
    strong_count: int = 1


def describe_fleet(processors: list[float]) -> Fleet:
    """Summarize nodes, given the cores that each may use."""
    strongest = max(processors)
    strong = sum(item >= STRONG_NODE_PART * strongest for item in processors)
    return Fleet(len(processors), strongest, strong)


class CandidatePriority:
    """Delay with which one node stands for election.

    Parameters
    ----------
    processor
        Cores that this node may use.
    max_weak_node_delay
        Delay of a node with no processor at all, relative to the strongest one.
    """

    def __init__(self, processor: float, max_weak_node_delay: identity.Seconds) -> None:
        self.fleet = Fleet()
        self._processor = processor
        self._max_weak_node_delay = max_weak_node_delay

    @property
    def weak_node_delay(self) -> identity.Seconds:
        """Delay of this node relative to the strongest one."""
        strongest = self.fleet.strongest or DEFAULT_STRONGEST_CORES
        return self._max_weak_node_delay * max(1.0 - self._processor / strongest, 0.0)

    def urgent_delay(self, place: float) -> identity.Seconds:
        """Return the delay if all nodes have to stand and one has to be elected soon.

        Parameters
        ----------
        place
            Place of the node among all nodes, from 0 to 1.
        """
        return place * MAX_CANDIDATE_DELAY + self.weak_node_delay

    def staggered_delay(self, place: float) -> identity.Seconds:
        """Return the delay if an election may not be needed: few nodes begin, then twice as many.

        Strong nodes stand first; the others follow after all of them.
        """
        fleet = self.fleet
        if self._processor >= STRONG_NODE_PART * fleet.strongest:
            return staggering.delay(place, fleet.strong_count)
        after_strong = staggering.delay(1.0, fleet.strong_count) + staggering.STAGGER_INTERVAL
        return after_strong + staggering.delay(place, fleet.node_count)
