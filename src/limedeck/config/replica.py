"""The configuration as a node holds it: it only ever moves forward."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from limedeck.api.peer_pb2 import OWNERSHIP_KEYED, Backend, ConfigObject, ConfigUpdate, Service
from limedeck.config.objects import ObjectKey, object_key
from limedeck.errors import InvariantViolation


class UpdateOutcome(enum.Enum):
    """What became of an update.

    APPLIED
        It is in force.
    STALE
        What is held is as new or newer.
    GAP
        It applies to a version that is not held; a whole one is needed.
    """

    APPLIED = "applied"
    STALE = "stale"
    GAP = "gap"


class ConfigReplica:
    """All objects at one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[ObjectKey, ConfigObject] = {}
        self._backends_by_service: dict[str, list[Backend]] = {}

    def apply(self, update: ConfigUpdate) -> UpdateOutcome:
        """Bring an update into force unless it is older than what is held."""
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
        """Write everything as one update."""
        return ConfigUpdate(revision=self.revision, objects=self.objects.values())

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        item = self.objects.get(ObjectKey("service", name))
        return item.service if item else None

    def services(self) -> list[Service]:
        """Every service, by name."""
        items = [item for item in self.objects.values() if item.WhichOneof("body") == "service"]
        return sorted((item.service for item in items), key=lambda service: service.name)

    def keyed_services(self) -> list[Service]:
        """Every service whose keys have owners."""
        return [item for item in self.services() if item.sharing.ownership == OWNERSHIP_KEYED]

    def backend(self, backend_id: str) -> Backend | None:
        """Return a back end by id."""
        item = self.objects.get(ObjectKey("backend", backend_id))
        return item.backend if item else None

    def backends_of(self, service: str) -> list[Backend]:
        """Back ends of a service, by id."""
        return self._backends_by_service.get(service, [])

    def _put(self, item: ConfigObject, revision: int) -> None:
        key = object_key(item)
        if item.revision > revision:
            raise InvariantViolation(
                "objects-not-above-revision", f"{key} at {item.revision} in revision {revision}"
            )
        held = self.objects.get(key)
        if held is not None and held.revision > item.revision:
            raise InvariantViolation(
                "objects-never-revert", f"{key} from {held.revision} to {item.revision}"
            )
        if item.deleted:
            self.objects.pop(key, None)
        else:
            self.objects[key] = item

    def _index_backends(self) -> None:
        self._backends_by_service = {}
        for backend in _backends(self.objects.values()):
            self._backends_by_service.setdefault(backend.service, []).append(backend)


def _backends(items: Iterable[ConfigObject]) -> list[Backend]:
    found = [item.backend for item in items if item.WhichOneof("body") == "backend"]
    return sorted(found, key=lambda backend: backend.backend_id)
