"""Sends the requests of a site's workload and counts their outcomes."""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import anyio
import httpx

from limedeck.routing.outcomes import Outcome
from limedeck_lab.site import RequestKind, Site

CALLER_KEEPALIVE_SECONDS = 0.5
"""Below the notice period of a stopping node, so that callers don't send on a connection that is
about to close."""
CALLER_TIMEOUT_SECONDS = 15.0
SAFE_METHODS = ("GET", "HEAD")
RETRY_DELAY_SECONDS = 0.05
MAX_CONNECT_ATTEMPTS = 20


@dataclass(frozen=True)
class PlannedRequest:
    """One request to send."""

    request_id: str
    kind: RequestKind
    key: str

    @property
    def path(self) -> str:
        """Path, prefixed with the service's name."""
        return f"/{self.kind.service}/{self.kind.path.format(key=self.key)}"


@dataclass
class LoadResult:
    """Outcomes of the requests.

    Parameters
    ----------
    wrong
        Responses that belong to another request or are incomplete, though marked whole.
    duplicated
        Non-repeatable requests that ran more than once.
    not_run_but_ran
        Requests that were reported as not run, but ran.
    latencies
        Of whole responses, in seconds.
    """

    sent: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    duplicated: int = 0
    not_run_but_ran: int = 0
    reasons: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)
    not_run_ids: set[str] = field(default_factory=set)

    def to_dict(self) -> dict[str, object]:
        """The counts, for one JSON line."""
        return {
            "sent": self.sent,
            "whole": self.whole,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "wrong": self.wrong,
            "duplicated": self.duplicated,
            "not_run_but_ran": self.not_run_but_ran,
        }

    def compare_with_executions(self, executions: dict[str, int]) -> None:
        """Compare the outcomes with the number of executions of each non-repeatable request."""
        self.duplicated = sum(count > 1 for count in executions.values())
        self.not_run_but_ran = sum(item in executions for item in self.not_run_ids)


def plan_requests(site: Site, count: int, seed: int) -> list[PlannedRequest]:
    """Draw requests from a site's workload."""
    generator = random.Random(seed)
    weights = [kind.weight for kind in site.requests]
    kinds = generator.choices(site.requests, weights, k=count)
    return [
        PlannedRequest(f"{seed}-{number}", kind, draw_key(kind, generator))
        for number, kind in enumerate(kinds)
    ]


def draw_key(kind: RequestKind, generator: random.Random) -> str:
    """Draw a key, from the hot keys or from all others."""
    if generator.random() < kind.hot_share and kind.hot_keys > 0:
        return f"hot-{generator.randrange(kind.hot_keys)}"
    return f"key-{generator.randrange(kind.keys)}"


class LoadGenerator:
    """Sends requests to nodes in turn, up to `concurrency` at a time.

    Parameters
    ----------
    addresses
        The nodes' caller addresses.
    concurrency
        Requests in flight at the same time.
    """

    def __init__(self, addresses: Sequence[str], concurrency: int) -> None:
        self._addresses = list(addresses)
        self._concurrency = concurrency
        self.result = LoadResult()
        self._progress = anyio.Event()

    async def wait_for_sent(self, count: int) -> None:
        """Wait until `count` requests were sent."""
        while self.result.sent < count:
            await self._progress.wait()

    async def run(self, requests: Iterable[PlannedRequest], rate: float = 0.0) -> LoadResult:
        """Send all requests, at most `rate` per second unless it is zero."""
        limits = httpx.Limits(
            max_connections=self._concurrency, keepalive_expiry=CALLER_KEEPALIVE_SECONDS
        )
        limiter = anyio.CapacityLimiter(self._concurrency)
        async with (
            httpx.AsyncClient(
                limits=limits, timeout=CALLER_TIMEOUT_SECONDS, trust_env=False, verify=False
            ) as client,
            anyio.create_task_group() as tasks,
        ):
            for number, request in enumerate(requests):
                await limiter.acquire_on_behalf_of(request)
                tasks.start_soon(self._send_one, client, limiter, request, number)
                if rate > 0:
                    await anyio.sleep(1 / rate)
        return self.result

    async def _send_one(
        self,
        client: httpx.AsyncClient,
        limiter: anyio.CapacityLimiter,
        request: PlannedRequest,
        number: int,
    ) -> None:
        try:
            self.result.sent += 1
            self._progress.set()
            self._progress = anyio.Event()
            started = anyio.current_time()
            response = await self._send(client, request, number)
            self._count(request, response, anyio.current_time() - started)
        finally:
            limiter.release_on_behalf_of(request)

    async def _send(
        self, client: httpx.AsyncClient, request: PlannedRequest, number: int
    ) -> httpx.Response | None:
        """Send a request to a node, or to the next one if the connection fails."""
        body = None if request.kind.method in SAFE_METHODS else request.request_id.encode()
        for attempt in range(MAX_CONNECT_ATTEMPTS):
            address = self._addresses[(number + attempt) % len(self._addresses)]
            try:
                return await client.request(
                    request.kind.method,
                    f"http://{address}{request.path}",
                    content=body,
                    headers={"limedeck-request-id": request.request_id},
                )
            except (httpx.ConnectError, httpx.ConnectTimeout):
                await anyio.sleep(RETRY_DELAY_SECONDS)
            except httpx.HTTPError as error:
                self.result.reasons[type(error).__name__] += 1
                return None
        self.result.reasons["no node reachable"] += 1
        return None

    def _count(
        self, request: PlannedRequest, response: httpx.Response | None, latency: float
    ) -> None:
        result = self.result
        outcome = response.headers.get("limedeck-outcome") if response is not None else None
        if response is not None and outcome == Outcome.WHOLE.value:
            result.whole += 1
            result.latencies.append(latency)
            if not _is_response_to(request, response):
                result.wrong += 1
            return
        if response is not None:
            result.reasons[response.headers.get("limedeck-reason", "")] += 1
        if outcome == Outcome.NOT_RUN.value:
            result.not_run += 1
            result.not_run_ids.add(request.request_id)
        else:
            result.unknown += 1


def _is_response_to(request: PlannedRequest, response: httpx.Response) -> bool:
    """Whether this is the complete response to this request."""
    try:
        content = json.loads(response.content)
    except ValueError:
        return False
    expected_path = "/" + request.kind.path.format(key=request.key)
    return bool(
        response.is_success
        and content["request_id"] == request.request_id
        and content["path"] == expected_path
        and content["method"] == request.kind.method
    )
