"""The operators' configuration and the back ends, as every part of a node reads them."""

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
    """Where requests of one host and path prefix go, and what may be done with them.

    Parameters
    ----------
    path_prefix
        Begins and ends with a slash.
    repeatable
        A request may run more than once.
    timeout
        Longest time a request is held, in seconds.
    objective
        Time within which an answer has its full worth, in seconds.
    max_attempts
        Largest number of back ends one request is sent to.
    priority
        Rank; 0 is the most urgent.
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
    """A set of back ends that run the same requests.

    Parameters
    ----------
    max_connections
        Connections that one back end accepts from all nodes together.
    keyed
        Each key has one owner among the back ends.
    warm_time
        How long keys are slow at a new owner that did not get the former owner's handover.
    cold_rate
        Requests a second that a back end bears from all nodes together while it is cold; zero if it
        is only slow then.
    """

    name: str
    max_connections: int
    keyed: bool = False
    warm_time: Seconds = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes
        Largest head and body of a request.
    header_timeout, idle_timeout
        In seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_timeout: Seconds = 5.0
    idle_timeout: Seconds = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All that operators have set, at one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True)
class Backend:
    """One life of one back end's process.

    Parameters
    ----------
    backend_id
        Unique to this life.
    instance
        The name by which requests and orders say whom they mean; a later life may have it again.
        Empty: the id.
    slots
        Requests it works on at once.
    draining
        It takes no new work.
    warmup
        How long it stays slow from its start, in seconds.
    """

    backend_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    warmup: Seconds = 0.0
    instance: str = ""

    @property
    def name(self) -> str:
        """The name by which it is addressed."""
        return self.instance or self.backend_id
