"""The leader's list of nodes through which others reach back ends."""

from __future__ import annotations

import random
from collections.abc import Iterable

from limedeck.api.control_pb2 import IntermediaryNode, Report
from limedeck.forwarding.intermediaries import Intermediary

MAX_SENT = 8
"""Intermediaries that a node is sent; the load of all nodes is spread by drawing them at random."""
MAX_SENT_OF_ZONE = 5
"""Those of them that are of the node's own zone, if there are as many."""


class FleetIntermediaries:
    """Nodes that follow a leader, and the leader itself, as intermediaries for others.

    Parameters
    ----------
    own_node
        Id of this node.

    Attributes
    ----------
    changes
        Number of changes of the nodes that others can use.
    partition_changes
        Number of those in which a partition of a node began or ended.
    """

    def __init__(self, own_node: str) -> None:
        self.changes = 0
        self.partition_changes = 0
        self._own_node = own_node
        self._known: dict[str, Intermediary] = {}
        self._partitioned: set[str] = set()
        self._random = random.Random()

    def set_own(self, intermediary: Intermediary) -> None:
        """Set where this node accepts the attempts of others."""
        self._known[self._own_node] = intermediary

    @property
    def own_zone(self) -> str:
        """This node's zone; empty before `set_own`."""
        own = self._known.get(self._own_node)
        return own.zone if own is not None else ""

    def record_own_partition(self, is_partitioned: bool) -> None:
        """Record whether this node is partitioned."""
        self._record_partition(self._own_node, is_partitioned)

    def record_report(self, report: Report) -> None:
        """Record what a follower reports about itself."""
        if report.intermediary_address:
            self.changes += 1
            self._known[report.node_id] = Intermediary(report.intermediary_address, report.zone)
        self._record_partition(report.node_id, report.partitioned)

    def _record_partition(self, node: str, is_partitioned: bool) -> None:
        if is_partitioned == (node in self._partitioned):
            return
        self.changes += 1
        self.partition_changes += 1
        if is_partitioned:
            self._partitioned.add(node)
        else:
            self._partitioned.discard(node)

    def forget(self, node: str) -> None:
        """Forget a node that does not follow this one any more."""
        if self._known.pop(node, None) is not None:
            self.changes += 1
        self._partitioned.discard(node)

    def is_partitioned(self, node: str) -> bool:
        """Whether a node reaches no back end, as it reports."""
        return node in self._partitioned

    def count_reaching(self) -> int:
        """Count the other nodes that report that they are not partitioned."""
        others = self._known.keys() - {self._own_node}
        return len(others - self._partitioned)

    def choose_for(self, node: str, zone: str) -> list[Intermediary]:
        """Draw the intermediaries for one node, preferring those of its zone."""
        usable = [
            (key, item)
            for key, item in self._known.items()
            if key != node and key not in self._partitioned
        ]
        self._random.shuffle(usable)
        near = [item for _, item in usable if item.zone == zone][:MAX_SENT_OF_ZONE]
        return (near + [item for _, item in usable if item not in near])[:MAX_SENT]


def write_intermediaries(items: Iterable[Intermediary]) -> list[IntermediaryNode]:
    """Write intermediaries for a message."""
    return [IntermediaryNode(address=item.address, zone=item.zone) for item in items]


def read_intermediaries(items: Iterable[IntermediaryNode]) -> list[Intermediary]:
    """Read intermediaries from a message."""
    return [Intermediary(item.address, item.zone) for item in items]
