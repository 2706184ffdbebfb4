"""The steps of a soak's series, on real processes, proxies and a stand-in store."""

from __future__ import annotations

import contextlib
import random
import signal
import threading
import time
from typing import TYPE_CHECKING

import httpx

from limedeck_lab.standins import row_store
from tests.soak import judging, proxy
from tests.soak.series import Kind, Series
from tests.system import platform_site

if TYPE_CHECKING:
    from collections.abc import Callable

    import anyio.from_thread

    from tests.soak import suspendable_node

MOST_KILLED_AT_ONCE = 3
FAULT_SECONDS = (0.3, 3.0)
PAUSE_SECONDS = (0.5, 4.0)
CRASH_REPEATS = 24
CRASH_PAUSE = 0.3
"""Seconds between two tries of a caller whose request ends back ends: some ten in all."""
CRASH_PATIENCE = 4.0
WARMUP_SECONDS = (2.0, 5.0)
COLD_RATE = 4.0
LIMITS = (b"0", b"0.3", b"3.2", b"4.2", b"20", b"")
"""Requests a second that a back end in need names; the last one: it needs no limit."""
LEAVING_SECONDS = (2.5, 5.0)
BACKOFF_SECONDS = (0.4, 1.0, 3.0)
REJECTING_SECONDS = (1.0, 6.0)
EVACUATED_ZONE = "z2"
STRANGE_PREFIX = "strange-"
STRANGE_ENTRIES = (
    b"",
    b"\xff\x00",
    b"{}",
    b'{"address": "127.0.0.1:1", "info": {"backend": "plain"}, "status": {}}',
    b'{"address": "127.0.0.1:1", "info": {"backend": "plain", "version": "v", "zone": "z1", '
    b'"slots": 2}, "status": {"state": "resting", "sequence": 1, "warmup_s_time": 0}}',
    b'{"address": "127.0.0.1:1", "born": "7", "info": {"backend": "plain", "version": "v", '
    b'"zone": "z1", "slots": 2}, "status": {"state": "ready", "sequence": 1, "warmup_s_time": 0}}',
)
"""None of them names a back end."""


