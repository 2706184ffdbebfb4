"""Measures what control costs real daemons on loopback at several sizes, and fits slopes."""

from __future__ import annotations

import re
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import httpx
import numpy

from limedeck_lab.cluster import Cluster, NodeAddresses, running_cluster
from limedeck_lab.processes import processor_seconds, resident_bytes, wait_until
from limedeck_lab.site import RequestKind, Site, SiteService

SETTLING_SECONDS = 6.0
MEASUREMENT_SECONDS = 10.0
CONTROL_BYTES_METRIC = re.compile(
    r'^limedeck_(?:peer|lease)_bytes_total\{direction="(?:sent|received)"\} (\S+)$', re.MULTILINE
)
LEADERSHIP_METRIC = re.compile(r"^limedeck_leads_group\{[^}]*\} 1\.0$", re.MULTILINE)


LOOKUP = RequestKind(name="lookup", service="keyed", method="GET", path="k/{key}", weight=1)


@dataclass(frozen=True)
class BenchSize:
    """Size of a deployment to measure."""

    nodes: int
    backends: int
    slices_per_backend: int
    control_groups: int = 1


@dataclass(frozen=True)
class NodeCost:
    """Measured cost of one daemon.

    Parameters
    ----------
    leads
        Control groups that the daemon leads.
    resident_bytes
        Resident memory of the whole process: interpreter, libraries and state.
    bytes_per_second
        Sent and received for control, including the HTTP headers of lease exchanges.
    core_share
        Processor time as a fraction of one core.
    """

    leads: int
    resident_bytes: int
    bytes_per_second: float
    core_share: float


@dataclass(frozen=True)
class SizeCost:
    """Mean costs at one size, of the nodes that lead no control group and of the leaders."""

    size: BenchSize
    follower: NodeCost
    leader: NodeCost

    def to_dict(self) -> dict[str, object]:
        """The costs as one JSON record."""
        return asdict(self)


def bench_site(size: BenchSize) -> Site:
    """Build a site of this size: one keyed service, nodes in three zones."""
    zones = ["a", "b", "c"]
    return Site(
        name="bench",
        zones=zones,
        zone_delay_ms=0,
        caller_delay_ms=0,
        connect_ms=0,
        probe_ms=0,
        nodes_per_zone=max(size.nodes // len(zones), 1),
        services=[
            SiteService(
                name="keyed",
                ownership="keyed",
                key_source="path:2",
                backends=size.backends,
                slots=2,
                connections=130,
                service_ms=2.0,
                slices_per_backend=size.slices_per_backend,
                control_groups=size.control_groups,
            )
        ],
        requests=[
            RequestKind(name="lookup", service="keyed", method="GET", path="k/{key}", weight=1)
        ],
    )


def measure_size(size: BenchSize) -> SizeCost:
    """Run a site of this size without callers and measure each node."""
    with running_cluster(bench_site(size)) as cluster:
        revision = cluster.create_objects_at_once()
        wait_until(lambda: cluster.serves_everywhere(revision), "every key has an owner", 120.0)
        time.sleep(SETTLING_SECONDS)
        before = [_sample(cluster, item) for item in cluster.addresses]
        time.sleep(MEASUREMENT_SECONDS)
        after = [_sample(cluster, item) for item in cluster.addresses]
    costs = [_cost(first, last) for first, last in zip(before, after, strict=True)]
    leaders = [cost for cost in costs if cost.leads]
    followers = [cost for cost in costs if not cost.leads] or leaders
    return SizeCost(size, _mean(followers), _mean(leaders))


@dataclass(frozen=True)
class Sample:
    """Measurements of one process at one time."""

    taken_at: float
    processor_seconds: float
    resident_bytes: int
    control_bytes: float
    leads: int


def _sample(cluster: Cluster, addresses: NodeAddresses) -> Sample:
    process_id = cluster.nodes[addresses.node_id].process.pid
    metrics = httpx.get(
        f"http://{addresses.admin}/metrics", trust_env=False, verify=False, timeout=10.0
    ).text
    return Sample(
        taken_at=time.monotonic(),
        processor_seconds=processor_seconds(process_id),
        resident_bytes=resident_bytes(process_id),
        control_bytes=sum(float(value) for value in CONTROL_BYTES_METRIC.findall(metrics)),
        leads=len(LEADERSHIP_METRIC.findall(metrics)),
    )


def _cost(first: Sample, last: Sample) -> NodeCost:
    elapsed = last.taken_at - first.taken_at
    return NodeCost(
        leads=last.leads,
        resident_bytes=last.resident_bytes,
        bytes_per_second=(last.control_bytes - first.control_bytes) / elapsed,
        core_share=(last.processor_seconds - first.processor_seconds) / elapsed,
    )


def _mean(costs: Sequence[NodeCost]) -> NodeCost:
    count = len(costs)
    return NodeCost(
        leads=round(sum(cost.leads for cost in costs) / count),
        resident_bytes=sum(cost.resident_bytes for cost in costs) // count,
        bytes_per_second=sum(cost.bytes_per_second for cost in costs) / count,
        core_share=sum(cost.core_share for cost in costs) / count,
    )


def slope(xs: Sequence[float], ys: Sequence[float]) -> dict[str, float]:
    """Fit a least-squares line through the points."""
    per_unit, at_zero = numpy.polyfit(xs, ys, 1)
    return {"at_zero": float(at_zero), "per_unit": float(per_unit)}


def slopes(costs: Sequence[SizeCost], xs: Sequence[float]) -> dict[str, dict[str, float]]:
    """Fit the slope of every cost over one dimension of the size."""
    found = {}
    for role in ("follower", "leader"):
        nodes: list[NodeCost] = [getattr(cost, role) for cost in costs]
        for name in ("resident_bytes", "bytes_per_second", "core_share"):
            found[f"{role}.{name}"] = slope(xs, [getattr(node, name) for node in nodes])
    return found


SERIES: dict[str, list[BenchSize]] = {
    "nodes": [BenchSize(count, 14, 50) for count in (3, 6, 12, 24)],
    "backends": [BenchSize(3, count, 50) for count in (7, 14, 28, 56)],
    "slices": [BenchSize(3, 14, count) for count in (50, 200, 800)],
}


def series_values(name: str, sizes: Sequence[BenchSize]) -> list[float]:
    """The values of the dimension that a series varies."""
    if name == "nodes":
        return [size.nodes for size in sizes]
    if name == "backends":
        return [size.backends for size in sizes]
    return [size.backends * size.slices_per_backend for size in sizes]
