"""Recovery of a group: every node that may be the founder reads the record."""

from limedeck.api.peer_pb2 import GroupRecord, GroupSnapshot
from limedeck.control.consensus_state import voter_set
from limedeck.control.group import GroupCore
from limedeck.control.group_record import (
    LossEvidence,
    ReadRecord,
    RecordRead,
    RecordWritten,
    WriteRecord,
)
from limedeck.control.group_view import GroupBackend, GroupView
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import BackendId, GroupId, NodeId, Voter
from tests.unit.consensus_cluster import voter

GROUP = GroupId("group")
TIMING = ControlTiming()
ADMITTED_LAST = voter("n", 12)
RESTARTED = (voter("f", 16), voter("r", 14))
ALL_NODES = (*RESTARTED, ADMITTED_LAST)


def view() -> GroupView:
    backend = BackendId("b")
    return GroupView(
        backends={backend: GroupBackend(backend, "127.0.0.1:1", False)},
        nodes=ALL_NODES,
        evidence=LossEvidence(
            frozenset(NodeId(name) for name in "frn"), {node.node_id: node for node in ALL_NODES}
        ),
    )


def core_with_state(identity: Voter, voters: tuple[Voter, ...]) -> GroupCore:
    core = GroupCore(GROUP, identity, TIMING, ControlLimits(), 0.0)
    core.consensus._install_snapshot(
        GroupSnapshot(last_index=9, last_term=0, voters=voter_set(voters))
    )
    return core


def test_the_voter_admitted_last_recovers_the_group_before_it_knows_that_it_votes() -> None:
    """Its log ends before the entry that admitted it; the record names it, the only voter left."""
    core = core_with_state(ADMITTED_LAST, (voter("f", 12), voter("r", 10)))
    now = TIMING.election_timeout * 3
    commands = core.handle_tick(view(), now)
    assert ReadRecord(GROUP) in commands
    record = GroupRecord(epoch=1, voters=voter_set((voter("f", 12), voter("r", 10), ADMITTED_LAST)))
    core.handle_record_event(RecordRead(record, 7), now)
    now += TIMING.record_write_interval
    (write,) = [item for item in core.handle_tick(view(), now) if isinstance(item, WriteRecord)]
    assert (write.record.epoch, write.expected_revision) == (2, 7)
    core.handle_record_event(RecordWritten(8), now)
    core.handle_tick(view(), now + TIMING.tick_interval)
    assert core.consensus.is_leader
    assert not core.may_grant(now + TIMING.backend_lease)
    grants_blocked_until = now + TIMING.election_timeout + TIMING.longest_backend_lease
    assert core.may_grant(grants_blocked_until + TIMING.tick_interval)


def test_without_a_copy_only_the_first_node_by_hash_reads_the_record() -> None:
    readers = [
        identity
        for identity in ALL_NODES
        if ReadRecord(GROUP)
        in GroupCore(GROUP, identity, TIMING, ControlLimits(), 0.0).handle_tick(view(), 2.0)
    ]
    assert len(readers) == 1
