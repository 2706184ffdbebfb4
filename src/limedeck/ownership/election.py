"""Leader election by conditional writes of a row in the store, and by heartbeats of the leader.

Leadership only keeps two nodes from doing the same work; fences keep keys safe.
"""

from __future__ import annotations

import xxhash

from limedeck import versions
from limedeck.api.control_pb2 import FormerLeader, LeaderRecord
from limedeck.identity import NEVER, Seconds
from limedeck.ownership import candidate_priority, terms
from limedeck.ownership.election_events import (
    Campaign,
    Confirm,
    ElectionCommand,
    LeaderReadResult,
    Leadership,
    ReadLeader,
    Role,
    Suspicion,
)
from limedeck.ownership.timing import OwnershipTiming
from limedeck.versions import StoreVersion

RETRY_INTERVAL: Seconds = 0.25
"""Interval between two reads of the leader's rows, and delay after the first failed call."""
MAX_RETRY_INTERVAL: Seconds = 1.0
"""Upper bound of the exponential backoff of failed calls, which all nodes make at the same time."""
RESIGNED_READ_INTERVAL: Seconds = 0.1
"""Interval at which a leader that has resigned reads who succeeds it; longer than an election."""
MAX_READ_AGE: Seconds = 0.5
"""Largest age of the rows on which a campaign is based."""
UNCONFIRMED_TERMS = 8
"""Terms that are left out if the record of the last election is lost: leaders that the store has
not confirmed may have had them."""
UNINFORMED_CANDIDATE_DELAY: Seconds = 1.0
"""How much longer a node waits that does not know the leader whose record is lost: if it leads,
keys of unresponsive owners wait for what that leader may have renewed."""