class Nodes:
    """The nodes' processes; one that has ended is replaced by a new life.

    Parameters
    ----------
    start
        Starts a life of a node.
    """

    def __init__(
        self, site: judging.JudgedSite, start: Callable[[int], platform_site.NodeProcess]
    ) -> None:
        self._site = site
        self._start = start
        self._locks: list[threading.Lock] = []

    def start_all(self, count: int) -> None:
        """Start the first life of each."""
        self._locks = [threading.Lock() for _ in range(count)]
        for number in range(count):
            self._site.nodes.append(self._start(number))

    def end(self, number: int, how: signal.Signals) -> None:
        """End a node's process by a signal, wait for that, and start its next life."""
        with self._locks[number]:
            process = self._site.nodes[number].process
            process.signal(how)
            process.wait()
            self._site.nodes[number] = self._start(number)

    def start_those_ended_at_start(self) -> None:
        """Start what a hang-up ended before a line of it ran, as the platform does.

        Until the interpreter handles signals, some 60 ms at a quiet time, a hang-up ends any
        process. One that has written a line has ended by its own fault: it stays gone, and the
        judge finds it.
        """
        for number, node in enumerate(self._site.nodes):
            code = node.process.process.poll()
            if code == -signal.SIGHUP and not node.process.log.read_bytes():
                with self._locks[number]:
                    self._site.nodes[number] = self._start(number)

    def signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to whichever life runs; it may be about to stop."""
        self._site.nodes[number].process.signal(which)


class Faults:
    """Carries out the steps of series; several series run at the same time.

    Parameters
    ----------
    proxies
        In front of back ends and of the store.
    suspendable
        By number, nodes whose machines can be suspended.
    """

    def __init__(
        self,
        site: judging.JudgedSite,
        judge: judging.Judge,
        nodes: Nodes,
        proxies: list[proxy.FaultyProxy],
        portal: anyio.from_thread.BlockingPortal,
        suspendable: dict[int, suspendable_node.SuspendedTime],
    ) -> None:
        self._suspendable = suspendable
        self._suspending = threading.Lock()
        self._evacuating = threading.Lock()
        self._site = site
        self._judge = judge
        self._nodes = nodes
        self._proxies = proxies
        self._portal = portal
        self._version = 0
        self._lock = threading.Lock()

    def run(self, drawn: Series, ended: threading.Event) -> int:
        """Carry out a series; return how many steps there were time for."""
        source = random.Random(drawn.seed)
        step = {
            Kind.STOP: self._stop,
            Kind.HANG_UP: self._hang_up,
            Kind.CONFIGURE: self._configure,
            Kind.DRAIN: self._drain,
            Kind.KILL: self._kill,
            Kind.PAUSE: self._pause,
            Kind.SPOIL: self._spoil,
            Kind.RESET: self._reset,
            Kind.SILENCE: self._silence,
            Kind.STORE_FAULTS: self._spoil_store,
            Kind.FORGET: self._forget,
            Kind.CRASH: self._crash,
            Kind.SUSPEND: self._suspend,
            Kind.EVACUATE: self._evacuate,
            Kind.REBORN: self._begin_again,
            Kind.STRANGE: self._write_strange_entries,
            Kind.LIMIT: self._name_limit,
            Kind.LEAVE: self._leave,
            Kind.REST: self._request_backoff,
        }[drawn.kind]
        for number in range(drawn.steps):
            if ended.wait(drawn.gap):
                return number
            step(source)
        return drawn.steps

    def configure(self) -> None:
        """Write a new configuration, which has a route that no other one has."""
        with self._lock:
            self._version += 1
            own = platform_site.route(f"/only-{self._version}/", "plain")
            self._site.configure(self._version, [*platform_site.ROUTES, own])
            self._judge.note_version(self._version)

    def heal(self) -> None:
        """End what would last."""
        self._nodes.start_those_ended_at_start()
        self._site.store.faults.clear()
        for key in [key for key in self._site.store.rows if key[2].startswith(STRANGE_PREFIX)]:
            self._site.store.drop(*key)
        for upstream in self._site.upstreams:
            upstream.draining = False
            upstream.requested_backoff = 0.0
            upstream.name_limit(b"")
            if upstream.leaving:
                self._portal.start_task_soon(upstream.begin_again)
            self._site.list_upstream(upstream)

    def _any_node(self, source: random.Random) -> int:
        return source.randrange(len(self._site.nodes))

    # ------------------------------------------------------------------ planned

    def _stop(self, source: random.Random) -> None:
        self._nodes.end(self._any_node(source), signal.SIGTERM)

    def _hang_up(self, source: random.Random) -> None:
        self._nodes.signal(self._any_node(source), signal.SIGHUP)

    def _configure(self, source: random.Random) -> None:
        self.configure()

    def _drain(self, source: random.Random) -> None:
        """A back end begins to leave, or stays after all; one of its service is left."""
        upstream = source.choice(self._site.upstreams)
        with self._lock:
            others = [
                item
                for item in self._site.upstreams
                if item.service == upstream.service and item is not upstream and not item.draining
            ]
            upstream.draining = bool(others) and not upstream.draining
        self._site.list_upstream(upstream)

    def _evacuate(self, source: random.Random) -> None:
        """Nothing is to reach a zone's back ends for a while; the other zone has some of each."""
        with self._evacuating:
            began = time.monotonic()
            self._site.store.put("op", f"evacuate/{EVACUATED_ZONE}", b"{}")
            time.sleep(judging.EVACUATED)
            before = len(self._site.runs)
            time.sleep(source.uniform(*FAULT_SECONDS))
            later = self._site.runs[before:]
            self._site.store.drop("op", "", f"evacuate/{EVACUATED_ZONE}")
            in_zone = {item.name for item in self._site.upstreams if item.zone == EVACUATED_ZONE}
            if self._judge.is_calm_since(began):
                self._judge.note_evacuation([run for run, where in later if where in in_zone])

    # ------------------------------------------------------------------ unplanned

    def _begin_again(self, source: random.Random) -> None:
        """A back end ends, and starts again under its name, without keys and fences, or cold."""
        upstream = source.choice(self._site.upstreams)
        self._note_held_up(platform_site.DOWN_TIME)
        warmup = source.choice([0.0, *WARMUP_SECONDS])
        self._portal.call(upstream.begin_again, warmup)
        self._judge.note_unplanned()

    def _name_limit(self, source: random.Random) -> None:
        """Some back ends name another limit, or none any more; at times all of a service."""
        limit = source.choice(LIMITS)
        chosen = source.choice(self._site.upstreams)
        takes_all = source.random() < 0.3
        for upstream in self._site.upstreams:
            if upstream is chosen or (takes_all and upstream.service == chosen.service):
                upstream.name_limit(limit)

    def _leave(self, source: random.Random) -> None:
        """A back end announces in answers, and sometimes in its entry, that it leaves, and ends."""
        upstream = source.choice(self._site.upstreams)
        with self._lock:
            others = [
                item
                for item in self._site.upstreams
                if item.service == upstream.service and item is not upstream and not item.leaving
            ]
            if not others or upstream.down or upstream.leaving:
                return
            upstream.leaving = True
        if source.random() < 0.5:
            upstream.draining = True
            self._site.list_upstream(upstream)
        time.sleep(source.uniform(*LEAVING_SECONDS))
        self._note_held_up(platform_site.DOWN_TIME)
        upstream.draining = False
        self._portal.call(upstream.begin_again)
        self._judge.note_unplanned()

    def _request_backoff(self, source: random.Random) -> None:
        """One back end, or sometimes all of a service, rejects requests and requests back-off."""
        backoff = source.choice(BACKOFF_SECONDS)
        chosen = source.choice(self._site.upstreams)
        takes_all = source.random() < 0.3
        rejecting = [
            item
            for item in self._site.upstreams
            if item is chosen or (takes_all and item.service == chosen.service)
        ]
        for upstream in rejecting:
            upstream.requested_backoff = backoff
        time.sleep(source.uniform(*REJECTING_SECONDS))
        for upstream in rejecting:
            upstream.requested_backoff = 0.0

    def _write_strange_entries(self, source: random.Random) -> None:
        """Another writer's entries; sometimes one stands where a back end's own stood."""
        for number in range(source.randint(1, 3)):
            key = f"{STRANGE_PREFIX}{number}"
            self._site.store.put("servers", key, source.choice(STRANGE_ENTRIES))
        if source.random() < 0.3:
            upstream = source.choice(self._site.upstreams)
            self._judge.note_unplanned()
            self._site.store.put("servers", upstream.name, source.choice(STRANGE_ENTRIES))
            time.sleep(source.uniform(0.1, 0.8))
            self._site.list_upstream(upstream)
            self._judge.note_unplanned()

    def _kill(self, source: random.Random) -> None:
        self._judge.note_unplanned()
        count = source.choice([1, 1, 1, MOST_KILLED_AT_ONCE])
        for number in source.sample(range(len(self._site.nodes)), count):
            self._nodes.end(number, signal.SIGKILL)
        self._judge.note_unplanned()

    def _pause(self, source: random.Random) -> None:
        seconds = source.uniform(*PAUSE_SECONDS)
        node = self._any_node(source)
        process = self._site.nodes[node].process
        self._note_held_up(seconds)
        process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.signal(signal.SIGCONT)
        self._judge.note_unplanned()

    def _suspend(self, source: random.Random) -> None:
        """A machine sleeps: its processes stand still, and their timers do not count that."""
        seconds = source.uniform(*PAUSE_SECONDS)
        number, suspended = source.choice(list(self._suspendable.items()))
        with self._suspending:
            process = self._site.nodes[number].process
            self._note_held_up(seconds)
            process.signal(signal.SIGSTOP)
            began = time.monotonic()
            time.sleep(seconds)
            suspended.add(time.monotonic() - began)
            process.signal(signal.SIGCONT)
        self._judge.note_unplanned()

    def _crash(self, source: random.Random) -> None:
        """A request that ends back ends comes again and again, at any node."""
        body = platform_site.CRASHING + b"-%d" % source.getrandbits(32)
        path = source.choice(["/keyed/x", "/plain/x"])
        key = source.randrange(platform_site.KEYS)
        later = 0
        with httpx.Client(timeout=CRASH_PATIENCE, trust_env=False) as client:
            for _ in range(CRASH_REPEATS):
                later += self._send_crashing(client, source, path, body, key)
                time.sleep(CRASH_PAUSE)
        self._judge.note_crashes(body, later)

    def _send_crashing(
        self, client: httpx.Client, source: random.Random, path: str, body: bytes, key: int
    ) -> int:
        """Send it once; return how many back ends that were to be spared ended under it."""
        node = self._site.nodes[self._any_node(source)]
        before = self._site.crashes_under(body)
        began = time.monotonic()
        with contextlib.suppress(httpx.HTTPError):
            self._site.post(client, node, path, body, key)
        is_known = len(before) >= 3 and began > before[2] + judging.KNOWN
        if not is_known or not self._judge.is_calm_since(began - judging.KNOWN):
            return 0
        return len(self._site.crashes_under(body)) - len(before)

    def _spoil(self, source: random.Random) -> None:
        modes = [proxy.Mode.DELAY, proxy.Mode.CUT_REPLIES, proxy.Mode.SILENT]
        chosen = self._some_proxies(source)
        seconds = source.uniform(*FAULT_SECONDS)
        self._note_held_up(seconds)
        for item in chosen:
            item.mode = source.choice(modes)
        time.sleep(seconds)
        for item in chosen:
            item.mode = proxy.Mode.PASS
        self._judge.note_unplanned()

    def _reset(self, source: random.Random) -> None:
        self._judge.note_unplanned()
        for item in self._some_proxies(source):
            self._portal.call(item.reset_all)

    def _silence(self, source: random.Random) -> None:
        """Open connections go silent for good, and new ones work."""
        self._note_held_up(0.0)
        for item in self._some_proxies(source):
            self._portal.call(item.silence_all)

    def _spoil_store(self, source: random.Random) -> None:
        kinds = [
            row_store.Fault.REFUSE,
            row_store.Fault.OVER_RATE,
            row_store.Fault.LOSE_ANSWER,
            row_store.Fault.NONSENSE,
        ]
        self._judge.note_unplanned()
        self._site.store.faults.extend(source.choices(kinds, k=source.choice([3, 10, 40])))

    def _forget(self, source: random.Random) -> None:
        self._judge.note_unplanned()
        self._site.store.forgotten = self._site.store.version

    def _note_held_up(self, seconds: float) -> None:
        self._site.excuse(seconds)
        self._judge.note_unplanned(seconds)

    def _some_proxies(self, source: random.Random) -> list[proxy.FaultyProxy]:
        return source.sample(self._proxies, source.choice([1, 1, 2, 4]))
