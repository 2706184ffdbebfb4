"""Election, leadership lease and replication of one control group by a majority of its voters.

The algorithm is Raft with pre-votes and leases, with all state kept in memory. A restarted
process is a new voter identity, so a voter whose state was lost cannot break a promise it made.

A voter that acknowledged an append at time *t* of its clock votes for no other node before
``t + election_timeout``. A leader may therefore act until ``s + leadership_lease``, where *s* is
the latest time at which it sent an append that a majority has acknowledged.
"""

from __future__ import annotations

from collections.abc import Sequence

from limedeck.api.peer_pb2 import (
    AppendReply,
    AppendRequest,
    AssignmentChange,
    GroupMessage,
    GroupSnapshot,
    LogEntry,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from limedeck.control.consensus_state import (
    TERMS_PER_EPOCH,
    LeaderState,
    OutgoingMessage,
    Progress,
    Role,
    majority,
    transfer_rank,
    voter_set,
    voters_of,
)
from limedeck.control.replicated_log import ReplicatedLog
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.errors import InvariantViolation
from limedeck.identity import NEVER, GroupId, Seconds, Voter
from limedeck.keyspace.hashing import rendezvous_weight
from limedeck.keyspace.slices import SliceMap, slice_map_from

MAX_ENTRIES_PER_APPEND = 64
ELECTION_SPREAD_STEPS = 1 << 16


class ConsensusCore:
    """Consensus state machine of one node in one control group.

    A new core is passive: it knows no voters and does not stand for election until a leader sends
    it the group's state or `start_epoch` makes it the first voter of a new epoch.
    """

    def __init__(
        self,
        group: GroupId,
        identity: Voter,
        timing: ControlTiming,
        limits: ControlLimits,
        now: Seconds,
    ) -> None:
        self.group = group
        self.identity = identity
        self.timing = timing
        self.limits = limits
        self.term = 0
        self.role = Role.FOLLOWER
        self.leader: Voter | None = None
        self.commit_index = 0
        self.slices = SliceMap()
        """The committed assignment."""
        self.committed_voters: tuple[Voter, ...] = ()
        self.leader_state: LeaderState | None = None
        self._log = ReplicatedLog()
        self._base_slices = SliceMap()
        self._base_voters: tuple[Voter, ...] = ()
        self._voters: tuple[Voter, ...] = ()
        self._snapshot = GroupSnapshot()
        self._voted_for: Voter | None = None
        self._votes: set[Voter] = set()
        self._vote_withheld_until: Seconds = NEVER
        self._election_due: Seconds = now + timing.election_timeout
        self._transfer_election = False
        self._outbox: list[OutgoingMessage] = []
        self._applied: list[LogEntry] = []

    # ------------------------------------------------------------------ reading

    @property
    def voters(self) -> tuple[Voter, ...]:
        """The voter set in force: the latest one in the log, whether committed or not."""
        return self._voters

    def _refresh_voters(self) -> None:
        for entry in reversed(self._log.entries_after_base()):
            if entry.WhichOneof("body") == "voters":
                self._voters = voters_of(entry.voters)
                return
        self._voters = self._base_voters

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._log.last_index

    @property
    def is_leader(self) -> bool:
        """Whether this node leads its term, with or without a leadership lease."""
        return self.role is Role.LEADER

    @property
    def has_applied_own_entry(self) -> bool:
        """Whether this node leads and has committed the entry it appended on election.

        Its committed state then holds everything that was committed in earlier terms.
        """
        state = self.leader_state
        return state is not None and self.commit_index >= state.first_index

    def leadership_lease_end(self) -> Seconds:
        """Time on this node's clock before which no other node can be elected."""
        state = self.leader_state
        if state is None:
            return NEVER
        voters = self.voters
        sent_times = sorted(
            (self._acknowledged_sent_at(state, voter) for voter in voters), reverse=True
        )
        if not sent_times:
            return NEVER
        return sent_times[majority(len(voters)) - 1] + self.timing.leadership_lease

    def holds_leadership(self, now: Seconds) -> bool:
        """Whether this node is the leader and its leadership lease holds at `now`."""
        return self.is_leader and now < self.leadership_lease_end()

    def has_recent_append(self, now: Seconds) -> bool:
        """Whether a leader's append arrived recently enough for this voter to withhold its vote."""
        return now < self._vote_withheld_until

    def snapshot(self) -> GroupSnapshot:
        """Return the committed state; the message is cached until the commit index changes."""
        if self._snapshot.last_index != self.commit_index:
            self._snapshot = GroupSnapshot(
                last_index=self.commit_index,
                last_term=self._log.term_at(self.commit_index) or 0,
                voters=voter_set(self.committed_voters),
                assignment=self.slices.to_change(),
            )
        return self._snapshot

    # ------------------------------------------------------------------ events

    def start_epoch(self, epoch: int, snapshot: GroupSnapshot, now: Seconds) -> None:
        """Become the first and only voter of a new epoch, with the state of `snapshot`.

        The caller must have written the epoch to the table by compare-and-set.
        """
        base = epoch * TERMS_PER_EPOCH
        if base <= self.term:
            raise InvariantViolation(
                "epochs-grow",
                f"first term of epoch {epoch} is not above the current term {self.term}",
            )
        self.term = base
        self._become_follower(None)
        self._voted_for = None
        self._install_snapshot(
            GroupSnapshot(
                last_index=base,
                last_term=base,
                voters=voter_set((self.identity,)),
                assignment=snapshot.assignment,
            )
        )
        self._vote_withheld_until = NEVER
        self._election_due = now
        self.validate_state("start_epoch")

    def handle_tick(self, now: Seconds) -> list[OutgoingMessage]:
        """Send due appends as the leader, or stand for election when an election is due."""
        if self._lost_majority(now):
            self._step_down(now)
        elif self.is_leader:
            self._send_due_appends(now)
        elif now >= self._election_due and self.identity in self.voters:
            self._start_pre_vote(now)
        return self._finish("tick")

    def handle_message(
        self, sender: Voter, message: GroupMessage, now: Seconds
    ) -> list[OutgoingMessage]:
        """Handle a message from another member of the group."""
        kind = message.WhichOneof("body")
        if kind == "vote_request":
            self._on_vote_request(sender, message.vote_request, now)
        elif kind == "vote_reply":
            self._on_vote_reply(sender, message.vote_reply, now)
        elif kind == "append_request":
            self._on_append_request(sender, message.append_request, now)
        elif kind == "append_reply":
            self._on_append_reply(sender, message.append_reply, now)
        elif kind == "timeout_now":
            self._on_timeout_now(message.timeout_now, now)
        return self._finish(f"{kind} from {sender.node_id}")

    def propose_assignment(self, change: AssignmentChange, now: Seconds) -> int:
        """Append an assignment change as the leader and return its index."""
        return self._append_own(LogEntry(assignment=change), now)

    def propose_voters(self, voters: Sequence[Voter], now: Seconds) -> int:
        """Append a voter set that differs from the one in force by one voter.

        Raises
        ------
        InvariantViolation
            The set differs by more than one voter, or an earlier change is not committed yet.
        """
        difference = set(voters) ^ set(self.voters)
        if len(difference) > 1 or set(self.voters) != set(self.committed_voters):
            raise InvariantViolation(
                "voters-change-one-at-a-time",
                f"cannot change voters from {self.voters} to {tuple(voters)}",
            )
        return self._append_own(LogEntry(voters=voter_set(voters)), now)

    def drain_applied(self) -> list[LogEntry]:
        """Return the entries committed since the last call, in order."""
        applied = self._applied
        self._applied = []
        return applied

    def set_learners(self, learners: Sequence[Voter]) -> None:
        """Replicate to these nodes too, without counting them in a majority (leader only)."""
        state = self.leader_state
        if state is None:
            return
        state.learners = [voter for voter in learners if voter not in self.voters]

    def has_caught_up(self, learner: Voter, now: Seconds) -> bool:
        """Whether a learner holds every committed entry and replied within the election timeout."""
        state = self.leader_state
        progress = state.progress.get(learner) if state else None
        if progress is None:
            return False
        is_responsive = now - progress.last_reply_at <= self.timing.election_timeout
        return is_responsive and progress.match_index >= self.commit_index

    def last_reply_at(self, voter: Voter) -> Seconds:
        """When a follower last replied to the leader, or the leader's election if that is later."""
        state = self.leader_state
        if state is None:
            return NEVER
        progress = state.progress.get(voter)
        return max(state.elected_at, progress.last_reply_at if progress else NEVER)

    def transfer_leadership(self, now: Seconds) -> list[OutgoingMessage]:
        """Resign for the rest of this term and tell the most suitable follower to stand at once."""
        state = self.leader_state
        if state is None:
            return []
        candidates = [voter for voter in self.voters if voter != self.identity]
        self._become_follower(None)
        self._vote_withheld_until = NEVER
        self._election_due = now + 2 * self._election_delay()
        if candidates:
            best = max(candidates, key=lambda voter: transfer_rank(state, voter))
            self._send(best, GroupMessage(timeout_now=TimeoutNow(term=self.term)))
        return self._finish("transfer")

    # ------------------------------------------------------------------ elections

    def _lost_majority(self, now: Seconds) -> bool:
        """Whether a leader has had no replies from a majority for too long to go on leading.

        Its appends may still reach voters whose replies do not reach it; these would go on to
        withhold their votes from other candidates.
        """
        state = self.leader_state
        if state is None:
            return False
        supported_until = max(self.leadership_lease_end(), state.elected_at)
        return now > supported_until + self.timing.election_timeout

    def _step_down(self, now: Seconds) -> None:
        self._become_follower(None)
        self._election_due = now + 2 * self._election_delay()

    def _start_pre_vote(self, now: Seconds) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader = None
        self._votes = {self.identity}
        self._election_due = now + self._election_delay()
        self._request_votes(pre_vote=True)
        self._count_votes(now)

    def _start_vote(self, now: Seconds) -> None:
        self.role = Role.CANDIDATE
        self.term += 1
        self._voted_for = self.identity
        self._votes = {self.identity}
        self._election_due = now + self._election_delay()
        self._request_votes(pre_vote=False)
        self._count_votes(now)

    def _request_votes(self, pre_vote: bool) -> None:
        request = VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=self._transfer_election,
        )
        for voter in self.voters:
            if voter != self.identity:
                self._send(voter, GroupMessage(vote_request=request))

    def _on_vote_request(self, sender: Voter, request: VoteRequest, now: Seconds) -> None:
        withholds_vote = now < self._vote_withheld_until and not request.leadership_transfer
        leading = self.holds_leadership(now)
        if withholds_vote or leading or request.term < self.term:
            self._reply_to_vote(sender, request, granted=False)
            return
        up_to_date = self._log.is_up_to_date(request.last_index, request.last_term)
        if request.pre_vote:
            self._reply_to_vote(sender, request, granted=up_to_date)
            return
        if request.term > self.term:
            self._adopt_term(request.term)
        vote_available = self._voted_for is None or self._voted_for == sender
        granted = vote_available and up_to_date
        if granted:
            self._voted_for = sender
            self._election_due = now + self._election_delay()
        self._reply_to_vote(sender, request, granted)

    def _reply_to_vote(self, sender: Voter, request: VoteRequest, granted: bool) -> None:
        term = request.term if granted else self.term
        reply = VoteReply(term=term, granted=granted, pre_vote=request.pre_vote)
        self._send(sender, GroupMessage(vote_reply=reply))

    def _on_vote_reply(self, sender: Voter, reply: VoteReply, now: Seconds) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._adopt_term(reply.term)
            return
        expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected_term = self.term + 1 if reply.pre_vote else self.term
        if self.role is not expected_role or reply.term != expected_term:
            return
        self._votes.add(sender)
        self._count_votes(now)

    def _count_votes(self, now: Seconds) -> None:
        voters = self.voters
        if len(self._votes & set(voters)) < majority(len(voters)):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_vote(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: Seconds) -> None:
        self.role = Role.LEADER
        self.leader = self.identity
        self._transfer_election = False
        self.leader_state = LeaderState(elected_at=now, first_index=self._log.last_index + 1)
        self._append_own(LogEntry(assignment=AssignmentChange()), now)

    def _become_follower(self, leader: Voter | None) -> None:
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leader_state = None
        self._votes = set()
        self._transfer_election = False

    def _adopt_term(self, term: int) -> None:
        self.term = term
        self._voted_for = None
        self._become_follower(None)

    def _on_timeout_now(self, message: TimeoutNow, now: Seconds) -> None:
        if message.term != self.term or self.identity not in self.voters or self.is_leader:
            return
        self._transfer_election = True
        self._start_vote(now)

    def _election_delay(self) -> Seconds:
        weight = rendezvous_weight(f"{self.identity.node_id}/{self.term}", self.group)
        fraction = weight % ELECTION_SPREAD_STEPS / ELECTION_SPREAD_STEPS
        return self.timing.election_timeout + fraction * self.timing.election_spread

    # ------------------------------------------------------------------ replication

    def _append_own(self, entry: LogEntry, now: Seconds) -> int:
        state = self.leader_state
        if state is None:
            raise InvariantViolation(
                "only-leaders-append", f"{self.identity.node_id} is not the leader"
            )
        entry.index = self._log.last_index + 1
        entry.term = self.term
        self._log.append(entry)
        self._refresh_voters()
        self._send_appends(now, only_due=False)
        self._advance_commit()
        return entry.index

    def _send_due_appends(self, now: Seconds) -> None:
        self._send_appends(now, only_due=True)

    def _send_appends(self, now: Seconds, only_due: bool) -> None:
        state = self.leader_state
        assert state is not None
        for voter in (*self.voters, *state.learners):
            if voter == self.identity:
                continue
            progress = state.progress.setdefault(voter, Progress(self._log.last_index + 1))
            due = now - progress.last_sent_at >= self.timing.heartbeat_interval
            if due or not only_due:
                self._send_append(voter, progress, now)

    def _send_append(self, voter: Voter, progress: Progress, now: Seconds) -> None:
        progress.last_sent_at = now
        previous_index = progress.next_index - 1
        previous_term = self._log.term_at(previous_index)
        request = AppendRequest(term=self.term, commit_index=self.commit_index, sent_at=now)
        if previous_term is None:
            request.snapshot.CopyFrom(self.snapshot())
            previous_index = self.commit_index
            previous_term = self._log.term_at(previous_index) or 0
            progress.next_index = previous_index + 1
        request.previous_index = previous_index
        request.previous_term = previous_term
        entries = self._log.entries_from(progress.next_index)[:MAX_ENTRIES_PER_APPEND]
        request.entries.extend(entries)
        self._send(voter, GroupMessage(append_request=request))

    def _on_append_request(self, sender: Voter, request: AppendRequest, now: Seconds) -> None:
        if request.term < self.term:
            self._reply_to_append(sender, request, accepted=False)
            return
        if request.term == self.term and self.is_leader:
            raise InvariantViolation(
                "one-leader-per-term", f"{sender.node_id} also acts as leader of term {self.term}"
            )
        if request.term > self.term:
            self._adopt_term(request.term)
        self._become_follower(sender)
        self._vote_withheld_until = now + self.timing.election_timeout
        self._election_due = now + self._election_delay()
        if request.HasField("snapshot"):
            self._apply_snapshot(request.snapshot)
        accepted = self._store_entries(request)
        if accepted:
            last_matching_index = request.previous_index + len(request.entries)
            self._commit_up_to(min(request.commit_index, last_matching_index))
        self._reply_to_append(sender, request, accepted)

    def _apply_snapshot(self, snapshot: GroupSnapshot) -> None:
        if snapshot.last_index <= self.commit_index:
            return
        if self._log.term_at(snapshot.last_index) == snapshot.last_term:
            # The log already holds all entries of the snapshot, and later ones that this voter
            # acknowledged and must not drop.
            self._commit_up_to(snapshot.last_index)
            return
        self._install_snapshot(snapshot)

    def _store_entries(self, request: AppendRequest) -> bool:
        previous_index = request.previous_index
        is_uncommitted = previous_index > self.commit_index
        if is_uncommitted and self._log.term_at(previous_index) != request.previous_term:
            return False
        for entry in request.entries:
            if entry.index <= self._log.base_index:
                continue
            existing_term = self._log.term_at(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                self._truncate_from(entry.index)
            self._log.append(entry)
        if request.entries:
            self._refresh_voters()
        return True

    def _truncate_from(self, index: int) -> None:
        if index <= self.commit_index:
            raise InvariantViolation(
                "committed-entries-survive",
                f"entry {index} conflicts with a committed entry; commit index {self.commit_index}",
            )
        self._log.truncate_from(index)

    def _reply_to_append(self, sender: Voter, request: AppendRequest, accepted: bool) -> None:
        match = request.previous_index + len(request.entries) if accepted else self.commit_index
        reply = AppendReply(
            term=self.term, accepted=accepted, match_index=match, sent_at=request.sent_at
        )
        self._send(sender, GroupMessage(append_reply=reply))

    def _on_append_reply(self, sender: Voter, reply: AppendReply, now: Seconds) -> None:
        state = self.leader_state
        if reply.term > self.term:
            self._adopt_term(reply.term)
            return
        if state is None or reply.term != self.term or sender not in state.progress:
            return
        progress = state.progress[sender]
        progress.last_reply_at = now
        progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, reply.sent_at)
        if not reply.accepted:
            progress.next_index = max(progress.match_index, reply.match_index) + 1
            self._send_append(sender, progress, now)
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_commit()
        if progress.next_index <= self._log.last_index:
            self._send_append(sender, progress, now)

    def _advance_commit(self) -> None:
        state = self.leader_state
        assert state is not None
        voters = self.voters
        matches = sorted((self._match_index(state, voter) for voter in voters), reverse=True)
        majority_index = matches[majority(len(voters)) - 1]
        if majority_index > self.commit_index and self._log.term_at(majority_index) == self.term:
            self._commit_up_to(majority_index)

    def _match_index(self, state: LeaderState, voter: Voter) -> int:
        if voter == self.identity:
            return self._log.last_index
        progress = state.progress.get(voter)
        return progress.match_index if progress else 0

    def _acknowledged_sent_at(self, state: LeaderState, voter: Voter) -> Seconds:
        if voter == self.identity:
            return float("inf")
        progress = state.progress.get(voter)
        return progress.acknowledged_sent_at if progress else NEVER

    def _commit_up_to(self, index: int) -> None:
        while self.commit_index < index:
            entry = self._log.entry(self.commit_index + 1)
            if entry.WhichOneof("body") == "voters":
                self.committed_voters = voters_of(entry.voters)
            else:
                self.slices.apply(entry.assignment)
            self.commit_index = entry.index
            self._applied.append(entry)
        self._compact()

    def _compact(self) -> None:
        if self.commit_index - self._log.base_index < 2 * self.limits.log_entries_kept:
            return
        target = self.commit_index - self.limits.log_entries_kept
        for index in range(self._log.base_index + 1, target + 1):
            entry = self._log.entry(index)
            if entry.WhichOneof("body") == "voters":
                self._base_voters = voters_of(entry.voters)
            else:
                self._base_slices.apply(entry.assignment)
        self._log.compact(target)

    def _install_snapshot(self, snapshot: GroupSnapshot) -> None:
        self._log = ReplicatedLog(snapshot.last_index, snapshot.last_term)
        self._snapshot = GroupSnapshot()
        self._base_slices = slice_map_from(snapshot.assignment)
        self._base_voters = voters_of(snapshot.voters)
        self._refresh_voters()
        self.slices = self._base_slices.copy()
        self.committed_voters = self._base_voters
        self.commit_index = snapshot.last_index

    # ------------------------------------------------------------------ helpers

    def _send(self, target: Voter, message: GroupMessage) -> None:
        message.group = self.group
        self._outbox.append(OutgoingMessage(target, message))

    def _finish(self, cause: str) -> list[OutgoingMessage]:
        self.validate_state(cause)
        outgoing = self._outbox
        self._outbox = []
        return outgoing

    def validate_state(self, cause: str) -> None:
        """Check the invariants that depend on this node's state only."""
        checks = {
            "commit-within-log": self._log.base_index <= self.commit_index <= self.last_index,
            "leader-state-with-leader": self.is_leader == (self.leader_state is not None),
            "terms-never-fall": self._log.last_term <= self.term,
            "leader-knows-itself": not self.is_leader or self.leader == self.identity,
        }
        for invariant, holds in checks.items():
            if not holds:
                raise InvariantViolation(invariant, f"group {self.group}, term {self.term}", cause)
