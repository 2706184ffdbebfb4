"""Node processes on a stand-in of the users' platform, from request to response."""

from __future__ import annotations

import json
import signal
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import ManagedProcess, wait_until
from tests.system.platform_site import ROUTES, Site, route, running_site


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with running_site(tmp_path) as running:
        yield running
        assert running.ownership_conflicts == []


@pytest.fixture
def client() -> Iterator[httpx.Client]:
    with httpx.Client(timeout=5.0) as open_client:
        yield open_client


KEY_STEP = 40_503
"""Distance of successive keys: 0.618 of the key space, to spread any number over all owners.

If keys lay close together, load balancing would move some of them to another owner in any test."""


def send_many(site: Site, client: httpx.Client, count: int) -> Counter[int]:
    """Send requests of both services to all running nodes; check that responses match them."""
    statuses: Counter[int] = Counter()
    running = [node for node in site.nodes if node.process.is_running]
    for number in range(count):
        node = running[number % len(running)]
        path = "/keyed/x" if number % 2 else "/plain/x"
        response = site.send(client, node, path, number * KEY_STEP % 65_536)
        statuses[response.status_code] += 1
        if response.status_code == 200:
            assert response.content == f"{site.sent:016x}:".encode()
            assert response.headers["x-attempt-id"] == f"{site.sent:016x}"
    return statuses


def leader_of(site: Site) -> ManagedProcess:
    """Return the process of the node whose metrics report it as leader."""
    for node in site.nodes:
        if node.process.is_running:
            metrics = httpx.get(f"http://{node.readiness}/metrics").text
            if "limedeck_leads 1.0" in metrics:
                return node.process
    raise AssertionError("no node reports itself as leader")


def test_requests_of_both_kinds_are_served_by_every_node(site: Site, client: httpx.Client) -> None:
    assert send_many(site, client, 60) == {200: 60}
    assert max(Counter(request for request, _ in site.runs).values()) == 1
    assert {name for _, name in site.runs} == {upstream.name for upstream in site.upstreams}
    missing = site.send(client, site.nodes[0], "/none/x", 5)
    assert missing.status_code == 404


def test_new_configuration_is_in_force_on_every_node(site: Site, client: httpx.Client) -> None:
    site.configure(2, [*ROUTES, route("/new/", "plain")])

    def in_force() -> bool:
        return all(site.send(client, node, "/new/x", 1).status_code == 200 for node in site.nodes)

    wait_until(in_force, "the new route is served")
    site.store.put("op", "config", b'{"version": 3, "routes": 7}')
    site.configure(2, ROUTES)
    assert in_force()


def test_draining_upstream_loses_its_keys_without_a_failed_request(
    site: Site, client: httpx.Client
) -> None:
    leaving = site.upstreams[0]
    leaving.draining = True
    site.list_upstream(leaving)
    statuses: Counter[int] = Counter()

    def has_moved() -> bool:
        statuses.update(send_many(site, client, 12))
        return not leaving.held and site.all_keys_are_owned()

    wait_until(has_moved, "the keys of the draining upstream have moved")
    statuses.update(send_many(site, client, 30))
    assert set(statuses) == {200}


def test_keys_of_an_unresponsive_upstream_get_another_owner(
    site: Site, client: httpx.Client
) -> None:
    silent = site.upstreams[1]
    silent.silent = True
    others = [item for item in site.upstreams if item.keyed and item is not silent]

    def have_moved() -> bool:
        return all(any(item.holds(key) for item in others) for key in range(0, 65_536, 1024))

    wait_until(have_moved, "its keys have other owners")
    wait_until(
        lambda: set(send_many(site, client, 20)) == {200}, "all requests are served without it"
    )


def test_a_killed_leader_is_replaced_and_no_key_moves(site: Site, client: httpx.Client) -> None:
    send_many(site, client, 20)
    before = {item.name: sorted(item.held) for item in site.upstreams if item.keyed}
    leader = leader_of(site)
    leader.signal(signal.SIGKILL)
    leader.wait()
    wait_until(lambda: leader_of_or_none(site) is not None, "another node leads")
    wait_until(site.all_keys_are_owned, "all keys have owners")
    assert set(send_many(site, client, 20)) == {200}
    assert {item.name: sorted(item.held) for item in site.upstreams if item.keyed} == before


