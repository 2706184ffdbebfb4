"""Node processes and owners of keys while callers ask for twice what the owners can do."""

from __future__ import annotations

import dataclasses
import itertools
import random
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import anyio
import httpx
import pytest

from tests.system import platform_site
from tests.system.test_crashing_requests import is_leader

NODES = 5
OWNERS = 4
WORK = 0.25
QUEUE_LENGTH = 8
ROOM = OWNERS * platform_site.SLOTS / WORK
"""Requests per second that the owners can do."""
URGENT_RATE = 0.35 * ROOM
CALM_RATE = 0.25 * ROOM
BURST_RATE = 2.0 * ROOM - URGENT_RATE
CALM_SECONDS = 4.0
BURST_SECONDS = 5.0
KNOWN_AFTER = 1.0
"""Seconds from the beginning of the burst until nodes know of it."""
OBJECTIVES = {"/urgent/": 0.8, "/bulk/": 1.4}
DEADLINE = 1.9
MAX_OBEYED_FRACTION = 1.0 / 3.0
URGENT_IN_TIME = 0.95
KEYS = random.Random(1).sample(range(platform_site.KEYS), 997)


@dataclasses.dataclass(frozen=True)
class CallerResult:
    """What one caller got; `began` and `took` count from its first attempt, in seconds."""

    path: str
    began: float
    took: float
    is_served: bool


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, OWNERS, 0, NODES) as running:
        for upstream in running.upstreams:
            upstream.service_seconds = WORK
            upstream.queue_length = QUEUE_LENGTH
        routes = [platform_site.route(path, "keyed") for path in OBJECTIVES]
        for route, priority in zip(routes, (0, 2), strict=True):
            route["priority"] = priority
            route["target_latency_s"] = OBJECTIVES[route["path_prefix"]]
        running.configure(2, routes)
        yield running


class Callers:
    """Callers who come at a rate, whatever happens to others, and return once if refused."""

    def __init__(self, site: platform_site.Site) -> None:
        self.results: list[CallerResult] = []
        self.refused: list[str] = []
        self._site = site
        self._keys = itertools.cycle(KEYS)
        self._turns = itertools.count()

    async def come(self, rate_at: Callable[[float], dict[str, float]], seconds: float) -> None:
        """Send requests for a time; `rate_at` returns the rates by path at a time."""
        began = time.monotonic()
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
        async with (
            httpx.AsyncClient(timeout=4.0, trust_env=False, limits=limits) as client,
            anyio.create_task_group() as tasks,
        ):
            for path in OBJECTIVES:
                tasks.start_soon(self._come_on, client, path, rate_at, began, seconds)

    async def _come_on(
        self,
        client: httpx.AsyncClient,
        path: str,
        rate_at: Callable[[float], dict[str, float]],
        began: float,
        seconds: float,
    ) -> None:
        due = 0.0
        async with anyio.create_task_group() as tasks:
            while due < seconds:
                await anyio.sleep(max(began + due - time.monotonic(), 0.0))
                tasks.start_soon(self._call, client, path, began)
                due += 1.0 / rate_at(due)[path]

    async def _call(self, client: httpx.AsyncClient, path: str, epoch: float) -> None:
        began = time.monotonic()
        status = 0
        for is_last in (False, True):
            status, retry_after = await self._attempt(client, path, began)
            left = began + DEADLINE - time.monotonic()
            if status != httpx.codes.SERVICE_UNAVAILABLE or is_last or left <= 0.0:
                break
            await anyio.sleep(min(retry_after, MAX_OBEYED_FRACTION * left))
        took = time.monotonic() - began
        self.results.append(CallerResult(path, began - epoch, took, status == httpx.codes.OK))

    async def _attempt(
        self, client: httpx.AsyncClient, path: str, began: float
    ) -> tuple[int, float]:
        running = [node for node in self._site.nodes if node.process.is_running]
        node = running[next(self._turns) % len(running)]
        left_ms = max(int((began + DEADLINE - time.monotonic()) * 1000), 1)
        headers = {**self._site.headers(next(self._keys)), "x-deadline-ms": str(left_ms)}
        try:
            response = await client.get(f"http://{node.callers}{path}x", headers=headers)
        except httpx.HTTPError:
            return 0, 0.0
        if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            self.refused.append(headers["x-attempt-id"])
        return response.status_code, float(response.headers.get("retry-after", 0.1))

    def of(self, path: str, since: float, until: float) -> list[CallerResult]:
        """Return the results of callers of a path that began in a time."""
        return [item for item in self.results if item.path == path and since <= item.began < until]

    def in_time(self, path: str, since: float, until: float) -> float:
        """Return the part of them that were served within the objective."""
        found = self.of(path, since, until)
        return sum(item.is_served and item.took <= OBJECTIVES[path] for item in found) / len(found)


def rates(at: float) -> dict[str, float]:
    is_burst = CALM_SECONDS <= at < CALM_SECONDS + BURST_SECONDS
    return {"/urgent/": URGENT_RATE, "/bulk/": BURST_RATE if is_burst else CALM_RATE}


@pytest.mark.parametrize("kills_leader", [False, True], ids=["all-well", "leader-killed"])
def test_urgent_requests_are_served_in_time_at_twice_the_room(
    site: platform_site.Site, kills_leader: bool
) -> None:
    callers = Callers(site)
    ended = CALM_SECONDS + BURST_SECONDS

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.come, rates, ended + 2.0)
            await anyio.sleep(CALM_SECONDS + BURST_SECONDS / 2.0)
            if kills_leader:
                leads = next(node for node in site.nodes if is_leader(node))
                leads.process.signal(signal.SIGKILL)

    anyio.run(play)
    known = CALM_SECONDS + KNOWN_AFTER
    counts = {
        path: [
            sum(item.is_served for item in callers.of(path, second, second + 1.0))
            for second in range(int(CALM_SECONDS), int(ended))
        ]
        for path in OBJECTIVES
    }
    runs = Counter(request for request, _ in site.runs)
    assert [request for request in callers.refused if runs[request]] == []
    assert all(min(served) > 0 for served in counts.values()), counts
    assert callers.in_time("/urgent/", known, ended) >= URGENT_IN_TIME, counts
    assert callers.in_time("/urgent/", known, ended) >= callers.in_time("/bulk/", known, ended)
