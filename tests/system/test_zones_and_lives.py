"""Changes of back ends that nodes learn of just before leader and store fail, with node processes.

Zones are evacuated, back ends restart cold or under their old names, and other writers write
entries. Each time, the store refuses all calls a moment later, and the leader is killed.
"""

from __future__ import annotations

import itertools
import signal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import wait_until
from limedeck_lab.standins.row_store import Fault
from tests.soak import faults
from tests.system import platform_site
from tests.system.test_crashing_requests import is_leader

NODES = 3
PLAIN = 4
KEYED = 4
STORE_FAULTS = 100_000
"""Number of store calls to refuse: more than any of these tests makes."""
PROPAGATION_SECONDS = 1.0
"""Seconds until all nodes have received a changed row of the store."""
EVACUATION_SECONDS = 5.0
"""Seconds after an evacuation is requested until it is enforced."""
COLD_RATE_PER_SECOND = 4.0
WARMUP_SECONDS = 6.0


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, keyed=KEYED, plain=PLAIN, nodes=NODES) as running:
        running.cold_rate = COLD_RATE_PER_SECOND
        running.configure(2, platform_site.ROUTES)
        for number, upstream in enumerate(running.upstreams):
            upstream.zone = f"z{1 + number % 2}"
            running.list_upstream(upstream)
        time.sleep(PROPAGATION_SECONDS)
        yield running


class Callers:
    """Callers of all running nodes.

    Attributes
    ----------
    statuses
        Number of requests by status of the response.
    """

    def __init__(self, site: platform_site.Site) -> None:
        self._site = site
        self._keys = itertools.cycle(range(0, platform_site.KEYS, 997))
        self.statuses: Counter[int] = Counter()

    def call_until(self, end: float) -> None:
        """Send requests to the nodes in turn until this time."""
        with httpx.Client(timeout=3.0) as client:
            for node in itertools.cycle(self._site.nodes):
                if time.monotonic() > end:
                    return
                if not node.process.is_running:
                    continue
                for path in ("/keyed/x", "/plain/x"):
                    response = self._site.send(client, node, path, next(self._keys))
                    self.statuses[response.status_code] += 1


def fail_leader_and_store(site: platform_site.Site) -> None:
    """Kill the leader; no other can be elected, and nothing recorded, until `restore`."""
    site.store.faults.extend([Fault.REFUSE] * STORE_FAULTS)
    next(node for node in site.nodes if is_leader(node)).process.signal(signal.SIGKILL)


def restore(site: platform_site.Site) -> None:
    """Let the store respond again, and restart the ended node."""
    site.store.faults.clear()
    wait_until(
        lambda: any(not node.process.is_running for node in site.nodes), "the leader has ended"
    )
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")


def runs_in_zone(site: platform_site.Site, zone: str, first_run: int) -> list[str]:
    names = {item.name for item in site.upstreams if item.zone == zone}
    return [request for request, name in site.runs[first_run:] if name in names]


def test_evacuated_zone_gets_no_request_without_leader_and_store(
    site: platform_site.Site,
) -> None:
    """Requests for keys that could not move are refused: their owners are in the zone."""
    callers = Callers(site)
    began = time.monotonic()
    site.store.put("op", "evacuate/z1", b"{}")
    callers.call_until(began + PROPAGATION_SECONDS)
    fail_leader_and_store(site)
    callers.call_until(began + EVACUATION_SECONDS)
    first_run = len(site.runs)
    callers.call_until(began + EVACUATION_SECONDS + 3.0)
    assert runs_in_zone(site, "z1", first_run) == []
    restore(site)
    callers.call_until(time.monotonic() + 2.0)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert runs_in_zone(site, "z1", first_run) == []
    site.store.drop("op", "", "evacuate/z1")
    served.call_until(time.monotonic() + 3.0)
    assert runs_in_zone(site, "z1", first_run) != []
    assert site.ownership_conflicts == []


def test_back_ends_that_restart_cold_get_no_request_while_others_are_warm(
    site: platform_site.Site,
) -> None:
    """All back ends of the nodes' own zone crash together and restart before the failures."""
    callers = Callers(site)
    restarted = [item for item in site.upstreams if item.zone == "z1"]
    for upstream in restarted:
        site.restart_cold(upstream, WARMUP_SECONDS)
    callers.call_until(time.monotonic() + platform_site.DOWN_SECONDS + PROPAGATION_SECONDS)
    fail_leader_and_store(site)
    callers.call_until(time.monotonic() + 2.0)
    restore(site)
    callers.call_until(time.monotonic() + 2.0)
    for upstream in restarted:
        known_at = upstream.cold_until - WARMUP_SECONDS + PROPAGATION_SECONDS
        assert [at for at in upstream.cold_runs if at > known_at] == []
    time.sleep(WARMUP_SECONDS)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert site.ownership_conflicts == []


def test_keys_are_reassigned_after_their_owner_restarts_under_its_name(
    site: platform_site.Site,
) -> None:
    callers = Callers(site)
    owner = next(item for item in site.upstreams if item.keyed and item.held)
    site.restart_cold(owner, 0.0)
    callers.call_until(time.monotonic() + 0.5 * platform_site.DOWN_SECONDS)
    fail_leader_and_store(site)
    callers.call_until(time.monotonic() + platform_site.DOWN_SECONDS + PROPAGATION_SECONDS)
    restore(site)
    wait_until(site.all_keys_are_owned, "all keys are held")
    callers.call_until(time.monotonic() + 2.0)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert site.ownership_conflicts == []


def test_entries_of_other_writers_change_nothing(site: platform_site.Site) -> None:
    """One of the entries replaces that of a back end."""
    callers = Callers(site)
    for number, entry in enumerate(faults.FOREIGN_ENTRY_VALUES):
        site.store.put("servers", f"{faults.FOREIGN_ENTRY_PREFIX}{number}", entry)
    overwritten = next(item for item in site.upstreams if not item.keyed)
    site.store.put("servers", overwritten.name, faults.FOREIGN_ENTRY_VALUES[0])
    callers.call_until(time.monotonic() + PROPAGATION_SECONDS)
    fail_leader_and_store(site)
    first_run = len(site.runs)
    callers.call_until(time.monotonic() + 1.5)
    assert all(name != overwritten.name for _, name in site.runs[first_run:])
    restore(site)
    site.list_upstream(overwritten)
    callers.call_until(time.monotonic() + 2.0)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert any(name == overwritten.name for _, name in site.runs)
    assert site.ownership_conflicts == []
