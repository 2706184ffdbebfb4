"""A fault soak: real nodes as processes, series of faults that overlap, promises checked meanwhile.

``python -m tests.soak.soak --seed 1 --seconds 60`` prints one line of JSON; exit code 1 if a
promise was broken. All processes are ended by their ids.
"""

from __future__ import annotations

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
KEYED = 4
PLAIN = 2
CALLERS = 4
MOST_KEPT = 8
"""Connections that one caller keeps open at the same time."""
KEPT_SHARE = 0.7
"""Part of its requests that a caller sends on a connection that it has open."""
HEALING = 12.0
"""Seconds after the last fault until every request must be served."""
START_PATIENCE = 120.0
"""Seconds for all nodes to start, with as many as the machine bears."""


class Caller:
    """Sends requests until told to stop, and tells the judge what came of them."""

    def __init__(self, seed: int, number: int, site: judging.JudgedSite, judge: judging.Judge):
        self._random = random.Random(seed * 1000 + number)
        self._prefix = f"{number + 1:04x}"
        self._sent = 0
        self._site = site
        self._judge = judge
        self._kept: list[callers.KeptConnection] = []

    def run(self, stopping: threading.Event) -> None:
        """Go on until the event is set."""
        while not stopping.wait(self._random.uniform(0.0, 0.03)):
            self._send_one()
        for connection in self._kept:
            connection.close()

    def _send_one(self) -> None:
        self._sent += 1
        request = f"{self._prefix}{self._sent:012x}"
        connection = self._connection()
        path, version = self._path()
        self._judge.record_sent(request, connection.address, is_unsafe=path.startswith("/plain/"))
        headers = {
            "host": "h.example",
            "x-attempt-id": request,
            "x-deadline-ms": "2000",
            "x-shard-key": str(self._random.randrange(platform_site.KEYS)),
        }
        reply = connection.exchange(path, headers)
        self._judge.note_reply(request, connection.address, reply, version)
        if reply.ending is not callers.Ending.ANSWERED:
            self._kept.remove(connection)

    def _path(self) -> tuple[str, judging.Version | None]:
        version = self._random.choice([None, None, *self._judge.versions()])
        if version is not None:
            return f"{version.prefix}x", version
        return self._random.choice(["/keyed/x", "/plain/x"]), None

    def _connection(self) -> callers.KeptConnection:
        """One that is open, also if its node stops or was replaced, or a new one to any node."""
        is_kept = self._kept and self._random.random() < KEPT_SHARE
        if is_kept or len(self._kept) >= MOST_KEPT:
            return self._random.choice(self._kept)
        opened = callers.KeptConnection(self._random.choice(self._site.nodes).callers)
        self._kept.append(opened)
        return opened


