"""Which node leads: a row in the store, written under a condition, and who was heard lately.

Leadership is a hint that keeps two nodes from doing the same work; fences keep keys safe.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import xxhash

from limedeck.api.control_pb2 import FormerLeader, LeaderRecord
from limedeck.identity import NEVER, Seconds
from limedeck.ownership import candidate_priority
from limedeck.ownership.timing import OwnershipTiming

RETRY_INTERVAL: Seconds = 0.25
"""Between two readings of the leader's rows, and after the first call that failed; an estimate."""
LONGEST_RETRY_INTERVAL: Seconds = 1.0
"""Calls that fail are repeated more and more slowly: all nodes make them at the same time."""
RESIGNED_WAIT: Seconds = 0.1
"""A leader that has resigned looks so often who follows it; above the time of an election."""
FRESH_READING: Seconds = 0.5
"""A campaign rests on rows that were read at most so long ago."""


class Role(enum.Enum):
    """What a node is in its own eyes."""

    FOLLOWER = "follower"
    LEADER = "leader"


class Suspicion(enum.Enum):
    """Why a node looks for another leader."""

    NO_RECORD = "no-record"
    SILENT = "silent"
    DENIED = "denied"
    STORE_UNREACHABLE = "misses-store"


@dataclass(frozen=True, slots=True)
class ReadLeader:
    """Command: read the leader's rows."""

    why: Suspicion


@dataclass(frozen=True, slots=True)
class Campaign:
    """Command: write this record if the row still has this version."""

    record: LeaderRecord
    row_version: int
    why: Suspicion


@dataclass(frozen=True, slots=True)
class Confirm:
    """Command: confirm leadership in the store, if the term still stands."""

    term: int
    row_version: int


ElectionCommand = ReadLeader | Campaign | Confirm


