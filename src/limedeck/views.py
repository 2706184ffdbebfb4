"""What a node shows to operators, as JSON over HTTP: shared by the node and the client."""

from __future__ import annotations

import msgspec

STATUS_PATH = "/limedeck/v1/status"
ASSIGNMENT_PATH = "/limedeck/v1/assignment/"
"""Followed by the name of a service."""
LOCATE_PATH = "/limedeck/v1/locate/"
"""Followed by the name of a service and the position of a key."""


class LeaderView(msgspec.Struct, frozen=True):
    """Who leads, as the node believes; spans in seconds.

    Parameters
    ----------
    why
        What was held against the leader before it.
    known_for
        Since when the node knows of it; the leader itself tells how long it has led.
    heard_ago
        When the node heard it last.
    suspicion
        What the node holds against it now, or empty.
    """

    term: int
    node: str
    why: str
    known_for: float
    heard_ago: float
    suspicion: str


class BackendView(msgspec.Struct, frozen=True):
    """A back end, as the node believes.

    Parameters
    ----------
    conditions
        Why it receives fewer requests than other back ends, or none: ``draining``, ``evacuated``,
        ``cold``, ``leaving``, ``backing-off``, ``limited``, ``passed-over``; empty if none applies.
    bound
        Requests a second that it takes from all nodes together, if that is little.
    load
        Requests that are expected to be there.
    """

    backend: str
    service: str
    zone: str
    address: str
    conditions: list[str]
    bound: float | None
    load: float


class ServiceView(msgspec.Struct, frozen=True):
    """A service's keys; `version` of its owners is zero before any are known."""

    service: str
    keyed: bool
    version: int
    ranges: int
    ranges_without_owner: int


class StatusView(msgspec.Struct, frozen=True):
    """A node's view of the system.

    Parameters
    ----------
    isolated
        It has heard no sound leader for so long that what it knows of owners may be out of date.
    leads
        It is the leader itself.
    nodes
        How many nodes there are, as the leader tells; zero if that is not known.
    """

    node: str
    zone: str
    ready: bool
    stopping: bool
    isolated: bool
    leads: bool
    nodes: int
    configuration: int
    leader: LeaderView | None
    services: list[ServiceView]
    backends: list[BackendView]


class RangeView(msgspec.Struct, frozen=True):
    """Keys from `first` to `last`, both inside; `owner` is empty while they have none."""

    first: int
    last: int
    owner: str


class AssignmentView(msgspec.Struct, frozen=True):
    """Owners of a service's keys, as the node routes by them."""

    service: str
    version: int
    ranges: list[RangeView]


class LocationView(msgspec.Struct, frozen=True):
    """Where a key's requests go; `owner` is None while the key has none, or one not listed."""

    service: str
    position: int
    range: RangeView
    owner: BackendView | None


class ProblemView(msgspec.Struct, frozen=True):
    """Why a question was not answered."""

    problem: str
