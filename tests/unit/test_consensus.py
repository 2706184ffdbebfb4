"""Election, lease, replication and voter changes, event by event."""

import pytest

from limedeck.api.peer_pb2 import GroupMessage, GroupSnapshot, TimeoutNow
from limedeck.control.consensus import ConsensusCore
from limedeck.control.consensus_state import TERMS_PER_EPOCH, majority
from limedeck.errors import InvariantViolation
from limedeck.keyspace.slices import change_of
from tests.unit.consensus_cluster import GROUP, LIMITS, TIMING, ConsensusCluster, voter


def running_cluster(size: int = 3) -> ConsensusCluster:
    cluster = ConsensusCluster([f"n{index}" for index in range(size)])
    cluster.run(2.0)
    return cluster


@pytest.mark.parametrize(("count", "expected"), [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)])
def test_majority(count: int, expected: int) -> None:
    assert majority(count) == expected


def test_one_leader_is_elected_and_commits_its_entry() -> None:
    cluster = running_cluster()
    assert cluster.leader().has_applied_own_entry


def test_committed_changes_reach_every_voter() -> None:
    cluster = running_cluster()
    cluster.leader().propose_assignment(change_of([(0, "a"), (9, "b")]), cluster.now)
    cluster.run(0.5)
    assert all(core.slices.locate(10).owner == "b" for core in cluster.cores.values())


def test_a_frozen_leader_has_no_lease_when_it_resumes_and_another_leads() -> None:
    cluster = running_cluster()
    old = cluster.leader()
    cluster.frozen = {old.identity.node_id}
    cluster.run(3.0)
    new = cluster.leader()
    assert new is not old
    cluster.frozen = set()
    assert not old.holds_leadership(cluster.now)
    cluster.run(1.0)
    assert not old.is_leader


def test_no_second_leader_before_the_first_leaders_lease_ends() -> None:
    cluster = running_cluster()
    old = cluster.leader()
    cluster.cut = {old.identity.node_id}
    while not any(core is not old for core in cluster.leaders()):
        cluster.tick()
        cluster.deliver_all()
    assert not old.holds_leadership(cluster.now)


def test_a_leader_that_receives_no_replies_steps_down_although_its_appends_arrive() -> None:
    cluster = running_cluster()
    old = cluster.leader()
    cluster.receive_blocked = {old.identity.node_id}
    cluster.run(3.0)
    assert not old.is_leader
    assert cluster.leader() is not old


def test_a_voter_that_acknowledged_a_leader_votes_for_no_other_candidate() -> None:
    cluster = running_cluster()
    follower = next(core for core in cluster.cores.values() if not core.is_leader)
    other = next(
        core for core in cluster.cores.values() if not core.is_leader and core is not follower
    )
    cluster.send(other.identity, [])
    other._start_vote(cluster.now)
    cluster.send(other.identity, other._finish("test"))
    cluster.deliver_all()
    assert not other.is_leader


def test_a_transfer_ends_leadership_at_once_and_another_is_elected() -> None:
    cluster = running_cluster()
    old = cluster.leader()
    cluster.send(old.identity, old.transfer_leadership(cluster.now))
    assert not old.holds_leadership(cluster.now)
    cluster.deliver_all()
    assert cluster.leader() is not old


def test_a_late_transfer_order_of_an_earlier_term_is_ignored() -> None:
    cluster = running_cluster()
    follower = next(core for core in cluster.cores.values() if not core.is_leader)
    order = GroupMessage(group=GROUP, timeout_now=TimeoutNow(term=follower.term - 1))
    assert follower.handle_message(cluster.leader().identity, order, cluster.now) == []


def test_a_restarted_node_is_not_a_voter_until_it_is_admitted() -> None:
    cluster = running_cluster()
    name = next(core.identity.node_id for core in cluster.cores.values() if not core.is_leader)
    restarted = cluster.restart(name, 2)
    cluster.run(2.0)
    assert restarted.voters == ()
    assert restarted.identity not in cluster.leader().voters


def test_a_lagging_learner_gets_a_snapshot_and_can_be_admitted() -> None:
    cluster = running_cluster()
    leader = cluster.leader()
    for index in range(30):
        leader.propose_assignment(change_of([(0, f"owner-{index}")]), cluster.now)
        cluster.run(0.1)
    newcomer = voter("n9")
    cluster.cores[newcomer] = ConsensusCore(GROUP, newcomer, TIMING, LIMITS, cluster.now)
    leader.set_learners([newcomer])
    cluster.run(1.0)
    assert leader.has_caught_up(newcomer, cluster.now)
    leader.propose_voters([*leader.voters, newcomer], cluster.now)
    cluster.run(1.0)
    core = cluster.core("n9")
    assert newcomer in core.committed_voters
    assert core.slices.locate(0).owner == "owner-29"


def test_voters_change_only_one_at_a_time() -> None:
    cluster = running_cluster()
    leader = cluster.leader()
    with pytest.raises(InvariantViolation):
        leader.propose_voters([leader.identity], cluster.now)


def test_nothing_is_committed_without_a_majority() -> None:
    cluster = running_cluster()
    leader = cluster.leader()
    before = leader.commit_index
    cluster.cut = {core.identity.node_id for core in cluster.cores.values() if core is not leader}
    leader.propose_assignment(change_of([(0, "lost")]), cluster.now)
    cluster.run(0.3)
    assert leader.commit_index == before


def test_an_uncommitted_entry_is_replaced_by_the_new_leaders_entry() -> None:
    cluster = running_cluster()
    old = cluster.leader()
    cluster.cut = {old.identity.node_id}
    old.propose_assignment(change_of([(0, "lost")]), cluster.now)
    cluster.run(3.0)
    cluster.leader().propose_assignment(change_of([(0, "kept")]), cluster.now)
    cluster.cut = set()
    cluster.run(2.0)
    assert {core.slices.locate(0).owner for core in cluster.cores.values()} == {"kept"}


def test_a_new_epoch_starts_above_every_term_of_the_previous_one() -> None:
    cluster = running_cluster()
    core = ConsensusCore(GROUP, voter("n9"), TIMING, LIMITS, cluster.now)
    core.start_epoch(2, GroupSnapshot(), cluster.now)
    core.handle_tick(cluster.now)
    assert core.is_leader and core.has_applied_own_entry
    assert core.term > 2 * TERMS_PER_EPOCH - 1
    assert core.holds_leadership(cluster.now + 1e6)


def test_an_epoch_not_above_the_current_term_is_refused() -> None:
    core = ConsensusCore(GROUP, voter("n9"), TIMING, LIMITS, 0.0)
    core.start_epoch(2, GroupSnapshot(), 0.0)
    with pytest.raises(InvariantViolation):
        core.start_epoch(2, GroupSnapshot(), 0.0)
