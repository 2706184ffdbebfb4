"""Identifiers shared by all packages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from limedeck.api.peer_pb2 import NodeIdentity

NodeId = NewType("NodeId", str)
BackendId = NewType("BackendId", str)
GroupId = NewType("GroupId", str)
ServiceName = NewType("ServiceName", str)
Incarnation = NewType("Incarnation", int)
"""One run of a process: larger for every later run of the same node or back end."""

Seconds = float
"""A reading of, or a span on, one machine's own steady clock."""

NEVER: Seconds = float("-inf")
"""When something happened that has not happened."""

INCARNATION_SEPARATOR = "@"
"""Between the name of a back end and the start of one of its lives, in an id."""


def incarnation_id(name: str, born: int | None) -> str:
    """Return the id of one life of a back end; without a start, a name stands for one life."""
    return name if born is None else f"{name}{INCARNATION_SEPARATOR}{born}"


def is_later_incarnation(backend_id: str, than: str) -> bool:
    """Whether both ids are lives of one back end, and the first one began later.

    A life that tells no start is taken for an earlier one than those that do.
    """
    name, born = split_incarnation_id(backend_id)
    other_name, other_born = split_incarnation_id(than)
    return name == other_name and born > other_born


def split_incarnation_id(backend_id: str) -> tuple[str, float]:
    """Return which back end it is, and when this life of it began; `NEVER` if that is not told."""
    name, mark, start = backend_id.rpartition(INCARNATION_SEPARATOR)
    try:
        return (name, int(start)) if mark else (backend_id, NEVER)
    except ValueError:
        return backend_id, NEVER


@dataclass(frozen=True, order=True)
class Fence:
    """Orders the grants of a control group: a back end refuses what is not above its highest.

    Parameters
    ----------
    term
        Term of the leader that wrote the grant.
    sequence
        Counts that leader's exchanges.
    """

    term: int
    sequence: int


@dataclass(frozen=True, eq=False)
class Voter:
    """A voter of a control group: one run of one node.

    Two are the same voter if they are the same run of the same node, wherever that is reached.
    """

    node_id: NodeId
    incarnation: Incarnation
    peer_address: str
    zone: str
    operator_address: str = ""

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Voter):
            return NotImplemented
        return self.incarnation == other.incarnation and self.node_id == other.node_id

    def __hash__(self) -> int:
        return hash((self.node_id, self.incarnation))

    @classmethod
    def from_message(cls, message: NodeIdentity) -> Voter:
        """Read the voter from its message form."""
        return cls(
            NodeId(message.node_id),
            Incarnation(message.incarnation),
            message.peer_address,
            message.zone,
            message.operator_address,
        )

    def to_message(self) -> NodeIdentity:
        """Write the voter in its message form."""
        return NodeIdentity(
            node_id=self.node_id,
            incarnation=self.incarnation,
            peer_address=self.peer_address,
            zone=self.zone,
            operator_address=self.operator_address,
        )


def keyed_group(service: str, index: int, count: int) -> GroupId:
    """Name one of the control groups that share a keyed service's keys."""
    return GroupId(service if count <= 1 else f"{service}/{index}")
