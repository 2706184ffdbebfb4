"""A fault soak: real nodes as processes, faults from outside, promises checked while it runs.

``python -m tests.soak.soak --seed 1 --seconds 60`` prints one line of JSON; exit code 1 if a
promise was broken. Some ten processes, all ended by their ids.
"""

from __future__ import annotations

import argparse
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from typing import TYPE_CHECKING, Any

import anyio
import anyio.from_thread
import httpx

from limedeck_lab import processes
from limedeck_lab.standins import row_store
from tests.soak import proxy
from tests.system import platform_site

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


NODES = 5
KEYED = 4
PLAIN = 2
CALLERS = 4
EXCUSE = 0.5
"""Orders that a pause or a proxy held up may be taken so long after; nobody judges them."""
LEASE = 2.2
"""A grant that was taken late runs so long."""
HEALING = 12.0
"""After the last fault, until every request must be served."""
FAULT_SECONDS = (0.3, 3.0)
PAUSE_SECONDS = (0.5, 4.0)


@dataclasses.dataclass
class Result:
    """What a soak saw."""

    seed: int
    statuses: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    faults: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    violations: list[str] = dataclasses.field(default_factory=list)

    def as_json(self) -> str:
        """One line."""
        return json.dumps(vars(self))


class JudgedSite(platform_site.Site):
    """A site whose judge excuses what a fault held up on its way."""

    excused_until = 0.0

    def excuse(self, seconds: float) -> None:
        """A fault that holds orders up is on for so long."""
        until = time.monotonic() + seconds + EXCUSE + LEASE
        self.excused_until = max(self.excused_until, until)

    def judge(self) -> None:
        if time.monotonic() > self.excused_until:
            super().judge()


