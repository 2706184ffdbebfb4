"""From a caller's request to its service, its key and what may be done with it."""

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
class KeyPlace:
    """Where a request's key lies.

    Parameters
    ----------
    group
        Control group that owns it.
    position
        On the key line.
    """

    group: GroupId
    position: int


@dataclass(frozen=True)
class RequestTarget:
    """A caller's request, as far as routing needs it.

    Parameters
    ----------
    path
        Path and query for the back end, without the service's name.
    place
        None for a service that needs no owner.
    repeatable
        Whether it may run more than once.
    """

    service: Service
    path: str
    place: KeyPlace | None
    repeatable: bool


def match_request(
    config: ConfigReplica, method: str, raw_path: str, query: str, headers: Mapping[str, str]
) -> RequestTarget:
    """Find what a request is for.

    Parameters
    ----------
    raw_path
        Percent-encoded path, ``/SERVICE/...``.
    headers
        By lower-case name.

    Raises
    ------
    UnknownService, MissingKey
        It cannot be routed.
    """
    name, _, rest = raw_path.lstrip("/").partition("/")
    service = config.service(name)
    if service is None:
        raise UnknownService(name)
    path = f"/{rest}?{query}" if query else f"/{rest}"
    place = None
    if service.sharing.ownership == OWNERSHIP_KEYED:
        place = place_of_key(service, request_key(service, rest, query, headers))
    return RequestTarget(service, path, place, method in service.repeatable_methods)


def request_key(service: Service, rest: str, query: str, headers: Mapping[str, str]) -> str:
    """Read the key from where the service's sharing rule says.

    Raises
    ------
    MissingKey
        There is none.
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


def place_of_key(service: Service, key: str) -> KeyPlace:
    """Find a key's place: the low bits of its position name the control group."""
    position = key_position(key)
    count = max(service.sharing.control_groups, 1)
    return KeyPlace(keyed_group(service.name, position % count, count), position)


def deadline_of(service: Service, header: str | None, now: Seconds) -> Seconds:
    """Deadline on this node's clock: the caller's own if it names one, else the service's.

    Raises
    ------
    ValueError
        The caller's is not a positive number of milliseconds.
    """
    allowed = service.limits.default_deadline_ms
    if header is not None:
        wanted = int(header)
        if wanted <= 0:
            raise ValueError(header)
        allowed = wanted
    return now + allowed / MILLISECONDS
