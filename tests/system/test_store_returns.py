"""Node processes whose store is away for a moment and returns from a copy some seconds old."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import wait_until
from tests.system import platform_site
from tests.system.paced_callers import PacedCallers
from tests.system.test_crashing_requests import is_leader

NODES = 5
KEYED = 5
UNKEYED = 2
RATE = 60.0
COPY_AGE = 4.0
AWAY_SECONDS = 1.0
ENTRY_RETURN_SECONDS = 1.5
CONFIGURATION_SECONDS = 2.0
RECOVERY_SECONDS = 2.5
HEARTBEAT_INTERVAL = 0.025
SERVED_SHARE = 0.97
KEYS = range(0, platform_site.KEYS, 997)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, KEYED, UNKEYED, NODES) as running:
        running.store.era = 1
        with heartbeats(running):
            time.sleep(COPY_AGE + 1.0)
            yield running


@contextmanager
def heartbeats(site: platform_site.Site) -> Iterator[None]:
    """Transactions of others, which let the version rise and change nothing that nodes watch."""
    ended = threading.Event()

    def beat() -> None:
        while not ended.wait(HEARTBEAT_INTERVAL):
            if not site.store.away:
                site.store.put("beats", "beat", b"x")

    thread = threading.Thread(target=beat)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


def return_from_copy(site: platform_site.Site, age: float = COPY_AGE) -> None:
    """Let the store be away and return; back ends that live write their entries again later."""
    site.store.away = True
    time.sleep(AWAY_SECONDS)
    site.store.return_from_copy(age + AWAY_SECONDS)
    site.store.away = False

    def write_entries() -> None:
        time.sleep(ENTRY_RETURN_SECONDS)
        for upstream in site.upstreams:
            if not upstream.down:
                site.list_upstream(upstream)

    threading.Thread(target=write_entries, daemon=True).start()


def statuses(site: platform_site.Site, path: str) -> list[int]:
    with httpx.Client(timeout=5.0, trust_env=False) as client:
        nodes = [node for node in site.nodes if node.process.is_running]
        return [site.send(client, node, path, 1).status_code for node in nodes]


def configure(site: platform_site.Site, version: int) -> str:
    """Write a configuration with a route of its own; return the path of that route."""
    own = platform_site.route(f"/only-{version}/", "plain")
    site.configure(version, [*platform_site.ROUTES, own])
    return f"/only-{version}/x"


def test_configurations_before_and_after_the_return_are_in_force(
    site: platform_site.Site,
) -> None:
    lost = configure(site, 7)
    wait_until(lambda: set(statuses(site, lost)) == {200}, "it is in force")
    return_from_copy(site)
    assert set(statuses(site, lost)) == {200}, "it was acknowledged"
    later = configure(site, 9)
    time.sleep(CONFIGURATION_SECONDS)
    assert set(statuses(site, later)) == {200}


def test_changes_in_quick_succession_across_two_returns_are_in_force(
    site: platform_site.Site,
) -> None:
    for version in range(2, 22):
        path = configure(site, version)
        if version in (8, 14):
            return_from_copy(site)
        time.sleep(0.1)
    time.sleep(CONFIGURATION_SECONDS)
    assert set(statuses(site, path)) == {200}


def move_keys_of_one_owner(site: platform_site.Site) -> platform_site.Upstream:
    """Let an owner of keys leave, and wait until another one holds them."""
    owner = next(item for item in site.upstreams if item.holds(0))
    owner.draining = True
    site.list_upstream(owner)
    wait_until(lambda: not owner.holds(0) and site.all_keys_are_owned(), "its keys have moved")
    return owner


def leader(site: platform_site.Site) -> platform_site.NodeProcess:
    return next(node for node in site.nodes if node.process.is_running and is_leader(node))


@pytest.mark.parametrize("kills_leader", [False, True], ids=["leader-stays", "leader-killed"])
def test_owners_of_the_copy_get_no_keys_that_have_moved_since(
    site: platform_site.Site, kills_leader: bool
) -> None:
    move_keys_of_one_owner(site)
    killed = leader(site)
    return_from_copy(site)
    if kills_leader:
        killed.process.signal(signal.SIGKILL)
    time.sleep(RECOVERY_SECONDS)
    with PacedCallers(site, "/keyed/x", RATE, KEYS).calling() as callers:
        time.sleep(4.0)
    assert site.ownership_conflicts == []
    served = callers.statuses[200] / max(callers.statuses.total() - callers.statuses[0], 1)
    assert served >= SERVED_SHARE


def test_a_leader_whose_election_is_lost_goes_on_without_a_break(
    site: platform_site.Site,
) -> None:
    former = leader(site)
    former.process.signal(signal.SIGKILL)
    wait_until(lambda: any(is_leader(node) for node in site.nodes if node is not former), "elected")
    wait_until(site.all_keys_are_owned, "all keys have owners")
    with PacedCallers(site, "/keyed/x", RATE, KEYS).calling() as callers:
        return_from_copy(site, COPY_AGE + 1.0)
        time.sleep(4.0)
    assert site.ownership_conflicts == []
    served = callers.statuses[200] / max(callers.statuses.total() - callers.statuses[0], 1)
    assert served >= SERVED_SHARE


def test_all_nodes_restart_while_the_store_returns(site: platform_site.Site) -> None:
    move_keys_of_one_owner(site)
    for node in site.nodes:
        node.process.signal(signal.SIGKILL)
    for node in site.nodes:
        node.process.wait()
    return_from_copy(site)
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
    wait_until(site.all_keys_are_owned, "all keys have owners")
    with PacedCallers(site, "/keyed/x", RATE, KEYS).calling() as callers:
        time.sleep(3.0)
    assert site.ownership_conflicts == []
    assert callers.statuses[200] >= SERVED_SHARE * callers.statuses.total()
