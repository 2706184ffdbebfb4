"""A small site on the users' platform: stand-in store and upstreams here, nodes as processes."""

from __future__ import annotations

import functools
import itertools
import json
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpx
from anyio.from_thread import start_blocking_portal
from hypercorn.asyncio import serve
from hypercorn.config import Config

from limedeck_lab.processes import ManagedProcess, ProcessGroup, free_ports, wait_until
from limedeck_lab.standins.row_store import RowStoreStandIn, StoreWords
from tests.soak import suspendable_node
from tests.soak.proxy import FaultyProxy
from tests.soak.suspendable_node import SuspendedTime

WORDS = StoreWords(
    read="/v1/rows-get",
    transact="/v1/rows-tx",
    feed="/v1/rows-feed",
    conditions="expected_revision",
    key="key_file",
    version="ver",
    more="has_more",
)
KEYS = 65_536
WORK_TIME = 0.02
CRASHING = b"crash"
"""In the body of a request that ends each upstream which runs it."""
DOWN_TIME = 2.0
"""Seconds until an upstream that has crashed is back."""
Application = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


@dataclass
class Upstream:
    """One upstream; all of a site are judged together.

    Parameters
    ----------
    held
        Ranges with their fence and end, on the test's clock.
    released
        Ranges and the fences of their releases; no grant below one of these is taken.
    proxy
        Stands before it; it can crash only with one.
    life
        Counts its starts under new names, after the first.
    starts
        Counts all its starts after the first.
    born
        When its present life under this name started; zero: it does not tell.
    cold_until, cold_runs
        On the test's clock: until when it is cold, and when requests came to it meanwhile.
    limit
        What its answers name as the requests a second that it takes; empty: they name none.
    limits_named
        When it began to name what, on the test's clock; the last one holds.
    arrivals
        Requests that came to it while it named a limit.
    told
        Requests that it answered with its limit, and when.
    leaving
        Its answers announce that it is leaving.
    requested_backoff
        Seconds of back-off that it requests as it rejects requests; zero: it accepts them.
    arrivals_after_statement
        Requests that it received since it first announced leaving or requested back-off, except
        those for keys that it does not hold.
    leaving_answers
        Requests that it answered with a leaving announcement, and when.
    backoff_requests
        Its requests for back-off.
    """

    name: str
    service: str
    keyed: bool
    address: str
    site: Site
    proxy: FaultyProxy | None = None
    life: int = 0
    starts: int = 0
    zone: str = "z1"
    born: int = 0
    cold_until: float = 0.0
    cold_runs: list[float] = field(default_factory=list)
    limit: bytes = b""
    limits_named: list[tuple[float, bytes]] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    told: list[Arrival] = field(default_factory=list)
    leaving: bool = False
    requested_backoff: float = 0.0
    arrivals_after_statement: list[Arrival] = field(default_factory=list)
    leaving_answers: list[Arrival] = field(default_factory=list)
    backoff_requests: list[BackoffRequest] = field(default_factory=list)
    down: bool = False
    draining: bool = False
    silent: bool = False
    held: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)
    released: list[tuple[tuple[int, int], int]] = field(default_factory=list)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            more = message.get("more_body", False)
        if self.silent:
            await anyio.sleep(5.0)
            return
        headers = dict(scope["headers"])
        if headers.get(b"x-expect-instance", self.name.encode()) != self.name.encode():
            await _answer(send, 421, [(b"x-not-executed", b"1")])
        elif scope["path"] == "/v1/grant":
            await self._grant(json.loads(body), send)
        elif scope["path"] == "/v1/release":
            await self._release(json.loads(body), send)
        else:
            await self._work(headers, body, send)

    async def _grant(self, order: dict[str, Any], send: Any) -> None:
        span = (order["from"], order["target_version"])
        seen = [(at, fence) for at, (fence, _) in self.held.items()] + self.released
        if any(fence > order["fence"] for at, fence in seen if _meet(at, span)):
            await _answer(send, 409, [])
            return
        for at in [at for at in self.held if _within(at, span)]:
            del self.held[at]
        self.held[span] = (order["fence"], time.monotonic() + order["hold_s"])
        self.site.judge()
        await _answer(send, 200, [])

    async def _release(self, order: dict[str, Any], send: Any) -> None:
        span = (order["from"], order["target_version"])
        kept: dict[tuple[int, int], tuple[int, float]] = {}
        for (first, last), held in self.held.items():
            for piece in ((first, min(last, span[0] - 1)), (max(first, span[1] + 1), last)):
                if piece[0] <= piece[1]:
                    kept[piece] = held
        self.held = kept
        self.released.append((span, order["fence"]))
        await _answer(send, 200, [(b"x-handover", b"token")])

    async def _work(self, headers: dict[bytes, bytes], body: bytes, send: Any) -> None:
        request_id = headers[b"x-attempt-id"]
        if self.limit:
            self.arrivals.append(Arrival(time.monotonic(), request_id.decode()))
        echo = [(b"x-attempt-id", request_id), (b"x-upstream-load", b"1,0,2")]
        key = int(headers.get(b"x-shard-key", b"0"))
        if self.keyed and not self.holds(key):
            await _answer(send, 421, [*echo, (b"x-not-executed", b"1")])
            return
        if self.leaving or self.requested_backoff or self.leaving_answers or self.backoff_requests:
            self.arrivals_after_statement.append(self._arrival(request_id))
        if self.requested_backoff:
            await self._reject_with_backoff(request_id, echo, send)
            return
        self.site.runs.append((request_id.decode(), self.name))
        if time.monotonic() < self.cold_until:
            self.cold_runs.append(time.monotonic())
        await anyio.sleep(WORK_TIME)
        if CRASHING in body and self.proxy is not None and not self.down:
            self.site.crashes.append(Crash(time.monotonic(), body, self.name))
            await self._crash(self.proxy)
            return
        signed = [*echo, (b"x-upstream-signature", self.name.encode())]
        if self.leaving:
            signed.append((b"server-leaving", b"1"))
            self.leaving_answers.append(self._arrival(request_id))
        limited = [(b"server-limit", self.limit)] if self.limit else []
        if limited:
            self.told.append(Arrival(time.monotonic(), request_id.decode()))
        await _answer(send, 200, [*signed, *limited], request_id + b":" + body)

    def _arrival(self, request_id: bytes) -> Arrival:
        return Arrival(time.monotonic(), request_id.decode(), self.starts)

    async def _reject_with_backoff(
        self, request_id: bytes, echo: list[tuple[bytes, bytes]], send: Any
    ) -> None:
        leaving = [(b"server-leaving", b"1")] if self.leaving else []
        if leaving:
            self.leaving_answers.append(self._arrival(request_id))
        self.backoff_requests.append(
            BackoffRequest(self._arrival(request_id), self.requested_backoff)
        )
        retry_after = (b"retry-after", b"%g" % self.requested_backoff)
        await _answer(send, 503, [*echo, (b"x-not-executed", b"1"), retry_after, *leaving])

    async def _crash(self, proxy: FaultyProxy) -> None:
        """End, and come back some time later under another id and without any keys."""
        self.down = True
        await proxy.crash(DOWN_TIME)
        self.held = {}
        self.released = []
        former = self.name
        self.life += 1
        self._begin_life()
        self.name = f"{former.partition('.')[0]}.{self.life}"
        with anyio.CancelScope(shield=True):
            await anyio.sleep(DOWN_TIME)
        self.down = False
        self.site.store.drop("servers", "", former)
        self.site.list_upstream(self)

    async def begin_again(self, warmup: float = 0.0) -> None:
        """End, and start again under the same name; it holds and knows nothing of before.

        Parameters
        ----------
        warmup
            It is cold for so long then, in seconds.
        """
        if self.proxy is None or self.down:
            return
        self.down = True
        await self.proxy.crash(DOWN_TIME)
        self.held = {}
        self.released = []
        self._begin_life()
        await anyio.sleep(DOWN_TIME)
        self.born = time.time_ns() // 1_000_000
        self.cold_until = time.monotonic() + warmup
        self.down = False
        self.site.list_upstream(self)

    def _begin_life(self) -> None:
        self.starts += 1
        self.leaving = False
        self.requested_backoff = 0.0

    def name_limit(self, limit: bytes) -> None:
        """Name a limit in answers from now on, or none any more."""
        self.limit = limit
        self.limits_named.append((time.monotonic(), limit))

    def most_arrivals(self, seconds: float, since: float) -> int:
        """The most requests that came within so long, from a time on, while it named a limit."""
        later = [item.at for item in self.arrivals if item.at >= since]
        return max((sum(0 <= at - start < seconds for at in later) for start in later), default=0)

    def holds(self, key: int) -> bool:
        """Whether it would run a request for a key now."""
        now = time.monotonic()
        return any(
            first <= key <= last and end > now for (first, last), (_, end) in self.held.items()
        )

    def entry(self) -> bytes:
        """What it writes about itself."""
        return json.dumps(
            {
                **({"born": self.born} if self.born else {}),
                "address": self.address,
                "info": {"backend": self.service, "version": "v1", "zone": self.zone, "slots": 2},
                "status": {
                    "state": "draining" if self.draining else "ready",
                    "sequence": 1,
                    "warmup_s_time": max(self.cold_until - time.monotonic(), 0.0),
                },
            }
        ).encode()


