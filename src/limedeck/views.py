"""JSON messages that a node serves to operators over HTTP: shared by nodes and command line."""

from __future__ import annotations

import msgspec

STATUS_PATH = "/limedeck/v1/status"
ASSIGNMENT_PATH = "/limedeck/v1/assignment/"
"""Followed by the name of a service."""
LOCATE_PATH = "/limedeck/v1/locate/"
"""Followed by the name of a service and the position of a key."""


class LeaderView(msgspec.Struct, frozen=True):
    """The leader as this node knows it; durations in seconds.

    Parameters
    ----------
    why
        Why the previous leader was replaced, or empty.
    known_for
        How long the node has known of this leader; at the leader, how long it has led.
    heard_ago
        How long ago the node last heard from the leader; zero at the leader.
    suspicion
        Why the node suspects the leader now, or empty.
    """

    term: int
    node: str
    why: str
    known_for: float
    heard_ago: float
    suspicion: str


class BackendView(msgspec.Struct, frozen=True):
    """A back end as this node knows it.

    Parameters
    ----------
    conditions
        Why it receives fewer requests than other back ends, or none: ``draining``, ``evacuated``,
        ``cold``, ``leaving``, ``backing-off``, ``limited``, ``passed-over``; empty if none applies.
    bound
        Rate bound: requests per second that it takes from all nodes together; None if unbounded.
    load
        Estimated number of requests at the back end.
    waiting
        Requests of all nodes that wait until it has room for them.
    service_time
        Lasting service time in seconds; None while the leader has sent none.
    slowness
        Factor by which requests take longer than that at present; 1 if they do not.
    share
        Part of this node's requests without a key that it got by the newest shares; None if none
        were computed.
    """

    backend: str
    service: str
    zone: str
    address: str
    conditions: list[str]
    bound: float | None
    load: float
    waiting: int = 0
    service_time: float | None = None
    slowness: float = 1.0
    share: float | None = None


class ServiceView(msgspec.Struct, frozen=True):
    """Ownership of a service's keys; `version` is zero until owners are known."""

    service: str
    keyed: bool
    version: int
    ranges: int
    ranges_without_owner: int


class StatusView(msgspec.Struct, frozen=True):
    """Status of a node, with its view of the system.

    Parameters
    ----------
    isolated
        It has not heard from a valid leader for so long that its owners may be out of date.
    leads
        Whether the node is the leader.
    nodes
        Number of nodes according to the leader; zero if unknown.
    store_era
        How often the store has returned from a copy, as far as the node knows.
    partitioned
        Whether the node reaches no back end.
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
    store_era: int = 0
    partitioned: bool = False


class RangeView(msgspec.Struct, frozen=True):
    """Keys from `first` to `last`, both inclusive; `owner` is empty while they have none."""

    first: int
    last: int
    owner: str


class AssignmentView(msgspec.Struct, frozen=True):
    """Owners of a service's keys, as the node uses them for routing."""

    service: str
    version: int
    ranges: list[RangeView]


class LocationView(msgspec.Struct, frozen=True):
    """Where a key's requests are sent; `owner` is None if there is none, or it is not listed."""

    service: str
    position: int
    range: RangeView
    owner: BackendView | None


class ProblemView(msgspec.Struct, frozen=True):
    """Error response: why a request could not be served."""

    problem: str
