"""Exchange of permits and limit statements between nodes: messages, lost leaders, bad input."""

from __future__ import annotations

import anyio
import pytest

from limedeck.api import control_pb2
from limedeck.clock import steady_clock
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.limits import LimitLedger, LimitStatement
from limedeck.forwarding.permits import (
    Permit,
    PermitDenied,
    PermitRequest,
    PermitResponse,
    RateBound,
)
from limedeck.model import Backend
from limedeck.node import limit_updates, permit_exchange
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.leader_permits import NO_LEADER_RESPONSE
from limedeck.ownership.timing import OwnershipTiming

pytestmark = pytest.mark.anyio
REQUEST = PermitRequest(RateBound("a", 4.2), 0.04)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def exchange(leads: bool = False) -> permit_exchange.PermitExchange:
    directory = BackendDirectory("z1", "n")
    directory.put(Backend("a", "s", "127.0.0.1:1", "z1", 2), 0.0)
    identity = control_pb2.LeaderRecord(node_id="n", incarnation=1, term=1)
    now = steady_clock()
    election = ElectionCore(identity, OwnershipTiming(), now - 100.0)
    if leads:
        election.handle_elected(identity, 1, now - 50.0)
    made = permit_exchange.PermitExchange(directory, election)
    made.handle_tick(now - 50.0)
    return made


async def request_permit(
    node: permit_exchange.PermitExchange, responses: list[PermitResponse]
) -> None:
    responses.append(await node.request(REQUEST))


async def test_without_a_leader_there_are_no_permits() -> None:
    assert await exchange().request(REQUEST) == NO_LEADER_RESPONSE


async def test_a_leader_issues_permits_to_others_and_itself_from_one_allowance() -> None:
    leader, follower = exchange(leads=True), exchange()
    follower.handle_connected(True)
    responses: list[PermitResponse] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(request_permit, follower, responses)
        await anyio.wait_all_tasks_blocked()
        requests = follower.take_requests()
        assert requests is not None
        follower.handle_responses(leader.handle_requests(requests, steady_clock()))
    (response,) = responses
    assert isinstance(response, Permit)
    assert isinstance(await leader.request(REQUEST), PermitDenied)
    assert follower.take_requests() is None


async def test_permit_requests_on_a_connection_that_ends_stop_waiting() -> None:
    node = exchange()
    node.handle_connected(True)
    responses: list[PermitResponse] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(request_permit, node, responses)
        await anyio.wait_all_tasks_blocked()
        node.handle_connected(False)
    assert responses == [NO_LEADER_RESPONSE]
    assert node.take_requests() is None


async def test_a_late_response_of_a_leader_is_ignored() -> None:
    node = exchange()
    node.handle_connected(True)
    assert await node.request(REQUEST) == NO_LEADER_RESPONSE
    late = control_pb2.PermitAnswer(number=1, lent=True)
    node.handle_responses(control_pb2.PermitAnswers(answers=[late]))


async def test_the_number_of_waiting_permit_requests_is_limited() -> None:
    node = exchange()
    node.handle_connected(True)
    responses: list[PermitResponse] = []
    async with anyio.create_task_group() as tasks:
        for _ in range(permit_exchange.MAX_WAITING):
            tasks.start_soon(request_permit, node, responses)
        await anyio.wait_all_tasks_blocked()
        assert await node.request(REQUEST) == NO_LEADER_RESPONSE
        node.handle_connected(False)
    assert responses == [NO_LEADER_RESPONSE] * permit_exchange.MAX_WAITING


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -1.0])
async def test_an_invalid_rate_counts_as_the_lowest(rate: float) -> None:
    leader = exchange(leads=True)
    ask = control_pb2.PermitAsk(number=1, backend="a", rate=rate, patience=0)
    lent = [
        item.lent
        for _ in range(20)
        for item in leader.handle_requests(
            control_pb2.PermitAsks(asks=[ask]), steady_clock()
        ).answers
    ]
    assert sum(lent) <= 1


async def test_a_node_that_no_longer_leads_issues_no_permits() -> None:
    node = exchange(leads=True)
    election = node._issuer._election
    election.resign()
    newer = control_pb2.LeaderRecord(node_id="m", incarnation=2, term=2)
    election.handle_peer_record(newer, 2, steady_clock())
    assert await node.request(REQUEST) == NO_LEADER_RESPONSE


def ledger_after_update(statement: LimitStatement, sent: float, received: float) -> LimitLedger:
    """Return the ledger of another node that received a statement."""
    ours, theirs = LimitLedger(), LimitLedger()
    ours.record("a", LimitStatement(1.0, -9.0, -8.0))
    ours.record("a", statement)
    message = control_pb2.Report()
    limit_updates.LimitUpdatePeer(ours).fill(message, sent)
    limit_updates.LimitUpdatePeer(theirs).apply(message, received)
    return theirs


async def test_limits_are_sent_with_their_age_and_read_on_the_receivers_clock() -> None:
    theirs = ledger_after_update(LimitStatement(0.3, 10.0, 10.25), sent=11.0, received=501.0)
    assert theirs.rate("a") == 0.3
    theirs.record("a", LimitStatement(None, 500.2, 501.1))
    assert theirs.rate("a") == 0.3
    theirs.record("a", LimitStatement(None, 500.3, 501.1))
    assert theirs.rate("a") is None


async def test_a_lifted_limit_is_sent_too() -> None:
    ours, theirs = LimitLedger(), LimitLedger()
    at_ours, at_theirs = limit_updates.LimitUpdatePeer(ours), limit_updates.LimitUpdatePeer(theirs)
    for statement in (LimitStatement(3.0, 1.0, 1.1), LimitStatement(None, 2.0, 2.1)):
        ours.record("a", statement)
        assert at_ours.has_updates
        message = control_pb2.Status()
        at_ours.fill(message, 3.0)
        at_theirs.apply(message, 3.0)
        assert theirs.rate("a") == statement.rate
    assert not at_ours.has_updates
    assert not at_theirs.has_updates


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -0.1, 2e9])
async def test_a_received_limit_that_is_out_of_range_is_ignored(rate: float) -> None:
    ledger = LimitLedger()
    update = control_pb2.LimitNews(backend="a", rate=rate)
    limit_updates.LimitUpdatePeer(ledger).apply(control_pb2.Report(limits=[update]), 1.0)
    assert ledger.limited() == {}
