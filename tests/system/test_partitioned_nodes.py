"""Node processes that lose their links to the back ends, while callers, store and nodes reach them.

The first seconds of a cut are judged apart: nodes have to find out that they are cut off.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import os
import signal
import time
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from pathlib import Path

import pytest

from tests.soak import statement_judging
from tests.soak.proxy import Cut
from tests.system import platform_site
from tests.system.paced_callers import CallResult, PacedCallers
from tests.system.test_crashing_requests import is_leader

NODES = 5
CUT_OFF = 3
KEYED = 5
UNKEYED = 5
RATE = 40.0
"""Requests per second for each service."""
CUT_SECONDS = 8.0
DETECTION_SECONDS = 3.0
RECOVERY_SECONDS = 3.0
EARLY_SHARE = 0.7
"""Least part of the requests at nodes cut off that is served before `DETECTION_SECONDS`."""
SERVED_SHARE = 0.97
"""Least part that is served later, at every node."""
IMMEDIATE_SECONDS = 0.2
LIMIT = b"4"
"""Requests per second that a back end states as its limit."""
LIMIT_WINDOW = 4.0
MAX_LIMITED_ARRIVALS = 1.5 * 4 * LIMIT_WINDOW + 5
CASES = tuple(itertools.product(Cut, (False, True)))
"""Cuts, and whether the leader is among the nodes cut off."""
CASES_BY_HAND = ((Cut.RESET_ON_REQUEST, False), (Cut.RESET_LATE, False))
"""Run only if `LIMEDECK_ALL_CUTS` is set: cutting the leader off as well asks for more."""
ALL_CASES = bool(os.environ.get("LIMEDECK_ALL_CUTS"))
KEYS = range(0, platform_site.KEYS, 997)


def case_id(value: Cut | bool) -> str:
    """Return the part of a case's name for one of its values."""
    if isinstance(value, Cut):
        return value.value
    return "leader-cut" if value else "leader-reaches"


@pytest.fixture
def site(tmp_path: Path) -> Iterator[platform_site.Site]:
    with platform_site.running_site(tmp_path, KEYED, UNKEYED, NODES, own_hosts=True) as running:
        yield running


@dataclasses.dataclass
class Observation:
    """Requests around a cut.

    Parameters
    ----------
    cut_at, healed_at, ended_at
        On the test's clock, in seconds.
    """

    site: platform_site.Site
    cut_nodes: list[platform_site.NodeProcess]
    keyed: PacedCallers
    unkeyed: PacedCallers
    cut_at: float = 0.0
    healed_at: float = 0.0
    ended_at: float = 0.0

    @property
    def detected_at(self) -> float:
        return self.cut_at + DETECTION_SECONDS

    @property
    def recovered_at(self) -> float:
        return self.healed_at + RECOVERY_SECONDS

    def served(
        self, callers: PacedCallers, at_cut_nodes: bool | None, since: float, until: float
    ) -> float:
        """Return the part of the requests of a time that were served."""
        cut_addresses = {node.callers for node in self.cut_nodes}
        results = [
            item
            for item in callers.results
            if since <= item.sent_at < until
            and (at_cut_nodes is None or (item.node in cut_addresses) is at_cut_nodes)
        ]
        return share_served(results)

    def assert_served_everywhere(self) -> None:
        """Requests at nodes cut off are served, as are those at others and after healing."""
        for callers in (self.keyed, self.unkeyed):
            early = self.served(callers, True, self.cut_at, self.detected_at)
            later = self.served(callers, True, self.detected_at, self.healed_at)
            others = self.served(callers, False, self.cut_at, self.healed_at)
            healed = self.served(callers, None, self.recovered_at, self.ended_at)
            shares = (early, later, others, healed)
            assert early >= EARLY_SHARE, shares
            assert later >= SERVED_SHARE, shares
            assert others >= SERVED_SHARE, shares
            assert healed >= SERVED_SHARE, shares

    def assert_promises_kept(self) -> None:
        """Nothing ran twice, what was not run did not run, and no key had two owners."""
        runs = Counter(request for request, _ in self.site.runs)
        unsafe = {item.request for item in self.unkeyed.results}
        assert [item for item in unsafe if runs[item] > 1] == []
        refused = [item.request for item in self.unkeyed.results if item.status == 503]
        assert [item for item in refused if runs[item]] == []
        assert self.site.ownership_conflicts == []


def share_served(results: Collection[CallResult]) -> float:
    assert results
    return sum(item.status == 200 for item in results) / len(results)


def leader(site: platform_site.Site) -> platform_site.NodeProcess:
    return next(node for node in site.nodes if node.process.is_running and is_leader(node))


def nodes_to_cut(
    site: platform_site.Site, count: int, leader_included: bool
) -> list[platform_site.NodeProcess]:
    leads = leader(site)
    others = [node for node in site.nodes if node is not leads]
    return [leads, *others[: count - 1]] if leader_included else others[:count]


