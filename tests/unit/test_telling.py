"""What a leader tells nodes of back ends, and how often."""

from __future__ import annotations

import secrets

import pytest

from limedeck import http_client
from limedeck.api.control_pb2 import LeaderRecord
from limedeck.forwarding import budget
from limedeck.forwarding.protocol import LoadReport
from limedeck.model import Backend
from limedeck.node import backend_loads, control, state, table_exchange, telemetry
from limedeck.node.followers import FollowerConnections
from limedeck.ownership.timing import OwnershipTiming
from limedeck.platform.grants import PlatformOrders
from tests.unit import test_watchers

TIMING = OwnershipTiming()


def leader() -> tuple[control.ControlHost, state.NodeState]:
    node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
    host = control.ControlHost(
        LeaderRecord(node_id="n", incarnation=secrets.randbits(16), peer_address="127.0.0.1:1"),
        node,
        test_watchers.ScriptedStore(),
        PlatformOrders(),
        100,
        http_client.HttpClient(),
        TIMING,
        telemetry.Telemetry(),
    )
    return host, node


def test_every_node_is_told_of_every_back_end_whether_its_answers_tell_a_load_or_not() -> None:
    """Found on zhbs-gate-large quiet-1: what was told hung on which answers the leader had had.

    Of the other back ends every node believed the same old sums, over its own newer answers, and
    all nodes took the same one: it got 31 times the mean.
    """
    host, node = leader()
    for name in ("silent", "tells"):
        node.directory.put(Backend(name, "s", "127.0.0.1:1", "z1", 4), 0.0)
    tells = node.directory.find("tells")
    assert tells is not None
    tells.record_load(LoadReport(1, 0, 4), 0.0)
    tells.outstanding = 2
    host.loads.refresh(1.0)
    message = host.loads.totals_for(backend_loads.SentTotals())
    assert message is not None
    told = backend_loads.TotalsReader().read(message)
    assert {item.backend: item.outstanding for item in told} == {
        backend_loads.backend_hash("silent"): 0,
        backend_loads.backend_hash("tells"): 2,
    }


def test_a_follower_tells_nobody_of_back_ends() -> None:
    host, _ = leader()
    assert host.loads.totals_for(backend_loads.SentTotals()) is None


@pytest.mark.parametrize(("followers", "longest"), [(10, 0.02), (77, 0.12), (489, 0.3)])
def test_no_node_waits_for_the_leaders_word_until_it_takes_it_for_lost(
    followers: int, longest: float
) -> None:
    host, _ = leader()
    connections = FollowerConnections(
        "127.0.0.1:1", "z1", host, table_exchange.TableExchange(()), TIMING
    )
    connections.node_count = lambda: followers + 1  # type: ignore[method-assign]
    pause = connections._status_pause()
    assert pause <= longest
    assert pause + TIMING.heartbeat_interval < TIMING.leader_silence
