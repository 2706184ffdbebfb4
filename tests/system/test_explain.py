"""The `explain` command on logs of node processes, for three kinds of failed request."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest
from cleo.testers.application_tester import ApplicationTester

from limedeck_lab.application import build_application
from limedeck_lab.processes import wait_until
from tests.system import platform_site

NODES = 3
KEYED = 2
PLAIN = 2
KEY = 777
DEADLINE_MS = "600"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, KEYED, PLAIN, NODES) as running:
        yield running


def explain(subject: str, logs: Path) -> str:
    tester = ApplicationTester(build_application())
    tester.execute(f"explain {subject} {logs}")
    return tester.io.fetch_output()


class Caller:
    """Sends requests with known ids.

    Attributes
    ----------
    status
        Status of the last response.
    """

    def __init__(self, site: platform_site.Site) -> None:
        self._site = site
        self._numbers = itertools.count(1)
        self.status = 0

    def send(self, path: str) -> str:
        """Send a request to the first node; return its id."""
        request = f"{next(self._numbers):016x}"
        headers = {
            "host": "h.example",
            "x-attempt-id": request,
            "x-deadline-ms": DEADLINE_MS,
            "x-shard-key": str(KEY),
        }
        url = f"http://{self._site.nodes[0].callers}{path}"
        self.status = httpx.get(url, headers=headers, timeout=4.0, trust_env=False).status_code
        return request

    def send_until(self, path: str, status: int) -> str:
        """Send requests until one ends with this status; return its id."""
        request = ""

        def has_status() -> bool:
            nonlocal request
            request = self.send(path)
            return self.status == status

        wait_until(has_status, f"a request ends with status {status}")
        return request


def test_request_refused_because_of_the_limits_of_all_back_ends(
    site: platform_site.Site, tmp_path: Path
) -> None:
    limited = [item for item in site.upstreams if not item.keyed]
    for upstream in limited:
        upstream.state_limit(b"0")
    request = Caller(site).send_until("/plain/x", 503)
    explanation = explain(request, tmp_path)
    assert "came in for plain, route" in explanation
    assert "refused; no back end has run it" in explanation
    assert "no back end that could run it had room: they name limits, or are cold" in explanation
    assert any(f"({item.name} takes 0" in explanation for item in limited)


def test_request_whose_back_end_does_not_respond(site: platform_site.Site, tmp_path: Path) -> None:
    for upstream in site.upstreams:
        upstream.silent = not upstream.keyed
    request = Caller(site).send_until("/plain/x", 504)
    explanation = explain(request, tmp_path)
    assert "failed: it was sent, and no usable answer came (out of time" in explanation
    assert "given up; a back end may have run it: its time was over" in explanation


def test_request_for_a_key_whose_owner_has_ended(site: platform_site.Site, tmp_path: Path) -> None:
    caller = Caller(site)
    caller.send_until("/keyed/x", 200)
    owner = next(item for item in site.upstreams if item.name == site.runs[-1][1])
    site.restart_cold(owner, 0.0)
    request = caller.send_until("/keyed/x", 503)
    explanation = explain(request, tmp_path)
    assert f"route r/keyed/, key {KEY}, by owners of term " in explanation
    assert "refused; no back end has run it" in explanation
    key_history = explain(f"keyed:{KEY}", tmp_path)
    assert f"to {owner.name}: first assignment" in key_history
    assert "elected leader of term 1: there was none" in key_history
