"""Stand-ins for the platform, its store, upstreams and clients, for the cases beside this file.

They use the standard library only and listen on loopback addresses. The nodes are separate
processes, started with the command and the settings template of `deploy/`.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "jepu9.example"
HEARTBEAT_S = 1.3
RESTART_DELAY_S = 0.5
START_TIMEOUT_S = 25.0
KEYS = 65_536
Headers = dict[str, str]


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run, with times from the start of the case."""

    def __init__(self, file: Path) -> None:
        self._started = time.monotonic()
        self._stream = file.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        self._stream.write(f"{time.monotonic() - self._started:8.3f} {text}\n")

    def close(self) -> None:
        self._stream.close()


# ---------------------------------------------------------------------- HTTP


@dataclass
class Request:
    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))

    @property
    def id(self) -> str:
        return self.headers.get("x-attempt-id", "")


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    return await reader.readexactly(int(headers.get("content-length", "0")))


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bytes | None]]


async def serve_http(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve keep-alive connections; a handler that returns None closes its connection."""

    async def serve_one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                request = Request(method, target, headers, await read_body(reader, headers))
                response = await handler(request, writer)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_one, host, port)


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


# ---------------------------------------------------------------------- store


class Store:
    """The platform's metadata store (PROTOCOL.md)."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 0
        self._gone: dict[tuple[str, str, str], int] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes) -> None:
        self.version += 1
        self._put((table, "", key), base64.b64encode(value).decode())
        self._notify()

    def _put(self, key: tuple[str, str, str], value: str) -> None:
        self.rows[key] = (value, self.version)
        self._gone.pop(key, None)

    def remove(self, table: str, key: str) -> None:
        self.version += 1
        self._remove((table, "", key))
        self._notify()

    def _remove(self, key: tuple[str, str, str]) -> None:
        if self.rows.pop(key, None) is not None:
            self._gone[key] = self.version

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        await asyncio.sleep(0.004)
        if request.path == "/v1/rows-get":
            return self._read(request.query)
        if request.path == "/v1/rows-tx":
            return self._transact(json.loads(request.body))
        if request.path == "/v1/rows-feed":
            return await self._feed(request.query)
        return encode_response(404, {})

    def _read(self, query: dict[str, str]) -> bytes:
        table, part, start = query["table"], query.get("part", ""), query.get("from", "")
        found = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part) and key[2].encode() >= start.encode()
        )
        rows = [self._row(key) for key in found[:500]]
        return self._answer(200, rows, has_more=len(found) > 500)

    def _transact(self, body: dict[str, Any]) -> bytes:
        conditions = body["expected_revision"]
        if any(self.rows.get(_key(item), ("", 0))[1] != item["ver"] for item in conditions):
            rows = [self._row(_key(item)) for item in conditions if _key(item) in self.rows]
            return self._answer(412, rows)
        self.version += 1
        for item in body["put"]:
            self._put(_key(item), item["value"])
        for item in body["remove"]:
            self._remove(_key(item))
        self._notify()
        return self._answer(200, [])

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while not (rows := self._changes(table, after)) and time.monotonic() < deadline:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), deadline - time.monotonic())
        return self._answer(200, rows)

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        live = [key for key, (_, version) in self.rows.items() if version > after]
        rows = [self._row(key) for key in live if key[0] == table]
        rows += [
            {"table": key[0], "part": key[1], "key_file": key[2], "ver": version, "gone": True}
            for key, version in self._gone.items()
            if key[0] == table and version > after
        ]
        return sorted(rows, key=lambda row: int(row["ver"]))

    def _row(self, key: tuple[str, str, str]) -> dict[str, Any]:
        value, version = self.rows[key]
        table, part, name = key
        return {"table": table, "part": part, "key_file": name, "value": value, "ver": version}

    def _answer(self, status: int, rows: list[dict[str, Any]], **more: object) -> bytes:
        body = {"ver": self.version, "now_s": time.monotonic(), "rows": rows, **more}
        return encode_response(
            status, {"content-type": "application/json"}, json.dumps(body).encode()
        )


def _key(item: dict[str, str]) -> tuple[str, str, str]:
    return item["table"], item.get("part", ""), item["key_file"]


