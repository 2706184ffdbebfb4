"""A fault soak: node processes under overlapping series of faults, with guarantees checked.

``python -m tests.soak.soak --seed 1 --seconds 60`` prints one line of JSON; exit code 1 if a
guarantee was violated. Ends the processes that it started by their process ids.
"""

from __future__ import annotations

import abc
import argparse
import contextlib
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
from limedeck_lab.explain import log_lines, stories
from tests.soak import callers, faults, judging, proxy, series, suspendable_node
from tests.system import platform_site

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = 5
KEYED_BACKENDS = 4
PLAIN_BACKENDS = 2
CALLERS = 4
MAX_CONNECTIONS_PER_CALLER = 8
MAX_ATTEMPTS = 3
"""Attempts of a returning caller at one request."""
RETURN_DELAY = 0.1
"""Seconds between two of these."""
MAX_PIPELINED = 6
"""Requests that a pipelining caller sends at once, at most."""
REUSE_FRACTION = 0.7
"""Fraction of its requests that a caller sends on a connection that is already open."""
HEALING_TIME = 12.0
"""Seconds from the end of the faults until every request must be served."""
START_TIMEOUT = 120.0
"""Seconds for all nodes to start, also with as many as the machine can run."""


class SeededCaller(abc.ABC):
    """Sends requests with ids of its own until it is stopped, and reports their outcomes."""

    def __init__(self, seed: int, number: int, site: judging.JudgedSite, judge: judging.Judge):
        self._random = random.Random(seed * 1000 + number)
        self._prefix = f"{number + 1:04x}"
        self._sent = 0
        self._site = site
        self._judge = judge

    @abc.abstractmethod
    def run(self, stopping: threading.Event) -> None:
        """Send requests until the event is set."""

    def _make_headers(self, key: int) -> dict[str, str]:
        """Return the headers of the next request."""
        self._sent += 1
        return {
            "host": "h.example",
            "x-attempt-id": f"{self._prefix}{self._sent:012x}",
            "x-deadline-ms": "2000",
            "x-shard-key": str(key),
        }

    def _draw_key(self) -> int:
        return self._random.randrange(platform_site.KEYS)


class Caller(SeededCaller):
    """Sends one request at a time, on any of several connections."""

    def __init__(self, seed: int, number: int, site: judging.JudgedSite, judge: judging.Judge):
        super().__init__(seed, number, site, judge)
        self._connections: list[callers.PersistentConnection] = []

    def run(self, stopping: threading.Event) -> None:
        """Send requests until the event is set."""
        while not stopping.wait(self._random.uniform(0.0, 0.03)):
            self._send_one()
        for connection in self._connections:
            connection.close()

    def _send_one(self) -> None:
        connection = self._choose_connection()
        path, version = self._choose_path()
        headers = self._make_headers(self._draw_key())
        request = headers["x-attempt-id"]
        self._judge.record_sent(request, connection.address, is_unsafe=path.startswith("/plain/"))
        outcome = connection.exchange(path, headers)
        self._judge.record_outcome(request, connection.address, outcome, version)
        if outcome.ending is not callers.Ending.RESPONDED:
            self._connections.remove(connection)

    def _choose_path(self) -> tuple[str, judging.Version | None]:
        version = self._random.choice([None, None, *self._judge.versions()])
        if version is not None:
            return f"{version.prefix}x", version
        return self._random.choice(["/keyed/x", "/plain/x"]), None

    def _choose_connection(self) -> callers.PersistentConnection:
        """Choose an open connection, even to a stopping or replaced node, or add a new one."""
        is_reused = self._connections and self._random.random() < REUSE_FRACTION
        if is_reused or len(self._connections) >= MAX_CONNECTIONS_PER_CALLER:
            return self._random.choice(self._connections)
        opened = callers.PersistentConnection(self._random.choice(self._site.nodes).callers)
        self._connections.append(opened)
        return opened


class ReturningCaller(SeededCaller):
    """Sends requests that may run once, and returns with each that is refused."""

    def __init__(self, seed: int, number: int, site: judging.JudgedSite, judge: judging.Judge):
        super().__init__(seed, number, site, judge)
        self._connections: dict[str, callers.PersistentConnection] = {}

    def run(self, stopping: threading.Event) -> None:
        """Send requests until the event is set."""
        while not stopping.wait(self._random.uniform(0.0, 0.05)):
            path = self._random.choice(platform_site.ONCE_PATHS)
            key = self._draw_key()
            for _ in range(MAX_ATTEMPTS):
                if self._send(path, key) not in judging.NOT_RUN_STATUSES:
                    break
                stopping.wait(RETURN_DELAY)
        for connection in self._connections.values():
            connection.close()

    def _send(self, path: str, key: int) -> int:
        """Make one attempt, with an id of its own; return the status, or zero."""
        address = self._random.choice(self._site.nodes).callers
        connection = self._connections.setdefault(address, callers.PersistentConnection(address))
        headers = self._make_headers(key)
        attempt = headers["x-attempt-id"]
        self._judge.record_sent(attempt, address, is_unsafe=True)
        outcome = connection.exchange(path, headers)
        self._judge.record_outcome(attempt, address, outcome, None)
        if outcome.ending is not callers.Ending.RESPONDED:
            del self._connections[address]
        return outcome.status


