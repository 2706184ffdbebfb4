"""Entries of another writer among those of back ends: no node ends or sends a request there."""

from __future__ import annotations

import itertools
import json
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest

from tests.system import platform_site

NODES = 5
"""More than keep feeds of the store: the others are sent changes by the leader."""
ODD_SECONDS = 3.0
REQUESTS_PER_ROUND = 2 * NODES
SETTLING_SECONDS = 1.5
LOOPBACK = "127.0.0.1"
DEEP = 5_000
FIELDS = (
    *("address", "backend", "version", "zone", "slots"),
    *("state", "sequence", "warmup_s_time", "born", "info", "status"),
)
NESTED: list[object] = json.loads("[" * 200 + "]" * 200)
ODD_VALUES: tuple[object, ...] = (10**400, -(2**64), 2**64, 1e300, True, None, "2", [], {}, NESTED)
VALID = (("backend", "2"), ("version", "2"), ("zone", "2"), ("born", None))
"""Fields with odd values that an entry may have."""


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[platform_site.Site]:
    folder: Path = tmp_path_factory.mktemp("site")
    with platform_site.running_site(folder, nodes=NODES) as running:
        yield running


@pytest.fixture
def trap() -> Iterator[socket.socket]:
    """Listen where requests arrive if an invalid address is not refused."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        listener.setblocking(False)
        yield listener


def entry(at: object, service: str, **changed: object) -> bytes:
    """Return an entry that is valid but for its address and what is changed."""
    info: dict[str, Any] = {"backend": service, "version": "v1", "zone": "z1", "slots": 2}
    status: dict[str, Any] = {"state": "ready", "sequence": 1, "warmup_s_time": 0.0}
    body: dict[str, Any] = {"address": at, "info": info, "status": status}
    for name, value in changed.items():
        part = next((part for part in (info, status) if name in part), body)
        part[name] = value
    return json.dumps(body).encode()


def addresses_out_of_range(port: int) -> list[str]:
    """Return addresses that lead to a port of this machine if they are not refused."""
    return [
        f"{LOOPBACK}:{port + 65_536}",
        f"{LOOPBACK}:{port + 65_536 * 10**6}",
        f"{LOOPBACK}:{port - 65_536}",
        f"0.0.0.0:{port}",
        f"0177.0.0.1:{port}",
        f"127.1:{port}",
        f"localhost:{port}",
        f"383.0.0.1:{port}",
    ]


def odd_entries(port: int, service: str) -> list[bytes]:
    """Return entries with nesting, numbers and addresses that no back end writes."""
    found = [entry(address, service) for address in addresses_out_of_range(port)]
    sound = f"{LOOPBACK}:{port}"
    for field, value in itertools.product(FIELDS, ODD_VALUES):
        if (field, value) not in VALID:
            found.append(entry(sound, service, **{field: value}))
    found.append(entry(sound, service, zone="z" * 60_000))
    found += [
        b'{"labels":' + b"[" * DEEP,
        b"[" * DEEP + b"]" * DEEP,
        b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        entry(sound, service)[:-1] + b',"born":' + b"9" * 5_000 + b"}",
        entry(sound, service)[:-1] + b',"born":1e400}',
    ]
    return found


def send_for(site: platform_site.Site, path: str, seconds: float) -> list[int]:
    """Send requests to all nodes in turn; return the statuses."""
    statuses = []
    deadline = time.monotonic() + seconds
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        while time.monotonic() < deadline:
            for number in range(REQUESTS_PER_ROUND):
                node = site.nodes[number % NODES]
                statuses.append(site.send(client, node, path, number * 5_000).status_code)
    return statuses


# Guards against callers' requests at a process that no entry names, and against nodes that end.
@pytest.mark.parametrize(("service", "path"), [("plain", "/plain/x"), ("keyed", "/keyed-once/x")])
def test_odd_entries_end_no_node_and_receive_no_request(
    site: platform_site.Site, trap: socket.socket, service: str, path: str
) -> None:
    keys = []
    for number, value in enumerate(odd_entries(trap.getsockname()[1], service)):
        keys.append(f"i-odd-{service}-{number}")
        site.store.put("servers", keys[-1], value)
    statuses = send_for(site, path, ODD_SECONDS)
    for key in keys:
        site.store.drop("servers", "", key)
    assert all(node.process.is_running for node in site.nodes)
    assert set(statuses) == {200}
    with pytest.raises(BlockingIOError):
        trap.accept()


# Guards against nodes that no longer follow the table after an entry that cannot be read.
def test_all_nodes_follow_the_table_beside_odd_entries(
    site: platform_site.Site, trap: socket.socket
) -> None:
    for number, value in enumerate(odd_entries(trap.getsockname()[1], "plain")):
        site.store.put("servers", f"i-odd-{number}", value)
    leaving = next(upstream for upstream in site.upstreams if not upstream.keyed)
    leaving.draining = True
    site.list_upstream(leaving)
    time.sleep(SETTLING_SECONDS)
    known = len(site.runs)
    statuses = send_for(site, "/plain/x", ODD_SECONDS)
    leaving.draining = False
    site.list_upstream(leaving)
    assert set(statuses) == {200}
    assert leaving.name not in {name for _, name in site.runs[known:]}
    feeds = [_last_feed(node) for node in site.nodes]
    assert "none" in feeds and "lasting" in feeds


def _last_feed(node: platform_site.NodeProcess) -> str:
    lines = [json.loads(line) for line in node.process.log.read_text().splitlines() if line]
    feeds = (line["feeds"] for line in reversed(lines) if line.get("event") == "feed")
    return next(feeds, "none")
