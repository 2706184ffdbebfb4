"""External state that a control group is given, and its commands `PublishRoutes` and `Wake`."""

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
    """External state that a group's decisions depend on.

    Parameters
    ----------
    backends
        The service's configured back ends, by id.
    slices_per_backend
        Slices for each back end in the initial assignment.
    nodes
        Live nodes that may vote, this one included.
    evidence
        Evidence about which runs of nodes have ended.
    departing
        Nodes that are about to stop.
    leaving
        Whether this node is about to stop.
    """

    backends: dict[BackendId, GroupBackend] = field(default_factory=dict)
    slices_per_backend: int = 50
    nodes: tuple[Voter, ...] = ()
    evidence: LossEvidence = field(default_factory=lambda: LossEvidence(None, {}))
    departing: frozenset[Voter] = frozenset()
    leaving: bool = False


@dataclass(frozen=True)
class PublishRoutes:
    """Command: send an update of a group's assignment to the routers."""

    update: RouteUpdate


@dataclass(frozen=True)
class Wake:
    """Command: deliver an extra tick after a delay, ahead of the next regular one."""

    delay: Seconds
