"""The file for ``limedeck config apply``: the whole desired configuration in TOML."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict

from limedeck.api.peer_pb2 import (
    OWNERSHIP_KEYED,
    OWNERSHIP_SHARED,
    Backend,
    Service,
    ServiceLimits,
    SharingRule,
)
from limedeck.config.toml_files import load_model

OWNERSHIPS = {"keyed": OWNERSHIP_KEYED, "shared": OWNERSHIP_SHARED}


class Section(BaseModel):
    """A table of the file; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceEntry(Section):
    """A service in the file."""

    name: str
    ownership: Literal["keyed", "shared"]
    key_source: str = ""
    slices_per_backend: int = 0
    control_groups: int = 0
    backend_slots: int = 0
    backend_connections: int = 0
    default_deadline_ms: int = 0
    maximum_body_bytes: int = 0
    repeatable_methods: list[str] = []

    def to_message(self) -> Service:
        """Return the service as a message of the operators' service."""
        return Service(
            name=self.name,
            sharing=SharingRule(
                ownership=OWNERSHIPS[self.ownership],
                key_source=self.key_source,
                slices_per_backend=self.slices_per_backend,
                control_groups=self.control_groups,
            ),
            limits=ServiceLimits(
                backend_slots=self.backend_slots,
                backend_connections=self.backend_connections,
                default_deadline_ms=self.default_deadline_ms,
                maximum_body_bytes=self.maximum_body_bytes,
            ),
            repeatable_methods=self.repeatable_methods,
        )


class BackendEntry(Section):
    """A back end in the file."""

    id: str
    service: str
    address: str
    zone: str = ""
    draining: bool = False

    def to_message(self) -> Backend:
        """Return the back end as a message of the operators' service."""
        return Backend(
            backend_id=self.id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            draining=self.draining,
        )


class ConfigFile(Section):
    """The whole file."""

    services: list[ServiceEntry] = []
    backends: list[BackendEntry] = []


def load_config_file(file: str) -> ConfigFile:
    """Read and validate a configuration file.

    Raises
    ------
    InvalidSetting
        The file cannot be read or is invalid.
    """
    return load_model(file, ConfigFile)
