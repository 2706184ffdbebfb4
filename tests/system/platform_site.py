"""A small site on the users' platform: node processes, and a stand-in store and upstreams.

The store and the upstreams run in the process of the test.
"""

from __future__ import annotations

import functools
import itertools
import json
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Iterator
from contextlib import asynccontextmanager, contextmanager
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
from tests.soak.proxy import Cut, FaultyProxy
from tests.soak.suspendable_node import SuspendedTime

WORDS = StoreWords(
    read="/v1/rows-get",
    transact="/v1/rows-tx",
    feed="/v1/rows-feed",
    conditions="expected_revision",
    key="key_file",
    version="ver",
    more="has_more",
    era="Store-Era",
)
KEYS = 65_536
SERVICE_SECONDS = 0.02
SLOTS = 2
"""Requests that an upstream works on at once, by its entry."""
CRASH_MARKER = b"crash"
"""A request whose body contains this crashes each upstream that runs it."""
ENDLESS_CHUNK = 1 << 20
"""Bytes that a response without end sends at a time."""
ENDLESS_INTERVAL = 0.04
"""Seconds between two of these: slow enough for many such responses at the same time."""
ENDLESS_SECONDS = 5.0
"""Seconds after which such a response ends, if its receiver does not close the connection."""
DOWN_SECONDS = 2.0
"""Seconds until an upstream that has crashed is back."""
Application = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