class Soak:
    """One run."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.result = Result(seed)
        self.site = JudgedSite()
        self._random = random.Random(seed)
        self._folder = folder
        self._group = processes.ProcessGroup(folder)
        self._proxies: list[proxy.FaultyProxy] = []
        self._stores: list[str] = []
        self._lives = [0] * NODES
        self._lock = threading.Lock()
        self._refused: set[str] = set()
        self._unsafe: set[str] = set()
        self._version = 1
        self._stopping = threading.Event()

    def run(self, seconds: float) -> Result:
        """Start everything, inject faults for so long, heal, and judge."""
        with anyio.from_thread.start_blocking_portal() as portal, self._served(portal):
            for number in range(NODES):
                self.site.nodes.append(self._start(number))
            ready = self._all_ready
            processes.wait_until(ready, "nodes are ready")
            callers = [threading.Thread(target=self._call, args=(i,)) for i in range(CALLERS)]
            for caller in callers:
                caller.start()
            end = time.monotonic() + seconds
            try:
                while time.monotonic() < end:
                    self._one_fault(portal)
                    time.sleep(self._random.uniform(0.1, 1.5))
                self._heal()
            finally:
                self._stopping.set()
            for caller in callers:
                caller.join()
            self._judge_end()
        return self.result

    @contextlib.contextmanager
    def _served(self, portal: anyio.from_thread.BlockingPortal) -> Iterator[None]:
        ports = processes.free_ports(2 * (KEYED + PLAIN) + 1 + NODES)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        store = addresses.pop()
        served: list[tuple[platform_site.Application, str]] = [
            (self.site.store.application(), store)
        ]
        for number in range(KEYED + PLAIN):
            service = "keyed" if number < KEYED else "plain"
            real, shown = addresses.pop(), addresses.pop()
            upstream = platform_site.Upstream(
                f"i-{number}", service, service == "keyed", shown, self.site
            )
            self.site.upstreams.append(upstream)
            self.site.list_upstream(upstream)
            self._proxies.append(proxy.FaultyProxy(shown, real))
            served.append((upstream, real))
        for _ in range(NODES):
            shown = addresses.pop()
            self._stores.append(shown)
            self._proxies.append(proxy.FaultyProxy(shown, store))
        self.site.configure(self._version, platform_site.ROUTES)
        ended = portal.call(anyio.Event)
        tasks = [portal.start_task_soon(platform_site.serve_until, *item, ended) for item in served]
        tasks += [portal.start_task_soon(item.serve, ended) for item in self._proxies]
        try:
            yield
        finally:
            self._group.end_all()
            portal.call(ended.set)
            for task in tasks:
                task.result(timeout=20.0)

    def _start(self, number: int) -> platform_site.NodeProcess:
        life = self._lives[number]
        self._lives[number] += 1
        store = self._stores[number]
        return platform_site.start_node(self._group, self._folder, store, number, life)

    def _all_ready(self) -> bool:
        return all(node.is_ready() for node in self.site.nodes)

    # ------------------------------------------------------------------ faults

    def _one_fault(self, portal: anyio.from_thread.BlockingPortal) -> None:
        kinds: list[Callable[[], None]] = [
            self._kill,
            self._stop,
            self._pause,
            self._proxy_mode,
            lambda: self._reset(portal),
            self._store_faults,
            self._forget,
            self._reconfigure,
            self._drain,
        ]
        fault = self._random.choice(kinds)
        name = getattr(fault, "__name__", "").strip("_").replace("<lambda>", "reset")
        self.result.faults[name] += 1
        fault()

    def _kill(self) -> None:
        for number in self._random.sample(range(NODES), self._random.choice([1, 1, 2, NODES])):
            self.site.nodes[number].process.signal(signal.SIGKILL)
            self.site.nodes[number].process.wait()
            self.site.nodes[number] = self._start(number)

    def _stop(self) -> None:
        number = self._random.randrange(NODES)
        self.site.nodes[number].process.signal(signal.SIGTERM)
        self.site.nodes[number].process.wait()
        self.site.nodes[number] = self._start(number)

    def _pause(self) -> None:
        node = self._random.choice(self.site.nodes)
        seconds = self._random.uniform(*PAUSE_SECONDS)
        self.site.excuse(seconds)
        node.process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        node.process.signal(signal.SIGCONT)

    def _proxy_mode(self) -> None:
        modes = [proxy.Mode.DELAY, proxy.Mode.CUT_REPLIES, proxy.Mode.SILENT]
        chosen = self._random.sample(self._proxies, self._random.choice([1, 1, 2, 4]))
        seconds = self._random.uniform(*FAULT_SECONDS)
        self.site.excuse(seconds)
        for item in chosen:
            item.mode = self._random.choice(modes)
        time.sleep(seconds)
        for item in chosen:
            item.mode = proxy.Mode.PASS

    def _reset(self, portal: anyio.from_thread.BlockingPortal) -> None:
        for item in self._random.sample(self._proxies, self._random.choice([1, 3, 6])):
            portal.call(item.reset_all)

    def _store_faults(self) -> None:
        kinds = [
            row_store.Fault.REFUSE,
            row_store.Fault.OVER_RATE,
            row_store.Fault.LOSE_ANSWER,
            row_store.Fault.NONSENSE,
        ]
        faults = self._random.choices(kinds, k=self._random.choice([3, 10, 40]))
        self.site.store.faults.extend(faults)

    def _forget(self) -> None:
        self.site.store.forgotten = self.site.store.version

    def _reconfigure(self) -> None:
        self._version += 1
        self.site.configure(self._version, platform_site.ROUTES)

    def _drain(self) -> None:
        upstream = self._random.choice(self.site.upstreams)
        upstream.draining = not upstream.draining
        others = [
            item
            for item in self.site.upstreams
            if item.service == upstream.service and not item.draining
        ]
        if not others:
            upstream.draining = False
        self.site.list_upstream(upstream)

    def _heal(self) -> None:
        self.site.store.faults.clear()
        for upstream in self.site.upstreams:
            upstream.draining = False
            self.site.list_upstream(upstream)
        time.sleep(HEALING)

    # ------------------------------------------------------------------ callers

    def _call(self, number: int) -> None:
        source = random.Random(self.result.seed * 1000 + number)
        with httpx.Client(timeout=4.0, trust_env=False) as client:
            while not self._stopping.is_set():
                self._call_once(client, source)
                time.sleep(source.uniform(0.0, 0.03))

    def _call_once(self, client: httpx.Client, source: random.Random) -> None:
        node = source.choice(self.site.nodes)
        path = source.choice(["/keyed/x", "/plain/x"])
        with self._lock:
            self.site.sent += 1
            request = f"{self.site.sent:016x}"
        if path == "/plain/x":
            self._unsafe.add(request)
        headers = {
            "host": "h.example",
            "x-attempt-id": request,
            "x-deadline-ms": "2000",
            "x-shard-key": str(source.randrange(platform_site.KEYS)),
        }
        try:
            answer = client.get(f"http://{node.callers}{path}", headers=headers)
        except httpx.HTTPError as exc:
            self._note(type(exc).__name__)
            return
        self._note(str(answer.status_code))
        self._check(request, answer)

    def _check(self, request: str, answer: httpx.Response) -> None:
        if answer.status_code == 503:
            self._refused.add(request)
        elif answer.status_code == 200:
            own = answer.headers.get("x-attempt-id") == request
            if not own or answer.content != request.encode() + b":":
                self.result.violations.append(f"answer of another request: {request}")
        elif answer.status_code not in (502, 504):
            self.result.violations.append(f"status {answer.status_code}: {request}")

    def _note(self, status: str) -> None:
        with self._lock:
            self.result.statuses[status] += 1

    # ------------------------------------------------------------------ the end

    def _judge_end(self) -> None:
        self._blame_runs()
        self._blame("two owners", [str(pair) for pair in self.site.two_owners])
        if not self._all_ready():
            self.result.violations.append("a node is not ready after healing")
        if not self.site.everything_is_held():
            self.result.violations.append("a key has no owner after healing")
        self._judge_service()

    def _blame_runs(self) -> None:
        ran = collections.Counter(request for request, _ in self.site.runs)
        self._blame("ran twice", [item for item in sorted(self._unsafe) if ran[item] > 1])
        self._blame("refused and yet run", [item for item in self._refused if ran[item]])

    def _judge_service(self) -> None:
        with httpx.Client(timeout=4.0, trust_env=False) as client:
            for number in range(60):
                node = self.site.nodes[number % NODES]
                path = "/keyed/x" if number % 2 else "/plain/x"
                answer = self.site.send(client, node, path, number * 997 % platform_site.KEYS)
                if answer.status_code != 200:
                    text = f"status {answer.status_code} after healing at node {number % NODES}"
                    self.result.violations.append(text)

    def _blame(self, what: str, items: list[str]) -> None:
        self.result.violations += [f"{what}: {item}" for item in items[:5]]


def _end_with_all_processes(number: int, _: object) -> None:
    """Leave by an exception, so that the nodes are ended too."""
    raise SystemExit(128 + number)


def main(arguments: list[str] | None = None) -> int:
    """Run one soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--logs", type=pathlib.Path, help="folder that keeps the nodes' logs")
    options: Any = parser.parse_args(arguments)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _end_with_all_processes)
    with contextlib.ExitStack() as stack:
        folder = options.logs
        if folder is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        result = Soak(options.seed, folder).run(options.seconds)
    print(result.as_json())
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
