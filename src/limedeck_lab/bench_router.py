"""Measures one router process against direct requests to the stand-in back end, in one run."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import aiohttp
import anyio

from limedeck_lab.cluster import running_cluster
from limedeck_lab.processes import processor_seconds
from limedeck_lab.site import RequestKind, Site, SiteService
from limedeck_lab.statistics import percentile

CONCURRENCY = 16
MEASUREMENT_SECONDS = 6.0
CLIENTS = ("httpx", "aiohttp")


@dataclass(frozen=True)
class PathRate:
    """Throughput and latency measured on one path.

    Parameters
    ----------
    requests_per_second
        With `CONCURRENCY` requests in flight all the time.
    ratio
        `requests_per_second` relative to that of direct requests to the stand-in.
    processor_ms
        Processor time of the router process for each request.
    half_rate_p50_ms, half_rate_p99_ms
        Latency at half of `requests_per_second`.
    """

    path: str
    requests_per_second: float
    ratio: float
    processor_ms: float
    half_rate_p50_ms: float
    half_rate_p99_ms: float

    def to_dict(self) -> dict[str, object]:
        """The measurement as one JSON record."""
        return asdict(self)


ROUTER_SITE = Site(
    name="bench-router",
    zones=["a"],
    zone_delay_ms=0,
    caller_delay_ms=0,
    connect_ms=0,
    probe_ms=0,
    services=[
        SiteService(
            name="shared",
            ownership="shared",
            backends=4,
            slots=64,
            connections=1000,
            service_ms=0.01,
        )
    ],
    requests=[RequestKind(name="read", service="shared", method="GET", path="x/{key}", weight=1)],
)


async def measure_throughput(urls: Sequence[str], seconds: float) -> float:
    """Measure requests per second with `CONCURRENCY` requests in flight."""
    done = 0
    end = time.monotonic() + seconds

    async def send_repeatedly(session: aiohttp.ClientSession, url: str) -> None:
        nonlocal done
        while time.monotonic() < end:
            async with session.get(url, raise_for_status=True) as response:
                await response.read()
            done += 1

    async with aiohttp.ClientSession() as session, anyio.create_task_group() as tasks:
        for number in range(CONCURRENCY):
            tasks.start_soon(send_repeatedly, session, urls[number % len(urls)])
    return done / seconds


async def measure_latencies(urls: Sequence[str], rate: float, seconds: float) -> list[float]:
    """Measure latencies at a fixed request rate (open loop); return them in seconds, ascending."""
    latencies: list[float] = []

    async def send(session: aiohttp.ClientSession, url: str) -> None:
        started = time.perf_counter()
        async with session.get(url, raise_for_status=True) as response:
            await response.read()
        latencies.append(time.perf_counter() - started)

    async with aiohttp.ClientSession() as session, anyio.create_task_group() as tasks:
        begin = time.monotonic()
        for number in range(int(rate * seconds)):
            await anyio.sleep(max(begin + number / rate - time.monotonic(), 0))
            tasks.start_soon(send, session, urls[number % len(urls)])
    return sorted(latencies)


def measure_paths() -> list[PathRate]:
    """Measure direct requests to the stand-in, then one router with each client library."""
    results: list[PathRate] = []
    direct_rate = 0.0
    for client in CLIENTS:
        with running_cluster(ROUTER_SITE, f'[routing]\nbackend_client = "{client}"\n') as cluster:
            cluster.wait_until_serving(cluster.create_objects())
            (addresses,) = cluster.addresses
            if not results:
                direct = [f"http://{item.address}/x/1" for item in cluster.backends]
                results.append(_measure("direct", direct, 0, 0.0))
                direct_rate = results[0].requests_per_second
            process_id = cluster.nodes[addresses.node_id].process.pid
            urls = [f"http://{addresses.caller}/shared/x/1"]
            results.append(_measure(client, urls, process_id, direct_rate))
    return results


def _measure(path: str, urls: Sequence[str], process_id: int, direct_rate: float) -> PathRate:
    anyio.run(measure_throughput, urls, 1.0)
    before = processor_seconds(process_id) if process_id else 0.0
    rate = anyio.run(measure_throughput, urls, MEASUREMENT_SECONDS)
    after = processor_seconds(process_id) if process_id else 0.0
    latencies = anyio.run(measure_latencies, urls, rate / 2, MEASUREMENT_SECONDS)
    return PathRate(
        path=path,
        requests_per_second=round(rate, 1),
        ratio=round(rate / direct_rate, 3) if direct_rate else 1.0,
        processor_ms=round(1000 * (after - before) / (rate * MEASUREMENT_SECONDS), 3),
        half_rate_p50_ms=round(percentile(latencies, 0.5) * 1000, 2),
        half_rate_p99_ms=round(percentile(latencies, 0.99) * 1000, 2),
    )