class ElectionCore:
    """State machine of one node in the election of the leader.

    Parameters
    ----------
    identity
        This node's record; its term is not used.
    processor
        Cores that this node may use; a node with fewer than others stands for election later.
    first_start
        Whether the whole system starts for the first time. Nodes then look for a leader at
        staggered times; otherwise there is a leader, which the node looks for at once.

    Attributes
    ----------
    is_partitioned
        Whether this node reaches no back end; it then stands for election after the others.
    """

    def __init__(
        self,
        identity: LeaderRecord,
        timing: OwnershipTiming,
        now: Seconds,
        processor: float = 1.0,
        first_start: bool = True,
    ) -> None:
        self._priority = candidate_priority.CandidatePriority(processor, timing.max_weak_node_delay)
        self.role = Role.FOLLOWER
        self.is_partitioned = False
        self.record: LeaderRecord | None = None
        self.row_version: StoreVersion = 0
        self.era = 0
        self._identity = identity
        self._timing = timing
        self._leader_heard_at = now
        self._term_known_at = now
        self._denied = False
        self._denied_since: Seconds | None = None
        self._stands_from: Seconds | None = None
        self._yielded_term = 0
        self._leader_store_unreachable = False
        self._confirmation_age: Seconds | None = None
        self._rows_read_at: Seconds = NEVER
        self._next_call: Seconds = now + (self._urgent_delay() if first_start else 0.0)
        self._confirmed_at: Seconds = NEVER
        self._is_call_pending = False
        self._failures = 0
        self._is_stopping = False
        self._leads_since: Seconds = NEVER
        self._ineligible_until: Seconds = NEVER
        self._ended_leaders: set[tuple[int, int]] = set()
        self._highest_peer_term = 0
        self._is_record_lost = False
        self._is_term_unknown = False
        self._confirmed_term = 0

    @property
    def term(self) -> int:
        """Term of the record that this node knows; zero if it knows none."""
        return self.record.term if self.record is not None else 0

    def leadership(self, now: Seconds) -> Leadership | None:
        """Return the current leader; None if this node knows of none."""
        if self.record is None:
            return None
        leads = self.role is Role.LEADER
        return Leadership(
            term=self.record.term,
            node_id=self.record.node_id,
            why=self.record.why,
            known_for=now - self._term_known_at,
            heard_ago=0.0 if leads else now - self._leader_heard_at,
            suspicion=None if leads else self._suspicion(now),
        )

    @property
    def leads_since(self) -> Seconds:
        """When this node became the leader; the same in all terms that it leads without a break."""
        return self._leads_since

    def store_silence(self, now: Seconds) -> Seconds:
        """Return the time since the store last confirmed this leader."""
        return now - self._confirmed_at

    def may_yield(self, now: Seconds) -> bool:
        """Whether this leader has led long enough to yield, and the store confirms it.

        Another leader can be elected only if the store is reachable. Without it, all leases would
        end before there is a new leader.
        """
        long_enough = now - self._leads_since >= self._timing.min_leadership_time
        is_confirmed = self.store_silence(now) < self._timing.stale_confirmation
        return self.role is Role.LEADER and long_enough and is_confirmed

    def must_yield_to_reaching_nodes(self, reaching_nodes: int, now: Seconds) -> bool:
        """Whether this leader reaches no back end, and a node that does can be elected.

        Parameters
        ----------
        reaching_nodes
            Number of other nodes that report that they reach back ends.
        """
        is_confirmed = self.store_silence(now) < self._timing.stale_confirmation
        leads = self.role is Role.LEADER
        return leads and self.is_partitioned and is_confirmed and reaching_nodes > 0

    def is_ineligible(self, now: Seconds) -> bool:
        """Whether this node does not stand for election: it has yielded, or is about to stop."""
        return self._is_stopping or now < self._ineligible_until

    def has_resigned(self, now: Seconds) -> bool:
        """Whether this node led in the term that it knows, or does not stand for election."""
        return self.is_ineligible(now) or 0 < self.term == self._yielded_term

    def may_renew(self, now: Seconds) -> bool:
        """Whether this node leads and may renew grants."""
        leads = self.role is Role.LEADER
        return leads and self.store_silence(now) < self._timing.max_unconfirmed_time

    def handle_heartbeat(
        self,
        term: int,
        store_silence: Seconds,
        now: Seconds,
        fleet: candidate_priority.Fleet | None = None,
    ) -> None:
        """Handle a heartbeat of the leader.

        Parameters
        ----------
        store_silence
            Time since the store last confirmed the leader, as it reports.
        fleet
            The leader's description of all nodes, if it sent one.
        """
        if term < self.term:
            return
        self._leader_heard_at = now
        self._denied = False
        if fleet is not None:
            self._priority.fleet = fleet
        timeout = self._timing.unconfirmed_leader_timeout + self._priority.staggered_delay(
            self._place()
        )
        self._leader_store_unreachable = store_silence > timeout

    def handle_denial(self, term: int, incarnation: int, resigned: bool) -> None:
        """Handle the statement of the process at the leader's address that it does not lead.

        Parameters
        ----------
        term
            Term of the record that named the address.
        incarnation
            Incarnation of the process. If it is the leader's own, the process may not know yet that
            it was elected.
        resigned
            Whether the process led and has given up leadership.
        """
        if self.record is None or term != self.term or self.role is Role.LEADER:
            return
        if resigned or incarnation != self.record.incarnation:
            self._denied = True

    def handle_peer_record(self, record: LeaderRecord, row_version: int, now: Seconds) -> None:
        """Handle a leader record that another node has read and sent."""
        is_same_era = versions.era_of(row_version) == versions.era_of(self.row_version)
        if record.term <= self.term or (is_same_era and row_version <= self.row_version):
            return
        self.record = record
        self.row_version = max(row_version, self.row_version)
        self._is_record_lost = False
        self._record_new_term(now)
        self._update_role(now)

    def handle_leader_read(self, seen: LeaderReadResult, now: Seconds) -> None:
        """Handle the leader's rows, as read or as returned by a failed write."""
        self._is_call_pending = False
        self._failures = 0
        known = self.term
        self._record_loss(seen)
        if seen.row_version >= self.row_version or self._is_row_absent(seen):
            self.row_version = seen.row_version
            # A copy of the store may name a leader before the one that this node knows.
            if seen.record is not None and seen.record.term >= known:
                self.record = seen.record
        if self.term > known:
            self._record_new_term(now)
        self._confirmation_age = seen.confirmation_age
        # A failed write returns the leader's row alone, which without a record shows no term.
        self._rows_read_at = NEVER if self._lacks_confirmation(seen) else now
        self._next_call = now
        self._update_role(now)

    def _record_loss(self, seen: LeaderReadResult) -> None:
        """Record whether the record of the last election is in the store."""
        self._confirmed_term = max(self._confirmed_term, seen.confirmed_term or 0)
        was_elected = self.record is not None or self._confirmed_term > 0
        is_lost = seen.record is None and (was_elected or seen.is_unreadable)
        self._is_record_lost = is_lost or self._is_own_record_replaced(seen)
        self._is_term_unknown = seen.is_term_unreadable and not was_elected
        if self._is_lost_leader_unknown:
            self.handle_superseded(self._confirmed_term)

    def _is_own_record_replaced(self, seen: LeaderReadResult) -> bool:
        """Whether the row of this leader's record was written later, with an earlier term."""
        if self.role is not Role.LEADER or seen.record is None:
            return False
        is_same_era = versions.era_of(seen.row_version) == versions.era_of(self.row_version)
        is_later = is_same_era and seen.row_version > self.row_version
        return is_later and seen.record.term < self.term

    @property
    def _is_lost_leader_unknown(self) -> bool:
        is_known = self.record is not None and self.term >= self._confirmed_term
        return self._is_record_lost and not is_known

    def _is_row_absent(self, seen: LeaderReadResult) -> bool:
        is_same_era = versions.era_of(seen.row_version) == versions.era_of(self.row_version)
        return is_same_era and self._is_record_lost and not seen.is_unreadable

    def _lacks_confirmation(self, seen: LeaderReadResult) -> bool:
        return self._is_record_lost and seen.is_conflict

    def handle_era(self, era: int, now: Seconds) -> None:
        """Handle the era of the store: what was read in an earlier one is not valid any more."""
        if era <= self.era:
            return
        self.era = era
        self._rows_read_at = NEVER
        self._confirmation_age = None
        if self.role is Role.LEADER:
            self._next_call = now

    @property
    def is_election_lost(self) -> bool:
        """Whether the store does not know that this node was elected; it has to be elected again.

        It was elected in an earlier era, or its record is lost.
        """
        is_lost = self._is_of_earlier_era or self._is_record_lost
        return self.role is Role.LEADER and is_lost

    @property
    def _is_of_earlier_era(self) -> bool:
        return terms.era_of(self.term) < self.era

    def _record_new_term(self, now: Seconds) -> None:
        """Drop what was known of the former leader: there is a later one."""
        self._leader_heard_at = now
        self._term_known_at = now
        self._denied = False
        self._leader_store_unreachable = False

    def handle_elected(self, record: LeaderRecord, row_version: int, now: Seconds) -> None:
        """Handle the store's acceptance of this node's record."""
        self._is_call_pending = False
        self._failures = 0
        self.record = record
        self.row_version = row_version
        self._is_record_lost = False
        self._term_known_at = now
        self._confirmed_at = now
        self._denied = False
        self._leader_store_unreachable = False
        self._update_role(now)

    def handle_confirmed(self, sent_at: Seconds) -> None:
        """Handle the store's confirmation of this leader; `sent_at` is the time before the call."""
        self._is_call_pending = False
        self._failures = 0
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def handle_store_failure(self, now: Seconds) -> None:
        """Handle a failed call to the store, which may have taken effect."""
        self._is_call_pending = False
        self._confirmation_age = None
        # No node can be elected without the store, so that the delay begins when it is back.
        self._stands_from = None
        self._failures += 1
        pause = RETRY_INTERVAL * 2.0 ** min(self._failures - 1, 10)
        self._next_call = now + min(pause, MAX_RETRY_INTERVAL)

    def former_leaders(self) -> list[FormerLeader]:
        """Return leaders of earlier terms that may still renew grants, while this node leads.

        One whose record was lost is unknown but for its term; it has no address.
        """
        if self.role is not Role.LEADER or self.record is None:
            return []
        return [
            item
            for item in self.record.former
            if (item.incarnation, item.term) not in self._ended_leaders
        ]

    def handle_former_leader_ended(self, former: FormerLeader) -> None:
        """Handle that a former leader's process has ended or no longer leads in that term."""
        self._ended_leaders.add((former.incarnation, former.term))

    def handle_superseded(self, term: int) -> None:
        """Handle another node's later term; this node will not lead in an earlier one."""
        self._highest_peer_term = max(self._highest_peer_term, term)
        if self.role is Role.LEADER and term > self.term:
            self.step_down()

    def step_down(self) -> None:
        """Stop leading because orders were refused by a higher fence: there is a later leader."""
        self.role = Role.FOLLOWER
        self._denied = True

    def resign(self) -> None:
        """Stop leading for good, because this process is about to stop."""
        if self.role is Role.LEADER:
            self._denied = True
        self._is_stopping = True
        self.role = Role.FOLLOWER

    def yield_leadership(self, now: Seconds) -> None:
        """Stop leading, and let other nodes stand first: they may reach owners that this cannot."""
        self.role = Role.FOLLOWER
        self._denied = True
        self._yielded_term = self.term
        if not self.is_partitioned:
            self._ineligible_until = now + self._timing.yield_cooldown

    def handle_tick(self, now: Seconds) -> ElectionCommand | None:
        """Return the call to the store that is due, if any."""
        if self._is_call_pending or now < self._next_call:
            return None
        command = self._leader_tick(now) if self.role is Role.LEADER else self._follower_tick(now)
        self._is_call_pending = command is not None
        return command

    def _leader_tick(self, now: Seconds) -> ElectionCommand | None:
        self._end_unknown_leaders(now)
        if self.is_election_lost:
            return self._restore_leadership(now)
        self._next_call = now + self._timing.confirm_interval
        return Confirm(self.term, self.row_version)

    def _end_unknown_leaders(self, now: Seconds) -> None:
        """Let former leaders that cannot be asked count as ended once they renew no grants."""
        if self.record is None or now - self._leads_since <= self._timing.max_unconfirmed_time:
            return
        for former in self.record.former:
            if not former.node_id:
                self.handle_former_leader_ended(former)

    def _restore_leadership(self, now: Seconds) -> ElectionCommand:
        """Stand for election again, while grants go on under the lost term."""
        self._next_call = now + RETRY_INTERVAL
        is_returned = self._is_of_earlier_era
        why = Suspicion.STORE_RETURNED if is_returned else Suspicion.RECORD_LOST
        is_current = versions.era_of(self.row_version) == self.era
        if not is_current or now - self._rows_read_at > MAX_READ_AGE:
            return ReadLeader(why)
        self._rows_read_at = NEVER
        return Campaign(self._candidate_record(why), self.row_version, why)

    def _follower_tick(self, now: Seconds) -> ElectionCommand | None:
        why = self._suspicion(now)
        if why is not Suspicion.DENIED:
            self._denied_since = None
        stands = self._may_stand(why, now)
        if why is None or not self._is_turn(why, now):
            return None
        freshness = MAX_READ_AGE if stands else RESIGNED_READ_INTERVAL
        if now - self._rows_read_at > freshness:
            self._next_call = now + RETRY_INTERVAL
            return ReadLeader(why)
        if stands and self._may_replace_leader(why, now):
            self._rows_read_at = NEVER
            return Campaign(self._candidate_record(why), self.row_version, why)
        return None

    def _may_stand(self, why: Suspicion | None, now: Seconds) -> bool:
        """Whether this node may stand for election now, if it is its turn."""
        if why is None or not self.is_partitioned:
            self._stands_from = None
        elif self._stands_from is None:
            self._stands_from = now + self._timing.partitioned_candidate_delay
        return not self.is_ineligible(now) and (
            self._stands_from is None or now >= self._stands_from
        )

    def handle_campaign_dropped(self) -> None:
        """Handle that a campaign was not made, since this node has turned out to be partitioned."""
        self._is_call_pending = False

    def _suspicion(self, now: Seconds) -> Suspicion | None:
        if self.record is None:
            return Suspicion.NO_RECORD
        if self._denied:
            return Suspicion.DENIED
        if now - self._leader_heard_at > self._timing.leader_timeout + self._urgent_delay():
            return Suspicion.SILENT
        if self._leader_store_unreachable:
            return Suspicion.STORE_UNREACHABLE
        return None

    def _is_turn(self, why: Suspicion, now: Seconds) -> bool:
        """Whether this node's turn to stand for election has come.

        All followers learn of a resignation at the same time, so that without a delay a weak
        machine could win over a strong one. Rows read before do not show candidates whose turn
        came first, and are read again. The node that resigned soon reads who succeeds it, and
        informs the others.
        """
        if why is not Suspicion.DENIED:
            return True
        if self._denied_since is None:
            self._denied_since = now
            self._rows_read_at = NEVER
        own_turn = self._urgent_delay() + self._priority.weak_node_delay
        wait = RESIGNED_READ_INTERVAL if self.is_ineligible(now) else own_turn
        return now >= self._denied_since + wait

    def _may_replace_leader(self, why: Suspicion, now: Seconds) -> bool:
        if self._is_term_unknown:
            return False
        if why in (Suspicion.NO_RECORD, Suspicion.DENIED) and not self._is_record_lost:
            return True
        if self._confirmation_age is None:
            return True
        delay = UNINFORMED_CANDIDATE_DELAY if self._is_lost_leader_unknown else 0.0
        age = self._confirmation_age + (now - self._rows_read_at)
        return age > self._timing.stale_confirmation + delay

    def _candidate_record(self, why: Suspicion) -> LeaderRecord:
        record = LeaderRecord()
        record.CopyFrom(self._identity)
        record.why = why.value
        highest = max(self.term, self._highest_peer_term)
        if self._is_record_lost:
            highest = max(highest, self._confirmed_term) + UNCONFIRMED_TERMS
        record.term = terms.next_term(highest, self.era)
        if self.record is not None:
            record.former.extend(_former_leaders(self.record, self._identity.node_id))
        if self._is_lost_leader_unknown:
            record.former.append(FormerLeader(term=self._confirmed_term))
        return record

    def _update_role(self, now: Seconds) -> None:
        is_own = self.record is not None and (
            self.record.node_id == self._identity.node_id
            and self.record.incarnation == self._identity.incarnation
        )
        is_willing = not self._denied and not self.is_ineligible(now)
        may_lead = is_willing and self.term >= self._highest_peer_term
        if is_own and may_lead and self.role is Role.FOLLOWER:
            self.role = Role.LEADER
            self._leads_since = now
            self._confirmed_at = max(self._confirmed_at, now)
            self._next_call = now
        elif not is_own:
            self.role = Role.FOLLOWER
            if self.record is not None and self.record.node_id == self._identity.node_id:
                # An earlier incarnation of this node led. Only this node knows that it has ended.
                self._denied = True
                self._denied_since = NEVER

    def _urgent_delay(self) -> Seconds:
        return self._priority.urgent_delay(self._place())

    def _place(self) -> float:
        """Return a hash of node and term from 0 to 1: the node's place among the candidates."""
        text = f"{self._identity.node_id}/{self.term}"
        return xxhash.xxh32_intdigest(text.encode()) / float(1 << 32)


def _former_leaders(record: LeaderRecord, own_node: str) -> list[FormerLeader]:
    """Return the record's leader and those before it, with the last incarnation of each node.

    A later incarnation of a node proves that earlier ones have ended; this node's own are left out.
    """
    newest = {item.node_id: item for item in record.former}
    newest[record.node_id] = FormerLeader(
        node_id=record.node_id,
        incarnation=record.incarnation,
        peer_address=record.peer_address,
        term=record.term,
    )
    newest.pop(own_node, None)
    return list(newest.values())
