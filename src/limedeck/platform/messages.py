"""The rows that the operator and the upstreams write (PROTOCOL.md), as the product's own types."""

from __future__ import annotations

import msgspec

from limedeck.errors import PlatformProtocolError
from limedeck.model import Backend, CallerLimits, Configuration, Route, Service, Target

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
BACKENDS_TABLE = "servers"
REPEATABLE = "safe"
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
    max_attempts: int
    priority: int = 0
    backend: str = ""
    traffic_split: list[_Share] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: int
    sharded: bool = False
    warm_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    backends: list[_Service]
    limits: _Limits


class _Info(msgspec.Struct):
    backend: str
    zone: str = ""
    slots: int = 1


class _Status(msgspec.Struct):
    state: str = "ready"
    warmup_s_time: float = 0.0


class _Server(msgspec.Struct):
    address: str
    info: _Info
    status: _Status


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_SERVER = msgspec.json.Decoder(_Server)


def read_configuration(value: bytes) -> Configuration:
    """Read the operator's configuration.

    Raises
    ------
    PlatformProtocolError
        It cannot be read.
    """
    try:
        found = _CONFIGURATION.decode(value)
    except msgspec.DecodeError as error:
        raise PlatformProtocolError("configuration", str(error)) from error
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


def read_backend(key: str, value: bytes) -> Backend:
    """Read an upstream's entry.

    Raises
    ------
    PlatformProtocolError
        It cannot be read.
    """
    try:
        found = _SERVER.decode(value)
    except msgspec.DecodeError as error:
        raise PlatformProtocolError(f"entry of {key}", str(error)) from error
    return Backend(
        backend_id=key,
        service=found.info.backend,
        address=found.address,
        zone=found.info.zone,
        slots=max(found.info.slots, 1),
        draining=found.status.state == DRAINING,
        warmup=found.status.warmup_s_time,
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
    return Service(item.name, item.max_connections, item.sharded, item.warm_s)