@dataclass
class Upstream:
    """Stand-in of one back end, which records the requests and orders that it receives.

    `Site.judge` compares the leases of all upstreams of a site.

    Parameters
    ----------
    held
        Granted ranges, each with its fencing token and the end of its lease on the test's clock.
    released
        Released ranges with the fencing tokens of their releases; grants with a lower token are
        rejected.
    proxy
        Proxy through which it is reached; without one it cannot crash or restart.
    renamed_restarts
        Number of restarts under a new name.
    restarts
        Number of all restarts.
    started_ms
        When its present incarnation under this name started, in milliseconds since 1970; zero: its
        entry has no start time.
    cold_until, cold_runs
        On the test's clock: until when it is cold, and when it ran requests while cold.
    limit
        Requests per second that its responses state as its limit; empty: they state none.
    stated_limits
        The limits that it stated, each with the time from which on, on the test's clock.
    arrivals
        Requests that it received while it stated a limit.
    limit_responses
        Requests to which it responded with its limit, and when.
    leaving
        Whether its responses announce that it is leaving.
    requested_backoff
        Seconds of back-off that it requests as it rejects requests; zero: it accepts them.
    arrivals_after_statement
        Requests that it received since it first announced leaving or requested back-off, except
        those for keys that it does not hold.
    leaving_responses
        Requests to which it responded with a leaving announcement, and when.
    backoff_requests
        Its requests for back-off.
    down
        Whether it has ended and not started again yet.
    draining
        Whether its entry states that it is draining.
    silent
        Whether it sends no response within 5 s to any request or order.
    endless
        Whether the bodies of its responses to requests never end.
    endless_bytes
        Bytes of such bodies that it has sent.
    service_seconds
        Seconds for which it works on a request.
    queue_length
        Requests that wait while it works on `SLOTS`; it rejects more. None: it works on all at
        once.
    running, waiting
        Requests that it works on, and that wait, if they are counted.
    rejects_once
        Whether it rejects each request the first time that it receives it.
    status_after_run
        Status of its responses to requests that it has run, which state nothing; zero: 200.
    large_path, large_bytes
        Requests whose path begins so get a response of this size.
    """

    name: str
    service: str
    keyed: bool
    address: str
    site: Site
    proxy: FaultyProxy | None = None
    renamed_restarts: int = 0
    restarts: int = 0
    zone: str = "z1"
    started_ms: int = 0
    cold_until: float = 0.0
    cold_runs: list[float] = field(default_factory=list)
    limit: bytes = b""
    stated_limits: list[tuple[float, bytes]] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    limit_responses: list[Arrival] = field(default_factory=list)
    leaving: bool = False
    requested_backoff: float = 0.0
    arrivals_after_statement: list[Arrival] = field(default_factory=list)
    leaving_responses: list[Arrival] = field(default_factory=list)
    backoff_requests: list[BackoffRequest] = field(default_factory=list)
    down: bool = False
    draining: bool = False
    silent: bool = False
    endless: bool = False
    endless_bytes: int = 0
    service_seconds: float = SERVICE_SECONDS
    queue_length: int | None = None
    running: int = 0
    waiting: int = 0
    rejects_once: bool = False
    rejected_ids: set[bytes] = field(default_factory=set)
    status_after_run: int = 0
    large_path: str = ""
    large_bytes: int = 0
    _slots: anyio.Semaphore | None = None
    held: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)
    released: list[tuple[tuple[int, int], int]] = field(default_factory=list)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Respond to one request or order."""
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
            echo = [item for item in scope["headers"] if item[0] == b"x-attempt-id"]
            await _respond(send, 421, [*echo, (b"x-not-executed", b"1")])
        elif scope["path"] == "/v1/grant":
            await self._grant(json.loads(body), send)
        elif scope["path"] == "/v1/release":
            await self._release(json.loads(body), send)
        else:
            await self._work(scope["path"], headers, body, send)

    async def _grant(self, order: dict[str, Any], send: Any) -> None:
        span = (order["from"], order["target_version"])
        seen = [(at, fence) for at, (fence, _) in self.held.items()] + self.released
        if any(fence > order["fence"] for at, fence in seen if _overlap(at, span)):
            await _respond(send, 409, [])
            return
        for at in [at for at in self.held if _is_within(at, span)]:
            del self.held[at]
        self.held[span] = (order["fence"], time.monotonic() + order["hold_s"])
        self.site.judge()
        await _respond(send, 200, [])

    async def _release(self, order: dict[str, Any], send: Any) -> None:
        span = (order["from"], order["target_version"])
        kept: dict[tuple[int, int], tuple[int, float]] = {}
        for (first, last), held in self.held.items():
            for piece in ((first, min(last, span[0] - 1)), (max(first, span[1] + 1), last)):
                if piece[0] <= piece[1]:
                    kept[piece] = held
        self.held = kept
        self.released.append((span, order["fence"]))
        await _respond(send, 200, [(b"x-handover", b"token")])

    async def _work(self, path: str, headers: dict[bytes, bytes], body: bytes, send: Any) -> None:
        request_id = headers[b"x-attempt-id"]
        if self.limit:
            self.arrivals.append(Arrival(time.monotonic(), request_id.decode()))
        echo = [(b"x-attempt-id", request_id), self._load()]
        key = int(headers.get(b"x-shard-key", b"0"))
        if self.keyed and not self.holds(key):
            await _respond(send, 421, [*echo, (b"x-not-executed", b"1")])
            return
        if (
            self.leaving
            or self.requested_backoff
            or self.leaving_responses
            or self.backoff_requests
        ):
            self.arrivals_after_statement.append(self._arrival(request_id))
        if self.requested_backoff:
            await self._reject_with_backoff(request_id, echo, send)
            return
        is_full = self.queue_length is not None and self.waiting >= self.queue_length
        if is_full or self._rejects_first(request_id):
            await _respond(send, 503, [*echo, (b"x-not-executed", b"1")])
            return
        await self._run(request_id)
        echo = [(b"x-attempt-id", request_id), self._load()]
        if CRASH_MARKER in body and self.proxy is not None and not self.down:
            self.site.crashes.append(Crash(time.monotonic(), body, self.name))
            await self._crash(self.proxy)
            return
        signed = [*echo, (b"x-upstream-signature", self.name.encode())]
        await self._respond_to_run(path, request_id, body, signed, send)

    def _rejects_first(self, request_id: bytes) -> bool:
        """Whether a request is rejected because it comes for the first time."""
        if not self.rejects_once or request_id in self.rejected_ids:
            return False
        self.rejected_ids.add(request_id)
        return True

    async def _respond_to_run(
        self,
        path: str,
        request_id: bytes,
        body: bytes,
        signed: list[tuple[bytes, bytes]],
        send: Any,
    ) -> None:
        """Respond to a request that has run."""
        if self.status_after_run:
            await _respond(send, self.status_after_run, signed)
            return
        if self.endless:
            await self._send_without_end(signed, send)
            return
        if self.leaving:
            signed.append((b"server-leaving", b"1"))
            self.leaving_responses.append(self._arrival(request_id))
        limited = [(b"server-limit", self.limit)] if self.limit else []
        if limited:
            self.limit_responses.append(Arrival(time.monotonic(), request_id.decode()))
        await _respond(send, 200, [*signed, *limited], self._content(path, request_id, body))

    def _content(self, path: str, request_id: bytes, body: bytes) -> bytes:
        """Return the body of the response to a request."""
        if self.large_path and path.startswith(self.large_path):
            return bytes(self.large_bytes)
        return request_id + b":" + body

    async def _run(self, request_id: bytes) -> None:
        async with self._slot():
            self.site.runs.append((request_id.decode(), self.name))
            if time.monotonic() < self.cold_until:
                self.cold_runs.append(time.monotonic())
            await anyio.sleep(self.service_seconds)

    def _load(self) -> tuple[bytes, bytes]:
        running = 1 if self.queue_length is None else self.running
        return (b"x-upstream-load", b"%d,%d,%d" % (running, self.waiting, SLOTS))

    @asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        """Wait for one of its slots if it has a queue, and hold it."""
        if self.queue_length is None:
            yield
            return
        if self._slots is None:
            self._slots = anyio.Semaphore(SLOTS)
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self._slots.release()

    async def _send_without_end(self, headers: list[tuple[bytes, bytes]], send: Any) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        deadline = time.monotonic() + ENDLESS_SECONDS
        while time.monotonic() < deadline:
            body = {"type": "http.response.body", "body": bytes(ENDLESS_CHUNK), "more_body": True}
            await send(body)
            self.endless_bytes += ENDLESS_CHUNK
            await anyio.sleep(ENDLESS_INTERVAL)

    def _arrival(self, request_id: bytes) -> Arrival:
        return Arrival(time.monotonic(), request_id.decode(), self.restarts)

    async def _reject_with_backoff(
        self, request_id: bytes, echo: list[tuple[bytes, bytes]], send: Any
    ) -> None:
        leaving = [(b"server-leaving", b"1")] if self.leaving else []
        if leaving:
            self.leaving_responses.append(self._arrival(request_id))
        self.backoff_requests.append(
            BackoffRequest(self._arrival(request_id), self.requested_backoff)
        )
        retry_after = (b"retry-after", b"%g" % self.requested_backoff)
        await _respond(send, 503, [*echo, (b"x-not-executed", b"1"), retry_after, *leaving])

    async def _crash(self, proxy: FaultyProxy) -> None:
        """Crash, and restart after `DOWN_SECONDS` under another name and without any keys."""
        self.down = True
        await proxy.crash(DOWN_SECONDS)
        self.held = {}
        self.released = []
        former_name = self.name
        self.renamed_restarts += 1
        self._reset_statements()
        self.name = f"{former_name.partition('.')[0]}.{self.renamed_restarts}"
        with anyio.CancelScope(shield=True):
            await anyio.sleep(DOWN_SECONDS)
        self.down = False
        self.site.store.drop("servers", "", former_name)
        self.site.list_upstream(self)

    async def restart_under_same_name(self, warmup: float = 0.0) -> None:
        """Crash, and restart after `DOWN_SECONDS` under the same name and without any keys.

        Parameters
        ----------
        warmup
            Seconds for which it is cold after the restart.
        """
        if self.proxy is None or self.down:
            return
        self.down = True
        await self.proxy.crash(DOWN_SECONDS)
        self.held = {}
        self.released = []
        self._reset_statements()
        await anyio.sleep(DOWN_SECONDS)
        self.started_ms = time.time_ns() // 1_000_000
        self.cold_until = time.monotonic() + warmup
        self.down = False
        self.site.list_upstream(self)

    def _reset_statements(self) -> None:
        self.restarts += 1
        self.leaving = False
        self.requested_backoff = 0.0

    def state_limit(self, limit: bytes) -> None:
        """State this limit in responses from now on; none if it is empty."""
        self.limit = limit
        self.stated_limits.append((time.monotonic(), limit))

    def max_arrivals(self, seconds: float, since: float) -> int:
        """Return the most requests received in a period of this length while it stated a limit.

        Parameters
        ----------
        seconds
            Length of the period.
        since
            Only requests that it received from then on count, on the test's clock.
        """
        later = [item.at for item in self.arrivals if item.at >= since]
        return max((sum(0 <= at - start < seconds for at in later) for start in later), default=0)

    def holds(self, key: int) -> bool:
        """Whether it has a lease for a key now."""
        now = time.monotonic()
        return any(
            first <= key <= last and end > now for (first, last), (_, end) in self.held.items()
        )

    def entry(self) -> bytes:
        """Return its entry for the metadata store, as JSON."""
        return json.dumps(
            {
                **({"born": self.started_ms} if self.started_ms else {}),
                "address": self.address,
                "info": {
                    "backend": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": SLOTS,
                },
                "status": {
                    "state": "draining" if self.draining else "ready",
                    "sequence": 1,
                    "warmup_s_time": max(self.cold_until - time.monotonic(), 0.0),
                },
            }
        ).encode()


def _overlap(one: tuple[int, int], other: tuple[int, int]) -> bool:
    return one[0] <= other[1] and other[0] <= one[1]


def _is_within(one: tuple[int, int], other: tuple[int, int]) -> bool:
    return other[0] <= one[0] and one[1] <= other[1]


async def _respond(
    send: Any, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b""
) -> None:
    framed = [*headers, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": framed})
    await send({"type": "http.response.body", "body": body})


@dataclass(frozen=True)
class Arrival:
    """A request that an upstream received.

    Parameters
    ----------
    at
        On the test's clock, in seconds.
    request
        Its id.
    life
        The upstream's `restarts` at that time.
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
    """A crash of an upstream while it ran a request.

    Parameters
    ----------
    at
        On the test's clock, in seconds.
    body
        Body of the request.
    upstream
        Name of the upstream.
    """

    at: float
    body: bytes
    upstream: str


