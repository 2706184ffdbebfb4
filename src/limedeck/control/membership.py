"""Membership of nodes: failure detection by pings with piggybacked member records (as in SWIM).

Each node pings one other node at a time, so its cost does not grow with the number of nodes.
Changed records are piggybacked on pings and acks until they have been sent often enough to have
reached every node. A status is only an estimate: it guides the dissemination of updates and the
choice of voters, but no lease and no grant depends on it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    MEMBER_STATUS_SUSPECT,
    MemberRecord,
    MemberStatus,
    Ping,
    PingAck,
)
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.errors import InvariantViolation
from limedeck.identity import Incarnation, NodeId, Seconds, Voter
from limedeck.keyspace.hashing import rendezvous_weight

PINGS_PER_DEAD_PROBE = 4
"""One ping in this many goes to a dead member, so that the end of a partition is detected."""
RETRANSMISSION_FACTOR = 3
"""A changed record is sent in this factor times log2(members + 1) messages, the log rounded up."""
DEAD_MEMBER_RETENTION: Seconds = 300.0
STATUS_ORDER: dict[MemberStatus.ValueType, int] = {
    MEMBER_STATUS_ALIVE: 0,
    MEMBER_STATUS_SUSPECT: 1,
    MEMBER_STATUS_LEAVING: 2,
    MEMBER_STATUS_DEAD: 3,
}


@dataclass
class Member:
    """Record of one node as known to this node."""

    identity: Voter
    status: MemberStatus.ValueType
    refutation: int
    status_since: Seconds

    @property
    def rank(self) -> tuple[Incarnation, int, int]:
        """Precedence among records of the same node; the record with the highest rank wins."""
        return self.identity.incarnation, self.refutation, STATUS_ORDER[self.status]

    def to_message(self) -> MemberRecord:
        """Convert the member to its protobuf message."""
        return MemberRecord(
            identity=self.identity.to_message(), status=self.status, refutation=self.refutation
        )


@dataclass(frozen=True)
class SendPing:
    """Command: send a ping to an address."""

    address: str
    ping: Ping


@dataclass(frozen=True)
class SendPingAck:
    """Command: send an ack for a ping to an address."""

    address: str
    ack: PingAck


MembershipCommand = SendPing | SendPingAck


@dataclass(frozen=True)
class PendingPing:
    """A ping whose ack has not arrived yet."""

    target: Voter
    sent_at: Seconds


class MembershipCore:
    """State machine that tracks all members and chooses the next ping target."""

    def __init__(
        self,
        identity: Voter,
        seeds: Sequence[str],
        timing: ControlTiming,
        limits: ControlLimits,
        now: Seconds,
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.limits = limits
        self.seeds = [address for address in seeds if address != identity.peer_address]
        self.members = {
            identity.node_id: Member(identity, MEMBER_STATUS_ALIVE, 0, now),
        }
        self.version = 0
        """Incremented with every change."""
        self._sequence = 0
        self._pending: dict[int, PendingPing] = {}
        self._retransmissions: dict[NodeId, int] = {}
        self._ping_round: list[NodeId] = []
        self._next_ping_at: Seconds = now
        self._own_status: MemberStatus.ValueType = MEMBER_STATUS_ALIVE

    # ------------------------------------------------------------------ reading

    def live_nodes(self) -> tuple[Voter, ...]:
        """Members that are alive or suspect, this node included unless it is leaving."""
        live_statuses = (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT)
        return tuple(
            member.identity
            for _, member in sorted(self.members.items())
            if member.status in live_statuses
        )

    def reachable_nodes(self) -> tuple[Voter, ...]:
        """Members that are not dead, including those that are leaving."""
        return tuple(
            member.identity
            for _, member in sorted(self.members.items())
            if member.status != MEMBER_STATUS_DEAD
        )

    def departing_nodes(self) -> frozenset[Voter]:
        """Members that are leaving."""
        return frozenset(
            member.identity
            for member in self.members.values()
            if member.status == MEMBER_STATUS_LEAVING
        )

    def runs(self) -> dict[NodeId, Voter]:
        """Identity of the latest known incarnation of every member, dead or alive."""
        return {node_id: member.identity for node_id, member in self.members.items()}

    def is_settled(self) -> bool:
        """Whether another node is known, or there are no seeds to contact."""
        return len(self.members) > 1 or not self.seeds

    # ------------------------------------------------------------------ events

    def handle_tick(self, now: Seconds) -> list[MembershipCommand]:
        """Expire overdue pings and statuses, and send the next ping if it is due."""
        self._expire_pings(now)
        self._expire_statuses(now)
        self.validate_state("tick")
        if now < self._next_ping_at:
            return []
        self._next_ping_at = now + self.timing.ping_interval
        if len(self.members) == 1:
            return [self._ping(address, now, None) for address in self.seeds]
        target = self._next_target()
        if target is None:
            return []
        return [self._ping(target.peer_address, now, target)]

    def handle_ping(self, sender: Voter, ping: Ping, now: Seconds) -> list[MembershipCommand]:
        """Apply the records of a ping and acknowledge it."""
        is_new = sender.node_id not in self.members
        self._apply_record(_alive_record(sender), now)
        self._apply_records(ping.members, now)
        full = ping.join or is_new
        ack = PingAck(sequence=ping.sequence, members=self._records_for(sender, full))
        self.validate_state(f"ping from {sender.node_id}")
        return [SendPingAck(sender.peer_address, ack)]

    def handle_ack(self, sender: Voter, ack: PingAck, now: Seconds) -> None:
        """Apply the records of an ack and end the wait for it."""
        self._pending.pop(ack.sequence, None)
        self._apply_record(_alive_record(sender), now)
        self._apply_records(ack.members, now)
        self.validate_state(f"ack from {sender.node_id}")

    def leave(self, now: Seconds) -> list[MembershipCommand]:
        """Announce to other nodes that this node is about to stop."""
        self._own_status = MEMBER_STATUS_LEAVING
        own = self.members[self.identity.node_id]
        self._set_status(own, MEMBER_STATUS_LEAVING, now)
        others = [member for member in self.live_nodes() if member != self.identity]
        chosen = others[: self.limits.piggybacked_members]
        return [self._ping(member.peer_address, now, member) for member in chosen]

    def validate_state(self, cause: str) -> None:
        """Assert that no record from another node has changed this node's identity or status."""
        own = self.members.get(self.identity.node_id)
        if own is None or own.identity != self.identity:
            raise InvariantViolation("member-knows-itself", f"own record is {own}", cause)
        if own.status != self._own_status:
            raise InvariantViolation(
                "own-status-is-own", f"own record has status {own.status}", cause
            )

    # ------------------------------------------------------------------ pings

    def _ping(self, address: str, now: Seconds, target: Voter | None) -> SendPing:
        self._sequence += 1
        if target is not None:
            self._pending[self._sequence] = PendingPing(target, now)
        joining = target is None
        records = self._records_for(target, False)
        ping = Ping(sequence=self._sequence, members=records, join=joining)
        return SendPing(address, ping)

    def _next_target(self) -> Voter | None:
        if self._sequence % PINGS_PER_DEAD_PROBE == PINGS_PER_DEAD_PROBE - 1:
            dead = [item for item in self.members.values() if item.status == MEMBER_STATUS_DEAD]
            if dead:
                chosen = dead[self._sequence // PINGS_PER_DEAD_PROBE % len(dead)]
                self._sequence += 1
                return chosen.identity
        while True:
            if not self._ping_round and not self._start_ping_round():
                return None
            member = self.members.get(self._ping_round.pop())
            if member is not None and member.status != MEMBER_STATUS_DEAD:
                return member.identity

    def _start_ping_round(self) -> bool:
        others = [
            member.identity.node_id
            for member in self.members.values()
            if member.status != MEMBER_STATUS_DEAD and member.identity != self.identity
        ]
        seed = f"{self.identity.node_id}/{self._sequence}"
        self._ping_round = sorted(others, key=lambda node_id: rendezvous_weight(node_id, seed))
        return bool(self._ping_round)

    def _expire_pings(self, now: Seconds) -> None:
        overdue = [
            sequence
            for sequence, pending in self._pending.items()
            if now - pending.sent_at > self.timing.ping_timeout
        ]
        for sequence in overdue:
            target = self._pending.pop(sequence).target
            member = self.members.get(target.node_id)
            if member and member.identity == target and member.status == MEMBER_STATUS_ALIVE:
                self._set_status(member, MEMBER_STATUS_SUSPECT, now)

    def _expire_statuses(self, now: Seconds) -> None:
        for node_id, member in list(self.members.items()):
            age = now - member.status_since
            if member.status == MEMBER_STATUS_DEAD and age > DEAD_MEMBER_RETENTION:
                del self.members[node_id]
            elif self._may_become_dead(member) and age > self.timing.suspicion_timeout:
                self._set_status(member, MEMBER_STATUS_DEAD, now)

    def _may_become_dead(self, member: Member) -> bool:
        if member.identity == self.identity:
            return False
        return member.status in (MEMBER_STATUS_SUSPECT, MEMBER_STATUS_LEAVING)

    # ------------------------------------------------------------------ records

    def _set_status(self, member: Member, status: MemberStatus.ValueType, now: Seconds) -> None:
        member.status = status
        member.status_since = now
        self._announce(member.identity.node_id)

    def _announce(self, node_id: NodeId) -> None:
        self.version += 1
        count = RETRANSMISSION_FACTOR * math.ceil(math.log2(len(self.members) + 1))
        self._retransmissions[node_id] = count

    def _records_for(self, target: Voter | None, full: bool) -> list[MemberRecord]:
        """Records to send to a node; one that is not alive gets its own record, to refute it."""
        records = self._records(full)
        known = self.members.get(target.node_id) if target is not None else None
        if known is not None and known.status != MEMBER_STATUS_ALIVE and not full:
            records.append(known.to_message())
        return records

    def _records(self, full: bool) -> list[MemberRecord]:
        if full:
            return [member.to_message() for member in self.members.values()]
        least_sent = sorted(
            self._retransmissions, key=lambda node_id: -self._retransmissions[node_id]
        )
        chosen = least_sent[: self.limits.piggybacked_members]
        for node_id in chosen:
            self._retransmissions[node_id] -= 1
            if self._retransmissions[node_id] <= 0:
                del self._retransmissions[node_id]
        return [self.members[item].to_message() for item in chosen if item in self.members]

    def _apply_records(self, records: Sequence[MemberRecord], now: Seconds) -> None:
        for record in records:
            self._apply_record(record, now)

    def _apply_record(self, record: MemberRecord, now: Seconds) -> None:
        identity = Voter.from_message(record.identity)
        if identity.node_id == self.identity.node_id:
            self._refute(identity, record, now)
            return
        received = Member(identity, record.status, record.refutation, now)
        known = self.members.get(identity.node_id)
        if known is None and record.status == MEMBER_STATUS_DEAD:
            return
        if known is None or received.rank > known.rank:
            self.members[identity.node_id] = received
            self._announce(identity.node_id)

    def _refute(self, identity: Voter, record: MemberRecord, now: Seconds) -> None:
        own = self.members[self.identity.node_id]
        is_older_run = identity.incarnation < self.identity.incarnation
        if is_older_run or record.status == self._own_status:
            return
        if record.refutation >= own.refutation:
            own.refutation = record.refutation + 1
            self._set_status(own, self._own_status, now)


def _alive_record(identity: Voter) -> MemberRecord:
    return MemberRecord(identity=identity.to_message(), status=MEMBER_STATUS_ALIVE)