def leader_of_or_none(site: Site) -> ManagedProcess | None:
    try:
        return leader_of(site)
    except AssertionError:
        return None


def test_planned_stop_cuts_off_no_request(site: Site, client: httpx.Client) -> None:
    stopping = site.nodes[0]
    assert site.send(client, stopping, "/keyed/x", 7).status_code == 200
    stopping.process.signal(signal.SIGTERM)
    wait_until(lambda: not stopping.is_ready(), "the node is not ready")
    served = 0
    while stopping.process.is_running:
        try:
            response = site.send(client, stopping, "/keyed/x", 7)
        except httpx.ConnectError:
            break
        assert response.status_code in (200, 503)
        assert response.headers["connection"] == "close"
        served += response.status_code == 200
    assert stopping.process.wait() == 0
    assert served > 0
    wait_until(lambda: set(send_many(site, client, 20)) == {200}, "the others serve")


def test_failed_request_is_logged(site: Site, client: httpx.Client, tmp_path: Path) -> None:
    for upstream in site.upstreams:
        if not upstream.keyed:
            upstream.silent = True
    response = site.send(client, site.nodes[0], "/plain/x", 1)
    assert response.status_code == 504
    request = f"{site.sent:016x}"
    lines = [json.loads(line) for line in log_lines(tmp_path, "node-0-0")]
    events = [line for line in lines if line.get("request") == request]
    assert [line["event"] for line in events] == ["attempt_failed", "given_up"]
    assert events[0]["phase"] == "awaiting"
    assert (events[1]["outcome"], events[1]["reason"]) == ("unknown", "timed-out")


def log_lines(folder: Path, name: str) -> list[str]:
    """Return the log lines that a node wrote to its standard output."""
    text = "".join(file.read_text() for file in folder.glob(f"{name}*") if file.suffix != ".toml")
    return [line for line in text.splitlines() if line.startswith("{")]


@pytest.mark.parametrize("by_signal", [True, False], ids=["signal", "file-alone"])
def test_changed_settings_are_reloaded_without_a_failed_request(
    site: Site, client: httpx.Client, tmp_path: Path, by_signal: bool
) -> None:
    node = site.nodes[0]
    text = node.settings.read_text()
    node.settings.write_text(text.replace("slack = 60", "slack = 600").replace("z1", "z2"))
    if by_signal:
        node.process.signal(signal.SIGHUP)
    assert send_many(site, client, 60) == {200: 60}

    def reloads() -> list[tuple[list[str], list[str]]]:
        lines = [json.loads(line) for line in log_lines(tmp_path, "node-0-0")]
        found = [line for line in lines if line["event"] == "reloaded"]
        return [(line["taken_up"], line["waiting_for_restart"]) for line in found]

    wait_until(lambda: reloads() == [(["retries"], ["node"])], "the settings are reloaded")
    assert node.is_ready()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_a_planned_stop_cuts_off_no_request(
    site: Site, client: httpx.Client, number: signal.Signals
) -> None:
    """A SIGHUP after the SIGTERM ended the process at once on vetagenda-ne-grown, scale-1."""
    node = site.nodes[0]
    node.process.signal(signal.SIGTERM)
    wait_until(lambda: not node.is_ready(), "the node is stopping")
    node.process.signal(number)
    response = site.send(client, node, "/plain/x", 1)
    assert response.status_code == 200
    assert node.process.wait() == 0


def test_invalid_settings_are_rejected(tmp_path: Path, site: Site) -> None:
    from limedeck.errors import InvalidSetting
    from limedeck.node.settings import load_node_settings

    good = site.nodes[0].settings.read_text()
    for name, text in {
        "missing": good.replace('zone = "z1"', ""),
        "wrong": good.replace("grace = 4", 'grace = "long"'),
        "negative": good.replace("grace = 4", "grace = -1"),
        "not-toml": "node = [",
    }.items():
        file = tmp_path / f"{name}-settings"
        file.write_text(text)
        with pytest.raises(InvalidSetting):
            load_node_settings(str(file))
