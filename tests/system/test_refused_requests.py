"""Refusals of real nodes: what a caller is told not to have run has not run, and never will."""

from __future__ import annotations

import collections
import dataclasses
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import wait_until
from tests.soak import callers, judging, proxy
from tests.system import platform_site

CALLERS = 6
REQUESTS_PER_CALLER = 40
MAX_ATTEMPTS = 3
"""Attempts of a caller at one request, each with an id of its own."""
DISTURBED_SECONDS = 8.0
"""Seconds for which callers send requests while something goes wrong again and again."""
RUNNING_SECONDS, THROTTLED_SECONDS = 0.03, 0.07
PIPELINED = 4
"""Requests that a caller sends at once."""
HOT_KEY = 7
LATE_RUN_TIME = 1.0
"""Seconds within which a refused request that was sent all the same would have run."""


@dataclasses.dataclass
class Outcomes:
    """What became of the attempts of callers.

    Parameters
    ----------
    statuses
        What the caller was told, by the id of the attempt; zero: nothing.
    runs
        How often back ends ran it.
    """

    statuses: dict[str, int] = dataclasses.field(default_factory=dict)
    runs: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def promised(self) -> set[str]:
        """Return the attempts that were refused with a promise."""
        return {
            attempt
            for attempt, status in self.statuses.items()
            if status in judging.NOT_RUN_STATUSES
        }


Call = Callable[[platform_site.Site, random.Random, int, Outcomes], None]
"""What one caller does, given its source of random numbers and its number."""


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[platform_site.Site]:
    folder: Path = tmp_path_factory.mktemp("site")
    with platform_site.running_site(folder, own_hosts=True) as running:
        yield running


@pytest.fixture(autouse=True)
def healthy(site: platform_site.Site) -> Iterator[None]:
    yield
    site.reconnect()
    site.store.away = False
    for upstream in site.upstreams:
        upstream.status_after_run = 0
        upstream.queue_length = None
        upstream.rejects_once = False
        upstream.service_seconds = platform_site.SERVICE_SECONDS
        if upstream.proxy is not None:
            upstream.proxy.mode = proxy.Mode.PASS
    site.configure(site.version + 1, platform_site.ROUTES)
    site.restart_nodes()
    wait_until(lambda: all(node.is_ready() for node in site.nodes), "nodes are ready")
    wait_until(site.all_keys_are_owned, "all keys have owners")


