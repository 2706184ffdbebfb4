"""A request that crashes each back end which runs it.

Guards against one request taking down a service: its caller sends it again, to another node and
under another id, and the next back end crashes, so that look-ups of the service fail for a second
or two, again and again, a tenth of them at a time. The other requests that these back ends were
running are lost as well, and attempts at their closed ports use up the retry budget of others.
This comes about if a node remembers nothing of a request beyond its response, and nodes exchange
nothing about requests. The sign in the logs: back ends of one service end every few seconds while
they run requests, never two at once and none twice.
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
    CRASH_MARKER,
    ROUTES,
    NodeProcess,
    Site,
    route,
    running_site,
)

NODES = 3
PLAIN = 14
RETRY_DELAY = 0.3
"""Seconds between two attempts of the caller whose request crashes back ends."""
QUARANTINE_SECONDS = 3.0
"""Seconds after the third crash until all nodes have quarantined the request."""
OBSERVATION_SECONDS = 8.0
"""Seconds after that in which later crashes are counted."""
MAX_LATER_CRASHES = 3
STORE_FAULTS = 100_000
"""Number of store calls to refuse: more than any of these tests makes."""
QUARANTINE_TABLE = "limedeck_quarantine"
PATH = "/read/x"
KEYED_PATH = "/keyed/x"
UNSAFE_PATH = "/plain/x"
OTHER_CALLER_ADDRESS = "127.0.0.7"


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
    with httpx.Client(timeout=5.0) as open_client:
        yield open_client


@pytest.fixture
def other_client() -> Iterator[httpx.Client]:
    """Another caller, with a different address."""
    with httpx.Client(
        transport=httpx.HTTPTransport(local_address=OTHER_CALLER_ADDRESS)
    ) as open_client:
        yield open_client


def metric(node: NodeProcess, name: str) -> float:
    """Return the value of a node's metric that has no labels; 0 if it is absent."""
    for line in httpx.get(f"http://{node.readiness}/metrics").text.splitlines():
        if line.startswith(f"{name} "):
            return float(line.rpartition(" ")[2])
    return 0.0


def is_leader(node: NodeProcess) -> bool:
    return metric(node, "limedeck_leads") == 1.0


def quarantined_requests(node: NodeProcess) -> float:
    return metric(node, "limedeck_quarantined_requests")


def repeat_crashing_request(
    site: Site, client: httpx.Client, should_continue: Callable[[], bool], path: str = PATH
) -> Counter[int]:
    """Send the request that crashes back ends to the nodes in turn; count its statuses."""
    statuses: Counter[int] = Counter()
    for node in itertools.cycle(site.nodes):
        if not should_continue():
            return statuses
        if not node.process.is_running:
            continue
        statuses[site.post(client, node, path, CRASH_MARKER)] += 1
        time.sleep(RETRY_DELAY)
    raise AssertionError


def repeat_until_quarantined(site: Site, client: httpx.Client, path: str = PATH) -> None:
    """Repeat the request until all nodes must have quarantined it."""

    def must_be_quarantined() -> bool:
        if len(site.crashes) < 3:
            return False
        return time.monotonic() > site.crashes[2].at + QUARANTINE_SECONDS

    repeat_crashing_request(site, client, lambda: not must_be_quarantined(), path)


def test_request_that_crashed_three_back_ends_is_quarantined(
    site: Site, client: httpx.Client
) -> None:
    repeat_until_quarantined(site, client)
    earlier_crashes = len(site.crashes)
    end = time.monotonic() + OBSERVATION_SECONDS
    repeat_crashing_request(site, client, lambda: time.monotonic() < end)
    assert len(site.crashes) - earlier_crashes <= MAX_LATER_CRASHES


def test_keyed_request_that_crashes_owners_is_quarantined(site: Site, client: httpx.Client) -> None:
    """The request waits for each new owner of its key, so crashes are some seconds apart."""
    repeat_until_quarantined(site, client, KEYED_PATH)
    earlier_crashes = len(site.crashes)
    end = time.monotonic() + OBSERVATION_SECONDS
    repeat_crashing_request(site, client, lambda: time.monotonic() < end, KEYED_PATH)
    assert len(site.crashes) - earlier_crashes <= MAX_LATER_CRASHES
    assert site.ownership_conflicts == []