@dataclass(frozen=True, slots=True)
class LeaderReadResult:
    """Event: the leader's rows were read.

    Parameters
    ----------
    record
        None if there is none.
    row_version
        Of the record's row.
    confirmation_age
        How long ago the leader confirmed itself, in seconds; None if never in this term.
    """

    record: LeaderRecord | None
    row_version: int
    confirmation_age: Seconds | None


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who leads, as one node believes.

    Parameters
    ----------
    why
        What was held against the leader before.
    known_for
        How long this node has known of this term, in seconds.
    heard_ago
        How long ago the leader was heard, in seconds; zero at the leader itself.
    suspicion
        What this node holds against it now.
    """

    term: int
    node_id: str
    why: str
    known_for: Seconds
    heard_ago: Seconds
    suspicion: Suspicion | None


class ElectionCore:
    """One node's part in the election of one leader.

    Parameters
    ----------
    identity
        This node's record; its term is not used.
    processor
        Cores that this node may use; one with less than others stands later.
    first_start
        The whole system starts for the first time, so that nodes look for a leader in turn; later
        ones find one, and need it soon.
    """

    def __init__(
        self,
        identity: LeaderRecord,
        timing: OwnershipTiming,
        now: Seconds,
        processor: float = 1.0,
        first_start: bool = True,
    ) -> None:
        self._standing = candidate_priority.CandidatePriority(processor, timing.weakness_delay)
        self.role = Role.FOLLOWER
        self.record: LeaderRecord | None = None
        self.row_version = 0
        self._identity = identity
        self._timing = timing
        self._heard_at = now
        self._term_known_at = now
        self._denied = False
        self._denied_since: Seconds | None = None
        self._leader_misses_store = False
        self._age: Seconds | None = None
        self._age_read_at: Seconds = NEVER
        self._next_call: Seconds = now + (self._spread() if first_start else 0.0)
        self._confirmed_at: Seconds = NEVER
        self._busy = False
        self._failures = 0
        self._stops = False
        self._leads_since: Seconds = NEVER
        self._rests_until: Seconds = NEVER
        self._over: set[tuple[int, int]] = set()
        self._heard_term = 0

    @property
    def term(self) -> int:
        """Newest term that this node knows of."""
        return self.record.term if self.record is not None else 0

    def leadership(self, now: Seconds) -> Leadership | None:
        """Tell who leads; None if this node knows of no leader."""
        if self.record is None:
            return None
        leads = self.role is Role.LEADER
        return Leadership(
            term=self.record.term,
            node_id=self.record.node_id,
            why=self.record.why,
            known_for=now - self._term_known_at,
            heard_ago=0.0 if leads else now - self._heard_at,
            suspicion=None if leads else self._suspicion(now),
        )

    def store_silence(self, now: Seconds) -> Seconds:
        """How long the store has not confirmed this leader."""
        return now - self._confirmed_at

    def may_yield(self, now: Seconds) -> bool:
        """Whether this leader has been in office long enough to give it up to another.

        It takes the store to elect one: without, all leases would end before there is a leader.
        """
        long_enough = now - self._leads_since >= self._timing.yield_after
        is_confirmed = self.store_silence(now) < self._timing.stale_confirmation
        return self.role is Role.LEADER and long_enough and is_confirmed

    def is_ineligible(self, now: Seconds) -> bool:
        """Whether this node has given up leading: for a while, or because it is about to stop."""
        return self._stops or now < self._rests_until

    def may_renew(self, now: Seconds) -> bool:
        """Whether this node may go on renewing grants."""
        leads = self.role is Role.LEADER
        return leads and self.store_silence(now) < self._timing.leader_patience

    def handle_heartbeat(
        self,
        term: int,
        store_silence: Seconds,
        now: Seconds,
        fleet: candidate_priority.Fleet | None = None,
    ) -> None:
        """The leader was heard; it tells how long the store has not confirmed it."""
        if term < self.term:
            return
        self._heard_at = now
        self._denied = False
        if fleet is not None:
            self._standing.fleet = fleet
        patience = self._timing.cut_leader_patience + self._standing.turn(self._place())
        self._leader_misses_store = store_silence > patience

    def handle_denial(self, term: int, incarnation: int, resigned: bool) -> None:
        """The process at a leader's address says that it does not lead.

        Parameters
        ----------
        term
            Of the record that named the address.
        incarnation
            Of the process. The leader's own may just not know yet that it was elected.
        resigned
            It led, and has given that up.
        """
        if self.record is None or term != self.term or self.role is Role.LEADER:
            return
        if resigned or incarnation != self.record.incarnation:
            self._denied = True

    def handle_peer_record(self, record: LeaderRecord, row_version: int, now: Seconds) -> None:
        """Another node told which record it has read."""
        if record.term <= self.term or row_version <= self.row_version:
            return
        self.record = record
        self.row_version = row_version
        self._note_new_term(now)
        self._settle_role(now)

    def handle_leader_read(self, seen: LeaderReadResult, now: Seconds) -> None:
        """The leader's rows were read, or a write showed them."""
        self._busy = False
        self._failures = 0
        known = self.term
        if seen.row_version >= self.row_version:
            self.record = seen.record
            self.row_version = seen.row_version
        if self.term > known:
            self._note_new_term(now)
        self._age = seen.confirmation_age
        self._age_read_at = now
        self._next_call = now
        self._settle_role(now)

    def _note_new_term(self, now: Seconds) -> None:
        """There is a later leader than the one that was heard or denied."""
        self._heard_at = now
        self._term_known_at = now
        self._denied = False
        self._leader_misses_store = False

    def handle_elected(self, record: LeaderRecord, row_version: int, now: Seconds) -> None:
        """The store took this node's record."""
        self._busy = False
        self._failures = 0
        self.record = record
        self.row_version = row_version
        self._term_known_at = now
        self._confirmed_at = now
        self._denied = False
        self._leader_misses_store = False
        self._settle_role(now)

    def handle_confirmed(self, sent_at: Seconds) -> None:
        """The store confirmed this leader; the time is that before the call."""
        self._busy = False
        self._failures = 0
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def handle_store_failure(self, now: Seconds) -> None:
        """A call to the store failed; whether it did anything is unknown."""
        self._busy = False
        self._age = None
        self._failures += 1
        pause = RETRY_INTERVAL * 2.0 ** min(self._failures - 1, 10)
        self._next_call = now + min(pause, LONGEST_RETRY_INTERVAL)

    def former_leaders(self) -> list[FormerLeader]:
        """Leaders of earlier terms that may still renew grants, while this node leads."""
        if self.role is not Role.LEADER or self.record is None:
            return []
        return [
            item for item in self.record.former if (item.incarnation, item.term) not in self._over
        ]

    def handle_former_leader_ended(self, former: FormerLeader) -> None:
        """A former leader's process has ended or says that it leads that term no more."""
        self._over.add((former.incarnation, former.term))

    def handle_superseded(self, term: int) -> None:
        """Another node knows of a later term; this one will lead no earlier term any more."""
        self._heard_term = max(self._heard_term, term)
        if self.role is Role.LEADER and term > self.term:
            self.step_down()

    def step_down(self) -> None:
        """Orders were refused because of a higher fence: there is a later leader."""
        self.role = Role.FOLLOWER
        self._denied = True

    def resign(self) -> None:
        """Lead no more, and never again: this process is about to stop."""
        if self.role is Role.LEADER:
            self._denied = True
        self._stops = True
        self.role = Role.FOLLOWER

    def yield_leadership(self, now: Seconds) -> None:
        """Lead no more, and let others stand first: they may reach what this node does not."""
        self.role = Role.FOLLOWER
        self._denied = True
        self._rests_until = now + self._timing.yield_rest

    def handle_tick(self, now: Seconds) -> ElectionCommand | None:
        """Decide what to ask of the store now."""
        if self._busy or now < self._next_call:
            return None
        command = self._leader_tick(now) if self.role is Role.LEADER else self._follower_tick(now)
        self._busy = command is not None
        return command

    def _leader_tick(self, now: Seconds) -> ElectionCommand | None:
        self._next_call = now + self._timing.confirm_interval
        return Confirm(self.term, self.row_version)

    def _follower_tick(self, now: Seconds) -> ElectionCommand | None:
        why = self._suspicion(now)
        if why is not Suspicion.DENIED:
            self._denied_since = None
        if why is None or not self._may_stand(why, now):
            return None
        freshness = RESIGNED_WAIT if self.is_ineligible(now) else FRESH_READING
        if now - self._age_read_at > freshness:
            self._next_call = now + RETRY_INTERVAL
            return ReadLeader(why)
        if not self.is_ineligible(now) and self._may_replace(why, now):
            self._age_read_at = NEVER
            return Campaign(self._candidacy(why), self.row_version, why)
        return None

    def _suspicion(self, now: Seconds) -> Suspicion | None:
        if self.record is None:
            return Suspicion.NO_RECORD
        if self._denied:
            return Suspicion.DENIED
        if now - self._heard_at > self._timing.leader_silence + self._spread():
            return Suspicion.SILENT
        if self._leader_misses_store:
            return Suspicion.STORE_UNREACHABLE
        return None

    def _may_stand(self, why: Suspicion, now: Seconds) -> bool:
        """Whether this node's turn has come.

        All followers hear at the same time that their leader has resigned, and a weak machine is
        as quick as a strong one. What was read before says nothing of those whose turn came first.
        The one that resigned looks soon who follows it, and tells the others.
        """
        if why is not Suspicion.DENIED:
            return True
        if self._denied_since is None:
            self._denied_since = now
            self._age_read_at = NEVER
        own_turn = self._spread() + self._standing.handicap
        wait = RESIGNED_WAIT if self.is_ineligible(now) else own_turn
        return now >= self._denied_since + wait

    def _may_replace(self, why: Suspicion, now: Seconds) -> bool:
        if why in (Suspicion.NO_RECORD, Suspicion.DENIED):
            return True
        if self._age is None:
            return True
        return self._age + (now - self._age_read_at) > self._timing.stale_confirmation

    def _candidacy(self, why: Suspicion) -> LeaderRecord:
        record = LeaderRecord()
        record.CopyFrom(self._identity)
        record.why = why.value
        record.term = self.term + 1
        if self.record is not None:
            record.former.extend(_former_leaders(self.record, self._identity.node_id))
        return record

    def _settle_role(self, now: Seconds) -> None:
        mine = self.record is not None and (
            self.record.node_id == self._identity.node_id
            and self.record.incarnation == self._identity.incarnation
        )
        is_willing = not self._denied and not self.is_ineligible(now)
        may_lead = is_willing and self.term >= self._heard_term
        if mine and may_lead and self.role is Role.FOLLOWER:
            self.role = Role.LEADER
            self._leads_since = now
            self._confirmed_at = max(self._confirmed_at, now)
            self._next_call = now
        elif not mine:
            self.role = Role.FOLLOWER
            if self.record is not None and self.record.node_id == self._identity.node_id:
                # An earlier life of this node led; it is over, and only this node knows it.
                self._denied = True
                self._denied_since = NEVER

    def _spread(self) -> Seconds:
        return self._standing.spread(self._place())

    def _place(self) -> float:
        """Where this node stands among the candidates, from 0 to 1; another in each term."""
        text = f"{self._identity.node_id}/{self.term}"
        return xxhash.xxh32_intdigest(text.encode()) / float(1 << 32)


def _former_leaders(record: LeaderRecord, own_node: str) -> list[FormerLeader]:
    """The record's leader and those before it; a later life of a node proves that earlier ended."""
    newest = {item.node_id: item for item in record.former}
    newest[record.node_id] = FormerLeader(
        node_id=record.node_id,
        incarnation=record.incarnation,
        peer_address=record.peer_address,
        term=record.term,
    )
    newest.pop(own_node, None)
    return list(newest.values())