# ---------------------------------------------------------------------- upstreams


@dataclass
class Upstream:
    """A sound upstream; `trouble`, if set, answers requests in its place."""

    name: str
    service: str
    sharded: bool
    address: tuple[str, int]
    record: Record
    slots: int = 2
    queue: int = 8
    work_s: float = 0.06
    ran: list[str] = field(default_factory=list)
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    fences: list[int] = field(default_factory=lambda: [0] * KEYS)
    held_until: list[float] = field(default_factory=lambda: [0.0] * KEYS)
    trouble: Handler | None = None
    _room: asyncio.Semaphore | None = None

    def entry(self) -> bytes:
        self.sequence += 1
        host, port = self.address
        status = {"state": "ready", "sequence": self.sequence, "warmup_s_time": 0.0}
        info = {"backend": self.service, "version": "v1", "zone": "kst-north", "slots": self.slots}
        body = {"address": f"{host}:{port}", "info": info, "status": status, "born": self.born}
        return json.dumps(body).encode()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        expected = request.headers.get("x-expect-instance", self.name)
        echo = {"x-attempt-id": request.id} if request.id else {}
        if expected != self.name:
            return encode_response(421, {**echo, "x-not-executed": "1"})
        if request.path == "/v1/grant":
            return self._grant(json.loads(request.body))
        if request.path == "/v1/release":
            return self._release(json.loads(request.body))
        if request.path == "/healthz":
            return encode_response(200, {"x-instance-id": self.name, **self._load()})
        if self.sharded and not self._holds(int(request.headers.get("x-shard-key", "-1"))):
            return encode_response(421, {**echo, "x-not-executed": "1", **self._load()})
        if self.waiting >= self.queue:
            return encode_response(503, {**echo, "x-not-executed": "1", **self._load()})
        if self.trouble is not None:
            return await self.trouble(request, writer)
        return await self._work(request, echo)

    async def _work(self, request: Request, echo: Headers) -> bytes:
        if self._room is None:
            self._room = asyncio.Semaphore(self.slots)
        self.waiting += 1
        try:
            await self._room.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.ran.append(request.id)
            self.record.write(f"ran {request.id} at {self.name}")
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._room.release()
        body = f"{request.id}:{self.name}".encode().ljust(1500, b".")
        return encode_response(
            200, {**echo, "x-upstream-signature": self.name, **self._load()}, body
        )

    def _load(self) -> Headers:
        return {"x-upstream-load": f"{self.running},{self.waiting},{self.slots}"}

    def _holds(self, key: int) -> bool:
        return 0 <= key < KEYS and self.held_until[key] > time.monotonic()

    def _grant(self, order: dict[str, Any]) -> bytes:
        span = slice(order["from"], order["target_version"] + 1)
        if max(self.fences[span]) > order["fence"]:
            return encode_response(409, {})
        count = order["target_version"] + 1 - order["from"]
        self.fences[span] = [order["fence"]] * count
        self.held_until[span] = [time.monotonic() + order["hold_s"]] * count
        return encode_response(200, {})

    def _release(self, order: dict[str, Any]) -> bytes:
        span = slice(order["from"], order["target_version"] + 1)
        count = order["target_version"] + 1 - order["from"]
        self.fences[span] = [max(item, order["fence"]) for item in self.fences[span]]
        self.held_until[span] = [0.0] * count
        return encode_response(200, {"x-handover": "5c0e7a21d94b36f8"})


# ---------------------------------------------------------------------- nodes


@dataclass
class Node:
    """One machine: its process, and how often that ended by itself."""

    number: int
    ip: str
    ports: dict[str, int]
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    own_ends: int = 0
    over_memory: int = 0
    peak_mb: float = 0.0

    def resident_mb(self) -> float:
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()  # type: ignore[union-attr]
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0


def route(
    name: str,
    prefix: str,
    service: str,
    kind: str,
    timeout_s: float,
    objective_s: float = 0.4,
    priority: int = 1,
) -> dict[str, Any]:
    return {
        "name": name,
        "domain": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_s": timeout_s,
        "target_latency_s": objective_s,
        "max_attempts": 3,
        "priority": priority,
        "backend": service,
    }


