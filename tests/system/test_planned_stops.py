"""Planned stops of all nodes in turn, including the leader, while callers send requests.

No request is refused or cut off for callers that behave as HTTP clients do: they reuse open
connections unless a response asks them to close, and open new ones to nodes that report readiness.
"""

from __future__ import annotations

import itertools
import random
import signal
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import wait_until
from tests.system import platform_site

NODES = 3
KEYED = 4
PLAIN = 2
CALLERS = 4
REQUEST_INTERVAL = 0.03
"""Seconds between two requests of one caller."""
READINESS_CHECK_INTERVAL = 0.1
"""Seconds between two checks of which nodes are ready."""
REQUEST_TIMEOUT_SECONDS = 4.0
REQUESTS_BETWEEN_STOPS = 40
"""Requests that end between two stops."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, KEYED, PLAIN, NODES) as running:
        yield running


class Callers:
    """Callers of all nodes that are ready.

    Attributes
    ----------
    outcomes
        Number of requests by status of the response or name of the error.
    """

    def __init__(self, site: platform_site.Site) -> None:
        self.outcomes: Counter[str] = Counter()
        self._site = site
        self._ready = list(site.nodes)
        self._ended = threading.Event()
        self._lock = threading.Lock()

    @contextmanager
    def calling(self) -> Iterator[None]:
        """Send requests until the block ends."""
        threads = [threading.Thread(target=self._call, args=(number,)) for number in range(CALLERS)]
        threads.append(threading.Thread(target=self._update_ready_nodes))
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()

    def wait_for(self, more: int) -> None:
        """Wait until this many more requests have ended."""
        wanted = self.outcomes.total() + more
        wait_until(lambda: self.outcomes.total() >= wanted, "requests go on")

    def _update_ready_nodes(self) -> None:
        while not self._ended.wait(READINESS_CHECK_INTERVAL):
            self._ready = [node for node in self._site.nodes if node.is_ready()]

    def _call(self, number: int) -> None:
        source = random.Random(number)
        with httpx.Client(timeout=REQUEST_TIMEOUT_SECONDS, trust_env=False) as client:
            for turn in itertools.count():
                if self._ended.wait(REQUEST_INTERVAL):
                    return
                node = source.choice(self._ready)
                path = "/keyed/x" if turn % 2 else "/plain/x"
                key = source.randrange(platform_site.KEYS)
                outcome = self._send(client, node, path, key)
                with self._lock:
                    self.outcomes[outcome] += 1

    def _send(
        self, client: httpx.Client, node: platform_site.NodeProcess, path: str, key: int
    ) -> str:
        try:
            return str(self._site.send(client, node, path, key).status_code)
        except httpx.HTTPError as error:
            return type(error).__name__


def test_planned_stops_of_every_node_in_turn_cut_nothing(site: platform_site.Site) -> None:
    callers = Callers(site)
    with callers.calling():
        callers.wait_for(REQUESTS_BETWEEN_STOPS)
        for number, node in enumerate(list(site.nodes)):
            node.process.signal(signal.SIGTERM)
            assert node.process.wait() == 0
            restarted = site.launch_node(number, 1)
            wait_until(restarted.is_ready, "the node is back")
            site.nodes[number] = restarted
            callers.wait_for(REQUESTS_BETWEEN_STOPS)
    assert callers.outcomes.keys() == {"200"}, callers.outcomes
