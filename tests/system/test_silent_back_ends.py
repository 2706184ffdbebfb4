"""A back end that accepts connections and never responds, whatever its entry claims."""

from __future__ import annotations

import itertools
import json
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import httpx
import pytest

from tests.system import platform_site

SECONDS = 13.0
FIRST_SECONDS = 3.0
"""Time in which nodes may find out that a back end does not respond."""
REQUEST_INTERVAL = 1.0 / 15
ROUTE_TIMEOUT = 0.6
MIN_FIRST_SHARE = 0.85
MIN_LATER_SHARE = 0.97
BACKLOG = 1024


@contextmanager
def silent_listener() -> Iterator[str]:
    """Accept connections at the address that is returned, and read nothing."""
    with socket.create_server(("127.0.0.1", 0), backlog=BACKLOG) as listener:
        host, port = listener.getsockname()[:2]
        yield f"{host}:{port}"


def entry(address: str, slots: int) -> bytes:
    """Return the entry of a back end of the service without keys."""
    info = {"backend": "plain", "version": "v1", "zone": "z1", "slots": slots}
    status = {"state": "ready", "sequence": 1, "warmup_s_time": 0.0}
    return json.dumps({"address": address, "info": info, "status": status}).encode()


def send_paced(site: platform_site.Site, seconds: float) -> list[tuple[float, int]]:
    """Send requests at an even rate to all nodes in turn; return their times and statuses."""
    outcomes: list[tuple[float, int]] = []
    began = time.monotonic()
    threads = []

    def send(node: platform_site.NodeProcess, at: float) -> None:
        with httpx.Client(timeout=4.0, trust_env=False) as client:
            outcomes.append((at, site.send(client, node, "/plain-safe/x", 0).status_code))

    for number in itertools.count():
        at = number * REQUEST_INTERVAL
        if at >= seconds:
            break
        time.sleep(max(began + at - time.monotonic(), 0.0))
        node = site.nodes[number % len(site.nodes)]
        threads.append(threading.Thread(target=send, args=(node, at)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return outcomes


def served_share(outcomes: list[tuple[float, int]], since: float, until: float) -> float:
    """Return the share of the requests sent in a period that got a status of 200."""
    statuses = [status for at, status in outcomes if since <= at < until]
    return statuses.count(200) / len(statuses)


# Guards against a service that is lost to one back end that does not respond.
@pytest.mark.parametrize("slots", [2, 20, 2_000, 10**9])
def test_requests_are_served_beside_a_back_end_that_never_responds(
    tmp_path: Path, slots: int
) -> None:
    with platform_site.running_site(tmp_path, keyed=1, plain=3) as site, silent_listener() as at:
        safe = {**platform_site.route("/plain-safe/", "plain"), "timeout_s": ROUTE_TIMEOUT}
        site.configure(2, [*platform_site.ROUTES, safe])
        time.sleep(1.0)
        assert served_share(send_paced(site, 1.0), 0.0, 1.0) == 1.0
        site.store.put("servers", "i-silent", entry(at, slots))
        outcomes = send_paced(site, SECONDS)
    assert served_share(outcomes, FIRST_SECONDS, SECONDS) >= MIN_LATER_SHARE
    assert served_share(outcomes, 0.0, FIRST_SECONDS) >= MIN_FIRST_SHARE