@dataclass
class NodeProcess:
    """The process of one node.

    Parameters
    ----------
    callers, readiness
        Addresses for callers' requests and for readiness, metrics and operators' queries.
    settings
        The settings file.
    host
        IP address of its connections to back ends, the store and other nodes.
    """

    process: ManagedProcess
    callers: str
    readiness: str
    settings: Path
    host: str = "127.0.0.1"

    def is_ready(self) -> bool:
        """Whether its readiness endpoint answers with status 200."""
        try:
            return httpx.get(f"http://{self.readiness}/v1/readyz", timeout=1.0).status_code == 200
        except httpx.HTTPError:
            return False


def _not_started(number: int, restart: int) -> NodeProcess:
    raise NotImplementedError(f"cannot start node {number}: the site is not running")


@dataclass
class Site:
    """Metadata store, upstreams and nodes.

    Parameters
    ----------
    runs
        Ids of the requests that ran, each with the name of the upstream.
    ownership_conflicts
        Pairs of upstreams that had leases for the same key at the same time.
    sent
        Number of requests sent so far; request ids are made from it.
    restarts
        Number of restarts of nodes.
    cold_rate
        Requests per second for a cold upstream in configurations written from now on; zero: not
        configured.
    routes
        Routes of all configurations of a soak.
    version
        Version of the configuration that was written last.
    start_soon
        Starts a coroutine function in the event loop that serves the upstreams.
    launch_node
        Starts a node, given its number and the number of the restart.
    """

    store: RowStoreStandIn = field(default_factory=lambda: RowStoreStandIn(WORDS))
    upstreams: list[Upstream] = field(default_factory=list)
    nodes: list[NodeProcess] = field(default_factory=list)
    runs: list[tuple[str, str]] = field(default_factory=list)
    ownership_conflicts: list[tuple[str, str]] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    sent: int = 0
    restarts: int = 0
    cold_rate: float = 0.0
    routes: list[dict[str, Any]] = field(default_factory=lambda: ROUTES)
    version: int = 0
    start_soon: Callable[..., object] = print
    launch_node: Callable[[int, int], NodeProcess] = _not_started

    def judge(self) -> None:
        """Record pairs of upstreams that have leases for the same key."""
        now = time.monotonic()
        spans = sorted(
            (span, upstream.name)
            for upstream in self.upstreams
            if upstream.keyed
            for span, (_, end) in upstream.held.items()
            if end > now
        )
        for (one, owner), (other, other_owner) in itertools.pairwise(spans):
            if owner != other_owner and _overlap(one, other):
                self.ownership_conflicts.append((owner, other_owner))

    def restart_nodes(self) -> None:
        """Restart every node whose process has ended."""
        for number, node in enumerate(self.nodes):
            if not node.process.is_running:
                self.restarts += 1
                self.nodes[number] = self.launch_node(number, self.restarts)

    def list_upstream(self, upstream: Upstream) -> None:
        """Write an upstream's entry to the metadata store."""
        self.store.put("servers", upstream.name, upstream.entry())

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write the operator's configuration."""
        self.version = version
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
        """Send a GET request with a new request id."""
        return client.get(f"http://{node.callers}{path}", headers=self.headers(key))

    def post(
        self, client: httpx.Client, node: NodeProcess, path: str, body: bytes, key: int = 0
    ) -> int:
        """Send a POST request with a new request id; return the status of the response."""
        url = f"http://{node.callers}{path}"
        return client.post(url, headers=self.headers(key), content=body).status_code

    def restart_cold(self, upstream: Upstream, warmup: float) -> None:
        """Crash an upstream, which restarts cold under the same name after `DOWN_SECONDS`.

        Parameters
        ----------
        warmup
            Seconds for which it is cold after the restart.
        """
        self.start_soon(upstream.restart_under_same_name, warmup)

    def max_requests_while_cold(self) -> int:
        """Return the most requests that a cold upstream ran in any second."""
        return max(
            (
                sum(start <= at < start + 1.0 for at in upstream.cold_runs)
                for upstream in self.upstreams
                for start in upstream.cold_runs
            ),
            default=0,
        )

    def crash_times(self, body: bytes) -> list[float]:
        """Return when upstreams crashed while they ran a request with this body."""
        return [crash.at for crash in self.crashes if crash.body == body]

    def headers(self, key: int) -> dict[str, str]:
        """Return the headers of a new request."""
        self.sent += 1
        return {
            "host": "h.example",
            "x-attempt-id": f"{self.sent:016x}",
            "x-deadline-ms": "2000",
            "x-shard-key": str(key),
        }

    def cut_off(
        self, nodes: Collection[NodeProcess], cut: Cut, keyed: tuple[bool, ...] = (True, False)
    ) -> None:
        """Cut nodes off from all upstreams, or from those of the keyed or the unkeyed service."""
        hosts = [node.host for node in nodes]
        for upstream in self.upstreams:
            if upstream.proxy is not None and upstream.keyed in keyed:
                self.start_soon(upstream.proxy.cut_off, hosts, cut)

    def reconnect(self) -> None:
        """End a cut."""
        for upstream in self.upstreams:
            if upstream.proxy is not None:
                self.start_soon(upstream.proxy.reconnect)

    def all_keys_are_owned(self) -> bool:
        """Whether some upstream has a lease for each key of a sample."""
        keyed = [upstream for upstream in self.upstreams if upstream.keyed]
        return all(
            any(upstream.holds(key) for upstream in keyed) for key in range(0, KEYS, KEYS // 64)
        )


def route(prefix: str, service: str, kind: str = "safe") -> dict[str, Any]:
    """Return one route of the operator's configuration."""
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


ROUTES: list[dict[str, Any]] = [
    route("/keyed/", "keyed"),
    route("/keyed-once/", "keyed", "unsafe"),
    route("/plain/", "plain", "unsafe"),
]
ROUTES_OF_TWO_PRIORITIES: list[dict[str, Any]] = [{**ROUTES[0], "priority": 2}, *ROUTES[1:]]
ONCE_PATHS = ("/plain/x", "/keyed-once/x")
"""Paths of requests that may run once, at services without and with keys."""


def _settings(site_store: str, number: int, ports: list[int], host: str, memory_mb: int) -> str:
    return f"""
[node]
id = "node-{number}"
zone = "z1"
ip = "{host}"
callers = "127.0.0.1:{ports[0]}"
readiness = "127.0.0.1:{ports[1]}"
first_peer_port = {ports[2]}
memory_mb = {memory_mb}
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
    restart: int = 0,
    suspended: SuspendedTime | None = None,
    ports: list[int] | None = None,
    has_own_host: bool = False,
    memory_mb: int = 0,
) -> NodeProcess:
    """Start one node.

    Parameters
    ----------
    number
        Number of the node.
    restart
        Number of the restart; zero: the first start.
    suspended
        Suspended time of the node's machine; if given, the machine can be suspended.
    ports
        Ports that a restarted node keeps; free ones are chosen if none are given.
    has_own_host
        Whether the node has an IP address of its own, by which proxies know it.
    memory_mb
        Memory that the node is told its machine has, in megabytes; zero: it is not told.
    """
    ports = ports or free_ports(3)
    host = f"127.0.1.{number + 1}" if has_own_host else "127.0.0.1"
    settings = folder / f"node-{number}-{restart}.toml"
    settings.write_text(_settings(store, number, ports, host, memory_mb))
    module, arguments = "limedeck.node", ["--settings", str(settings)]
    if suspended is not None:
        module = suspendable_node.__name__
        arguments = [str(suspended.path), *arguments]
    process = processes.start(f"node-{number}-{restart}", module, arguments)
    return NodeProcess(process, f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}", settings, host)


@contextmanager
def running_site(
    folder: Path,
    keyed: int = 3,
    plain: int = 2,
    nodes: int = 3,
    own_hosts: bool = False,
    memory_mb: int = 0,
) -> Iterator[Site]:
    """Run a site until the block ends.

    Parameters
    ----------
    folder
        For settings files and logs.
    keyed, plain, nodes
        Numbers of upstreams of the keyed and the unkeyed service, and of nodes.
    own_hosts
        Whether each node has an IP address of its own, so that it can be cut off from upstreams.
    memory_mb
        Memory that each node is told its machine has, in megabytes; zero: it is not told.
    """
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
            site.launch_node = functools.partial(
                start_node,
                processes,
                folder,
                store_address,
                has_own_host=own_hosts,
                memory_mb=memory_mb,
            )
            for number in range(nodes):
                site.nodes.append(site.launch_node(number, 0))
            wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
            wait_until(site.all_keys_are_owned, "all keys have owners")
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
