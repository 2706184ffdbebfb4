"""Demonstration: a whole site in separate processes, with graceful stops under load."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.to_thread

from limedeck_lab.cluster import Cluster
from limedeck_lab.load import LoadGenerator, LoadResult, plan_requests

CONCURRENCY = 12
SEED = 2026


async def run_demo(cluster: Cluster, count: int, report: Callable[[str], object]) -> LoadResult:
    """Create the site's objects and send requests; meanwhile drain a back end and stop a node."""
    revision = await anyio.to_thread.run_sync(cluster.create_objects)
    await anyio.to_thread.run_sync(cluster.wait_until_serving, revision)
    report(f"revision {revision} is in force and every key has an owner")
    generator = LoadGenerator([item.caller for item in cluster.addresses], CONCURRENCY)
    requests = plan_requests(cluster.site, count, SEED)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_drain_and_stop, cluster, generator, count, report)
        await generator.run(requests)
    generator.result.compare_with_executions(cluster.executions())
    return generator.result


async def _drain_and_stop(
    cluster: Cluster, generator: LoadGenerator, count: int, report: Callable[[str], object]
) -> None:
    await generator.wait_for_sent(count // 4)
    drained = cluster.backends[0].backend_id
    await anyio.to_thread.run_sync(_drain, cluster, drained)
    report(f"drained {drained} after {generator.result.sent} requests")
    await generator.wait_for_sent(count // 2)
    stopped = cluster.addresses[0].node_id
    code = await anyio.to_thread.run_sync(cluster.stop_node, stopped)
    report(f"stopped {stopped} (exit code {code}) after {generator.result.sent} requests")


def _drain(cluster: Cluster, backend_id: str) -> None:
    client = cluster.client(1)
    listed = next(
        item for item in client.list_backends().objects if item.backend.backend_id == backend_id
    )
    client.drain_backend(backend_id, listed.revision)
    client.close()
