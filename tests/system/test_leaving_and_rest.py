"""Leaving announcements and back-off requests in back ends' responses, with node processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from limedeck_lab.standins.row_store import Fault
from tests.soak import statement_judging
from tests.system import platform_site
from tests.system.paced_callers import THREADS, PacedCallers
from tests.system.test_crashing_requests import is_leader

NODES = 5
KEYED = 3
UNKEYED = 6
RATE = 60.0
"""Requests per second from all callers."""
OBSERVATION_SECONDS = 7.0
BACKOFF_SECONDS = 3.0
STORE_FAULTS = 100_000
KEYS = range(0, platform_site.KEYS, 997)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, KEYED, UNKEYED, NODES) as running:
        yield running


@contextmanager
def store_unavailable(site: platform_site.Site) -> Iterator[None]:
    site.store.faults.extend([Fault.REFUSE] * STORE_FAULTS)
    try:
        yield
    finally:
        site.store.faults.clear()


def unkeyed_upstreams(site: platform_site.Site) -> list[platform_site.Upstream]:
    return [item for item in site.upstreams if not item.keyed]


def late_requests(site: platform_site.Site, callers: PacedCallers) -> list[str]:
    return statement_judging.requests_after_leaving(site.upstreams, callers.sent)


def backoff_violations(site: platform_site.Site, callers: PacedCallers) -> list[str]:
    return statement_judging.requests_during_backoff(site.upstreams, callers.sent)


def test_back_end_that_announces_leaving_gets_no_later_request(
    site: platform_site.Site,
) -> None:
    """The store entry stays unchanged, so that only the responses announce it."""
    with PacedCallers(site, "/plain/x", RATE).calling() as callers:
        time.sleep(1.0)
        for upstream in unkeyed_upstreams(site)[:2]:
            upstream.leaving = True
        time.sleep(OBSERVATION_SECONDS)
    assert all(upstream.leaving_responses for upstream in unkeyed_upstreams(site)[:2])
    assert late_requests(site, callers) == []
    assert callers.statuses[200] == callers.statuses.total()


def test_owner_that_announces_leaving_gets_no_later_request_without_store(
    site: platform_site.Site,
) -> None:
    owner = next(item for item in site.upstreams if item.holds(0))
    with PacedCallers(site, "/keyed/x", RATE).calling() as callers:
        time.sleep(1.0)
        with store_unavailable(site):
            time.sleep(1.0)
            owner.leaving = True
            time.sleep(OBSERVATION_SECONDS)
    assert owner.leaving_responses
    assert late_requests(site, callers) == []
    assert set(callers.statuses) <= {200, 503}


def test_keys_of_an_owner_that_announces_leaving_move_though_the_leader_is_killed(
    site: platform_site.Site,
) -> None:
    owner = next(item for item in site.upstreams if item.holds(0))
    with PacedCallers(site, "/keyed/x", RATE).calling() as callers:
        time.sleep(1.0)
        owner.leaving = True
        next(node for node in site.nodes if is_leader(node)).process.signal(signal.SIGKILL)
        time.sleep(OBSERVATION_SECONDS)
    assert late_requests(site, callers) == []
    assert site.ownership_conflicts == []
    assert set(callers.statuses) <= {0, 200, 503}
    assert callers.statuses[0] <= THREADS
    assert not owner.holds(0)
    with PacedCallers(site, "/keyed/x", RATE).calling() as later:
        time.sleep(1.0)
    assert set(later.statuses) == {200}


def test_a_back_end_that_asks_for_rest_gets_it_and_others_take_its_work(
    site: platform_site.Site,
) -> None:
    with PacedCallers(site, "/plain/x", RATE).calling() as callers:
        time.sleep(1.0)
        for upstream in unkeyed_upstreams(site)[:2]:
            upstream.requested_backoff = BACKOFF_SECONDS
        time.sleep(OBSERVATION_SECONDS)
    assert all(upstream.backoff_requests for upstream in unkeyed_upstreams(site)[:2])
    assert backoff_violations(site, callers) == []
    assert callers.statuses[200] >= 0.99 * callers.statuses.total()


def test_service_whose_back_ends_all_request_backoff_gets_it(site: platform_site.Site) -> None:
    with PacedCallers(site, "/plain/x", RATE).calling() as callers:
        time.sleep(1.0)
        for upstream in unkeyed_upstreams(site):
            upstream.requested_backoff = BACKOFF_SECONDS
        time.sleep(OBSERVATION_SECONDS)
    assert backoff_violations(site, callers) == []
    assert set(callers.statuses) == {200, 503}


def test_owner_that_requests_backoff_gets_it_and_its_keys_move(site: platform_site.Site) -> None:
    owner = next(item for item in site.upstreams if item.holds(0))
    with PacedCallers(site, "/keyed/x", RATE, KEYS).calling() as callers:
        time.sleep(1.0)
        owner.requested_backoff = BACKOFF_SECONDS
        time.sleep(OBSERVATION_SECONDS)
    assert owner.backoff_requests
    assert backoff_violations(site, callers) == []
    assert set(callers.statuses) <= {200, 503}
    with PacedCallers(site, "/keyed/x", RATE, KEYS).calling() as later:
        time.sleep(1.0)
    assert later.statuses[200] >= 0.9 * later.statuses.total()