@dataclass
class Site:
    """A small deployment: a store, upstreams, and nodes that the platform starts again."""

    record: Record
    memory_mb: int = 300
    store: Store = field(default_factory=Store)
    upstreams: list[Upstream] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    answers: collections.Counter[str] = field(default_factory=collections.Counter)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    stopping: bool = False
    _sent: int = 0
    _servers: list[asyncio.Server] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _beats: dict[str, tuple[asyncio.Server, asyncio.Task[None]]] = field(default_factory=dict)
    _store_address: str = ""

    def add_upstreams(
        self,
        service: str,
        count: int,
        sharded: bool,
        kind: type[Upstream] = Upstream,
        **more: Any,
    ) -> None:
        for _ in range(count):
            number = len(self.upstreams) + 1
            host = f"127.0.2.{number}"
            name = f"i-{number:04x}"
            address = (host, free_port(host))
            upstream = kind(name, service, sharded, address, self.record, **more)
            self.upstreams.append(upstream)

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        services = {item.service: item.sharded for item in self.upstreams}
        body = {
            "version": version,
            "routes": routes,
            "backends": [
                {"name": name, "health_check": "/healthz", "max_connections": 130, "sharded": keyed}
                for name, keyed in services.items()
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 1 << 20,
                "header_timeout_s": 5.0,
                "idle_timeout_s": 30.0,
            },
        }
        self.store.put("op", "config", json.dumps(body).encode())

    async def start(self, nodes: int) -> None:
        host = "127.0.3.1"
        port = free_port(host)
        self._store_address = f"{host}:{port}"
        self._servers.append(await serve_http(self.store.handle, host, port))
        for upstream in self.upstreams:
            await self.start_upstream(upstream)
        for number in range(nodes):
            ip = f"127.0.1.{number + 1}"
            names = ("http", "readiness", "first", "last")
            self.nodes.append(Node(number, ip, {name: free_port(ip) for name in names}))
        for node in self.nodes:
            self._launch(node)
            self._tasks.append(asyncio.create_task(self._keep_running(node)))
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if all([await self.is_ready(node) for node in self.nodes]):
                self.record.write("all nodes are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("nodes are not ready")

    async def start_upstream(self, upstream: Upstream) -> None:
        server = await serve_http(upstream.handle, *upstream.address)
        self._servers.append(server)
        self._beats[upstream.name] = (server, asyncio.create_task(self._beat(upstream)))

    def end_upstream_later(self, upstream: Upstream, delay_s: float) -> None:
        """End an upstream that leaves, after it has served on."""

        async def end() -> None:
            await asyncio.sleep(delay_s)
            server, beat = self._beats[upstream.name]
            beat.cancel()
            self.store.remove("servers", upstream.name)
            server.close()

        self._tasks.append(asyncio.create_task(end()))

    async def _beat(self, upstream: Upstream) -> None:
        while True:
            self.store.put("servers", upstream.name, upstream.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _launch(self, node: Node) -> None:
        settings = self.folder / f"node-{node.number}.toml"
        settings.write_text(self._settings(node, is_first=node.starts == 0))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        command = role["run"].replace("/etc/limedeck/settings.toml", str(settings)).split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        deps = str(ROOT / "target/deps")
        environment = {**kept, "PYTHONPATH": deps, "LIMEDECK_NODE_FILE": str(settings)}
        with (self.folder / f"node-{node.number}.log").open("ab") as log:
            node.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        node.starts += 1
        self.record.write(f"node {node.number} started, start {node.starts}")

    def _settings(self, node: Node, is_first: bool) -> str:
        fields: dict[str, Any] = {
            "node_name": f"edge-kst-north-{node.number + 1}",
            "zone": "kst-north",
            "ip": node.ip,
            "listen.http": f"{node.ip}:{node.ports['http']}",
            "listen.readiness": f"{node.ip}:{node.ports['readiness']}",
            "ephemeral_ports.0": node.ports["first"],
            "ephemeral_ports.1": node.ports["last"],
            "limits.cpu_share": 0.86,
            "limits.cpus": 1,
            "limits.bandwidth_mbps": 1000.0,
            "limits.memory_mb": self.memory_mb,
            "bootstrap": is_first,
            "platform.address": self._store_address,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_slack": 62.0,
            "bounds.retry_window_s": 10.0,
            "bounds.grace_s": 6.0,
            "bounds.hold_max_s": 10.0,
        }
        template = (ROOT / "deploy/settings.toml").read_text()

        def fill(match: re.Match[str]) -> str:
            return json.dumps(fields[match[1]])

        return re.sub(r"\{\{([a-z_.0-9]+)(?:\|json)?\}\}", fill, template)

    async def _keep_running(self, node: Node) -> None:
        """Start the process again when it ends, and kill it above its memory, as DEPLOY.md says."""
        while not self.stopping:
            await asyncio.sleep(0.02)
            process = node.process
            if process is None:
                continue
            size = node.resident_mb()
            node.peak_mb = max(node.peak_mb, size)
            if size > self.memory_mb:
                self.record.write(f"node {node.number} holds {size:.0f} MB and is killed")
                node.over_memory += 1
                process.kill()
                process.wait()
            if process.poll() is None:
                continue
            node.own_ends += 1
            self.record.write(f"node {node.number} ended by itself, code {process.returncode}")
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.stopping:
                self._launch(node)

    async def is_ready(self, node: Node) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(node.ip, node.ports["readiness"])
                with contextlib.closing(writer):
                    writer.write(b"GET /v1/readyz HTTP/1.1\r\nhost: x\r\n\r\n")
                    first, _ = await read_head(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return " 200 " in first

    def log_tail(self, node: Node, size: int = 1200) -> str:
        text = (self.folder / f"node-{node.number}.log").read_text(errors="replace")[-size:]
        return text.replace(f"{ROOT}/", "")

    # ------------------------------------------------------------------ clients

    async def send(
        self, node: Node, method: str, path: str, deadline_s: float, key: int | None = None
    ) -> int:
        """Send one request on a new connection; return the status, 0 without a whole answer."""
        _, status, _ = await self.exchange(node, method, path, deadline_s, key)
        return status

    async def exchange(
        self, node: Node, method: str, path: str, deadline_s: float, key: int | None = None
    ) -> tuple[str, int, float]:
        """Send one request as `send` does; return its id, the status and Retry-After."""
        self._sent += 1
        request_id = f"{self._sent:016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"host: {HOST}",
            f"x-attempt-id: {request_id}",
            f"x-deadline-ms: {int(deadline_s * 1000)}",
        ]
        if key is not None:
            lines.append(f"x-shard-key: {key}")
        self.record.write(f"sent {request_id} {method} {path} to node {node.number}")
        status, retry_after = 0, 0.0
        outcome = "no connection"
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await asyncio.open_connection(node.ip, node.ports["http"])
                outcome = "no answer"
                with contextlib.closing(writer):
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                    first, headers = await read_head(reader)
                    await read_body(reader, headers)
                status = int(first.split(" ")[1])
                retry_after = float(headers.get("retry-after", "0"))
                outcome = str(status)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = f"{outcome} ({type(error).__name__})"
        self.record.write(f"answered {request_id}: {outcome}")
        self.answers[outcome] += 1
        return request_id, status, retry_after

    # ------------------------------------------------------------------ end

    async def stop(self) -> None:
        self.stopping = True
        tasks = [*self._tasks, *(beat for _, beat in self._beats.values())]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for server in self._servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.asynccontextmanager
async def running(site: Site, nodes: int) -> AsyncIterator[Site]:
    try:
        await site.start(nodes)
        yield site
    finally:
        await site.stop()


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def breaks_fault_rule(site: Site) -> bool:
    """Whether on a tenth of the machines, two at least, processes ended three times."""
    least = max(2, -(-len(site.nodes) // 10))
    return sum(node.own_ends >= 3 for node in site.nodes) >= least


def main(case: Callable[[Record], Awaitable[bool]], folder: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    try:
        is_broken = asyncio.run(_within_limit(case(record)))
    except (CannotRun, OSError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        record.close()
    print("rule broken" if is_broken else "rule held")
    return 1 if is_broken else 0


async def _within_limit(case: Awaitable[bool]) -> bool:
    async with asyncio.timeout(110.0):
        return await case
