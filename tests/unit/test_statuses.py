"""Statuses that a leader sends to nodes: totals of back ends, and the interval."""

from __future__ import annotations

import secrets

import pytest

from limedeck import http_client
from limedeck.api.control_pb2 import LeaderRecord
from limedeck.forwarding import budget
from limedeck.forwarding.protocol import LoadReport
from limedeck.model import Backend
from limedeck.node import (
    backend_loads,
    control,
    reachability_monitor,
    state,
    table_exchange,
    telemetry,
)
from limedeck.node.followers import FollowerConnections
from limedeck.ownership.timing import OwnershipTiming
from limedeck.platform.grants import PlatformOrders
from tests.unit import test_watchers

TIMING = OwnershipTiming()


def leader() -> tuple[control.ControlHost, state.NodeState]:
    node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
    client, counted = http_client.HttpClient(), telemetry.Telemetry()
    host = control.ControlHost(
        LeaderRecord(node_id="n", incarnation=secrets.randbits(16), peer_address="127.0.0.1:1"),
        node,
        test_watchers.ScriptedStore(),
        PlatformOrders(),
        100,
        client,
        TIMING,
        counted,
        reachability_monitor.ReachabilityMonitor(node, client, counted),
    )
    return host, node


def test_totals_include_every_back_end_whether_or_not_it_reports_its_load() -> None:
    """On zhbs-gate-large quiet-1, totals depended on which responses the leader had received.

    For the other back ends every node preferred the same old totals to its own newer responses, and
    all nodes chose the same back end, which got 31 times the mean.
    """
    host, node = leader()
    for name in ("silent", "reporting"):
        node.directory.put(Backend(name, "s", "127.0.0.1:1", "z1", 4), 0.0)
    reporting = node.directory.find("reporting")
    assert reporting is not None
    reporting.record_load(LoadReport(1, 0, 4), 0.0)
    reporting.outstanding = 2
    host.loads.refresh(1.0)
    message = host.loads.totals_for(backend_loads.SentTotals())
    assert message is not None
    totals = backend_loads.TotalsReader().read(message)
    assert {item.backend: item.outstanding for item in totals} == {
        backend_loads.backend_hash("silent"): 0,
        backend_loads.backend_hash("reporting"): 2,
    }


def test_a_follower_sends_no_totals() -> None:
    host, _ = leader()
    assert host.loads.totals_for(backend_loads.SentTotals()) is None


@pytest.mark.parametrize(("followers", "max_pause"), [(10, 0.02), (77, 0.12), (489, 0.3)])
def test_the_interval_of_statuses_stays_below_the_leader_timeout(
    followers: int, max_pause: float
) -> None:
    host, _ = leader()
    connections = FollowerConnections(
        "127.0.0.1:1", "z1", host, table_exchange.TableExchange(()), TIMING
    )
    connections.node_count = lambda: followers + 1  # type: ignore[method-assign]
    pause = connections._status_pause()
    assert pause <= max_pause
    assert pause + TIMING.heartbeat_interval < TIMING.leader_timeout
