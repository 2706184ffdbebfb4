"""Matching of a caller's request to its service, key, repeatability and deadline."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

from limedeck.api.peer_pb2 import OWNERSHIP_KEYED, Service
from limedeck.config.replica import ConfigReplica
from limedeck.errors import MissingKey, UnknownService
from limedeck.identity import GroupId, Seconds, keyed_group
from limedeck.keyspace.hashing import key_position

MILLISECONDS = 1000


@dataclass(frozen=True)
class KeyLocation:
    """The control group and position of a request's key.

    Parameters
    ----------
    group
        Control group that assigns the key's owner.
    position
        Position in the key space.
    """

    group: GroupId
    position: int


@dataclass(frozen=True)
class RequestTarget:
    """The parts of a caller's request that routing needs.

    Parameters
    ----------
    path
        Path and query for the back end, without the service's name.
    place
        Control group and position of the key; None for a service without owners.
    repeatable
        Whether the request may run more than once.
    """

    service: Service
    path: str
    place: KeyLocation | None
    repeatable: bool


def match_request(
    config: ConfigReplica, method: str, raw_path: str, query: str, headers: Mapping[str, str]
) -> RequestTarget:
    """Return a request's service, path, key position and repeatability.

    Parameters
    ----------
    raw_path
        Percent-encoded path, ``/SERVICE/...``.
    headers
        Headers by lower-case name.

    Raises
    ------
    UnknownService, MissingKey
        The request cannot be routed.
    """
    name, _, rest = raw_path.lstrip("/").partition("/")
    service = config.service(name)
    if service is None:
        raise UnknownService(name)
    path = f"/{rest}?{query}" if query else f"/{rest}"
    place = None
    if service.sharing.ownership == OWNERSHIP_KEYED:
        place = locate_key(service, request_key(service, rest, query, headers))
    return RequestTarget(service, path, place, method in service.repeatable_methods)


def request_key(service: Service, rest: str, query: str, headers: Mapping[str, str]) -> str:
    """Read the key from the part of the request that the service's sharing rule names.

    Parameters
    ----------
    rest
        Percent-encoded path after the service's name.
    headers
        Headers by lower-case name.

    Raises
    ------
    MissingKey
        That part is missing or empty.
    """
    source, _, name = service.sharing.key_source.partition(":")
    key = ""
    if source == "path":
        segments = rest.split("/")
        index = int(name) - 1
        key = unquote(segments[index]) if index < len(segments) else ""
    elif source == "header":
        key = headers.get(name.lower(), "")
    else:
        key = parse_qs(query).get(name, [""])[0]
    if not key:
        raise MissingKey(service.name, service.sharing.key_source)
    return key


def locate_key(service: Service, key: str) -> KeyLocation:
    """Return a key's position and its control group: the position modulo the number of groups."""
    position = key_position(key)
    count = max(service.sharing.control_groups, 1)
    return KeyLocation(keyed_group(service.name, position % count, count), position)


def deadline_of(service: Service, header: str | None, now: Seconds) -> Seconds:
    """Return the deadline on this node's clock: the caller's if it sends one, else the default.

    Parameters
    ----------
    header
        The caller's limit in milliseconds, or None if it sends none.

    Raises
    ------
    ValueError
        The header is not a positive whole number of milliseconds.
    """
    allowed = service.limits.default_deadline_ms
    if header is not None:
        wanted = int(header)
        if wanted <= 0:
            raise ValueError(header)
        allowed = wanted
    return now + allowed / MILLISECONDS
