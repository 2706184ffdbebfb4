"""A request that ends each back end which runs it.

What users saw: look-ups of one service failed for a second or two, again and again, and a tenth of
them at a time. In order: one caller's request came to some node; the back end that ran it ended;
the caller sent the same request again, to another node, under another id; the next back end ended.
All other requests that these back ends were at work on were lost as well, and attempts at their
closed ports used up the retries of others. The cause: nothing of a request was remembered beyond
its answer, and nodes told each other nothing of requests. The evidence: back ends of one service
ended every few seconds, in the middle of their work, never two at once and none twice.
"""

from __future__ import annotations

import itertools
import json
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import wait_until
from limedeck_lab.standins.row_store import Fault
from tests.system.platform_site import (
    CRASHING,
    ROUTES,
    NodeProcess,
    Site,
    route,
    running_site,
)

NODES = 3
PLAIN = 14
RETRY_DELAY = 0.3
"""Seconds between two tries of the caller whose request ends back ends."""
KNOWN_WITHIN = 3.0
"""Seconds after the third back end has ended until all nodes know the request."""
WATCHED_FOR = 8.0
"""Seconds from then on."""
MOST_LATER_RUNS = 3
MANY = 100_000
"""Calls to the store that are refused: more than come in any of these tests."""
QUARANTINE_TABLE = "limedeck_quarantine"
PATH = "/read/x"
KEYED_PATH = "/keyed/x"
UNSAFE_PATH = "/plain/x"
OTHER_CALLER = "127.0.0.7"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with running_site(tmp_path, plain=PLAIN, nodes=NODES) as running:
        running.configure(2, [*ROUTES, route("/read/", "plain", "safe")])
        with httpx.Client(timeout=5.0) as client:
            wait_until(lambda: _is_served_everywhere(running, client), "the route is served")
        yield running


def _is_served_everywhere(site: Site, client: httpx.Client) -> bool:
    return all(site.post(client, node, PATH, b"") == 200 for node in site.nodes)


@pytest.fixture
def client() -> Iterator[httpx.Client]:
    with httpx.Client(timeout=5.0) as opened:
        yield opened


@pytest.fixture
def other_client() -> Iterator[httpx.Client]:
    """Another caller, at an address of its own."""
    with httpx.Client(transport=httpx.HTTPTransport(local_address=OTHER_CALLER)) as opened:
        yield opened


def figure(node: NodeProcess, name: str) -> float:
    """Read one of a node's own figures."""
    for line in httpx.get(f"http://{node.readiness}/metrics").text.splitlines():
        if line.startswith(f"{name} "):
            return float(line.rpartition(" ")[2])
    return 0.0


def leads(node: NodeProcess) -> bool:
    return figure(node, "limedeck_leads") == 1.0


def quarantined(node: NodeProcess) -> float:
    return figure(node, "limedeck_quarantined_requests")


def repeat(
    site: Site, client: httpx.Client, goes_on: Callable[[], bool], path: str = PATH
) -> Counter[int]:
    """Send the request that ends back ends to one node after the other; count its answers."""
    statuses: Counter[int] = Counter()
    for node in itertools.cycle(site.nodes):
        if not goes_on():
            return statuses
        if not node.process.is_running:
            continue
        statuses[site.post(client, node, path, CRASHING)] += 1
        time.sleep(RETRY_DELAY)
    raise AssertionError


def become_known(site: Site, client: httpx.Client, path: str = PATH) -> None:
    """Repeat the request until the time is over in which nodes may learn of it."""

    def is_known() -> bool:
        if len(site.crashes) < 3:
            return False
        return time.monotonic() > site.crashes[2].at + KNOWN_WITHIN

    repeat(site, client, lambda: not is_known(), path)


def test_a_request_that_has_ended_three_back_ends_reaches_hardly_any_more(
    site: Site, client: httpx.Client
) -> None:
    become_known(site, client)
    before = len(site.crashes)
    until = time.monotonic() + WATCHED_FOR
    repeat(site, client, lambda: time.monotonic() < until)
    assert len(site.crashes) - before <= MOST_LATER_RUNS


