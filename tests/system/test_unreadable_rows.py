"""Rows that cannot be read, in each table that nodes read: no node ends, and the row is named."""

from __future__ import annotations

import base64
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from limedeck.api.control_pb2 import LeaderRecord
from limedeck_lab.processes import wait_until
from tests.system import platform_site

UNREADABLE_SECONDS = 2.0
GARBAGE = b"\xff" + b"[" * 2000


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[platform_site.Site]:
    folder: Path = tmp_path_factory.mktemp("site")
    with platform_site.running_site(folder) as running:
        yield running


def replace_node(site: platform_site.Site, number: int) -> list[str]:
    """Kill a node and start it anew; return the nodes that have ended a while later.

    A node that starts reads all tables; if the leader was killed, so does the next one.
    """
    site.nodes[number].process.signal(signal.SIGKILL)
    site.nodes[number].process.wait()
    site.restart_nodes()
    time.sleep(UNREADABLE_SECONDS)
    return [node.settings.name for node in site.nodes if not node.process.is_running]


@pytest.mark.parametrize(
    ("table", "key"),
    [
        ("limedeck_leader", "leader"),
        ("limedeck_leader", "confirmation"),
        ("limedeck_assignment", "keyed"),
        ("limedeck_quarantine", "requests"),
        ("servers", "i-of-another-writer"),
        ("op", "config"),
    ],
    ids=lambda value: value,
)
def test_row_that_cannot_be_read_ends_no_node(
    site: platform_site.Site, table: str, key: str
) -> None:
    former = site.store.rows.get((table, "", key))
    site.store.put(table, key, GARBAGE)
    ended = [name for number in range(len(site.nodes)) for name in replace_node(site, number)]
    if former is None:
        site.store.drop(table, "", key)
    else:
        site.store.put(table, key, base64.b64decode(former[0]))
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
    wait_until(site.all_keys_are_owned, "all keys have owners")
    assert ended == []
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for node in site.nodes:
            for path in ("/keyed/x", "/plain/x"):
                assert site.send(client, node, path, 5).status_code == 200


# Guards against nodes that end because the leader's record names no address to connect to.
@pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:70000", "127.0.0.1:port"])
def test_leader_record_with_an_invalid_address_ends_no_node(
    site: platform_site.Site, address: str
) -> None:
    key = ("limedeck_leader", "", "leader")
    ended = []
    for number in range(len(site.nodes)):
        record = base64.b64decode(site.store.rows[key][0])
        spoilt = LeaderRecord.FromString(record)
        spoilt.peer_address = address
        site.store.put("limedeck_leader", "leader", spoilt.SerializeToString())
        ended += replace_node(site, number)
        if base64.b64decode(site.store.rows[key][0]) == spoilt.SerializeToString():
            site.store.put("limedeck_leader", "leader", record)
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
    wait_until(site.all_keys_are_owned, "all keys have owners")
    assert ended == []
    assert site.ownership_conflicts == []


# Guards against a service without a leader until an operator repairs the leader's row.
@pytest.mark.parametrize("value", [GARBAGE, None], ids=["unreadable", "dropped"])
def test_leader_whose_record_is_lost_is_elected_again(
    site: platform_site.Site, value: bytes | None
) -> None:
    key = ("limedeck_leader", "", "leader")
    term = LeaderRecord.FromString(base64.b64decode(site.store.rows[key][0])).term
    if value is None:
        site.store.drop(*key)
    else:
        site.store.put(key[0], key[2], value)

    def is_elected_again() -> bool:
        row = site.store.rows.get(key)
        if row is None or base64.b64decode(row[0]) == value:
            return False
        return LeaderRecord.FromString(base64.b64decode(row[0])).term > term

    wait_until(is_elected_again, "a leader is elected")
    wait_until(site.all_keys_are_owned, "all keys have owners")
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for node in site.nodes:
            assert site.send(client, node, "/keyed/x", 5).status_code == 200
    assert site.ownership_conflicts == []
