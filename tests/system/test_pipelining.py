"""Callers that send several requests at once, with node processes."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.soak import callers
from tests.system import platform_site

WORK = 0.15
"""Seconds for which back ends work on a request."""
FIVE_AT_ONCE = 0.3
"""Seconds in which five requests of one connection must be answered."""
ROUNDS = 5
SAFE = "/repeatable/x"
UNSAFE = "/plain/x"


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[platform_site.Site]:
    folder: Path = tmp_path_factory.mktemp("pipelining")
    with platform_site.running_site(folder, keyed=1, plain=6, nodes=3) as running:
        running.configure(2, [*platform_site.ROUTES, platform_site.route("/repeatable/", "plain")])
        for upstream in running.upstreams:
            upstream.service_seconds = WORK
        time.sleep(1.0)
        yield running


def send(
    site: platform_site.Site, node: int, *paths: str
) -> tuple[list[str], list[callers.Outcome]]:
    """Send requests at once; return their ids and outcomes."""
    requests = [callers.Request(path, site.headers(0)) for path in paths]
    outcomes = callers.exchange_pipelined(site.nodes[node].callers, requests)
    return [request.headers["x-attempt-id"] for request in requests], outcomes


def runs_of(site: platform_site.Site, request_id: str) -> int:
    return sum(item == request_id for item, _ in site.runs)


def test_five_at_once_are_answered_in_the_time_of_two(site: platform_site.Site) -> None:
    send(site, 0, SAFE)
    for _ in range(ROUNDS):
        ids, outcomes = send(site, 0, *[SAFE] * 5)
        assert [outcome.status for outcome in outcomes] == [200] * 5
        assert [outcome.request_id for outcome in outcomes] == ids
        assert outcomes[-1].ended - outcomes[-1].began < FIVE_AT_ONCE


def test_mixed_requests_are_answered_in_order_and_run_once(site: platform_site.Site) -> None:
    ids, outcomes = send(site, 0, SAFE, SAFE, UNSAFE, SAFE, UNSAFE)
    assert [outcome.status for outcome in outcomes] == [200] * 5
    assert [outcome.request_id for outcome in outcomes] == ids
    assert [runs_of(site, item) for item in ids] == [1] * 5
    # The two that run alone wait for those before them.
    assert outcomes[-1].ended - outcomes[-1].began >= 4 * WORK


def test_refused_request_in_the_middle_has_its_response_in_its_place(
    site: platform_site.Site,
) -> None:
    ids, outcomes = send(site, 0, SAFE, "/unknown/x", SAFE)
    assert [outcome.status for outcome in outcomes] == [200, 404, 200]
    assert [outcomes[0].request_id, outcomes[2].request_id] == [ids[0], ids[2]]


def test_fifty_at_once_are_answered_in_order(site: platform_site.Site) -> None:
    """The back ends have room for twelve; what is refused must not have run."""
    ids, outcomes = send(site, 0, *[SAFE] * 50)
    assert {outcome.ending for outcome in outcomes} == {callers.Ending.RESPONDED}
    for request_id, outcome in zip(ids, outcomes, strict=True):
        assert outcome.status in (200, 503)
        if outcome.status == 200:
            assert outcome.request_id == request_id
        else:
            assert runs_of(site, request_id) == 0
    assert sum(outcome.status == 200 for outcome in outcomes) >= 12


def test_stop_in_the_middle_answers_all_and_closes_behind_the_last(
    site: platform_site.Site,
) -> None:
    """The last test of the site: the node does not come back."""
    results: list[tuple[list[str], list[callers.Outcome]]] = []
    paths = [SAFE, SAFE, UNSAFE, SAFE, UNSAFE, SAFE]
    sender = threading.Thread(target=lambda: results.append(send(site, 2, *paths)))
    sender.start()
    time.sleep(WORK / 2)
    site.nodes[2].process.signal(signal.SIGTERM)
    sender.join()
    ((ids, outcomes),) = results
    assert [outcome.status for outcome in outcomes] == [200] * len(paths)
    assert [outcome.request_id for outcome in outcomes] == ids
    assert [outcome.closes for outcome in outcomes] == [False] * (len(paths) - 1) + [True]
    assert [runs_of(site, item) for item in ids] == [1] * len(paths)