def _meet(one: tuple[int, int], other: tuple[int, int]) -> bool:
    return one[0] <= other[1] and other[0] <= one[1]


def _within(one: tuple[int, int], other: tuple[int, int]) -> bool:
    return other[0] <= one[0] and one[1] <= other[1]


async def _answer(
    send: Any, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b""
) -> None:
    framed = [*headers, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": framed})
    await send({"type": "http.response.body", "body": body})


@dataclass(frozen=True)
class Arrival:
    """A request at an upstream.

    Parameters
    ----------
    at
        On the test's clock, in seconds.
    life
        The upstream's `starts` at that time.
    """

    at: float
    request: str
    life: int = 0


@dataclass(frozen=True)
class BackoffRequest:
    """An upstream's rejection of a request, with a back-off period.

    Parameters
    ----------
    seconds
        Requested back-off period.
    """

    arrival: Arrival
    seconds: float


@dataclass(frozen=True)
class Crash:
    """An upstream ended under a request.

    Parameters
    ----------
    at
        On the test's clock, in seconds.
    body
        Of the request.
    """

    at: float
    body: bytes
    upstream: str


@dataclass
class NodeProcess:
    """One node."""

    process: ManagedProcess
    callers: str
    readiness: str
    settings: Path

    def is_ready(self) -> bool:
        """Whether it says so."""
        try:
            return httpx.get(f"http://{self.readiness}/v1/readyz", timeout=1.0).status_code == 200
        except httpx.HTTPError:
            return False


def _not_started(number: int, life: int) -> NodeProcess:
    raise NotImplementedError(f"node {number} of a site that does not run")


@dataclass
class Site:
    """Store, upstreams and nodes.

    Parameters
    ----------
    runs
        Requests that ran, and where.
    two_owners
        Pairs of upstreams that held a key at the same moment.
    cold_rate
        Requests a second that a cold upstream bears, by the configurations from now on.
    start_soon
        Runs a coroutine function where the upstreams are served.
    start_life
        Starts a life of a node, by the numbers of both.
    """

    store: RowStoreStandIn = field(default_factory=lambda: RowStoreStandIn(WORDS))
    upstreams: list[Upstream] = field(default_factory=list)
    nodes: list[NodeProcess] = field(default_factory=list)
    runs: list[tuple[str, str]] = field(default_factory=list)
    two_owners: list[tuple[str, str]] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    sent: int = 0
    lives: int = 0
    cold_rate: float = 0.0
    start_soon: Callable[..., object] = print
    start_life: Callable[[int, int], NodeProcess] = _not_started

    def judge(self) -> None:
        """Look for keys that two upstreams hold."""
        now = time.monotonic()
        spans = sorted(
            (span, upstream.name)
            for upstream in self.upstreams
            if upstream.keyed
            for span, (_, end) in upstream.held.items()
            if end > now
        )
        for (one, owner), (other, rival) in itertools.pairwise(spans):
            if owner != rival and _meet(one, other):
                self.two_owners.append((owner, rival))

    def restart_nodes(self) -> None:
        """Start another life of every node that has ended."""
        for number, node in enumerate(self.nodes):
            if not node.process.is_running:
                self.lives += 1
                self.nodes[number] = self.start_life(number, self.lives)

    def list_upstream(self, upstream: Upstream) -> None:
        """Write an upstream's entry to the store."""
        self.store.put("servers", upstream.name, upstream.entry())

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write the operator's configuration."""
        cold = {"warmup_per_s": self.cold_rate, "warmup_s": 3.0} if self.cold_rate else {}
        services = [
            {"name": "keyed", "health_check": "/h", "max_connections": 50, "sharded": True, **cold},
            {"name": "plain", "health_check": "/h", "max_connections": 50, **cold},
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        body = {"version": version, "routes": routes, "backends": services, "limits": limits}
        self.store.put("op", "config", json.dumps(body).encode())

    def send(self, client: httpx.Client, node: NodeProcess, path: str, key: int) -> httpx.Response:
        """Send one request with an id of its own."""
        return client.get(f"http://{node.callers}{path}", headers=self._headers(key))

    def post(
        self, client: httpx.Client, node: NodeProcess, path: str, body: bytes, key: int = 0
    ) -> int:
        """Send one request with an id of its own and a body; return the answer's status."""
        url = f"http://{node.callers}{path}"
        return client.post(url, headers=self._headers(key), content=body).status_code

    def end_and_start_cold(self, upstream: Upstream, warmup: float) -> None:
        """End an upstream, which is back some time later, cold, under its name."""
        self.start_soon(upstream.begin_again, warmup)

    def most_while_cold(self) -> int:
        """The most requests that came to a cold upstream in any second."""
        return max(
            (
                sum(start <= at < start + 1.0 for at in upstream.cold_runs)
                for upstream in self.upstreams
                for start in upstream.cold_runs
            ),
            default=0,
        )

    def crashes_under(self, body: bytes) -> list[float]:
        """When upstreams ended under the requests with this body."""
        return [crash.at for crash in self.crashes if crash.body == body]

    def _headers(self, key: int) -> dict[str, str]:
        self.sent += 1
        return {
            "host": "h.example",
            "x-attempt-id": f"{self.sent:016x}",
            "x-deadline-ms": "2000",
            "x-shard-key": str(key),
        }

    def everything_is_held(self) -> bool:
        """Whether each key of a sample has an owner."""
        keyed = [upstream for upstream in self.upstreams if upstream.keyed]
        return all(
            any(upstream.holds(key) for upstream in keyed) for key in range(0, KEYS, KEYS // 64)
        )


def route(prefix: str, service: str, kind: str = "safe") -> dict[str, Any]:
    """One route of the operator's configuration."""
    return {
        "name": f"r{prefix}",
        "domain": "h.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_s": 2.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "max_attempts": 3,
        "backend": service,
    }


ROUTES = [route("/keyed/", "keyed"), route("/plain/", "plain", "unsafe")]


def _settings(site_store: str, number: int, ports: list[int]) -> str:
    return f"""
[node]
id = "node-{number}"
zone = "z1"
ip = "127.0.0.1"
callers = "127.0.0.1:{ports[0]}"
readiness = "127.0.0.1:{ports[1]}"
first_peer_port = {ports[2]}
[store]
address = "{site_store}"
[retries]
ratio = 0.2
slack = 60
window = 10
[stop]
grace = 4
"""


def start_node(
    processes: ProcessGroup,
    folder: Path,
    store: str,
    number: int,
    life: int = 0,
    suspended: SuspendedTime | None = None,
    ports: list[int] | None = None,
) -> NodeProcess:
    """Start one node, on a machine that can be suspended if that is given.

    Parameters
    ----------
    ports
        Of a machine that is started again; others are found if none are given.
    """
    ports = ports or free_ports(3)
    settings = folder / f"node-{number}-{life}.toml"
    settings.write_text(_settings(store, number, ports))
    module, arguments = "limedeck.node", ["--settings", str(settings)]
    if suspended is not None:
        module = suspendable_node.__name__
        arguments = [str(suspended.path), *arguments]
    process = processes.start(f"node-{number}-{life}", module, arguments)
    return NodeProcess(process, f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}", settings)


@contextmanager
def running_site(folder: Path, keyed: int = 3, plain: int = 2, nodes: int = 3) -> Iterator[Site]:
    """Run a whole site until the block ends."""
    site = Site()
    count = keyed + plain
    addresses = [f"127.0.0.1:{port}" for port in free_ports(2 * count + 1)]
    store_address = addresses.pop()
    proxies = [FaultyProxy(addresses.pop(), addresses.pop()) for _ in range(count)]
    for number, proxy in enumerate(proxies):
        service = "keyed" if number < keyed else "plain"
        is_keyed = service == "keyed"
        upstream = Upstream(f"i-{number}", service, is_keyed, proxy.address, site, proxy)
        site.upstreams.append(upstream)
        site.list_upstream(upstream)
    site.configure(1, ROUTES)
    processes = ProcessGroup(folder)
    stop = anyio.Event
    with start_blocking_portal() as portal:
        ended = portal.call(stop)
        served: list[tuple[Application, str]] = [
            (site.store.application(), store_address),
            *((up, proxy.target) for up, proxy in zip(site.upstreams, proxies, strict=True)),
        ]
        futures = [portal.start_task_soon(serve_until, app, where, ended) for app, where in served]
        futures += [portal.start_task_soon(proxy.serve, ended) for proxy in proxies]
        try:
            site.start_soon = portal.start_task_soon
            site.start_life = functools.partial(start_node, processes, folder, store_address)
            for number in range(nodes):
                site.nodes.append(site.start_life(number, 0))
            wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
            wait_until(site.everything_is_held, "all keys are held")
            yield site
        finally:
            for node in site.nodes:
                if node.process.is_running:
                    node.process.signal(signal.SIGTERM)
            processes.end_all()
            portal.call(ended.set)
            for future in futures:
                future.result(timeout=20.0)


async def serve_until(application: Application, address: str, ended: anyio.Event) -> None:
    """Serve an application at an address until the event is set."""
    config = Config()
    config.bind = [address]
    config.graceful_timeout = 10.0
    config.errorlog = None
    await serve(application, config, shutdown_trigger=ended.wait, mode="asgi")  # type: ignore[arg-type]
