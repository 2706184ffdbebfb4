"""Model of the deployments that ``examples/*.toml`` describe, for demo, load and simulation."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from limedeck.api.peer_pb2 import (
    OWNERSHIP_KEYED,
    OWNERSHIP_SHARED,
    Backend,
    Service,
    ServiceLimits,
    SharingRule,
)
from limedeck.config.toml_files import load_model
from limedeck_lab.standins.backend_server import BackendSpecification


class Section(BaseModel):
    """A table of a site file; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RequestKind(Section):
    """One kind of request that callers send.

    Parameters
    ----------
    weight
        Share of all requests, relative to the other kinds' weights.
    path
        Path below the service, with ``{key}`` for the key.
    hot_keys, hot_share
        Number of hot keys, and the fraction of the kind's requests that they get together.
    """

    name: str
    service: str
    method: str
    path: str
    weight: float = Field(gt=0)
    keys: int = Field(default=10_000, gt=0)
    hot_keys: int = Field(default=20, ge=0)
    hot_share: float = Field(default=0.2, ge=0, lt=1)


class SiteService(Section):
    """A service and its back ends."""

    name: str
    ownership: Literal["keyed", "shared"]
    key_source: str = ""
    backends: int = Field(gt=0)
    slots: int = Field(gt=0)
    connections: int = Field(gt=0)
    service_ms: float = Field(gt=0)
    slices_per_backend: int = Field(default=50, gt=0)
    control_groups: int = Field(default=1, gt=0)
    repeatable_methods: list[str] = ["GET", "HEAD"]


class Site(Section):
    """A whole deployment.

    Parameters
    ----------
    zone_delay_ms, caller_delay_ms
        One-way delays between zones, and between callers and nodes.
    nodes_per_zone
        Number of limedeck nodes in each zone.
    """

    name: str
    zones: list[str] = Field(min_length=1)
    zone_delay_ms: float = Field(ge=0)
    caller_delay_ms: float = Field(ge=0)
    connect_ms: float = Field(ge=0)
    probe_ms: float = Field(ge=0)
    nodes_per_zone: int = Field(default=1, gt=0)
    services: list[SiteService] = Field(min_length=1)
    requests: list[RequestKind] = Field(min_length=1)

    def scaled(self, factor: float) -> Site:
        """Return the deployment with this fraction of nodes, back ends and control groups."""

        def scale_count(count: int) -> int:
            return max(round(count * factor), 1)

        services = [
            item.model_copy(
                update={
                    "backends": scale_count(item.backends),
                    "control_groups": scale_count(item.control_groups),
                }
            )
            for item in self.services
        ]
        return self.model_copy(
            update={"nodes_per_zone": scale_count(self.nodes_per_zone), "services": services}
        )

    def service_objects(self) -> list[Service]:
        """The services as operators create them."""
        return [_service(item) for item in self.services]

    def backend_objects(self, host: str, first_port: int) -> list[Backend]:
        """The back ends as operators add them, on consecutive ports, in the zones in turn."""
        backends = []
        port = first_port
        for service in self.services:
            for index in range(service.backends):
                backends.append(
                    Backend(
                        backend_id=f"{service.name}-{index:02d}",
                        service=service.name,
                        address=f"{host}:{port}",
                        zone=self.zones[index % len(self.zones)],
                    )
                )
                port += 1
        return backends

    def specifications(self, host: str, first_port: int) -> list[BackendSpecification]:
        """The back ends as the stand-in serves them."""
        services = {item.name: item for item in self.services}
        return [
            BackendSpecification(
                backend_id=backend.backend_id,
                address=backend.address,
                keyed=services[backend.service].ownership == "keyed",
                slots=services[backend.service].slots,
                service_seconds=services[backend.service].service_ms / 1000,
            )
            for backend in self.backend_objects(host, first_port)
        ]


def _service(item: SiteService) -> Service:
    keyed = item.ownership == "keyed"
    sharing = SharingRule(ownership=OWNERSHIP_SHARED)
    if keyed:
        sharing = SharingRule(
            ownership=OWNERSHIP_KEYED,
            key_source=item.key_source,
            slices_per_backend=item.slices_per_backend,
            control_groups=item.control_groups,
        )
    limits = ServiceLimits(backend_slots=item.slots, backend_connections=item.connections)
    return Service(
        name=item.name,
        sharing=sharing,
        limits=limits,
        repeatable_methods=item.repeatable_methods,
    )


def load_site(file: str) -> Site:
    """Read a site file.

    Raises
    ------
    InvalidSetting
        The file cannot be read or has an invalid key.
    """
    return load_model(file, Site)
