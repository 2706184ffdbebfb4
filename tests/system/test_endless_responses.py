"""Back ends whose response bodies never end, with node processes on small machines."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.system import platform_site
from tests.system.paced_callers import PacedCallers

NODES = 3
UNKEYED = 6
RATE = 60.0
OBSERVATION_SECONDS = 8.0
MAX_MEMORY_MB = 200.0
"""Two thirds of the memory of the users' machines."""
SERVED_SHARE = 0.9


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, 1, UNKEYED, NODES) as running:
        # Repeatable, so that requests go to other back ends.
        routes = [*platform_site.ROUTES, platform_site.route("/repeatable/", "plain")]
        running.configure(2, routes)
        yield running


def peak_memory_mb(node: platform_site.NodeProcess) -> float:
    """Return the largest resident size of a node's process so far."""
    status = Path(f"/proc/{node.process.process.pid}/status").read_text()
    line = next(item for item in status.splitlines() if item.startswith("VmHWM"))
    return float(line.split()[1]) / 1024.0


def test_back_end_whose_responses_never_end_does_not_exhaust_the_memory(
    site: platform_site.Site,
) -> None:
    faulty = next(item for item in site.upstreams if not item.keyed)
    with PacedCallers(site, "/repeatable/x", RATE).calling() as callers:
        time.sleep(1.0)
        faulty.endless = True
        time.sleep(OBSERVATION_SECONDS)
    assert faulty.endless_bytes > 0
    assert max(peak_memory_mb(node) for node in site.nodes) < MAX_MEMORY_MB
    assert callers.statuses[200] >= SERVED_SHARE * callers.statuses.total()
