"""Fixtures that run a small site in separate processes."""

from collections.abc import Iterator

import pytest

from limedeck_lab.cluster import Cluster, running_cluster
from limedeck_lab.site import RequestKind, Site, SiteService

SMALL_SITE = Site(
    name="small",
    zones=["north", "centre", "south"],
    zone_delay_ms=0,
    caller_delay_ms=0,
    connect_ms=0,
    probe_ms=0,
    services=[
        SiteService(
            name="parcels",
            ownership="keyed",
            key_source="path:2",
            backends=3,
            slots=4,
            connections=60,
            service_ms=1.0,
            slices_per_backend=8,
        ),
        SiteService(
            name="filing", ownership="shared", backends=2, slots=4, connections=60, service_ms=1.0
        ),
    ],
    requests=[
        RequestKind(name="lookup", service="parcels", method="GET", path="p/{key}", weight=3),
        RequestKind(name="register", service="filing", method="POST", path="r/{key}", weight=1),
    ],
)


def started_cluster() -> Iterator[Cluster]:
    """Run the site with its services and back ends created, until the generator is closed."""
    with running_cluster(SMALL_SITE) as cluster:
        cluster.wait_until_serving(cluster.create_objects())
        yield cluster


@pytest.fixture(scope="package")
def shared_cluster() -> Iterator[Cluster]:
    """A site shared by tests that restore its initial state."""
    yield from started_cluster()


@pytest.fixture
def own_cluster() -> Iterator[Cluster]:
    """A separate site for a test that does not restore its initial state."""
    yield from started_cluster()
