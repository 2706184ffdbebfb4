"""The operators' configuration and the back ends, as types shared by all parts of a node."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class Target:
    """One service of a route and its share of the route's requests.

    Parameters
    ----------
    weight
        Relative to the weights of the route's other targets.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests for one host and path prefix are sent, and how they are handled.

    Parameters
    ----------
    path_prefix
        Begins and ends with a slash.
    repeatable
        Whether a request may run more than once.
    timeout
        Longest time from a request to its response, in seconds.
    objective
        Response time up to which a response has its full value, in seconds.
    max_attempts
        Largest number of back ends one request is sent to.
    priority
        Priority of the requests; 0 is the highest.
    """

    name: str
    host: str
    path_prefix: str
    repeatable: bool
    timeout: Seconds
    objective: Seconds
    max_attempts: int
    priority: int
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A set of back ends that serve the same requests.

    Parameters
    ----------
    max_connections
        Connections that one back end accepts from all nodes together.
    keyed
        Whether each key has one owner among the back ends.
    warm_time
        How long requests for a key are slow at a new owner that did not receive the former owner's
        handover, in seconds.
    cold_rate
        Requests per second that a cold back end can take from all nodes together; zero if a cold
        back end is slow but takes any rate.
    """

    name: str
    max_connections: int
    keyed: bool = False
    warm_time: Seconds = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Parameters
    ----------
    header_bytes, body_bytes
        Largest head and body of a request.
    header_timeout, idle_timeout
        Longest time to receive a head, and longest time a connection may be idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_timeout: Seconds = 5.0
    idle_timeout: Seconds = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the complete configuration set by operators."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a back end: one run of its process.

    Parameters
    ----------
    backend_id
        Unique to this incarnation.
    instance
        Name by which requests and orders address the back end; a later incarnation may have the
        same name. If empty, `backend_id` is used.
    slots
        Number of requests that it processes concurrently.
    draining
        Whether it accepts no new requests.
    warmup
        How long it is slow after its start, in seconds.
    sequence
        Position of this entry among all that the back end has written; a later one is greater.
    """

    backend_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    warmup: Seconds = 0.0
    instance: str = ""
    sequence: tuple[int, ...] = field(default=(), compare=False)

    @property
    def name(self) -> str:
        """Name by which requests and orders address it."""
        return self.instance or self.backend_id