def test_one_that_ends_owner_after_owner_of_its_key_ends_hardly_any_more(
    site: Site, client: httpx.Client
) -> None:
    """It waits for each new owner of its key, so some seconds lie between two ends."""
    become_known(site, client, KEYED_PATH)
    before = len(site.crashes)
    until = time.monotonic() + WATCHED_FOR
    repeat(site, client, lambda: time.monotonic() < until, KEYED_PATH)
    assert len(site.crashes) - before <= MOST_LATER_RUNS
    assert site.two_owners == []


def test_one_that_may_run_only_once_is_known_by_its_callers_returns(
    site: Site, client: httpx.Client
) -> None:
    """No node repeats it: each try of its caller ends one back end, and gets "outcome unknown"."""
    become_known(site, client, UNSAFE_PATH)
    before = len(site.crashes)
    until = time.monotonic() + WATCHED_FOR
    statuses = repeat(site, client, lambda: time.monotonic() < until, UNSAFE_PATH)
    assert len(site.crashes) - before <= MOST_LATER_RUNS
    assert set(statuses) == {503}
    assert max(Counter(request for request, _ in site.runs).values()) == 1


def test_without_a_leader_and_a_store_the_nodes_that_are_left_know_it(
    site: Site, client: httpx.Client
) -> None:
    """Nobody can be elected: each node would lose three back ends of its own."""
    site.store.faults.extend([Fault.REFUSE] * MANY)
    next(node for node in site.nodes if leads(node)).process.signal(signal.SIGKILL)
    wait_until(lambda: sum(node.process.is_running for node in site.nodes) == 2, "it has ended")
    become_known(site, client)
    before = len(site.crashes)
    until = time.monotonic() + WATCHED_FOR
    repeat(site, client, lambda: time.monotonic() < until)
    assert len(site.crashes) - before <= MOST_LATER_RUNS
    site.store.faults.clear()


def test_after_an_end_of_all_nodes_it_is_still_known(site: Site, client: httpx.Client) -> None:
    become_known(site, client)
    wait_until(lambda: (QUARANTINE_TABLE, "", "requests") in site.store.rows, "it is recorded")
    for node in site.nodes:
        node.process.signal(signal.SIGKILL)
        node.process.wait()
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
    wait_until(lambda: all(quarantined(node) == 1.0 for node in site.nodes), "it is known")
    before = len(site.crashes)
    until = time.monotonic() + WATCHED_FOR
    repeat(site, client, lambda: time.monotonic() < until)
    assert len(site.crashes) == before


def test_logs_and_figures_of_every_node_tell_of_it(site: Site, client: httpx.Client) -> None:
    become_known(site, client)
    for node in site.nodes:
        assert quarantined(node) == 1.0
        events = [json.loads(line) for line in node.process.log.read_text().splitlines()]
        (began,) = [item for item in events if item["event"] == "quarantine_began"]
        lost = [item for item in events if item.get("fingerprint") == began["fingerprint"]]
        assert all(item["target"] == PATH for item in lost if item["event"] == "attempt_failed")


def test_others_keep_their_back_ends_and_retries(
    site: Site, client: httpx.Client, other_client: httpx.Client
) -> None:
    """Closed ports had used up the retries of others, and one back end after the other was gone."""
    until = time.monotonic() + KNOWN_WITHIN + WATCHED_FOR
    statuses: Counter[int] = Counter()

    def others_ask() -> bool:
        for number in range(10):
            node = site.nodes[number % NODES]
            statuses[site.post(other_client, node, f"/read/{number}", b"other")] += 1
        return time.monotonic() < until

    repeat(site, client, others_ask)
    assert statuses[200] >= 0.95 * statuses.total()


def test_nobody_else_is_refused_for_it(
    site: Site, client: httpx.Client, other_client: httpx.Client
) -> None:
    """Neither who shares its path or its caller, nor what ran beside it."""
    become_known(site, client)
    until = time.monotonic() + WATCHED_FOR
    statuses: Counter[tuple[str, int]] = Counter()

    def others_are_served() -> bool:
        for node in site.nodes:
            statuses["path", site.post(other_client, node, PATH, b"other")] += 1
            statuses["path and caller", site.post(client, node, PATH, b"other")] += 1
            statuses["caller", site.post(client, node, "/read/y", b"other")] += 1
        return time.monotonic() < until

    repeat(site, client, others_are_served)
    assert {status for _, status in statuses} == {200}