def play(
    site: platform_site.Site, seed: int, call: Call | None = None, callers_count: int = CALLERS
) -> Outcomes:
    """Have callers send requests that may run once; by default they return after refusals."""
    outcomes = Outcomes()
    before = len(site.runs)
    threads = [
        threading.Thread(
            target=call or return_after_refusals,
            args=(site, random.Random(seed + number), number, outcomes),
        )
        for number in range(callers_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(LATE_RUN_TIME)
    ran = (attempt for attempt, _ in site.runs[before:])
    outcomes.runs.update(attempt for attempt in ran if attempt in outcomes.statuses)
    return outcomes


def return_after_refusals(
    site: platform_site.Site, source: random.Random, number: int, outcomes: Outcomes
) -> None:
    """Send requests one after the other, and return with each that is refused."""
    end = time.monotonic() + DISTURBED_SECONDS
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for request in range(REQUESTS_PER_CALLER):
            if time.monotonic() > end:
                return
            path = source.choice(platform_site.ONCE_PATHS)
            key = source.randrange(platform_site.KEYS)
            for attempt in range(MAX_ATTEMPTS):
                attempt_id = f"{number:04x}{source.getrandbits(24):06x}{request:04x}{attempt:02x}"
                node = source.choice(site.nodes)
                status = _send(client, node, path, key, attempt_id)
                outcomes.statuses[attempt_id] = status
                if status not in judging.NOT_RUN_STATUSES:
                    break


def send_to_one_owner(
    site: platform_site.Site, source: random.Random, number: int, outcomes: Outcomes
) -> None:
    """Send requests for one key to the first node one after the other."""
    end = time.monotonic() + DISTURBED_SECONDS
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for request in range(REQUESTS_PER_CALLER):
            if time.monotonic() > end:
                return
            attempt_id = f"{number:04x}{source.getrandbits(24):06x}{request:06x}"
            outcomes.statuses[attempt_id] = _send(
                client, site.nodes[0], platform_site.ONCE_PATHS[1], HOT_KEY, attempt_id
            )


def _send(
    client: httpx.Client, node: platform_site.NodeProcess, path: str, key: int, attempt_id: str
) -> int:
    try:
        url = f"http://{node.callers}{path}"
        return client.get(url, headers=_headers(attempt_id, key)).status_code
    except httpx.TransportError:
        return 0


def _headers(attempt_id: str, key: int) -> dict[str, str]:
    return {
        "host": "h.example",
        "x-attempt-id": attempt_id,
        "x-deadline-ms": "2000",
        "x-shard-key": str(key),
    }


def send_several_at_once(
    site: platform_site.Site, source: random.Random, number: int, outcomes: Outcomes
) -> None:
    """Send several requests at once on a connection, and again with new ids."""
    for group in range(REQUESTS_PER_CALLER // PIPELINED):
        ids = [f"{number:04x}{group:06x}{i:06x}" for i in range(PIPELINED)]
        requests = [
            callers.Request(
                source.choice(platform_site.ONCE_PATHS),
                _headers(attempt_id, source.randrange(platform_site.KEYS)),
            )
            for attempt_id in ids
        ]
        found = callers.exchange_pipelined(source.choice(site.nodes).callers, requests)
        for attempt_id, outcome in zip(ids, found, strict=True):
            outcomes.statuses[attempt_id] = outcome.status


def assert_promises_kept(outcomes: Outcomes) -> None:
    """Assert that nothing refused with a promise has run, and nothing has run twice."""
    refused_and_ran = outcomes.promised() & set(outcomes.runs)
    ran_again = {attempt for attempt, times in outcomes.runs.items() if times > 1}
    assert (len(refused_and_ran), len(ran_again)) == (0, 0), (refused_and_ran, ran_again)


def answer_after_run(status: int) -> Callable[[platform_site.Site], None]:
    """Have back ends run requests and answer with a status that states nothing."""

    def prepare(site: platform_site.Site) -> None:
        for upstream in site.upstreams:
            upstream.status_after_run = status

    return prepare


def send_surplus(site: platform_site.Site) -> None:
    """Have surplus responses arrive in the place of the next one."""
    for upstream in site.upstreams:
        if upstream.proxy is not None:
            upstream.proxy.mode = proxy.Mode.SURPLUS


def cut_off_first_node(site: platform_site.Site) -> None:
    """Cut a node off from all back ends, so that its attempts go through other nodes."""
    site.cut_off(site.nodes[:1], proxy.Cut.RESET)
    time.sleep(1.0)


def surplus_through_others(site: platform_site.Site) -> None:
    """Have surplus responses arrive at nodes that make attempts for another one."""
    cut_off_first_node(site)
    send_surplus(site)


def status_through_others(site: platform_site.Site) -> None:
    """Have a node get a status that states nothing through other nodes."""
    cut_off_first_node(site)
    answer_after_run(503)(site)


@pytest.mark.parametrize(
    "prepare",
    [
        *(
            pytest.param(answer_after_run(status), id=f"status-{status}")
            for status in judging.NOT_RUN_STATUSES
        ),
        pytest.param(send_surplus, id="surplus"),
        pytest.param(status_through_others, id="status-503-through-others"),
        pytest.param(surplus_through_others, id="surplus-through-others"),
    ],
)
def test_request_that_a_back_end_ran_is_never_refused_as_not_run_nor_sent_again(
    site: platform_site.Site, prepare: Callable[[platform_site.Site], None]
) -> None:
    prepare(site)
    outcomes = play(site, seed=6601)
    assert set(outcomes.statuses.values()) != {200}
    assert_promises_kept(outcomes)


def test_requests_that_full_back_ends_reject_by_a_statement_are_promised_not_to_have_run(
    site: platform_site.Site,
) -> None:
    for upstream in site.upstreams:
        upstream.queue_length = 0
    outcomes = play(site, seed=6602)
    assert outcomes.promised()
    assert 502 not in outcomes.statuses.values()
    assert_promises_kept(outcomes)


def test_pipelined_request_that_may_run_once_is_never_refused_after_it_ran(
    site: platform_site.Site,
) -> None:
    send_surplus(site)
    for upstream in (site.upstreams[0], site.upstreams[-1]):
        # It rejects all requests, so that there are refusals whatever the load.
        upstream.queue_length = 0
    outcomes = play(site, seed=6603, call=send_several_at_once)
    assert outcomes.promised()
    assert_promises_kept(outcomes)


def repeat_rejections(site: platform_site.Site) -> None:
    """Have rejections arrive again in the place of the next response.

    A request is sent to the same owner again after a rejection if routes of different priorities
    share the service.
    """
    site.configure(site.version + 1, platform_site.ROUTES_OF_TWO_PRIORITIES)
    time.sleep(1.0)
    for upstream in site.upstreams:
        upstream.rejects_once = True
        if upstream.proxy is not None:
            upstream.proxy.mode = proxy.Mode.REPEAT_RESPONSES


def repeat_rejections_to_others(site: platform_site.Site) -> None:
    """Have repeated rejections arrive at nodes that make attempts for another one."""
    cut_off_first_node(site)
    repeat_rejections(site)


@pytest.mark.parametrize(
    ("prepare", "seed"),
    [
        pytest.param(repeat_rejections, 7201, id="direct"),
        pytest.param(repeat_rejections_to_others, 7202, id="through-others"),
    ],
)
def test_repeated_rejection_is_not_taken_for_the_answer_to_the_next_attempt(
    site: platform_site.Site, prepare: Callable[[platform_site.Site], None], seed: int
) -> None:
    prepare(site)
    outcomes = play(site, seed, send_to_one_owner, callers_count=1)
    repeated = sum(upstream.proxy.surplus_sent for upstream in site.upstreams if upstream.proxy)
    assert repeated > 0
    assert_promises_kept(outcomes)


def end_nodes(site: platform_site.Site, ended: threading.Event) -> None:
    """Stop and kill nodes in turn while requests run there, and start them again."""
    number = 0
    while not ended.wait(0.5):
        process = site.nodes[number % len(site.nodes)].process
        process.signal(signal.SIGKILL if number % 2 else signal.SIGTERM)
        process.wait()
        site.restart_nodes()
        number += 1


def throttle_nodes(site: platform_site.Site, ended: threading.Event) -> None:
    """Let nodes run for a part of the time, as with a quota of processor time."""
    while not ended.wait(RUNNING_SECONDS):
        for node in site.nodes:
            node.process.signal(signal.SIGSTOP)
        time.sleep(THROTTLED_SECONDS)
        for node in site.nodes:
            node.process.signal(signal.SIGCONT)


def restart_backends(site: platform_site.Site, ended: threading.Event) -> None:
    """End back ends while requests wait at them, and start them without their keys."""
    number = 0
    while not ended.wait(0.6):
        site.restart_cold(site.upstreams[number % len(site.upstreams)], 0.0)
        number += 1


def lose_store_and_backends(site: platform_site.Site, ended: threading.Event) -> None:
    """Let the store be away again and again, and end back ends meanwhile."""
    while not ended.wait(0.5):
        site.store.away = True
        site.restart_cold(site.upstreams[0], 0.0)
        ended.wait(1.5)
        site.store.away = False


def reset_connections(site: platform_site.Site, ended: threading.Event) -> None:
    """Reset all connections to back ends again and again, whatever runs on them."""
    while not ended.wait(0.25):
        for upstream in site.upstreams:
            if upstream.proxy is not None:
                site.start_soon(upstream.proxy.reset_all)


def hold_bytes(site: platform_site.Site, ended: threading.Event) -> None:
    """Deliver bytes late again and again, also those of connections that nodes have given up."""
    while not ended.wait(0.3):
        for mode in (proxy.Mode.DELAY, proxy.Mode.PASS):
            for upstream in site.upstreams:
                if upstream.proxy is not None:
                    upstream.proxy.mode = mode
            ended.wait(0.6)


def starve_processes(site: platform_site.Site, ended: threading.Event) -> None:
    """Keep all processors busy with other processes, while connections are reset."""
    command = [
        sys.executable,
        "-c",
        f"import time\nend = time.time() + {DISTURBED_SECONDS}\nwhile time.time() < end: pass",
    ]
    busy = [subprocess.Popen(command) for _ in range(2 * (os.cpu_count() or 1))]
    try:
        reset_connections(site, ended)
    finally:
        for process in busy:
            process.kill()
            process.wait()


@pytest.mark.parametrize(
    "disturb",
    [
        throttle_nodes,
        reset_connections,
        restart_backends,
        lose_store_and_backends,
        end_nodes,
        hold_bytes,
        starve_processes,
    ],
    ids=lambda disturb: disturb.__name__,
)
def test_promises_hold_while_full_back_ends_reject_and(
    site: platform_site.Site, disturb: Callable[[platform_site.Site, threading.Event], None]
) -> None:
    for upstream in site.upstreams:
        upstream.queue_length = 1
        upstream.service_seconds = 0.15
    ended = threading.Event()
    disturbing = threading.Thread(target=disturb, args=(site, ended))
    disturbing.start()
    try:
        outcomes = play(site, seed=6604)
    finally:
        ended.set()
        disturbing.join()
    assert outcomes.promised()
    assert outcomes.runs
    assert_promises_kept(outcomes)
