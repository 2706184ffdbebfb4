"""Back ends that stop in the middle of a response's head, in front of real nodes."""

from __future__ import annotations

import collections
import time
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from limedeck_lab.processes import wait_until
from tests.soak import proxy
from tests.system import platform_site

REQUESTS = 300
PATHS = ("/keyed/x", "/keyed-once/x", "/plain/x")
METHODS = ("GET", "HEAD", "GET")
OTHER_ENDINGS = frozenset({502, 503, 504})


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[platform_site.Site]:
    folder: Path = tmp_path_factory.mktemp("site")
    with platform_site.running_site(folder, own_hosts=True) as running:
        yield running


@pytest.fixture(params=["direct", "through-others"])
def cutting_site(
    site: platform_site.Site, request: pytest.FixtureRequest
) -> Iterator[platform_site.Site]:
    """The site, whose back ends cut heads; the first node may be cut off from all of them."""
    if request.param == "through-others":
        site.cut_off(site.nodes[:1], proxy.Cut.RESET)
        time.sleep(1.0)
    for upstream in site.upstreams:
        if upstream.proxy is not None:
            upstream.proxy.mode = proxy.Mode.CUT_HEADS
    yield site
    site.reconnect()
    for upstream in site.upstreams:
        if upstream.proxy is not None:
            upstream.proxy.mode = proxy.Mode.PASS
    wait_until(site.all_keys_are_owned, "all keys have owners")


def test_response_whose_head_is_cut_reaches_no_caller_as_a_whole_one(
    cutting_site: platform_site.Site,
) -> None:
    site = cutting_site
    statuses: collections.Counter[int] = collections.Counter()
    cut_before = sum(item.proxy.cut_heads for item in site.upstreams if item.proxy)
    with httpx.Client(timeout=4.0, trust_env=False) as client:
        for number in range(REQUESTS):
            method = METHODS[number % len(METHODS)]
            path = PATHS[number // len(METHODS) % len(PATHS)]
            headers = site.headers(number * 997 % platform_site.KEYS)
            url = f"http://{site.nodes[0].callers}{path}"
            response = client.request(method, url, headers=headers)
            statuses[response.status_code] += 1
            if response.status_code in OTHER_ENDINGS:
                continue
            whole = headers["x-attempt-id"].encode() + b":"
            assert response.status_code == 200
            assert response.headers["x-attempt-id"] == headers["x-attempt-id"]
            assert response.headers["x-upstream-signature"]
            assert response.headers["content-length"] == str(len(whole))
            assert response.content == (b"" if method == "HEAD" else whole)
    cut = sum(item.proxy.cut_heads for item in site.upstreams if item.proxy) - cut_before
    assert cut >= REQUESTS / 10
    assert statuses[200] >= REQUESTS / 10
    ran = collections.Counter(request for request, _ in site.runs)
    assert max(ran.values()) > 1, "no safe request was repeated"
