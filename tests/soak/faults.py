"""Carries out the steps of a soak on node processes, proxies and a stand-in store."""

from __future__ import annotations

import base64
import contextlib
import json
import random
import signal
import socket
import threading
import time
from typing import TYPE_CHECKING

import httpx

from limedeck.node import election_calls
from limedeck_lab.standins import row_store
from tests.soak import judging, proxy
from tests.soak.series import Kind, Series
from tests.system import platform_site

if TYPE_CHECKING:
    from collections.abc import Callable

    import anyio.from_thread

    from tests.soak import suspendable_node

MAX_KILLED_AT_ONCE = 3
FAULT_SECONDS = (0.3, 3.0)
PAUSE_SECONDS = (0.5, 4.0)
CRASH_ATTEMPTS = 24
CRASH_RETRY_DELAY = 0.3
"""Seconds between two attempts with a request that crashes back ends.

All attempts together take about 10 s.
"""
CRASH_TIMEOUT = 4.0
"""Seconds for one of these attempts."""
PARTITION_SECONDS = (1.0, 6.0)
COPY_AGE_SECONDS = (0.5, 6.0)
ENTRY_RETURN_SECONDS = (0.2, 1.8)
LAPSE_SECONDS = 1.5
"""Seconds until entries lapse of back ends that have ended."""
WARMUP_SECONDS = (2.0, 5.0)
COLD_RATE = 4.0
"""Requests per second that a cold back end takes."""
LIMITS = (b"0", b"0.3", b"3.2", b"4.2", b"20", b"")
"""Requests per second that a back end states as its limit; empty: it states none."""
WHOLE_SERVICE_PROBABILITY = 0.3
LEAVING_SECONDS = (2.5, 5.0)
BACKOFF_SECONDS = (0.4, 1.0, 3.0)
REJECTING_SECONDS = (1.0, 6.0)
EVACUATED_ZONE = "z2"
FOREIGN_ENTRY_PREFIX = "strange-"
FOREIGN_ENTRY_VALUES = (
    b"",
    b"\xff\x00",
    b"{}",
    b'{"address": "127.0.0.1:1", "info": {"backend": "plain"}, "status": {}}',
    b'{"address": "127.0.0.1:1", "info": {"backend": "plain", "version": "v", "zone": "z1", '
    b'"slots": 2}, "status": {"state": "resting", "sequence": 1, "warmup_s_time": 0}}',
    b'{"address": "127.0.0.1:1", "born": "7", "info": {"backend": "plain", "version": "v", '
    b'"zone": "z1", "slots": 2}, "status": {"state": "ready", "sequence": 1, "warmup_s_time": 0}}',
)
"""Entries of other writers, none of which describes a back end."""
UNREADABLE_ROWS = (
    ("servers", f"{FOREIGN_ENTRY_PREFIX}nested", b'{"labels":' + b"[" * 60_000),
    ("servers", f"{FOREIGN_ENTRY_PREFIX}number", b'{"born":' + b"9" * 60_000 + b"}"),
    ("op", f"{FOREIGN_ENTRY_PREFIX}nested", b"[" * 60_000),
)
"""Rows of other writers that no decoder takes, each with its table and key."""
UNREADABLE_SECONDS = (0.5, 2.0)
INVALID_ADDRESSES = ("127.0.0.1:{beyond}", "0.0.0.0:{port}", "0177.0.0.1:{port}")
"""Addresses that no single server has; some layers take them for the port of a listener here."""
PORTS = 65_536
GARBAGE = b"\xff" + b"[" * 2000


class Nodes:
    """The processes of the nodes; a process that has ended is replaced by a new one.

    Parameters
    ----------
    start
        Starts a process of the node with this number.
    """

    def __init__(
        self, site: judging.JudgedSite, start: Callable[[int], platform_site.NodeProcess]
    ) -> None:
        self._site = site
        self._start = start
        self._locks: list[threading.Lock] = []

    def start_all(self, count: int) -> None:
        """Start the first process of each node."""
        self._locks = [threading.Lock() for _ in range(count)]
        for number in range(count):
            self._site.nodes.append(self._start(number))

    def end(self, number: int, how: signal.Signals) -> None:
        """End a node's process by a signal, wait until it has ended, and start the next one."""
        with self._locks[number]:
            process = self._site.nodes[number].process
            process.signal(how)
            process.wait()
            self._site.nodes[number] = self._start(number)

    def restart_nodes_ended_at_start(self) -> None:
        """Restart nodes that SIGHUP ended during interpreter start-up, as the platform does.

        Until the interpreter handles signals, about 60 ms on an idle machine, SIGHUP ends any
        process. A process that has written to its log ended by its own fault: it isn't restarted,
        so that the judge reports it.
        """
        for number, node in enumerate(self._site.nodes):
            code = node.process.process.poll()
            if code == -signal.SIGHUP and not node.process.log.read_bytes():
                with self._locks[number]:
                    self._site.nodes[number] = self._start(number)

    def signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to the node's current process, which may be about to stop."""
        self._site.nodes[number].process.signal(which)


