"""A node's copy of the configuration; its revision never decreases."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from limedeck.api.peer_pb2 import OWNERSHIP_KEYED, Backend, ConfigObject, ConfigUpdate, Service
from limedeck.config.objects import ObjectKey, object_key
from limedeck.errors import InvariantViolation


class UpdateOutcome(enum.Enum):
    """Result of applying an update.

    APPLIED
        The update is in force.
    STALE
        The replica is at the same or a newer revision.
    GAP
        The update applies to a revision other than the replica's; a snapshot is needed.
    """

    APPLIED = "applied"
    STALE = "stale"
    GAP = "gap"


class ConfigReplica:
    """All configuration objects at one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[ObjectKey, ConfigObject] = {}
        self._backends_by_service: dict[str, list[Backend]] = {}

    def apply(self, update: ConfigUpdate) -> UpdateOutcome:
        """Apply an update unless it is stale or leaves a gap.

        Raises
        ------
        InvariantViolation
            An object is newer than the update, or older than the replica's.
        """
        if update.revision <= self.revision:
            return UpdateOutcome.STALE
        if update.previous_revision not in (0, self.revision):
            return UpdateOutcome.GAP
        if update.previous_revision == 0:
            self.objects = {}
        for item in update.objects:
            self._put(item, update.revision)
        self.revision = update.revision
        self._index_backends()
        return UpdateOutcome.APPLIED

    def whole(self) -> ConfigUpdate:
        """Return a snapshot as an update."""
        return ConfigUpdate(revision=self.revision, objects=self.objects.values())

    def service(self, name: str) -> Service | None:
        """Return a service by name, or None."""
        item = self.objects.get(ObjectKey("service", name))
        return item.service if item else None

    def services(self) -> list[Service]:
        """Return all services, sorted by name."""
        items = [item for item in self.objects.values() if item.WhichOneof("body") == "service"]
        return sorted((item.service for item in items), key=lambda service: service.name)

    def keyed_services(self) -> list[Service]:
        """Return all services whose keys have owners, sorted by name."""
        return [item for item in self.services() if item.sharing.ownership == OWNERSHIP_KEYED]

    def backend(self, backend_id: str) -> Backend | None:
        """Return a back end by id, or None."""
        item = self.objects.get(ObjectKey("backend", backend_id))
        return item.backend if item else None

    def backends_of(self, service: str) -> list[Backend]:
        """Return the back ends of a service, sorted by id."""
        return self._backends_by_service.get(service, [])

    def _put(self, item: ConfigObject, revision: int) -> None:
        key = object_key(item)
        if item.revision > revision:
            raise InvariantViolation(
                "objects-not-above-revision", f"{key} at {item.revision} in revision {revision}"
            )
        current = self.objects.get(key)
        if current is not None and current.revision > item.revision:
            raise InvariantViolation(
                "objects-never-revert", f"{key} from {current.revision} to {item.revision}"
            )
        if item.deleted:
            self.objects.pop(key, None)
        else:
            self.objects[key] = item

    def _index_backends(self) -> None:
        self._backends_by_service = {}
        for backend in _sorted_backends(self.objects.values()):
            self._backends_by_service.setdefault(backend.service, []).append(backend)


def _sorted_backends(items: Iterable[ConfigObject]) -> list[Backend]:
    found = [item.backend for item in items if item.WhichOneof("body") == "backend"]
    return sorted(found, key=lambda backend: backend.backend_id)
