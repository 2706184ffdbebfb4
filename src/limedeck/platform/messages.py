"""Parses the rows that the operator and the upstreams write (PROTOCOL.md)."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from limedeck import addresses, decoding
from limedeck.errors import PlatformProtocolError
from limedeck.identity import Seconds, incarnation_id
from limedeck.model import Backend, CallerLimits, Configuration, Route, Service, Target

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
BACKENDS_TABLE = "servers"
REPEATABLE = "safe"
MAX_WARMUP: Seconds = 3600.0
"""Longest warm-up accepted: no back end is cold for an hour, so another program wrote the entry."""
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
DRAINING = "draining"


class _Share(msgspec.Struct):
    backend: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    domain: str
    path_prefix: str
    route_type: str
    timeout_s: float
    target_latency_s: float
    max_attempts: decoding.Integer
    priority: decoding.Integer = 0
    backend: str = ""
    traffic_split: list[_Share] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: decoding.Integer
    sharded: bool = False
    warm_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: decoding.Integer
    max_body_bytes: decoding.Integer
    header_timeout_s: float
    idle_timeout_s: float


class _Configuration(msgspec.Struct):
    version: decoding.Count
    routes: list[_Route]
    backends: list[_Service]
    limits: _Limits


class _Info(msgspec.Struct):
    backend: _Name
    version: str
    zone: _Name
    slots: decoding.PositiveCount


class _Status(msgspec.Struct):
    state: Literal["ready", "draining"]
    sequence: decoding.Count
    warmup_s_time: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP)]


class _Server(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    born: decoding.Integer | None = None

    def __post_init__(self) -> None:
        addresses.parse_address(self.address)


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_SERVER = msgspec.json.Decoder(_Server)


def read_configuration(value: bytes) -> Configuration:
    """Parse the operator's configuration.

    Raises
    ------
    PlatformProtocolError
        The configuration is invalid.
    """
    found = decoding.decode(_CONFIGURATION.decode, value, PlatformProtocolError, "configuration")
    return Configuration(
        version=found.version,
        routes=tuple(_route(item) for item in found.routes),
        services={item.name: _service(item) for item in found.backends},
        limits=CallerLimits(
            found.limits.max_header_bytes,
            found.limits.max_body_bytes,
            found.limits.header_timeout_s,
            found.limits.idle_timeout_s,
        ),
    )


def evacuated_zone(key: str) -> str | None:
    """Return the zone that a configuration row with this key requests to evacuate, if any."""
    return key.removeprefix(EVACUATION_PREFIX) if key.startswith(EVACUATION_PREFIX) else None


def read_backend(key: str, value: bytes) -> Backend:
    """Parse an upstream's entry.

    An entry that lacks a field, or has an invalid one, is rejected: another program may have
    written it. Only `born` may be missing; then one id stands for all incarnations.

    Raises
    ------
    PlatformProtocolError
        The entry is invalid.
    """
    found = decoding.decode(_SERVER.decode, value, PlatformProtocolError, f"entry of {key}")
    return Backend(
        backend_id=incarnation_id(key, found.born),
        instance=key,
        service=found.info.backend,
        address=found.address,
        zone=found.info.zone,
        slots=found.info.slots,
        draining=found.status.state == DRAINING,
        warmup=found.status.warmup_s_time,
        sequence=(found.born or 0, found.status.sequence),
    )


def _route(item: _Route) -> Route:
    shares = tuple(Target(share.backend, share.weight) for share in item.traffic_split)
    return Route(
        name=item.name,
        host=item.domain.lower(),
        path_prefix=item.path_prefix,
        repeatable=item.route_type == REPEATABLE,
        timeout=item.timeout_s,
        objective=item.target_latency_s,
        max_attempts=item.max_attempts,
        priority=item.priority,
        targets=shares or (Target(item.backend, 1.0),),
    )


def _service(item: _Service) -> Service:
    return Service(
        item.name, item.max_connections, item.sharded, item.warm_s, max(item.warmup_per_s, 0.0)
    )