class Soak:
    """One run.

    Parameters
    ----------
    folder
        For settings and logs of the nodes.
    kinds
        Of the steps that may happen.
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
        self._stores: list[str] = []
        self._lives = [0] * nodes
        self._suspendable = self._suspendable_nodes() if series.Kind.SUSPEND in kinds else {}
        # As on the platform, a machine's next life is where the last one was. If it is elsewhere,
        # a former leader's next life cannot say that the former one is over, and the keys of an
        # owner that crashed wait 22 s for what it might have renewed.
        keeps_ports = series.Kind.CRASH in kinds
        self._ports = {i: processes.free_ports(3) for i in range(nodes) if keeps_ports}

    def run(self, seconds: float) -> judging.Result:
        """Start everything, run series of faults for so long, heal, and judge."""
        with anyio.from_thread.start_blocking_portal() as portal, self._served(portal) as steps:
            self._nodes.start_all(self.result.nodes)
            processes.wait_until(self._all_ready, "nodes are ready", START_PATIENCE)
            with self._calling():
                self._run_series(steps, seconds)
                steps.heal()
                time.sleep(HEALING)
            self._judge_service()
            self.judge.judge_end()
        return self.result

    def _run_series(self, steps: faults.Faults, seconds: float) -> None:
        ended = threading.Event()
        planned = series.plan(self.result.seed, seconds, self._kinds)
        threads = [threading.Thread(target=self._run_one, args=(steps, s, ended)) for s in planned]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        ended.set()
        for thread in threads:
            thread.join()

    def _run_one(self, steps: faults.Faults, drawn: series.Series, ended: threading.Event) -> None:
        if ended.wait(drawn.start):
            return
        done = steps.run(drawn, ended)
        self.result.steps[drawn.kind.value] += done

    @contextlib.contextmanager
    def _calling(self) -> Iterator[None]:
        stopping = threading.Event()
        each = [Caller(self.result.seed, i, self.site, self.judge) for i in range(CALLERS)]
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
    def _served(self, portal: anyio.from_thread.BlockingPortal) -> Iterator[faults.Faults]:
        """Serve the store and the back ends, each behind a proxy."""
        ports = processes.free_ports(2 * (KEYED + PLAIN) + 1 + self.result.nodes)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        store = addresses.pop()
        served: list[tuple[platform_site.Application, str]] = [
            (self.site.store.application(), store)
        ]
        for number in range(KEYED + PLAIN):
            service = "keyed" if number < KEYED else "plain"
            real, shown = addresses.pop(), addresses.pop()
            shield = proxy.FaultyProxy(shown, real)
            upstream = platform_site.Upstream(
                f"i-{number}", service, service == "keyed", shown, self.site, shield
            )
            if series.Kind.EVACUATE in self._kinds and number % 2:
                upstream.zone = faults.EVACUATED_ZONE
            if series.Kind.REBORN in self._kinds:
                self.site.cold_rate = faults.COLD_RATE
            self.site.upstreams.append(upstream)
            self.site.list_upstream(upstream)
            self._proxies.append(shield)
            served.append((upstream, real))
        for _ in range(self.result.nodes):
            shown = addresses.pop()
            self._stores.append(shown)
            self._proxies.append(proxy.FaultyProxy(shown, store))
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
        life = self._lives[number]
        self._lives[number] += 1
        store = self._stores[number]
        suspended = self._suspendable.get(number)
        ports = self._ports.get(number)
        node = platform_site.start_node(
            self._group, self._folder, store, number, life, suspended, ports
        )
        self.judge.note_started(node.callers)
        return node

    def _suspendable_nodes(self) -> dict[int, suspendable_node.SuspendedTime]:
        """Every second node; the others run on the event loop that the product uses."""
        found = {}
        for number in range(0, self.result.nodes, 2):
            found[number] = suspendable_node.SuspendedTime(self._folder / f"suspended-{number}")
            found[number].create()
        return found

    def _all_ready(self) -> bool:
        return all(node.is_ready() for node in self.site.nodes)

    def _judge_service(self) -> None:
        """Every node is ready, and serves."""
        not_ready = [node.callers for node in self.site.nodes if not node.is_ready()]
        self.judge.blame_all("not ready after healing", not_ready)
        failed = []
        with httpx.Client(timeout=4.0, trust_env=False) as client:
            for number in range(max(60, self.result.nodes)):
                node = self.site.nodes[number % self.result.nodes]
                path = "/keyed/x" if number % 2 else "/plain/x"
                key = number * 997 % platform_site.KEYS
                status = self.site.send(client, node, path, key).status_code
                if status != 200:
                    reason = self.reason(f"{self.site.sent:016x}")
                    failed.append(f"status {status} for {path}, key {key}: {reason}")
        self.judge.blame_all("not served after healing", failed)

    def reason(self, request: str) -> str:
        """How a request ended, by the nodes' logs: after a run in CI they are gone."""
        try:
            story = stories.story_of_request(log_lines.read_logs([self._folder]), request)
        except (stories.NothingFound, log_lines.UnreadableLogs) as error:
            return str(error)
        return story[-1].text


def _end_with_all_processes(number: int, _: object) -> None:
    """Leave by an exception, so that the nodes are ended too."""
    raise SystemExit(128 + number)


def kinds_of(text: str) -> tuple[series.Kind, ...]:
    """Read kinds in the order given: a seed draws from them in that order."""
    return tuple(series.Kind(name) for name in text.split(","))


def main(arguments: list[str] | None = None) -> int:
    """Run one soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=NODES, help="processes")
    parser.add_argument("--planned", action="store_true", help="only what operators do")
    parser.add_argument("--kinds", type=kinds_of, help="only these kinds of steps, with commas")
    parser.add_argument("--logs", type=pathlib.Path, help="folder that keeps the nodes' logs")
    options: Any = parser.parse_args(arguments)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _end_with_all_processes)
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
