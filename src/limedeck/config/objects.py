"""Operators' configuration objects: defaults and validation."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

from limedeck.api.peer_pb2 import (
    OWNERSHIP_KEYED,
    OWNERSHIP_SHARED,
    Backend,
    ConfigObject,
    Service,
    ServiceLimits,
)
from limedeck.errors import InvalidObject
from limedeck.identity import GroupId, keyed_group

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
KEY_SOURCE_PATTERN = re.compile(r"path:[1-9][0-9]?|header:[A-Za-z0-9-]+|query:[A-Za-z0-9_-]+")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
SAFE_METHODS = ("GET", "HEAD")
DEFAULT_SLICES_PER_BACKEND = 50
DEFAULT_BACKEND_SLOTS = 2
DEFAULT_BACKEND_CONNECTIONS = 100
DEFAULT_DEADLINE_MS = 5_000
DEFAULT_MAX_BODY_BYTES = 1 << 20
MAX_SLICES_PER_BACKEND = 1_000
MAX_CONTROL_GROUPS = 1_000
MAX_DEADLINE_MS = 3_600_000
MAX_BODY_BYTES = 1 << 32
MAX_PORT = 65_535


@dataclass(frozen=True, order=True)
class ObjectKey:
    """Identifies an object in the configuration.

    Parameters
    ----------
    kind
        ``"service"`` or ``"backend"``.
    name
        The service's name or the back end's id.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


def object_key(item: ConfigObject) -> ObjectKey:
    """Return the key of an object.

    Raises
    ------
    InvalidObject
        The object holds neither a service nor a back end.
    """
    kind = item.WhichOneof("body")
    if kind == "service":
        return ObjectKey("service", item.service.name)
    if kind == "backend":
        return ObjectKey("backend", item.backend.backend_id)
    raise InvalidObject("body", "must be a service or a back end")


def complete_service(service: Service) -> Service:
    """Return a copy of a service with defaults for unset fields, and validate it.

    Raises
    ------
    InvalidObject
        A field is invalid.
    """
    complete = Service()
    complete.CopyFrom(service)
    _require_name("name", complete.name)
    _complete_sharing(complete)
    _complete_limits(complete.limits)
    if not complete.repeatable_methods:
        complete.repeatable_methods.extend(SAFE_METHODS)
    for method in complete.repeatable_methods:
        if not METHOD_PATTERN.fullmatch(method):
            raise InvalidObject(
                "repeatable_methods", f"{method!r} is not an HTTP method in upper case"
            )
    return complete


def _complete_sharing(service: Service) -> None:
    sharing = service.sharing
    if sharing.ownership not in (OWNERSHIP_KEYED, OWNERSHIP_SHARED):
        raise InvalidObject("sharing.ownership", "must be keyed or shared")
    if sharing.ownership == OWNERSHIP_SHARED:
        return
    if not KEY_SOURCE_PATTERN.fullmatch(sharing.key_source):
        raise InvalidObject("sharing.key_source", "must be path:N, header:NAME or query:NAME")
    sharing.slices_per_backend = sharing.slices_per_backend or DEFAULT_SLICES_PER_BACKEND
    sharing.control_groups = sharing.control_groups or 1
    _require_at_most(
        "sharing.slices_per_backend", sharing.slices_per_backend, MAX_SLICES_PER_BACKEND
    )
    _require_at_most("sharing.control_groups", sharing.control_groups, MAX_CONTROL_GROUPS)


def _complete_limits(limits: ServiceLimits) -> None:
    limits.backend_slots = limits.backend_slots or DEFAULT_BACKEND_SLOTS
    limits.backend_connections = limits.backend_connections or DEFAULT_BACKEND_CONNECTIONS
    limits.default_deadline_ms = limits.default_deadline_ms or DEFAULT_DEADLINE_MS
    limits.maximum_body_bytes = limits.maximum_body_bytes or DEFAULT_MAX_BODY_BYTES
    _require_at_most("limits.default_deadline_ms", limits.default_deadline_ms, MAX_DEADLINE_MS)
    _require_at_most("limits.maximum_body_bytes", limits.maximum_body_bytes, MAX_BODY_BYTES)


def check_backend(backend: Backend) -> None:
    """Validate a back end.

    Raises
    ------
    InvalidObject
        A field is invalid.
    """
    _require_name("backend_id", backend.backend_id)
    _require_name("service", backend.service)
    require_address("address", backend.address)


def require_address(field: str, address: str) -> None:
    """Check that an address consists of an IP address and a port.

    Raises
    ------
    InvalidObject
        It does not.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise InvalidObject(field, f"{address!r} must be an IP address and a port") from None
    if not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidObject(field, f"{address!r} has no port from 1 to {MAX_PORT}")


def group_of_backend(service: Service, backend: Backend) -> GroupId:
    """Return the control group that grants slices to a back end of a keyed service."""
    return keyed_group(service.name, backend.control_group, service.sharing.control_groups)


def _require_name(field: str, value: str) -> None:
    if not NAME_PATTERN.fullmatch(value):
        raise InvalidObject(
            field, f"{value!r} must be 1 to 63 lower-case letters, digits and inner hyphens"
        )


def _require_at_most(field: str, value: int, maximum: int) -> None:
    if value > maximum:
        raise InvalidObject(field, f"{value} exceeds the maximum of {maximum}")
