"""Callers that read slowly, at a node process on the smallest machine."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import ProcessGroup, wait_until
from tests.system import platform_site, slow_readers
from tests.system.paced_callers import PacedCallers
from tests.system.test_endless_responses import peak_memory_mb

READERS = 1000
RESPONSE_BYTES = 1_000_000
MEMORY_MB = 160
MAX_MEMORY_MB = 130.0
RATE = 60.0
OBSERVATION_SECONDS = 25.0
SERVED_SHARE = 0.97
MIN_SLOW_RESPONSES = 200
"""Responses that slow readers must have begun to read for the observation to count."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, 1, 6, 3, memory_mb=MEMORY_MB) as running:
        routes = [*platform_site.ROUTES, platform_site.route("/repeatable/", "plain")]
        running.configure(2, [*routes, platform_site.route("/large/", "plain")])
        for upstream in running.upstreams:
            upstream.large_path, upstream.large_bytes = "/large/", RESPONSE_BYTES
        yield running


@contextmanager
def reading_slowly(folder: Path, node: platform_site.NodeProcess) -> Iterator[Path]:
    """Have slow readers at a node; yield the file of their counts."""
    processes = ProcessGroup(folder)
    arguments = [node.callers, "/large/x", str(READERS)]
    try:
        yield processes.start("slow-readers", slow_readers.__name__, arguments).log
    finally:
        processes.end_all()


def held_bytes(node: platform_site.NodeProcess, purpose: str) -> float:
    """Return a node's metric of what it holds for a purpose."""
    metrics = httpx.get(f"http://{node.readiness}/metrics", trust_env=False).text
    prefix = f'limedeck_held_bytes{{purpose="{purpose}"}} '
    return float(next(row for row in metrics.splitlines() if row.startswith(prefix)).split()[1])


def test_slow_readers_do_not_exhaust_the_memory_and_harm_nobody(
    site: platform_site.Site, tmp_path: Path
) -> None:
    node = site.nodes[0]
    with PacedCallers(site, "/repeatable/x", RATE).calling() as callers:
        with reading_slowly(tmp_path, node) as counts_file:
            time.sleep(OBSERVATION_SECONDS)
            counts = json.loads(counts_file.read_text().splitlines()[-1])
            held = held_bytes(node, "unread")
        wait_until(lambda: held_bytes(node, "unread") == 0.0, "readers that left hold nothing")
    peak = peak_memory_mb(node)
    here = [item.status for item in callers.results if item.node == node.callers]
    served = here.count(200) / len(here)
    print(f"peak {peak:.1f} MB, {counts}, unread {held:.0f}, served {served:.4f} of {len(here)}")
    assert node.process.is_running
    assert counts["200"] >= MIN_SLOW_RESPONSES
    assert held > 0.0
    assert peak < MAX_MEMORY_MB
    assert served >= SERVED_SHARE