@contextlib.contextmanager
def observed_cut(
    site: platform_site.Site,
    nodes: Iterable[platform_site.NodeProcess],
    cut: Cut,
    keyed: tuple[bool, ...] = (True, False),
) -> Iterator[Observation]:
    """Cut nodes off for `CUT_SECONDS`, with callers at all nodes; the block is run meanwhile."""
    keyed_callers = PacedCallers(site, "/keyed/x", RATE, KEYS)
    unkeyed_callers = PacedCallers(site, "/plain/x", RATE)
    observed = Observation(site, list(nodes), keyed_callers, unkeyed_callers)
    with keyed_callers.calling(), unkeyed_callers.calling():
        time.sleep(1.5)
        observed.cut_at = time.monotonic()
        site.cut_off(observed.cut_nodes, cut, keyed)
        yield observed
        time.sleep(max(observed.cut_at + CUT_SECONDS - time.monotonic(), 0.0))
        observed.healed_at = time.monotonic()
        site.reconnect()
        time.sleep(RECOVERY_SECONDS + 2.0)
        observed.ended_at = time.monotonic()


@pytest.mark.parametrize(
    ("cut", "leader_included"),
    [case for case in CASES if ALL_CASES or case not in CASES_BY_HAND],
    ids=case_id,
)
def test_callers_of_partitioned_nodes_are_served(
    site: platform_site.Site, cut: Cut, leader_included: bool
) -> None:
    with observed_cut(site, nodes_to_cut(site, CUT_OFF, leader_included), cut) as observed:
        time.sleep(CUT_SECONDS - 1.0)
        leads = leader(site)
    observed.assert_promises_kept()
    observed.assert_served_everywhere()
    assert leads not in observed.cut_nodes


def test_callers_are_served_if_only_the_back_ends_of_one_service_are_cut_off(
    site: platform_site.Site,
) -> None:
    nodes = nodes_to_cut(site, CUT_OFF, leader_included=True)
    with observed_cut(site, nodes, Cut.HANG, keyed=(False,)) as observed:
        pass
    observed.assert_promises_kept()
    observed.assert_served_everywhere()


def test_callers_are_served_though_a_node_that_reaches_the_back_ends_is_killed(
    site: platform_site.Site,
) -> None:
    nodes = nodes_to_cut(site, CUT_OFF, leader_included=True)
    with observed_cut(site, nodes, Cut.HANG) as observed:
        time.sleep(DETECTION_SECONDS)
        killed = next(node for node in site.nodes if node not in nodes)
        killed.process.signal(signal.SIGKILL)
        observed.cut_at = time.monotonic()
    observed.assert_promises_kept()
    observed.assert_served_everywhere()


def test_callers_are_served_while_links_are_lost_twice_in_a_row(
    site: platform_site.Site,
) -> None:
    nodes = nodes_to_cut(site, CUT_OFF, leader_included=True)
    others = nodes_to_cut(site, CUT_OFF, leader_included=False)
    with observed_cut(site, nodes, Cut.RESET) as observed:
        time.sleep(2.0)
        site.reconnect()
        time.sleep(1.0)
        observed.cut_nodes = [*nodes, *(node for node in others if node not in nodes)][:4]
        observed.cut_at = time.monotonic()
        site.cut_off(observed.cut_nodes, Cut.HANG)
    observed.assert_promises_kept()
    observed.assert_served_everywhere()


def test_nodes_that_are_all_cut_off_refuse_at_once_and_keys_keep_their_owners(
    site: platform_site.Site,
) -> None:
    with observed_cut(site, site.nodes, Cut.HANG) as observed:
        pass
    observed.assert_promises_kept()
    logs = [node.process.log.read_text() for node in site.nodes]
    assert not any('"cause": "silent"' in text or '"cause": "failing"' in text for text in logs)
    for callers in (observed.keyed, observed.unkeyed):
        late = [
            item
            for item in callers.results
            if observed.detected_at <= item.sent_at < observed.healed_at - 0.5
        ]
        assert {item.status for item in late} == {503}
        assert max(item.took for item in late) < IMMEDIATE_SECONDS
        healed = observed.served(callers, None, observed.recovered_at, observed.ended_at)
        assert healed >= SERVED_SHARE


def test_callers_are_served_while_the_store_is_away_too(site: platform_site.Site) -> None:
    nodes = nodes_to_cut(site, CUT_OFF, leader_included=False)
    with observed_cut(site, nodes, Cut.HANG) as observed:
        site.store.away = True
        time.sleep(CUT_SECONDS - 1.0)
        site.store.away = False
    observed.assert_promises_kept()
    observed.assert_served_everywhere()


def test_most_nodes_of_a_larger_site_are_served_through_the_few_left(tmp_path: Path) -> None:
    with platform_site.running_site(tmp_path, KEYED, UNKEYED, nodes=9, own_hosts=True) as site:
        nodes = nodes_to_cut(site, 7, leader_included=True)
        with observed_cut(site, nodes, Cut.HANG) as observed:
            pass
    observed.assert_promises_kept()
    observed.assert_served_everywhere()


def test_what_a_back_end_states_holds_at_nodes_that_reach_it_through_others(
    site: platform_site.Site,
) -> None:
    nodes = nodes_to_cut(site, CUT_OFF, leader_included=True)
    leaving, limited = [item for item in site.upstreams if not item.keyed][:2]
    with observed_cut(site, nodes, Cut.HANG) as observed:
        time.sleep(1.5)
        leaving.leaving = True
        limited.state_limit(LIMIT)
    sent = observed.unkeyed.sent
    assert leaving.leaving_responses
    assert statement_judging.requests_after_leaving([leaving], sent) == []
    assert limited.max_arrivals(LIMIT_WINDOW, observed.detected_at) <= MAX_LIMITED_ARRIVALS
    observed.assert_promises_kept()
