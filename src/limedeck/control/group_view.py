"""What a control group is told of the world outside it, and what it wants done there."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedeck.api.peer_pb2 import RouteUpdate
from limedeck.control.group_record import LossEvidence
from limedeck.identity import BackendId, Seconds, Voter


@dataclass(frozen=True)
class GroupBackend:
    """A back end of the group's service, as configured."""

    backend_id: BackendId
    address: str
    draining: bool


@dataclass(frozen=True)
class GroupView:
    """What a group knows of the world outside it.

    Parameters
    ----------
    backends
        The service's configured back ends, by id.
    slices_per_backend
        Slices for each back end in the first assignment.
    nodes
        Live nodes that may vote, this one included.
    evidence
        What proves that a run of a node is over.
    departing
        Nodes that are about to stop.
    leaving
        This node is about to stop.
    """

    backends: dict[BackendId, GroupBackend] = field(default_factory=dict)
    slices_per_backend: int = 50
    nodes: tuple[Voter, ...] = ()
    evidence: LossEvidence = field(default_factory=lambda: LossEvidence(None, {}))
    departing: frozenset[Voter] = frozenset()
    leaving: bool = False


@dataclass(frozen=True)
class PublishRoutes:
    """Command: spread a group's assignment to the routers."""

    update: RouteUpdate


@dataclass(frozen=True)
class Wake:
    """Command: deliver a tick after a delay, earlier than the next regular one."""

    delay: Seconds