def test_unsafe_request_is_quarantined_when_its_caller_repeats_it(
    site: Site, client: httpx.Client
) -> None:
    """No node retries it: each attempt of its caller crashes one back end, outcome unknown."""
    repeat_until_quarantined(site, client, UNSAFE_PATH)
    earlier_crashes = len(site.crashes)
    end = time.monotonic() + OBSERVATION_SECONDS
    statuses = repeat_crashing_request(site, client, lambda: time.monotonic() < end, UNSAFE_PATH)
    assert len(site.crashes) - earlier_crashes <= MAX_LATER_CRASHES
    assert set(statuses) == {503}
    assert max(Counter(request for request, _ in site.runs).values()) == 1


def test_nodes_quarantine_a_request_without_leader_and_store(
    site: Site, client: httpx.Client
) -> None:
    """No leader can be elected; unless nodes exchange crashes, each loses three back ends."""
    site.store.faults.extend([Fault.REFUSE] * STORE_FAULTS)
    next(node for node in site.nodes if is_leader(node)).process.signal(signal.SIGKILL)
    wait_until(
        lambda: sum(node.process.is_running for node in site.nodes) == 2, "the leader has ended"
    )
    repeat_until_quarantined(site, client)
    earlier_crashes = len(site.crashes)
    end = time.monotonic() + OBSERVATION_SECONDS
    repeat_crashing_request(site, client, lambda: time.monotonic() < end)
    assert len(site.crashes) - earlier_crashes <= MAX_LATER_CRASHES
    site.store.faults.clear()


def test_quarantine_survives_a_restart_of_all_nodes(site: Site, client: httpx.Client) -> None:
    repeat_until_quarantined(site, client)
    wait_until(
        lambda: (QUARANTINE_TABLE, "", "requests") in site.store.rows, "the quarantine is recorded"
    )
    for node in site.nodes:
        node.process.signal(signal.SIGKILL)
        node.process.wait()
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
    wait_until(
        lambda: all(quarantined_requests(node) == 1.0 for node in site.nodes),
        "all nodes have restored the quarantine",
    )
    earlier_crashes = len(site.crashes)
    end = time.monotonic() + OBSERVATION_SECONDS
    repeat_crashing_request(site, client, lambda: time.monotonic() < end)
    assert len(site.crashes) == earlier_crashes


def test_every_node_reports_the_quarantine_in_log_and_metrics(
    site: Site, client: httpx.Client
) -> None:
    repeat_until_quarantined(site, client)
    for node in site.nodes:
        assert quarantined_requests(node) == 1.0
        events = [json.loads(line) for line in node.process.log.read_text().splitlines()]
        (began,) = [item for item in events if item["event"] == "quarantine_began"]
        lost = [item for item in events if item.get("fingerprint") == began["fingerprint"]]
        assert all(item["target"] == PATH for item in lost if item["event"] == "attempt_failed")


def test_others_keep_their_back_ends_and_retries(
    site: Site, client: httpx.Client, other_client: httpx.Client
) -> None:
    """Attempts at closed ports used up the retries of others as back ends crashed in turn."""
    end = time.monotonic() + QUARANTINE_SECONDS + OBSERVATION_SECONDS
    statuses: Counter[int] = Counter()

    def send_other_requests() -> bool:
        for number in range(10):
            node = site.nodes[number % NODES]
            statuses[site.post(other_client, node, f"/read/{number}", b"other")] += 1
        return time.monotonic() < end

    repeat_crashing_request(site, client, send_other_requests)
    assert statuses[200] >= 0.95 * statuses.total()


def test_quarantine_refuses_no_other_request(
    site: Site, client: httpx.Client, other_client: httpx.Client
) -> None:
    """Requests with its path, its caller or both, and requests that ran with it, are served."""
    repeat_until_quarantined(site, client)
    end = time.monotonic() + OBSERVATION_SECONDS
    statuses: Counter[tuple[str, int]] = Counter()

    def send_other_requests() -> bool:
        for node in site.nodes:
            statuses["path", site.post(other_client, node, PATH, b"other")] += 1
            statuses["path and caller", site.post(client, node, PATH, b"other")] += 1
            statuses["caller", site.post(client, node, "/read/y", b"other")] += 1
        return time.monotonic() < end

    repeat_crashing_request(site, client, send_other_requests)
    assert {status for _, status in statuses} == {200}