class PipeliningCaller(SeededCaller):
    """Sends several requests at once."""

    def run(self, stopping: threading.Event) -> None:
        """Send requests until the event is set."""
        while not stopping.wait(self._random.uniform(0.05, 0.25)):
            self._send_several()

    def _send_several(self) -> None:
        address = self._random.choice(self._site.nodes).callers
        requests = [self._make_request() for _ in range(self._random.randint(2, MAX_PIPELINED))]
        ids = [request.headers["x-attempt-id"] for request in requests]
        for request_id, request in zip(ids, requests, strict=True):
            self._judge.record_sent(request_id, address, request.path.startswith("/plain/"))
        outcomes = callers.exchange_pipelined(address, requests)
        self._judge.record_pipelined(ids, address, outcomes)

    def _make_request(self) -> callers.Request:
        path = self._random.choice(["/keyed/x", "/keyed/x", "/plain/x"])
        return callers.Request(path, self._make_headers(self._draw_key()))


class Soak:
    """One run of the fault soak.

    Parameters
    ----------
    folder
        Folder for the settings and logs of the nodes.
    kinds
        Kinds of steps to draw from.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        nodes: int = NODES,
        kinds: tuple[series.Kind, ...] = tuple(series.Kind),
    ) -> None:
        self.result = judging.Result(seed, nodes)
        self.site = judging.JudgedSite()
        self.judge = judging.Judge(self.result, self.site)
        self._kinds = kinds
        self._folder = folder
        self._group = processes.ProcessGroup(folder)
        self._nodes = faults.Nodes(self.site, self._start)
        self._proxies: list[proxy.FaultyProxy] = []
        self._store_addresses: list[str] = []
        self._incarnations = [0] * nodes
        self._suspendable = self._suspendable_nodes() if series.Kind.SUSPEND in kinds else {}
        # A restarted node keeps its ports, as on the platform. With other ports, a former leader's
        # next incarnation could not report that the former one has ended, and the keys of a crashed
        # owner would wait 22 s for leases that the former leader might have renewed.
        keeps_ports = series.Kind.CRASH in kinds
        self._ports = {i: processes.free_ports(3) for i in range(nodes) if keeps_ports}

    def run(self, seconds: float) -> judging.Result:
        """Start all processes, run series of faults for a duration, end the faults, and judge."""
        with (
            anyio.from_thread.start_blocking_portal() as portal,
            self._serving_site(portal) as steps,
        ):
            self._nodes.start_all(self.result.nodes)
            processes.wait_until(self._all_ready, "nodes are ready", START_TIMEOUT)
            with self._running_callers():
                self._run_series(steps, seconds)
                steps.heal()
                time.sleep(HEALING_TIME)
            self._judge_service()
            self.judge.judge_end()
        return self.result

    def _run_series(self, steps: faults.Faults, seconds: float) -> None:
        ended = threading.Event()
        planned = series.plan(self.result.seed, seconds, self._kinds)
        threads = [
            threading.Thread(target=self._run_one_series, args=(steps, s, ended)) for s in planned
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        ended.set()
        for thread in threads:
            thread.join()

    def _run_one_series(
        self, steps: faults.Faults, drawn: series.Series, ended: threading.Event
    ) -> None:
        if ended.wait(drawn.start):
            return
        done = steps.run(drawn, ended)
        self.result.steps[drawn.kind.value] += done

    @contextlib.contextmanager
    def _running_callers(self) -> Iterator[None]:
        stopping = threading.Event()
        seed = self.result.seed
        each: list[SeededCaller] = [Caller(seed, i, self.site, self.judge) for i in range(CALLERS)]
        each.append(PipeliningCaller(seed, CALLERS, self.site, self.judge))
        each.append(ReturningCaller(seed, CALLERS + 1, self.site, self.judge))
        threads = [threading.Thread(target=caller.run, args=(stopping,)) for caller in each]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            stopping.set()
            for thread in threads:
                thread.join()

    @contextlib.contextmanager
    def _serving_site(self, portal: anyio.from_thread.BlockingPortal) -> Iterator[faults.Faults]:
        """Serve the store and the back ends behind proxies."""
        ports = processes.free_ports(2 * (KEYED_BACKENDS + PLAIN_BACKENDS) + 1 + self.result.nodes)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        store = addresses.pop()
        served: list[tuple[platform_site.Application, str]] = [
            (self.site.store.application(), store)
        ]
        for number in range(KEYED_BACKENDS + PLAIN_BACKENDS):
            service = "keyed" if number < KEYED_BACKENDS else "plain"
            real, proxy_address = addresses.pop(), addresses.pop()
            upstream_proxy = proxy.FaultyProxy(proxy_address, real)
            upstream = platform_site.Upstream(
                f"i-{number}", service, service == "keyed", proxy_address, self.site, upstream_proxy
            )
            if series.Kind.EVACUATE in self._kinds and number % 2:
                upstream.zone = faults.EVACUATED_ZONE
            if series.Kind.REPEAT_RESPONSES in self._kinds:
                # Requests return to an owner that rejected them.
                self.site.routes = platform_site.ROUTES_OF_TWO_PRIORITIES
            if series.Kind.RESTART_BACKEND in self._kinds:
                self.site.cold_rate = faults.COLD_RATE
            self.site.upstreams.append(upstream)
            self.site.list_upstream(upstream)
            self._proxies.append(upstream_proxy)
            served.append((upstream, real))
        for _ in range(self.result.nodes):
            proxy_address = addresses.pop()
            self._store_addresses.append(proxy_address)
            self._proxies.append(proxy.FaultyProxy(proxy_address, store))
        steps = faults.Faults(
            self.site, self.judge, self._nodes, self._proxies, portal, self._suspendable
        )
        steps.configure()
        ended = portal.call(anyio.Event)
        tasks = [portal.start_task_soon(platform_site.serve_until, *item, ended) for item in served]
        tasks += [portal.start_task_soon(item.serve, ended) for item in self._proxies]
        try:
            yield steps
        finally:
            self._group.end_all()
            portal.call(ended.set)
            for task in tasks:
                task.result(timeout=20.0)

    def _start(self, number: int) -> platform_site.NodeProcess:
        incarnation = self._incarnations[number]
        self._incarnations[number] += 1
        store = self._store_addresses[number]
        suspended = self._suspendable.get(number)
        ports = self._ports.get(number)
        node = platform_site.start_node(
            self._group,
            self._folder,
            store,
            number,
            incarnation,
            suspended,
            ports,
            has_own_host=series.Kind.PARTITION in self._kinds,
        )
        self.judge.record_node_start(node.callers)
        return node

    def _suspendable_nodes(self) -> dict[int, suspendable_node.SuspendedTime]:
        """Return every second node; the others run on the event loop that the product uses."""
        found = {}
        for number in range(0, self.result.nodes, 2):
            found[number] = suspendable_node.SuspendedTime(self._folder / f"suspended-{number}")
            found[number].create()
        return found

    def _all_ready(self) -> bool:
        return all(node.is_ready() for node in self.site.nodes)

    def _judge_service(self) -> None:
        """Check that every node is ready and serves requests."""
        not_ready = [node.callers for node in self.site.nodes if not node.is_ready()]
        self.judge.report_all("not ready after healing", not_ready)
        failed = []
        with httpx.Client(timeout=4.0, trust_env=False) as client:
            for number in range(max(60, self.result.nodes)):
                node = self.site.nodes[number % self.result.nodes]
                path = "/keyed/x" if number % 2 else "/plain/x"
                key = number * 997 % platform_site.KEYS
                status = self.site.send(client, node, path, key).status_code
                if status != 200:
                    reason = self.describe_end(f"{self.site.sent:016x}")
                    failed.append(f"status {status} for {path}, key {key}: {reason}")
        self.judge.report_all("not served after healing", failed)

    def describe_end(self, request: str) -> str:
        """Describe how a request ended, from the nodes' logs, which CI does not keep."""
        try:
            story = stories.story_of_request(log_lines.read_logs([self._folder]), request)
        except (stories.NothingFound, log_lines.UnreadableLogs) as error:
            return str(error)
        return story[-1].text


def _exit_on_signal(number: int, _: object) -> None:
    """Exit by an exception, so that the nodes are ended too."""
    raise SystemExit(128 + number)


def parse_kinds(text: str) -> tuple[series.Kind, ...]:
    """Parse kinds, keeping the order, which determines what a seed draws."""
    return tuple(series.Kind(name) for name in text.split(","))


def main(arguments: list[str] | None = None) -> int:
    """Run one soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=NODES, help="number of node processes")
    parser.add_argument("--planned", action="store_true", help="only operations of an operator")
    parser.add_argument(
        "--kinds", type=parse_kinds, help="only these kinds of steps, separated by commas"
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder in which the nodes' logs are kept"
    )
    options: Any = parser.parse_args(arguments)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _exit_on_signal)
    kinds = options.kinds or (series.PLANNED if options.planned else tuple(series.Kind))
    with contextlib.ExitStack() as stack:
        folder = options.logs
        if folder is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        result = Soak(options.seed, folder, options.nodes, kinds).run(options.seconds)
    print(result.as_json())
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
