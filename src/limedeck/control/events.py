"""Events that the host passes to a node's control core."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.api.peer_pb2 import ConfigUpdate, PeerMessage
from limedeck.control.group_record import RecordEvent
from limedeck.identity import BackendId, Fence, GroupId, NodeId


@dataclass(frozen=True)
class Tick:
    """Periodic tick."""


@dataclass(frozen=True)
class PeerMessageReceived:
    """A message from another node arrived."""

    message: PeerMessage


@dataclass(frozen=True)
class LeaseReplied:
    """A back end replied to a lease exchange."""

    group: GroupId
    backend_id: BackendId
    fence: Fence
    reply: LeaseReply


@dataclass(frozen=True)
class LeaseExchangeFailed:
    """A lease exchange failed or got no reply."""

    group: GroupId
    backend_id: BackendId
    fence: Fence


@dataclass(frozen=True)
class RecordResponse:
    """The table responded to a command that reads or writes a group's record."""

    group: GroupId
    answer: RecordEvent


@dataclass(frozen=True)
class ConfigReceived:
    """A configuration was accepted by the table or read from it."""

    update: ConfigUpdate


@dataclass(frozen=True)
class MachinesReceived:
    """The platform's machine list was read.

    Parameters
    ----------
    nodes
        Ids of the nodes on all listed machines, including machines that are leaving.
    addresses
        Peer addresses of these nodes.
    """

    nodes: frozenset[NodeId]
    addresses: tuple[str, ...]


@dataclass(frozen=True)
class LeaveRequested:
    """A planned stop of this node was requested."""


ControlEvent = (
    Tick
    | PeerMessageReceived
    | LeaseReplied
    | LeaseExchangeFailed
    | RecordResponse
    | ConfigReceived
    | MachinesReceived
    | LeaveRequested
)
