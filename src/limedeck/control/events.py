"""What a node's control core is told by its host."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.api.peer_pb2 import ConfigUpdate, PeerMessage
from limedeck.control.group_record import RecordEvent
from limedeck.identity import BackendId, Fence, GroupId, NodeId


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class PeerMessageReceived:
    """Another node's message came."""

    message: PeerMessage


@dataclass(frozen=True)
class LeaseReplied:
    """A back end answered a lease exchange."""

    group: GroupId
    backend_id: BackendId
    fence: Fence
    reply: LeaseReply


@dataclass(frozen=True)
class LeaseExchangeFailed:
    """A lease exchange had no answer."""

    group: GroupId
    backend_id: BackendId
    fence: Fence


@dataclass(frozen=True)
class RecordAnswered:
    """The table answered a record command."""

    group: GroupId
    answer: RecordEvent


@dataclass(frozen=True)
class ConfigReceived:
    """A configuration was accepted by, or read from, the table."""

    update: ConfigUpdate


@dataclass(frozen=True)
class MachinesReceived:
    """The platform's machine list was read.

    Parameters
    ----------
    nodes
        Node ids of all machines on the list, leaving ones included.
    addresses
        Their peer addresses.
    """

    nodes: frozenset[NodeId]
    addresses: tuple[str, ...]


@dataclass(frozen=True)
class LeaveRequested:
    """This node is about to stop as planned."""


ControlEvent = (
    Tick
    | PeerMessageReceived
    | LeaseReplied
    | LeaseExchangeFailed
    | RecordAnswered
    | ConfigReceived
    | MachinesReceived
    | LeaveRequested
)