class Faults:
    """Carries out the steps of series, several of which may run at the same time.

    Parameters
    ----------
    proxies
        Proxies in front of the back ends and of the store.
    suspendable
        By node number: the suspended time of machines that can be suspended.
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
        self._partitioning = threading.Lock()
        self._site = site
        self._judge = judge
        self._nodes = nodes
        self._proxies = proxies
        self._portal = portal
        self._version = 0
        self._lock = threading.Lock()
        self._unlisted = socket.create_server(("127.0.0.1", 0))
        self._unlisted.setblocking(False)

    def run(self, drawn: Series, ended: threading.Event) -> int:
        """Carry out a series until it or the soak ends; return the number of completed steps."""
        source = random.Random(drawn.seed)
        step = {
            Kind.STOP: self._stop,
            Kind.HANG_UP: self._hang_up,
            Kind.CONFIGURE: self._configure,
            Kind.DRAIN: self._drain,
            Kind.KILL: self._kill,
            Kind.PAUSE: self._pause,
            Kind.DEGRADE_CONNECTIONS: self._degrade_connections,
            Kind.RESET: self._reset,
            Kind.SILENCE: self._silence,
            Kind.STORE_FAULTS: self._add_store_faults,
            Kind.DROP_STORE_HISTORY: self._drop_store_history,
            Kind.CRASH: self._crash,
            Kind.SUSPEND: self._suspend,
            Kind.EVACUATE: self._evacuate,
            Kind.RESTART_BACKEND: self._restart_backend,
            Kind.FOREIGN_ENTRIES: self._write_foreign_entries,
            Kind.LIMIT: self._change_limit,
            Kind.LEAVE: self._leave,
            Kind.BACKOFF: self._request_backoff,
            Kind.RETURN_STORE: self._return_store,
            Kind.PARTITION: self._partition,
            Kind.UNPROVEN_STATUS: self._answer_with_unproven_status,
            Kind.SURPLUS_RESPONSES: self._send_surplus_responses,
            Kind.REPEAT_RESPONSES: self._repeat_responses,
            Kind.CUT_HEADS: self._cut_heads,
            Kind.UNREADABLE_ROWS: self._write_unreadable_rows,
            Kind.INVALID_ADDRESSES: self._write_invalid_address,
            Kind.LOSE_RECORD: self._lose_record,
        }[drawn.kind]
        for number in range(drawn.steps):
            if ended.wait(drawn.gap):
                return number
            step(source)
        return drawn.steps

    def configure(self) -> None:
        """Write a new configuration, with a route that no other configuration has."""
        with self._lock:
            self._version += 1
            own = platform_site.route(f"/only-{self._version}/", "plain")
            self._site.configure(self._version, [*self._site.routes, own])
            self._judge.record_version(self._version)

    def heal(self) -> None:
        """End all lasting faults."""
        with contextlib.suppress(BlockingIOError), self._unlisted:
            self._unlisted.accept()
            self._judge.record_unlisted_connection()
        self._nodes.restart_nodes_ended_at_start()
        self._site.store.faults.clear()
        for key in [
            key for key in self._site.store.rows if key[2].startswith(FOREIGN_ENTRY_PREFIX)
        ]:
            self._site.store.drop(*key)
        for upstream in self._site.upstreams:
            upstream.draining = False
            upstream.requested_backoff = 0.0
            upstream.status_after_run = 0
            upstream.state_limit(b"")
            if upstream.leaving:
                self._portal.start_task_soon(upstream.restart_under_same_name)
            self._site.list_upstream(upstream)

    def _choose_node(self, source: random.Random) -> int:
        return source.randrange(len(self._site.nodes))

    # ------------------------------------------------------------------ planned

    def _stop(self, source: random.Random) -> None:
        self._nodes.end(self._choose_node(source), signal.SIGTERM)

    def _hang_up(self, source: random.Random) -> None:
        self._nodes.signal(self._choose_node(source), signal.SIGHUP)

    def _configure(self, source: random.Random) -> None:
        self.configure()

    def _drain(self, source: random.Random) -> None:
        """Start or cancel the draining of a back end; one of its service never drains."""
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
        """Evacuate a zone for a while; the other zone has back ends of each service."""
        with self._evacuating:
            began = time.monotonic()
            self._site.store.put("op", f"evacuate/{EVACUATED_ZONE}", b"{}")
            time.sleep(judging.EVACUATION_TIME)
            before = len(self._site.runs)
            time.sleep(source.uniform(*FAULT_SECONDS))
            later = self._site.runs[before:]
            self._site.store.drop("op", "", f"evacuate/{EVACUATED_ZONE}")
            in_zone = {item.name for item in self._site.upstreams if item.zone == EVACUATED_ZONE}
            if self._judge.is_calm_since(began):
                self._judge.judge_evacuation([run for run, where in later if where in in_zone])

    # ------------------------------------------------------------------ unplanned

    def _restart_backend(self, source: random.Random) -> None:
        """Restart a back end under its name, without its keys and fences, and sometimes cold."""
        upstream = source.choice(self._site.upstreams)
        self._record_held_up(platform_site.DOWN_SECONDS)
        warmup = source.choice([0.0, *WARMUP_SECONDS])
        self._portal.call(upstream.restart_under_same_name, warmup)
        self._judge.record_unplanned_fault()

    def _change_limit(self, source: random.Random) -> None:
        """Change or remove the stated limit of one back end, or sometimes of a whole service."""
        limit = source.choice(LIMITS)
        for upstream in self._choose_upstreams(source):
            upstream.state_limit(limit)

    def _leave(self, source: random.Random) -> None:
        """Announce in responses, and sometimes the entry, that a back end leaves; restart it."""
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
        self._record_held_up(platform_site.DOWN_SECONDS)
        upstream.draining = False
        self._portal.call(upstream.restart_under_same_name)
        self._judge.record_unplanned_fault()

    def _request_backoff(self, source: random.Random) -> None:
        """Let one back end, or sometimes a whole service, reject requests and request back-off."""
        backoff = source.choice(BACKOFF_SECONDS)
        rejecting = self._choose_upstreams(source)
        for upstream in rejecting:
            upstream.requested_backoff = backoff
        time.sleep(source.uniform(*REJECTING_SECONDS))
        for upstream in rejecting:
            upstream.requested_backoff = 0.0

    def _write_foreign_entries(self, source: random.Random) -> None:
        """Write entries of another writer; sometimes one replaces a back end's own for a while."""
        for number in range(source.randint(1, 3)):
            key = f"{FOREIGN_ENTRY_PREFIX}{number}"
            self._site.store.put("servers", key, source.choice(FOREIGN_ENTRY_VALUES))
        if source.random() < 0.3:
            upstream = source.choice(self._site.upstreams)
            self._judge.record_unplanned_fault()
            self._site.store.put("servers", upstream.name, source.choice(FOREIGN_ENTRY_VALUES))
            time.sleep(source.uniform(0.1, 0.8))
            self._site.list_upstream(upstream)
            self._judge.record_unplanned_fault()

    def _write_unreadable_rows(self, source: random.Random) -> None:
        """Write a row of another writer that no decoder takes, for a while."""
        table, key, value = source.choice(UNREADABLE_ROWS)
        self._site.store.put(table, key, value)
        time.sleep(source.uniform(*UNREADABLE_SECONDS))
        self._site.store.drop(table, "", key)

    def _write_invalid_address(self, source: random.Random) -> None:
        """Write an entry that names no address of a single server, for a while."""
        port = self._unlisted.getsockname()[1]
        address = source.choice(INVALID_ADDRESSES).format(port=port, beyond=port + PORTS)
        service = source.choice(["keyed", "plain"])
        info = {"backend": service, "version": "v1", "zone": "z1", "slots": platform_site.SLOTS}
        status = {"state": "ready", "sequence": 1, "warmup_s_time": 0}
        body = {"address": address, "info": info, "status": status}
        key = f"{FOREIGN_ENTRY_PREFIX}address-{source.getrandbits(16)}"
        self._site.store.put("servers", key, json.dumps(body).encode())
        time.sleep(source.uniform(*UNREADABLE_SECONDS))
        self._site.store.drop("servers", "", key)

    def _lose_record(self, source: random.Random) -> None:
        """Drop the leader's record, or overwrite it with what is none."""
        self._judge.record_unplanned_fault()
        row = election_calls.LEADER_ROW
        if source.random() < 0.5:
            self._site.store.drop(row.table, row.part, row.key)
        else:
            self._site.store.put(row.table, row.key, GARBAGE)

    def _kill(self, source: random.Random) -> None:
        self._judge.record_unplanned_fault()
        count = source.choice([1, 1, 1, MAX_KILLED_AT_ONCE])
        for number in source.sample(range(len(self._site.nodes)), count):
            self._nodes.end(number, signal.SIGKILL)
        self._judge.record_unplanned_fault()

    def _pause(self, source: random.Random) -> None:
        seconds = source.uniform(*PAUSE_SECONDS)
        node = self._choose_node(source)
        process = self._site.nodes[node].process
        self._record_held_up(seconds)
        process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.signal(signal.SIGCONT)
        self._judge.record_unplanned_fault()

    def _suspend(self, source: random.Random) -> None:
        """Suspend a machine: its process is stopped, and its timers do not count that time."""
        seconds = source.uniform(*PAUSE_SECONDS)
        number, suspended = source.choice(list(self._suspendable.items()))
        with self._suspending:
            process = self._site.nodes[number].process
            self._record_held_up(seconds)
            process.signal(signal.SIGSTOP)
            began = time.monotonic()
            time.sleep(seconds)
            suspended.add(time.monotonic() - began)
            process.signal(signal.SIGCONT)
        self._judge.record_unplanned_fault()

    def _crash(self, source: random.Random) -> None:
        """Send a request that crashes back ends repeatedly, each time to a random node."""
        body = platform_site.CRASH_MARKER + b"-%d" % source.getrandbits(32)
        path = source.choice(["/keyed/x", "/plain/x"])
        key = source.randrange(platform_site.KEYS)
        later = 0
        with httpx.Client(timeout=CRASH_TIMEOUT, trust_env=False) as client:
            for _ in range(CRASH_ATTEMPTS):
                later += self._send_crashing(client, source, path, body, key)
                time.sleep(CRASH_RETRY_DELAY)
        self._judge.judge_later_crashes(body, later)

    def _send_crashing(
        self, client: httpx.Client, source: random.Random, path: str, body: bytes, key: int
    ) -> int:
        """Send the request; return how many back ends it crashed after all nodes must know it."""
        node = self._site.nodes[self._choose_node(source)]
        before = self._site.crash_times(body)
        began = time.monotonic()
        with contextlib.suppress(httpx.HTTPError):
            self._site.post(client, node, path, body, key)
        is_known = len(before) >= 3 and began > before[2] + judging.CRASH_UPDATE_TIME
        if not is_known or not self._judge.is_calm_since(began - judging.CRASH_UPDATE_TIME):
            return 0
        return len(self._site.crash_times(body)) - len(before)

    def _degrade_connections(self, source: random.Random) -> None:
        modes = [proxy.Mode.DELAY, proxy.Mode.DROP_RESPONSES, proxy.Mode.SILENT]
        chosen = self._choose_proxies(source)
        seconds = source.uniform(*FAULT_SECONDS)
        self._record_held_up(seconds)
        for item in chosen:
            item.mode = source.choice(modes)
        time.sleep(seconds)
        for item in chosen:
            item.mode = proxy.Mode.PASS
        self._judge.record_unplanned_fault()

    def _reset(self, source: random.Random) -> None:
        self._judge.record_unplanned_fault()
        for item in self._choose_proxies(source):
            self._portal.call(item.reset_all)

    def _silence(self, source: random.Random) -> None:
        """Silence open connections for good; new ones work."""
        self._record_held_up(0.0)
        for item in self._choose_proxies(source):
            self._portal.call(item.silence_all)

    def _add_store_faults(self, source: random.Random) -> None:
        kinds = [
            row_store.Fault.REFUSE,
            row_store.Fault.OVER_RATE,
            row_store.Fault.LOSE_RESPONSE,
            row_store.Fault.NONSENSE,
        ]
        self._judge.record_unplanned_fault()
        self._site.store.faults.extend(source.choices(kinds, k=source.choice([3, 10, 40])))

    def _drop_store_history(self, source: random.Random) -> None:
        self._judge.record_unplanned_fault()
        self._site.store.forgotten = self._site.store.version

    def _return_store(self, source: random.Random) -> None:
        """The store is away, and returns from a copy; writers write their rows again soon after."""
        store = self._site.store
        seconds = source.uniform(*FAULT_SECONDS)
        self._judge.record_unplanned_fault(seconds)
        with self._evacuating, self._lock:
            operator_rows = {key: row for key, row in store.rows.items() if key[0] == "op"}
            store.away = True
            time.sleep(seconds)
            store.return_from_copy(seconds + source.uniform(*COPY_AGE_SECONDS))
            store.away = False
            for key in [key for key in store.rows if key[0] == "op" and key not in operator_rows]:
                store.drop(*key)
            for (table, _, name), (value, _) in operator_rows.items():
                store.put(table, name, base64.b64decode(value))
        time.sleep(source.uniform(*ENTRY_RETURN_SECONDS))
        for upstream in self._site.upstreams:
            if not upstream.down:
                self._site.list_upstream(upstream)
        self._judge.record_unplanned_fault(LAPSE_SECONDS)
        time.sleep(LAPSE_SECONDS)
        names = {upstream.name for upstream in self._site.upstreams}
        for key in [key for key in store.rows if key[0] == "servers" and key[2] not in names]:
            if not key[2].startswith(FOREIGN_ENTRY_PREFIX):
                store.drop(*key)

    def _partition(self, source: random.Random) -> None:
        """Cut some nodes, most or all of them off from all back ends for a while."""
        nodes = self._site.nodes
        count = source.choice([1, len(nodes) // 2, len(nodes) - 1, len(nodes)])
        hosts = [node.host for node in source.sample(nodes, max(count, 1))]
        cut = source.choice(proxy.SOAK_CUTS)
        seconds = source.uniform(*PARTITION_SECONDS)
        with self._partitioning:
            self._record_held_up(seconds)
            for upstream in self._site.upstreams:
                if upstream.proxy is not None:
                    self._portal.call(upstream.proxy.cut_off, hosts, cut)
            time.sleep(seconds)
            for upstream in self._site.upstreams:
                if upstream.proxy is not None:
                    self._portal.call(upstream.proxy.reconnect)
            self._judge.record_unplanned_fault()

    def _answer_with_unproven_status(self, source: random.Random) -> None:
        """Let back ends answer requests that they ran with a status by which none has run."""
        status = source.choice(judging.NOT_RUN_STATUSES)
        answering = self._choose_upstreams(source)
        for upstream in answering:
            upstream.status_after_run = status
        time.sleep(source.uniform(*REJECTING_SECONDS))
        for upstream in answering:
            upstream.status_after_run = 0

    def _send_surplus_responses(self, source: random.Random) -> None:
        """Let surplus responses arrive in the place of responses to requests and orders."""
        self._change_responses(source, proxy.Mode.SURPLUS)

    def _repeat_responses(self, source: random.Random) -> None:
        """Let back ends reject requests once, and responses arrive twice."""
        rejecting = self._choose_upstreams(source)
        for upstream in rejecting:
            upstream.rejects_once = True
        self._change_responses(source, proxy.Mode.REPEAT_RESPONSES)
        for upstream in rejecting:
            upstream.rejects_once = False

    def _cut_heads(self, source: random.Random) -> None:
        """Let responses stop in the middle of their heads."""
        self._change_responses(source, proxy.Mode.CUT_HEADS)

    def _change_responses(self, source: random.Random, mode: proxy.Mode) -> None:
        """Let the proxies of some back ends change responses for a while."""
        proxies = [item.proxy for item in self._site.upstreams if item.proxy is not None]
        chosen = source.sample(proxies, source.choice([1, 2, len(proxies)]))
        seconds = source.uniform(*FAULT_SECONDS)
        self._site.record_lost_responses(seconds)
        self._judge.record_unplanned_fault(seconds)
        for item in chosen:
            item.mode = mode
        time.sleep(seconds)
        for item in chosen:
            item.mode = proxy.Mode.PASS
        self._judge.record_unplanned_fault()

    def _record_held_up(self, seconds: float) -> None:
        self._site.record_held_up(seconds)
        self._judge.record_unplanned_fault(seconds)

    def _choose_upstreams(self, source: random.Random) -> list[platform_site.Upstream]:
        """Choose one back end, or sometimes a whole service."""
        chosen = source.choice(self._site.upstreams)
        is_whole_service = source.random() < WHOLE_SERVICE_PROBABILITY
        return [
            item
            for item in self._site.upstreams
            if item is chosen or (is_whole_service and item.service == chosen.service)
        ]

    def _choose_proxies(self, source: random.Random) -> list[proxy.FaultyProxy]:
        return source.sample(self._proxies, source.choice([1, 1, 2, 4]))
