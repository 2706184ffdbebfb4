"""Planned stops of every node in turn, the leader among them, while callers go on.

Nothing is refused and nothing is cut, for callers that behave as HTTP clients do: they use open
connections again unless an answer asks them to close, and open new ones to nodes that say that they
are ready.
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
PAUSE = 0.03
"""Seconds between two requests of one caller."""
LOOK_INTERVAL = 0.1
"""Seconds between two looks at which nodes are ready."""
PATIENCE = 4.0
BETWEEN = 40
"""Requests that are answered between two stops."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, KEYED, PLAIN, NODES) as running:
        yield running


class Callers:
    """Callers of all nodes that are ready.

    Attributes
    ----------
    endings
        How many requests had which status, or which error.
    """

    def __init__(self, site: platform_site.Site) -> None:
        self.endings: Counter[str] = Counter()
        self._site = site
        self._ready = list(site.nodes)
        self._ended = threading.Event()
        self._lock = threading.Lock()

    @contextmanager
    def calling(self) -> Iterator[None]:
        """Call until the block ends."""
        threads = [threading.Thread(target=self._call, args=(number,)) for number in range(CALLERS)]
        threads.append(threading.Thread(target=self._look))
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()

    def wait_for(self, more: int) -> None:
        """Wait until so many more requests have ended."""
        wanted = self.endings.total() + more
        wait_until(lambda: self.endings.total() >= wanted, "requests go on")

    def _look(self) -> None:
        while not self._ended.wait(LOOK_INTERVAL):
            self._ready = [node for node in self._site.nodes if node.is_ready()]

    def _call(self, number: int) -> None:
        source = random.Random(number)
        with httpx.Client(timeout=PATIENCE, trust_env=False) as client:
            for turn in itertools.count():
                if self._ended.wait(PAUSE):
                    return
                node = source.choice(self._ready)
                path = "/keyed/x" if turn % 2 else "/plain/x"
                key = source.randrange(platform_site.KEYS)
                ending = self._send(client, node, path, key)
                with self._lock:
                    self.endings[ending] += 1

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
        callers.wait_for(BETWEEN)
        for number, node in enumerate(list(site.nodes)):
            node.process.signal(signal.SIGTERM)
            assert node.process.wait() == 0
            following = site.start_life(number, 1)
            wait_until(following.is_ready, "the node is back")
            site.nodes[number] = following
            callers.wait_for(BETWEEN)
    assert callers.endings.keys() == {"200"}, callers.endings
