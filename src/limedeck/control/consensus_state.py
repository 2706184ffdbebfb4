"""Roles, messages and leader state of the consensus algorithm."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from limedeck.api.peer_pb2 import GroupMessage, VoterSet
from limedeck.identity import NEVER, NodeId, Seconds, Voter

TERMS_PER_EPOCH = 1 << 32
"""Terms, and log indexes, reserved for each epoch: those of a later epoch are all higher."""


class Role(enum.Enum):
    """Role of a voter in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class OutgoingMessage:
    """A message for one member of the group."""

    target: Voter
    message: GroupMessage


@dataclass
class Progress:
    """Replication progress of one follower, as the leader knows it.

    Parameters
    ----------
    next_index
        Index of the next entry to send.
    match_index
        Index of the last entry that the follower is known to hold.
    acknowledged_sent_at
        Leader's clock when it sent the latest append that was acknowledged.
    last_reply_at
        Leader's clock when the follower's last reply arrived.
    last_sent_at
        Leader's clock at its last append to the follower.
    """

    next_index: int
    match_index: int = 0
    acknowledged_sent_at: Seconds = NEVER
    last_reply_at: Seconds = NEVER
    last_sent_at: Seconds = NEVER


@dataclass
class LeaderState:
    """State that only a leader has.

    Parameters
    ----------
    elected_at
        Leader's clock when it won the election.
    first_index
        Index of the entry it appended on election; the leader acts once that entry is committed.
    """

    elected_at: Seconds
    first_index: int
    progress: dict[Voter, Progress] = field(default_factory=dict)
    learners: list[Voter] = field(default_factory=list)


def majority(count: int) -> int:
    """Smallest number of voters that is more than half of `count`."""
    return count // 2 + 1


def voter_set(voters: Sequence[Voter]) -> VoterSet:
    """Convert voters to their protobuf message."""
    return VoterSet(voters=[voter.to_message() for voter in voters])


def voters_of(message: VoterSet) -> tuple[Voter, ...]:
    """Convert a protobuf message to voters."""
    return tuple(Voter.from_message(voter) for voter in message.voters)


def transfer_rank(state: LeaderState, voter: Voter) -> tuple[int, Seconds, NodeId]:
    """Return the sort key of a follower; leadership is transferred to the highest."""
    progress = state.progress.get(voter, Progress(0))
    return progress.match_index, progress.last_reply_at, voter.node_id
