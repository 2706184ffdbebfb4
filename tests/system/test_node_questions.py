"""Operators' queries to node processes, by the command line."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest
from cleo.testers.application_tester import ApplicationTester

from limedeck.cli.application import build_application
from limedeck.ownership.election_events import (
    Suspicion,
)
from limedeck_lab.processes import wait_until
from tests.system import platform_site
from tests.system.test_crashing_requests import is_leader

NODES = 3
KEYED = 3
PLAIN = 2
STATED_LIMIT = 3.2
"""Requests per second."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, KEYED, PLAIN, NODES) as running:
        yield running


def limedeck(node: platform_site.NodeProcess, command: str) -> ApplicationTester:
    tester = ApplicationTester(build_application())
    tester.execute(f"{command} --node {node.readiness}")
    return tester


def query(node: platform_site.NodeProcess, command: str) -> Any:
    return json.loads(limedeck(node, f"{command} --output json").io.fetch_output())


def test_all_nodes_report_the_leader_and_why_it_was_elected(
    site: platform_site.Site,
) -> None:
    leader = next(node for node in site.nodes if is_leader(node))
    statuses = [query(node, "node status") for node in site.nodes]
    assert len({item["leader"]["node"] for item in statuses}) == 1
    (why,) = {item["leader"]["why"] for item in statuses}
    assert why in {item.value for item in Suspicion}
    assert [item["node"] for item in statuses if item["leads"]] == [statuses[0]["leader"]["node"]]
    term = statuses[0]["leader"]["term"]
    leader.process.signal(signal.SIGKILL)
    others = [node for node in site.nodes if node is not leader]
    wait_until(lambda: any(is_leader(node) for node in others), "another node leads")
    wait_until(
        lambda: all(query(node, "node status")["leader"]["term"] > term for node in others),
        "all nodes know the new leader",
    )
    later = query(others[0], "node status")["leader"]
    assert later["why"] in ("silent", "denied")
    output = limedeck(others[0], "node status").io.fetch_output()
    assert f"leader {later['node']}, term {later['term']}" in output
    assert "the one before was" in output


def test_key_is_located_at_the_back_end_that_runs_its_requests(site: platform_site.Site) -> None:
    node = site.nodes[0]
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        assert site.send(client, node, "/keyed/x", 777).status_code == 200
    owner = site.runs[-1][1]
    found = query(node, "node locate keyed 777")
    assert found["owner"]["backend"] == owner
    assert found["range"]["first"] <= 777 <= found["range"]["last"]
    assert f"key 777 of keyed, in {found['range']['first']}" in (
        limedeck(node, "node locate keyed 777").io.fetch_output()
    )
    owners = {item["owner"] for item in query(node, "node assignment keyed")["ranges"]}
    assert owners == {item.name for item in site.upstreams if item.keyed}
    assert "33." in limedeck(node, "node assignment keyed").io.fetch_output()


def test_limited_back_end_is_shown_with_its_rate_bound(site: platform_site.Site) -> None:
    limited = next(item for item in site.upstreams if not item.keyed)
    limited.state_limit(b"%g" % STATED_LIMIT)
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for _ in range(30):
            site.send(client, site.nodes[0], "/plain/x", 1)

    def status_of(node: platform_site.NodeProcess) -> Any:
        backends = query(node, "node status")["backends"]
        return next(item for item in backends if item["backend"] == limited.name)

    for node in site.nodes:
        wait_until(lambda node=node: status_of(node)["bound"] == STATED_LIMIT, "limit is known")  # type: ignore[misc]
    assert status_of(site.nodes[-1])["conditions"] == ["limited"]


def test_failing_queries_have_their_exit_codes(site: platform_site.Site) -> None:
    node = site.nodes[0]
    assert limedeck(node, "node locate plain 1").status_code == 3
    assert limedeck(node, "node locate keyed nothing").status_code == 3
    assert limedeck(node, "node status --output xml").status_code == 2
    tester = ApplicationTester(build_application())
    assert tester.execute("node status --node 127.0.0.1:1") == 1
    assert "127.0.0.1:1" in tester.io.fetch_error()
