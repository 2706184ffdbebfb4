"""What is new of back ends, with the leader lost and the store away meanwhile: real nodes.

Zones are evacuated, back ends come back cold, start again under their names, and other writers
write entries. Each time the store refuses all calls a moment after, and the leader is killed.
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
from tests.system.test_crashing_requests import leads

NODES = 3
PLAIN = 4
KEYED = 4
MANY = 100_000
"""Calls to the store that are refused: more than come in any of these tests."""
HEARD = 1.0
"""Seconds in which all nodes hear of a row; an evacuation binds after five."""
BOUND = 5.0
COLD_RATE = 4.0
WARMUP = 6.0


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, keyed=KEYED, plain=PLAIN, nodes=NODES) as running:
        running.cold_rate = COLD_RATE
        running.configure(2, platform_site.ROUTES)
        for number, upstream in enumerate(running.upstreams):
            upstream.zone = f"z{1 + number % 2}"
            running.list_upstream(upstream)
        time.sleep(HEARD)
        yield running


class Callers:
    """Callers of all nodes that run, for as long as a test wants."""

    def __init__(self, site: platform_site.Site) -> None:
        self._site = site
        self._keys = itertools.cycle(range(0, platform_site.KEYS, 997))
        self.statuses: Counter[int] = Counter()

    def call_until(self, end: float) -> None:
        """Call one node after the other."""
        with httpx.Client(timeout=3.0) as client:
            for node in itertools.cycle(self._site.nodes):
                if time.monotonic() > end:
                    return
                if not node.process.is_running:
                    continue
                for path in ("/keyed/x", "/plain/x"):
                    response = self._site.send(client, node, path, next(self._keys))
                    self.statuses[response.status_code] += 1


def lose_leader_and_store(site: platform_site.Site) -> None:
    """Nobody can be elected, and nothing can be recorded, until `heal`."""
    site.store.faults.extend([Fault.REFUSE] * MANY)
    next(node for node in site.nodes if leads(node)).process.signal(signal.SIGKILL)


def heal(site: platform_site.Site) -> None:
    """The store answers again, and the leader's machine is back."""
    site.store.faults.clear()
    wait_until(lambda: any(not node.process.is_running for node in site.nodes), "it has ended")
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")


def runs_in_zone(site: platform_site.Site, zone: str, first: int) -> list[str]:
    names = {item.name for item in site.upstreams if item.zone == zone}
    return [request for request, name in site.runs[first:] if name in names]


def test_nothing_reaches_an_evacuated_zone_though_leader_and_store_are_lost(
    site: platform_site.Site,
) -> None:
    """Keys that could not move are refused: their owners are in the zone."""
    callers = Callers(site)
    began = time.monotonic()
    site.store.put("op", "evacuate/z1", b"{}")
    callers.call_until(began + HEARD)
    lose_leader_and_store(site)
    callers.call_until(began + BOUND)
    first = len(site.runs)
    callers.call_until(began + BOUND + 3.0)
    assert runs_in_zone(site, "z1", first) == []
    heal(site)
    callers.call_until(time.monotonic() + 2.0)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert runs_in_zone(site, "z1", first) == []
    site.store.drop("op", "", "evacuate/z1")
    served.call_until(time.monotonic() + 3.0)
    assert runs_in_zone(site, "z1", first) != []
    assert site.two_owners == []


def test_back_ends_that_come_back_cold_get_nothing_while_others_are_warm(
    site: platform_site.Site,
) -> None:
    """The nodes' own zone: its back ends end together, and are back, cold, before the losses."""
    callers = Callers(site)
    returned = [item for item in site.upstreams if item.zone == "z1"]
    for upstream in returned:
        site.end_and_start_cold(upstream, WARMUP)
    callers.call_until(time.monotonic() + platform_site.DOWN_TIME + HEARD)
    lose_leader_and_store(site)
    callers.call_until(time.monotonic() + 2.0)
    heal(site)
    callers.call_until(time.monotonic() + 2.0)
    for upstream in returned:
        heard = upstream.cold_until - WARMUP + HEARD
        assert [at for at in upstream.cold_runs if at > heard] == []
    time.sleep(WARMUP)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert site.two_owners == []


def test_a_back_end_that_starts_again_under_its_name_holds_nothing_of_before(
    site: platform_site.Site,
) -> None:
    callers = Callers(site)
    owner = next(item for item in site.upstreams if item.keyed and item.held)
    site.end_and_start_cold(owner, 0.0)
    callers.call_until(time.monotonic() + 0.5 * platform_site.DOWN_TIME)
    lose_leader_and_store(site)
    callers.call_until(time.monotonic() + platform_site.DOWN_TIME + HEARD)
    heal(site)
    wait_until(site.everything_is_held, "all keys are held")
    callers.call_until(time.monotonic() + 2.0)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert site.two_owners == []


def test_entries_of_another_writer_change_nothing(site: platform_site.Site) -> None:
    """Among them one that stands where a back end's own entry stood."""
    callers = Callers(site)
    for number, entry in enumerate(faults.STRANGE_ENTRIES):
        site.store.put("servers", f"{faults.STRANGE_PREFIX}{number}", entry)
    overwritten = next(item for item in site.upstreams if not item.keyed)
    site.store.put("servers", overwritten.name, faults.STRANGE_ENTRIES[0])
    callers.call_until(time.monotonic() + HEARD)
    lose_leader_and_store(site)
    first = len(site.runs)
    callers.call_until(time.monotonic() + 1.5)
    assert all(name != overwritten.name for _, name in site.runs[first:])
    heal(site)
    site.list_upstream(overwritten)
    callers.call_until(time.monotonic() + 2.0)
    served = Callers(site)
    served.call_until(time.monotonic() + 2.0)
    assert served.statuses[200] >= 0.95 * served.statuses.total()
    assert any(name == overwritten.name for _, name in site.runs)
    assert site.two_owners == []
