"""The views of a node for operators: the leader, the owners of keys, the back ends."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest

from limedeck.api.control_pb2 import LeaderRecord
from limedeck.forwarding.budget import RetryAllowance
from limedeck.forwarding.leaving import LeavingStatement
from limedeck.forwarding.limits import LimitStatement
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.model import Backend, Configuration, Service
from limedeck.node.inspection import InspectionApplication, NodeInspector, NotShown
from limedeck.node.state import NodeState
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.election_events import (
    Campaign,
    LeaderReadResult,
)
from limedeck.ownership.timing import OwnershipTiming
from limedeck.views import ASSIGNMENT_PATH, LOCATE_PATH, STATUS_PATH, LocationView, StatusView

ME = LeaderRecord(node_id="node-a", incarnation=11, peer_address="127.0.0.1:7001")
OTHER = LeaderRecord(
    term=4, node_id="node-b", incarnation=22, peer_address="127.0.0.1:7002", why="silent"
)
KEYS = 100


def node_state() -> NodeState:
    state = NodeState("z1", "node-a", RetryAllowance(0.2, 30.0, 10.0))
    services = {
        "s": Service("s", 50, True, 0.0, 4.0),
        "p": Service("p", 50, False, 0.0, 4.0),
    }
    state.set_configuration(Configuration(7, services=services))
    state.directory.put(Backend("b", "s", "127.0.0.1:1", "z1", 2), 0.0)
    state.directory.put(Backend("c", "s", "127.0.0.1:2", "z2", 2, warmup=30.0), 0.0)
    ranges = (OwnedRange(0, 49, "b"), OwnedRange(50, 89, ""), OwnedRange(90, 99, "gone"))
    state.set_owners("s", OwnerMap(3, ranges))
    return state


def inspector(state: NodeState | None = None, core: ElectionCore | None = None) -> NodeInspector:
    election = core or ElectionCore(ME, OwnershipTiming(), 0.0)
    return NodeInspector("node-a", "z1", state or node_state(), election)


def test_status_without_a_leader() -> None:
    status = inspector().status(1.0)
    assert (status.leader, status.leads, status.ready) == (None, False, False)
    assert status.configuration == 7


def test_status_shows_the_era_of_the_store() -> None:
    core = ElectionCore(ME, OwnershipTiming(), 0.0)
    core.handle_era(3, 0.5)
    assert inspector(core=core).status(1.0).store_era == 3


def test_follower_shows_the_leader_its_reason_and_the_suspicion() -> None:
    core = ElectionCore(ME, OwnershipTiming(), 0.0)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.1), 10.0)
    core.handle_heartbeat(4, 0.1, 12.0)
    leader = inspector(core=core).status(12.5).leader
    assert leader is not None
    assert (leader.node, leader.term, leader.why) == ("node-b", 4, "silent")
    assert (leader.known_for, leader.heard_ago, leader.suspicion) == (2.5, 0.5, "")
    later = inspector(core=core).status(20.0).leader
    assert later is not None and later.suspicion == "silent"


def test_leader_shows_why_it_was_elected() -> None:
    core = ElectionCore(ME, OwnershipTiming(), 0.0)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.1), 10.0)
    core.handle_denial(4, 99, False)
    now, command = 10.0, None
    while not isinstance(command, Campaign) and now < 15.0:
        now += 0.05
        command = core.handle_tick(now)
        if command is not None and not isinstance(command, Campaign):
            core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.1), now)
    assert isinstance(command, Campaign)
    core.handle_elected(command.record, 41, now)
    status = inspector(core=core).status(now + 3.0)
    assert status.leads and status.leader is not None
    assert (status.leader.node, status.leader.why) == ("node-a", "denied")
    assert status.leader.known_for == pytest.approx(3.0, abs=0.01)


def test_back_ends_are_shown_with_conditions_and_rate_bounds() -> None:
    state = node_state()
    state.directory.availability.evacuate("z1", 0.0)
    state.directory.limits.record("b", LimitStatement(3.2, 0.5, 1.0))
    shown = {item.backend: item for item in inspector(state).status(2.0).backends}
    assert (shown["b"].conditions, shown["b"].bound) == (["evacuated", "limited"], 3.2)
    assert (shown["c"].conditions, shown["c"].bound) == (["cold"], 4.0)
    warm = {item.backend: item for item in inspector(state).status(40.0).backends}
    assert (warm["c"].conditions, warm["c"].bound) == ([], None)


def test_leaving_and_backing_off_are_shown_as_conditions() -> None:
    state = node_state()
    state.directory.leaving.record("b", LeavingStatement(True, 0.5, 1.0))
    state.directory.backoffs.record("b", 3.0, 1.0)
    shown = {item.backend: item for item in inspector(state).status(2.0).backends}
    assert shown["b"].conditions == ["leaving", "backing-off"]


def test_services_are_shown_with_the_number_of_unowned_ranges() -> None:
    shown = {item.service: item for item in inspector().status(1.0).services}
    assert (shown["s"].version, shown["s"].ranges, shown["s"].ranges_without_owner) == (3, 3, 1)
    assert not shown["p"].keyed


@pytest.mark.parametrize(
    ("position", "owner", "listed"), [(0, "b", True), (60, "", False), (99, "gone", False)]
)
def test_locate_returns_the_owner_of_a_key(position: int, owner: str, listed: bool) -> None:
    found = inspector().locate("s", position, 1.0)
    assert (found.range.owner, found.owner is not None) == (owner, listed)


@pytest.mark.parametrize(("service", "position"), [("s", 100), ("p", 1), ("none", 1)])
def test_locate_raises_for_unknown_keys_and_services(service: str, position: int) -> None:
    with pytest.raises(NotShown):
        inspector().locate(service, position, 1.0)


def get(path: str) -> tuple[int, bytes]:
    sent: list[dict[str, Any]] = []

    async def run() -> None:
        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        async def receive() -> dict[str, Any]:
            return {"type": "http.disconnect"}

        scope = {"type": "http", "path": path}
        await InspectionApplication(inspector())(scope, receive, send)

    anyio.run(run)
    return sent[0]["status"], sent[1]["body"]


def test_views_are_served_as_json() -> None:
    status, body = get(STATUS_PATH)
    assert status == 200
    assert msgspec.json.decode(body, type=StatusView).node == "node-a"
    status, body = get(f"{LOCATE_PATH}s/12")
    assert msgspec.json.decode(body, type=LocationView).range.owner == "b"


@pytest.mark.parametrize(
    "path",
    [
        "/limedeck/v1/",
        f"{ASSIGNMENT_PATH}",
        f"{ASSIGNMENT_PATH}p",
        f"{LOCATE_PATH}s",
        f"{LOCATE_PATH}s/-1",
        f"{LOCATE_PATH}s/x",
        f"{LOCATE_PATH}s/" + "9" * 10_000,
        f"{LOCATE_PATH}s/²",
    ],
)
def test_invalid_path_gets_status_404_with_the_problem(path: str) -> None:
    status, body = get(path)
    assert status == 404
    assert b"problem" in body


def test_status_shows_how_fast_back_ends_are_and_their_shares() -> None:
    state = node_state()
    for number in (1, 2):
        state.directory.put(Backend(f"p{number}", "p", f"127.0.0.1:1{number}", "z1", 4), 0.0)
    fast, slow = (state.directory.find(name) for name in ("p1", "p2"))
    assert fast is not None and slow is not None
    before = {item.backend: item for item in inspector(state).status(9.0).backends}
    assert (before["p1"].service_time, before["p1"].share) == (None, None)
    fast.speed.record(0.1, 1.0, 10.0)
    slow.speed.record(0.1, 4.0, 10.0)
    assert state.directory.choose("p", (), b"1", 10.0) is not None
    shown = {item.backend: item for item in inspector(state).status(10.0).backends}
    assert (shown["p1"].service_time, shown["p1"].slowness) == (0.1, 1.0)
    assert shown["p2"].slowness == 4.0
    shares = [shown[name].share for name in ("p1", "p2")]
    assert None not in shares and sum(item or 0.0 for item in shares) == pytest.approx(
        1.0, abs=0.01
    )
    assert (shown["p1"].share or 0.0) > (shown["p2"].share or 0.0)
