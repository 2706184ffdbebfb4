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
    RECORD_LOST
        The leader's record is gone or cannot be read; another program has changed its row.
    """

    NO_RECORD = "no-record"
    SILENT = "silent"
    DENIED = "denied"
    STORE_UNREACHABLE = "misses-store"
    STORE_RETURNED = "store-returned"
    RECORD_LOST = "record-lost"


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
        Record of the leader; None if there is none, or if it cannot be read.
    row_version
        Version of the record's row; that of an absent row if there is none.
    confirmation_age
        Age of the last confirmation, if there is one in this term, or if there is no record.
    confirmed_term
        Term of the last confirmation; None if there is none, or if it was not read.
    is_unreadable
        Whether there is a row that holds no record.
    is_term_unreadable
        Whether there is a confirmation, and neither it nor the record can be read.
    is_conflict
        Whether a failed write returned the row of the record; other rows were not read.
    """

    record: LeaderRecord | None
    row_version: StoreVersion
    confirmation_age: Seconds | None
    confirmed_term: int | None = None
    is_unreadable: bool = False
    is_term_unreadable: bool = False
    is_conflict: bool = False


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
