"""Callers that send requests at a fixed rate to all running nodes in turn."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence

import httpx

from tests.soak import statement_judging
from tests.system import platform_site

THREADS = 4
REQUEST_TIMEOUT_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class CallResult:
    """The result of one request.

    Parameters
    ----------
    node
        Address of the node for its callers.
    sent_at
        On the test's clock, in seconds.
    took
        Seconds until the response, or until the caller gave up.
    status
        Status of the response; zero: no response.
    """

    request: str
    node: str
    sent_at: float
    took: float
    status: int


class PacedCallers:
    """Callers of one path.

    Parameters
    ----------
    rate
        Requests per second from all callers together.
    keys
        Keys of the requests, in turn.

    Attributes
    ----------
    statuses
        Number of requests by status of the response; zero: no response.
    sent
        When and to which node each request was sent, by request id.
    slowest_refusal
        Longest time in seconds until a response with status 503.
    results
        One for each request, in the order of their ends.
    """

    def __init__(
        self, site: platform_site.Site, path: str, rate: float, keys: Sequence[int] = (0,)
    ) -> None:
        self.statuses: Counter[int] = Counter()
        self.sent: dict[str, statement_judging.SentRequest] = {}
        self.slowest_refusal = 0.0
        self.results: list[CallResult] = []
        self._site = site
        self._path = path
        self._interval = THREADS / rate
        self._keys = itertools.cycle(keys)
        self._ended = threading.Event()
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def calling(self) -> Iterator[PacedCallers]:
        """Send requests until the block ends."""
        threads = [threading.Thread(target=self._call, args=(i,)) for i in range(THREADS)]
        for thread in threads:
            thread.start()
        try:
            yield self
        finally:
            self._ended.set()
            for thread in threads:
                thread.join()

    def _call(self, number: int) -> None:
        due = time.monotonic() + self._interval * number / THREADS
        with httpx.Client(timeout=REQUEST_TIMEOUT_SECONDS, trust_env=False) as client:
            for turn in itertools.count(number):
                if self._ended.wait(max(due - time.monotonic(), 0.0)):
                    return
                due = max(due + self._interval, time.monotonic() - self._interval)
                node = self._site.nodes[turn % len(self._site.nodes)]
                if node.process.is_running:
                    self._send(client, node)

    def _send(self, client: httpx.Client, node: platform_site.NodeProcess) -> None:
        began = time.monotonic()
        with self._lock:
            key = next(self._keys)
        request = ""
        try:
            response = self._site.send(client, node, self._path, key)
            status = response.status_code
            request = response.request.headers["x-attempt-id"]
            self.sent[request] = statement_judging.SentRequest(node.callers, began)
        except httpx.HTTPError:
            status = 0
        elapsed = time.monotonic() - began
        result = CallResult(request, node.callers, began, elapsed, status)
        with self._lock:
            self.statuses[status] += 1
            self.results.append(result)
            if status == httpx.codes.SERVICE_UNAVAILABLE:
                self.slowest_refusal = max(self.slowest_refusal, elapsed)
