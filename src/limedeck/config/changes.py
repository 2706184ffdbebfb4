"""Operators' changes: functions that map the current configuration to the objects to write."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from limedeck.api.peer_pb2 import OWNERSHIP_KEYED, Backend, ConfigObject, Service
from limedeck.config.objects import ObjectKey, check_backend, complete_service
from limedeck.config.store import ConfigState, Planner
from limedeck.errors import InvalidObject, ObjectNotFound, RevisionConflict


def create_service(service: Service) -> Planner:
    """Create a service; it must not exist yet."""
    complete = complete_service(service)

    def plan(state: ConfigState) -> list[ConfigObject]:
        _require_revision(state, ObjectKey("service", complete.name), 0)
        return [ConfigObject(service=complete)]

    return plan


def update_service(service: Service, base_revision: int) -> Planner:
    """Replace a service; its ownership and number of control groups cannot change."""
    complete = complete_service(service)

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("service", complete.name)
        existing = _require_object(state, key)
        _require_revision(state, key, base_revision)
        _require_fixed_fields(existing.service, complete)
        return [ConfigObject(service=complete)]

    return plan


def delete_service(name: str, base_revision: int) -> Planner:
    """Delete a service; it must have no back ends."""

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("service", name)
        existing = _require_object(state, key)
        _require_revision(state, key, base_revision)
        if _service_backends(state, name):
            raise InvalidObject("name", f"service {name} still has back ends")
        return [ConfigObject(service=existing.service, deleted=True)]

    return plan


def add_backend(backend: Backend) -> Planner:
    """Add a back end to the control group that has the fewest."""
    check_backend(backend)

    def plan(state: ConfigState) -> list[ConfigObject]:
        service = _require_object(state, ObjectKey("service", backend.service)).service
        _require_revision(state, ObjectKey("backend", backend.backend_id), 0)
        _require_unused_address(state, backend)
        return [
            ConfigObject(
                backend=_with_control_group(
                    backend, service, _service_backends(state, service.name)
                )
            )
        ]

    return plan


def drain_backend(backend_id: str, base_revision: int) -> Planner:
    """Drain a back end: it gives up its slices and receives no new work."""

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("backend", backend_id)
        existing = _require_object(state, key)
        _require_revision(state, key, base_revision)
        if existing.backend.draining:
            return []
        drained = ConfigObject()
        drained.CopyFrom(existing)
        drained.backend.draining = True
        return [drained]

    return plan


def remove_backend(backend_id: str, base_revision: int) -> Planner:
    """Remove a back end."""

    def plan(state: ConfigState) -> list[ConfigObject]:
        key = ObjectKey("backend", backend_id)
        existing = _require_object(state, key)
        _require_revision(state, key, base_revision)
        return [ConfigObject(backend=existing.backend, deleted=True)]

    return plan


def apply_config(
    services: Sequence[Service], backends: Sequence[Backend], base_revision: int
) -> Planner:
    """Replace the configuration with these objects."""
    complete = [complete_service(service) for service in services]
    for backend in backends:
        check_backend(backend)
    _require_distinct("services", [service.name for service in complete])
    _require_distinct("backends", [backend.backend_id for backend in backends])
    _require_distinct("backends.address", [backend.address for backend in backends])

    def plan(state: ConfigState) -> list[ConfigObject]:
        if base_revision not in (0, state.revision):
            raise RevisionConflict("the configuration", base_revision, state.revision)
        return _plan_difference(state, complete, backends)

    return plan


def _plan_difference(
    state: ConfigState, services: Sequence[Service], backends: Sequence[Backend]
) -> list[ConfigObject]:
    desired = {ObjectKey("service", item.name): ConfigObject(service=item) for item in services}
    by_name = {service.name: service for service in services}
    placed: list[Backend] = []
    for backend in backends:
        service = by_name.get(backend.service)
        if service is None:
            raise InvalidObject("backends.service", f"no service is named {backend.service!r}")
        existing = state.objects.get(ObjectKey("backend", backend.backend_id))
        if existing is not None:
            item = Backend()
            item.CopyFrom(backend)
            item.control_group = existing.backend.control_group
        else:
            same_service = [other for other in placed if other.service == backend.service]
            item = _with_control_group(backend, service, same_service)
        placed.append(item)
        desired[ObjectKey("backend", backend.backend_id)] = ConfigObject(backend=item)
    return _changed_objects(state, desired) + _tombstones(state, desired)


def _changed_objects(
    state: ConfigState, desired: dict[ObjectKey, ConfigObject]
) -> list[ConfigObject]:
    changed = []
    for key, item in desired.items():
        existing = state.objects.get(key)
        if existing is not None and key.kind == "service":
            _require_fixed_fields(existing.service, item.service)
        if existing is None or not _same_body(existing, item):
            changed.append(item)
    return changed


def _tombstones(state: ConfigState, desired: dict[ObjectKey, ConfigObject]) -> list[ConfigObject]:
    deleted = []
    for key, existing in state.objects.items():
        if key not in desired:
            tombstone = ConfigObject()
            tombstone.CopyFrom(existing)
            tombstone.deleted = True
            deleted.append(tombstone)
    return deleted


def _same_body(existing: ConfigObject, desired: ConfigObject) -> bool:
    return existing.service == desired.service and existing.backend == desired.backend


def _require_object(state: ConfigState, key: ObjectKey) -> ConfigObject:
    existing = state.objects.get(key)
    if existing is None:
        raise ObjectNotFound(key.kind, key.name)
    return existing


def _require_revision(state: ConfigState, key: ObjectKey, base_revision: int) -> None:
    existing = state.objects.get(key)
    current = existing.revision if existing else 0
    if current != base_revision:
        raise RevisionConflict(str(key), base_revision, current)


def _require_fixed_fields(existing: Service, desired: Service) -> None:
    checks: list[tuple[str, Callable[[Service], int]]] = [
        ("sharing.ownership", lambda service: service.sharing.ownership),
        ("sharing.control_groups", lambda service: service.sharing.control_groups),
    ]
    for field, read in checks:
        if read(existing) != read(desired):
            raise InvalidObject(field, "cannot be changed after the service is created")


def _require_unused_address(state: ConfigState, backend: Backend) -> None:
    for key, item in state.objects.items():
        if key.kind == "backend" and item.backend.address == backend.address:
            raise InvalidObject("address", f"{backend.address} is the address of {key.name}")


def _require_distinct(field: str, values: Sequence[str]) -> None:
    for value, count in Counter(values).items():
        if count > 1:
            raise InvalidObject(field, f"{value} occurs {count} times")


def _service_backends(state: ConfigState, service: str) -> list[Backend]:
    return [
        item.backend
        for key, item in state.objects.items()
        if key.kind == "backend" and item.backend.service == service
    ]


def _with_control_group(backend: Backend, service: Service, others: Sequence[Backend]) -> Backend:
    placed = Backend()
    placed.CopyFrom(backend)
    if service.sharing.ownership != OWNERSHIP_KEYED:
        return placed
    counts = Counter(other.control_group for other in others)
    groups = range(service.sharing.control_groups)
    placed.control_group = min(groups, key=lambda index: (counts[index], index))
    return placed
