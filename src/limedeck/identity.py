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
"""A time or a duration in seconds, on one machine's own steady clock."""

NEVER: Seconds = float("-inf")
"""Time of an event that has not happened yet: earlier than any other time."""

INCARNATION_SEPARATOR = "@"
"""Separates the name of a back end from the start of its incarnation in an id."""


def incarnation_id(name: str, start: int | None) -> str:
    """Return the id of an incarnation of a back end; its name if the start is unknown."""
    return name if start is None else f"{name}{INCARNATION_SEPARATOR}{start}"


def is_later_incarnation(backend_id: str, than: str) -> bool:
    """Whether both ids are incarnations of one back end, and the first one started later.

    An incarnation without a known start counts as earlier than those with one.
    """
    name, start = split_incarnation_id(backend_id)
    other_name, other_start = split_incarnation_id(than)
    return name == other_name and start > other_start


def split_incarnation_id(backend_id: str) -> tuple[str, float]:
    """Return the back end's name and the incarnation's start; `NEVER` if the id holds none."""
    name, separator, start = backend_id.rpartition(INCARNATION_SEPARATOR)
    try:
        return (name, int(start)) if separator else (backend_id, NEVER)
    except ValueError:
        return backend_id, NEVER


@dataclass(frozen=True, order=True)
class Fence:
    """Fencing token of a control group's grants.

    Tokens are ordered: a back end refuses a grant whose token is not above its highest one.

    Parameters
    ----------
    term
        Term of the leader that wrote the grant.
    sequence
        Number of the leader's exchange within the term.
    """

    term: int
    sequence: int


@dataclass(frozen=True, eq=False)
class Voter:
    """A voter of a control group: one run of one node.

    Voters are equal if they are the same run of the same node, whatever its addresses and zone.
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
        """Convert from a protobuf message."""
        return cls(
            NodeId(message.node_id),
            Incarnation(message.incarnation),
            message.peer_address,
            message.zone,
            message.operator_address,
        )

    def to_message(self) -> NodeIdentity:
        """Convert to a protobuf message."""
        return NodeIdentity(
            node_id=self.node_id,
            incarnation=self.incarnation,
            peer_address=self.peer_address,
            zone=self.zone,
            operator_address=self.operator_address,
        )


def keyed_group(service: str, index: int, count: int) -> GroupId:
    """Return the id of one of the `count` control groups that share a keyed service's keys."""
    return GroupId(service if count <= 1 else f"{service}/{index}")
