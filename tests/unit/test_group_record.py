"""Recovery of a group that lost its majority, only on proof, and planning of voter changes."""

from dataclasses import dataclass

import pytest

from limedeck.api.peer_pb2 import GroupRecord, GroupSnapshot
from limedeck.control.consensus_state import voter_set
from limedeck.control.group_record import (
    LossEvidence,
    may_start_next_epoch,
    next_epoch_record,
)
from limedeck.control.voters import VoterPlanInputs, plan_voter_change
from limedeck.identity import GroupId, NodeId, Voter
from limedeck.keyspace.slices import change_of
from tests.unit.consensus_cluster import voter

A, B, C, D = (voter(name) for name in "abcd")
ALL = frozenset(NodeId(name) for name in "abcd")


@dataclass(frozen=True)
class Case:
    name: str
    voters: tuple[Voter, ...]
    next_voters: tuple[Voter, ...]
    machines: frozenset[NodeId] | None
    runs: tuple[Voter, ...]
    founder: Voter
    allowed: bool


CASES = [
    Case("all live", (A, B, C), (), ALL, (A, B, C), D, False),
    Case("one removed from the list", (A, B, C), (), ALL - {NodeId("a")}, (B, C), D, False),
    Case(
        "two removed from the list", (A, B, C), (), ALL - {NodeId("a"), NodeId("b")}, (C,), D, True
    ),
    Case("unresponsive, but no proof", (A, B, C), (), ALL, (), D, False),
    Case("two restarted", (A, B, C), (), ALL, (voter("a", 2), voter("b", 2), C), D, True),
    Case(
        "one removed, one restarted", (A, B, C), (), ALL - {NodeId("a")}, (voter("b", 2),), D, True
    ),
    Case("list never read", (A, B, C), (), None, (voter("a", 2), B, C), D, False),
    Case("list never read, one of two restarted", (A, B), (), None, (voter("a", 2), B), D, True),
    Case("the announced set may be alive", (A, B), (A, B, C), ALL, (voter("a", 2), B, C), D, False),
    Case("both sets lost", (A, B), (A, B, C), ALL, (voter("a", 2), voter("b", 2), C), D, True),
    Case("a lone voter does not start a new epoch", (A,), (), ALL, (A,), A, False),
    Case(
        "a lone voter whose announced second voter is lost",
        (A,),
        (A, B),
        ALL,
        (A, voter("b", 2)),
        A,
        True,
    ),
    Case("a restarted lone voter", (A,), (), ALL, (voter("a", 2),), voter("a", 2), True),
    Case(
        "another address proves nothing",
        (A, B, C),
        (),
        ALL,
        tuple(Voter(NodeId(name), voter(name, 2).incarnation, "elsewhere:1", "z") for name in "ab"),
        D,
        False,
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_a_new_epoch_is_started_only_on_proof_of_loss(case: Case) -> None:
    record = GroupRecord(
        epoch=1, voters=voter_set(case.voters), next_voters=voter_set(case.next_voters)
    )
    evidence = LossEvidence(case.machines, {item.node_id: item for item in case.runs})
    assert may_start_next_epoch(record, evidence, case.founder) is case.allowed


def test_the_next_epoch_gets_the_newest_assignment_known() -> None:
    stored = GroupSnapshot(last_index=5, assignment=change_of([(0, "stored")]).__class__())
    own_snapshot = GroupSnapshot(last_index=9)
    record = GroupRecord(epoch=3, voters=voter_set((A,)), snapshot=stored)
    next_record = next_epoch_record(record, own_snapshot, D)
    assert next_record.epoch == 4
    assert next_record.snapshot.last_index == 9
    assert next_epoch_record(record, GroupSnapshot(), D).snapshot.last_index == 5


GROUP = GroupId("group")
VOTER_CASES = [
    ("a single node remains the only voter", (A,), (), (A,), None),
    ("two nodes keep one voter", (A,), (), (A, B), None),
    ("three nodes: the second is added", (A,), (), (A, B, C), 2),
    ("the third is added", (A, B), (), (A, B, C), 3),
    ("complete", (A, B, C), (), (A, B, C), None),
    ("lost without a spare is kept", (A, B, C), (C,), (A, B), None),
    ("lost with a spare is removed", (A, B, C), (C,), (A, B, D), 2),
    ("restarted node replaces its earlier run", (A, B, C), (C,), (A, B, voter("c", 2)), 2),
    ("one of two lost: the other remains alone", (A, B), (B,), (A,), 1),
    ("two lost: removal would lose the quorum", (A, B, C), (B, C), (A, D), None),
]


@pytest.mark.parametrize(
    ("voters", "lost", "nodes", "size"),
    [case[1:] for case in VOTER_CASES],
    ids=[case[0] for case in VOTER_CASES],
)
def test_the_next_voter_set(
    voters: tuple[Voter, ...], lost: tuple[Voter, ...], nodes: tuple[Voter, ...], size: int | None
) -> None:
    planned = plan_voter_change(VoterPlanInputs(GROUP, A, voters, lost, nodes), 3)
    assert (len(planned) if planned else None) == size
    if planned is not None:
        assert len(set(planned) ^ set(voters)) == 1
        assert A in planned


def test_voters_are_spread_over_zones() -> None:
    same_zone = Voter(NodeId("e"), A.incarnation, "e:1", A.zone)
    planned = plan_voter_change(VoterPlanInputs(GROUP, A, (A, B), (), (A, B, same_zone, C)), 3)
    assert planned is not None and C in planned


def test_a_lone_leader_that_leaves_gets_a_successor_first() -> None:
    inputs = VoterPlanInputs(GROUP, A, (A,), (), (B,), leader_leaves=True)
    assert plan_voter_change(inputs, 3) == (A, B)


DEPARTURES = [
    ("one of three departs: without a spare it is kept", (A, B, C), (), (C,), (A, B), None),
    ("one of three departs, with a spare", (A, B, C), (), (C,), (A, B, D), {A, B}),
    (
        "one is lost, one departs: the lost one is removed first",
        (A, B, C),
        (B,),
        (C,),
        (A,),
        {A, C},
    ),
    ("one of two departs", (A, C), (), (C,), (A,), {A}),
]


@pytest.mark.parametrize(
    ("voters", "lost", "departing", "nodes", "expected"),
    [case[1:] for case in DEPARTURES],
    ids=[case[0] for case in DEPARTURES],
)
def test_departing_voters(
    voters: tuple[Voter, ...],
    lost: tuple[Voter, ...],
    departing: tuple[Voter, ...],
    nodes: tuple[Voter, ...],
    expected: set[Voter] | None,
) -> None:
    inputs = VoterPlanInputs(GROUP, A, voters, lost, nodes, departing)
    planned = plan_voter_change(inputs, 3)
    assert (set(planned) if planned else None) == expected
