"""Operators' changes as functions from the present configuration to the objects to write."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from limedeck.api.peer_pb2 import OWNERSHIP_KEYED, Backend, ConfigObject, Service
from limedeck.config.objects import ObjectKey, check_backend, complete_service
from limedeck.config.store import ConfigState, Planner
from limedeck.errors import InvalidObject, ObjectNotFound, RevisionConflict


def create_service(service: Service) -> Planner:
    """Create a service that must not exist."""
    complete = complete_service(service)

    def plan(state: ConfigState) -> list[ConfigObject]:
        _require_revision(state, ObjectKey("service", complete.name), 0)
        return [ConfigObject(service=complete)]

    return plan


def update_service(service: Service, base_revision: int) -> Planner:
    """Replace a service; its ownership and number of control groups stay as they are."""
    complete = complete_service(service)

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("service", complete.name)
        held = _require(state, key)
        _require_revision(state, key, base_revision)
        _require_fixed_fields(held.service, complete)
        return [ConfigObject(service=complete)]

    return plan


def delete_service(name: str, base_revision: int) -> Planner:
    """Delete a service that has no back ends left."""

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("service", name)
        held = _require(state, key)
        _require_revision(state, key, base_revision)
        if _backends_of(state, name):
            raise InvalidObject("name", f"service {name} still has back ends")
        return [ConfigObject(service=held.service, deleted=True)]

    return plan


def add_backend(backend: Backend) -> Planner:
    """Add a back end and place it in the control group that has the fewest."""
    check_backend(backend)

    def plan(state: ConfigState) -> list[ConfigObject]:
        service = _require(state, ObjectKey("service", backend.service)).service
        _require_revision(state, ObjectKey("backend", backend.backend_id), 0)
        _require_free_address(state, backend)
        return [ConfigObject(backend=_placed(backend, service, _backends_of(state, service.name)))]

    return plan


def drain_backend(backend_id: str, base_revision: int) -> Planner:
    """Have a back end give up its slices and get no new work."""

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("backend", backend_id)
        held = _require(state, key)
        _require_revision(state, key, base_revision)
        if held.backend.draining:
            return []
        drained = ConfigObject()
        drained.CopyFrom(held)
        drained.backend.draining = True
        return [drained]

    return plan


def remove_backend(backend_id: str, base_revision: int) -> Planner:
    """Remove a back end."""

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("backend", backend_id)
        held = _require(state, key)
        _require_revision(state, key, base_revision)
        return [ConfigObject(backend=held.backend, deleted=True)]

    return plan


def apply_config(
    services: Sequence[Service], backends: Sequence[Backend], base_revision: int
) -> Planner:
    """Make the configuration hold just these objects."""
    complete = [complete_service(service) for service in services]
    for backend in backends:
        check_backend(backend)
    _require_distinct("services", [service.name for service in complete])
    _require_distinct("backends", [backend.backend_id for backend in backends])
    _require_distinct("backends.address", [backend.address for backend in backends])

    def plan(state: ConfigState) -> list[ConfigObject]:
        if base_revision not in (0, state.revision):
            raise RevisionConflict("the configuration", base_revision, state.revision)
        return _difference(state, complete, backends)

    return plan


def _difference(
    state: ConfigState, services: Sequence[Service], backends: Sequence[Backend]
) -> list[ConfigObject]:
    wanted = {ObjectKey("service", item.name): ConfigObject(service=item) for item in services}
    by_name = {service.name: service for service in services}
    placed: list[Backend] = []
    for backend in backends:
        service = by_name.get(backend.service)
        if service is None:
            raise InvalidObject("backends.service", f"no service is named {backend.service!r}")
        held = state.objects.get(ObjectKey("backend", backend.backend_id))
        if held is not None:
            item = Backend()
            item.CopyFrom(backend)
            item.control_group = held.backend.control_group
        else:
            same_service = [other for other in placed if other.service == backend.service]
            item = _placed(backend, service, same_service)
        placed.append(item)
        wanted[ObjectKey("backend", backend.backend_id)] = ConfigObject(backend=item)
    return _changed(state, wanted) + _deleted(state, wanted)


def _changed(state: ConfigState, wanted: dict[ObjectKey, ConfigObject]) -> list[ConfigObject]:
    changed = []
    for key, item in wanted.items():
        held = state.objects.get(key)
        if held is not None and key.kind == "service":
            _require_fixed_fields(held.service, item.service)
        if held is None or not _same_body(held, item):
            changed.append(item)
    return changed


def _deleted(state: ConfigState, wanted: dict[ObjectKey, ConfigObject]) -> list[ConfigObject]:
    deleted = []
    for key, held in state.objects.items():
        if key not in wanted:
            tombstone = ConfigObject()
            tombstone.CopyFrom(held)
            tombstone.deleted = True
            deleted.append(tombstone)
    return deleted


def _same_body(held: ConfigObject, wanted: ConfigObject) -> bool:
    return held.service == wanted.service and held.backend == wanted.backend


def _require(state: ConfigState, key: ObjectKey) -> ConfigObject:
    held = state.objects.get(key)
    if held is None:
        raise ObjectNotFound(key.kind, key.name)
    return held


def _require_revision(state: ConfigState, key: ObjectKey, base_revision: int) -> None:
    held = state.objects.get(key)
    current = held.revision if held else 0
    if current != base_revision:
        raise RevisionConflict(str(key), base_revision, current)


def _require_fixed_fields(held: Service, wanted: Service) -> None:
    checks: list[tuple[str, Callable[[Service], int]]] = [
        ("sharing.ownership", lambda service: service.sharing.ownership),
        ("sharing.control_groups", lambda service: service.sharing.control_groups),
    ]
    for field, read in checks:
        if read(held) != read(wanted):
            raise InvalidObject(field, "is fixed when the service is created")


def _require_free_address(state: ConfigState, backend: Backend) -> None:
    for key, item in state.objects.items():
        if key.kind == "backend" and item.backend.address == backend.address:
            raise InvalidObject("address", f"{backend.address} belongs to {key.name}")


def _require_distinct(field: str, values: Sequence[str]) -> None:
    for value, count in Counter(values).items():
        if count > 1:
            raise InvalidObject(field, f"{value} stands {count} times")


def _backends_of(state: ConfigState, service: str) -> list[Backend]:
    return [
        item.backend
        for key, item in state.objects.items()
        if key.kind == "backend" and item.backend.service == service
    ]


def _placed(backend: Backend, service: Service, others: Sequence[Backend]) -> Backend:
    placed = Backend()
    placed.CopyFrom(backend)
    if service.sharing.ownership != OWNERSHIP_KEYED:
        return placed
    counts = Counter(other.control_group for other in others)
    groups = range(service.sharing.control_groups)
    placed.control_group = min(groups, key=lambda index: (counts[index], index))
    return placed
