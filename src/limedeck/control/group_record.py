"""A control group's record in the platform's table: write-through, voter changes, recovery.

The record names the voters. Before a voter change is proposed, the next voter set is written to the
record too, so that a reader knows every set that may be in force. A new epoch may be written only
on proof that no majority of any such set can still be alive.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import GroupRecord, GroupSnapshot
from limedeck.control.consensus_state import majority, voter_set, voters_of
from limedeck.identity import GroupId, NodeId, Voter

FIRST_EPOCH = 1


@dataclass(frozen=True)
class ReadRecord:
    """Command: read a group's record from the table."""

    group: GroupId


@dataclass(frozen=True)
class WriteRecord:
    """Command: write a group's record if its row is still at the expected revision.

    Parameters
    ----------
    expected_revision
        Revision of the row; zero if the row must not exist.
    """

    group: GroupId
    record: GroupRecord
    expected_revision: int


@dataclass(frozen=True)
class RecordRead:
    """Event: the record was read; None if the table has no such row."""

    record: GroupRecord | None
    revision: int


@dataclass(frozen=True)
class RecordWritten:
    """Event: a write took effect."""

    revision: int


@dataclass(frozen=True)
class RecordConflict:
    """Event: the row was at another revision, and nothing was written."""


@dataclass(frozen=True)
class RecordUnavailable:
    """Event: the table did not respond; a write may have taken effect."""


RecordEvent = RecordRead | RecordWritten | RecordConflict | RecordUnavailable
RecordCommand = ReadRecord | WriteRecord


@dataclass(frozen=True)
class LossEvidence:
    """Evidence that a run of a node has ended.

    Parameters
    ----------
    machines
        Nodes on the platform's machine list, which lags but never drops a machine early;
        None if the list was never read.
    runs
        The latest known run of each node, as stated by the node itself.
    """

    machines: frozenset[NodeId] | None
    runs: dict[NodeId, Voter]

    def proves_loss(self, voter: Voter) -> bool:
        """Whether this run of a node has certainly ended."""
        if self.machines is not None and voter.node_id not in self.machines:
            return True
        run = self.runs.get(voter.node_id)
        if run is None or run.peer_address != voter.peer_address:
            return False
        return run.incarnation > voter.incarnation

    def proves_lost_majority(self, voters: Sequence[Voter], founder: Voter) -> bool:
        """Whether no majority of these voters can act, not counting `founder`."""
        possible = [voter for voter in voters if voter != founder and not self.proves_loss(voter)]
        return len(possible) < majority(len(voters))


def may_start_next_epoch(record: GroupRecord, evidence: LossEvidence, founder: Voter) -> bool:
    """Whether the record's group has certainly lost its majority and `founder` may recover it.

    A founder that is a voter itself leaves the old epoch by starting the next one. It may do so
    only if another voter is lost too, so that a healthy group is never restarted.
    """
    voters = voters_of(record.voters)
    others = [voter for voter in voters if voter != founder]
    others += [voter for voter in voters_of(record.next_voters) if voter != founder]
    if not others or not any(evidence.proves_loss(voter) for voter in others):
        return False
    if not evidence.proves_lost_majority(voters, founder):
        return False
    next_voters = voters_of(record.next_voters)
    return not next_voters or evidence.proves_lost_majority(next_voters, founder)


def next_epoch_record(
    record: GroupRecord | None, own_snapshot: GroupSnapshot, founder: Voter
) -> GroupRecord:
    """Build the record of the next epoch, with the newest assignment known."""
    if record is None:
        return GroupRecord(
            epoch=FIRST_EPOCH, voters=voter_set((founder,)), snapshot=GroupSnapshot()
        )
    newest = max(record.snapshot, own_snapshot, key=lambda snapshot: snapshot.last_index)
    return GroupRecord(epoch=record.epoch + 1, voters=voter_set((founder,)), snapshot=newest)
