"""Commands, events and views of the election of the leader."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.api.control_pb2 import LeaderRecord
from limedeck.identity import Seconds
from limedeck.versions import StoreVersion


class Role(enum.Enum):
    """Role of a node, as far as the node itself knows."""

    FOLLOWER = "follower"
    LEADER = "leader"


class Suspicion(enum.Enum):
    """Reason to look for another leader.

    NO_RECORD
        The node knows of no leader.
    SILENT
        The leader's heartbeats have stopped.
    DENIED
        The leader has resigned, or its process says that it does not lead.
    STORE_UNREACHABLE
        The leader does not reach the store.
    STORE_RETURNED
        The store has returned from a copy, so that the leader's election may be lost.
    """

    NO_RECORD = "no-record"
    SILENT = "silent"
    DENIED = "denied"
    STORE_UNREACHABLE = "misses-store"
    STORE_RETURNED = "store-returned"


@dataclass(frozen=True, slots=True)
class ReadLeader:
    """Command: read the leader's rows."""

    why: Suspicion


@dataclass(frozen=True, slots=True)
class Campaign:
    """Command: write this record if the row still has this version."""

    record: LeaderRecord
    row_version: StoreVersion
    why: Suspicion


@dataclass(frozen=True, slots=True)
class Confirm:
    """Command: confirm leadership in the store, if the term is still current."""

    term: int
    row_version: StoreVersion


ElectionCommand = ReadLeader | Campaign | Confirm


@dataclass(frozen=True, slots=True)
class LeaderReadResult:
    """Event: the leader's rows were read.

    Parameters
    ----------
    record
        Record of the leader; None if there is none.
    row_version
        Version of the record's row; that of an absent row if there is no record.
    confirmation_age
        Age of the leader's last confirmation; None if there is none in this term.
    """

    record: LeaderRecord | None
    row_version: StoreVersion
    confirmation_age: Seconds | None


@dataclass(frozen=True, slots=True)
class Leadership:
    """The current leader, as far as one node knows.

    Parameters
    ----------
    why
        Suspicion for which the former leader was replaced.
    known_for
        Time since this node learned of this term.
    heard_ago
        Time since the last heartbeat of the leader; zero at the leader itself.
    suspicion
        Current suspicion of this node against the leader.
    """

    term: int
    node_id: str
    why: str
    known_for: Seconds
    heard_ago: Seconds
    suspicion: Suspicion | None
