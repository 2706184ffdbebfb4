"""How assignments and configuration reach every node: relays by zone, versions and deltas.

Whoever has something new sends it to each zone's relays, which pass it on within their zone.
Anti-entropy repairs what was missed: every node sends a short digest to one relay in turn, and
only where digests differ are versions listed and whole states sent.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.api.peer_pb2 import ConfigUpdate, PeerMessage, RouteUpdate, SyncDigest
from limedeck.config.replica import ConfigReplica, UpdateOutcome
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import NEVER, GroupId, Seconds, Voter
from limedeck.keyspace.hashing import rendezvous_weight
from limedeck.routing.route_table import RouteTable

RELAY_SEED = "zone-relay"


@dataclass(frozen=True)
class Deliver:
    """Command: send a message to a node."""

    target: Voter
    message: PeerMessage


def zone_relays(nodes: Sequence[Voter], zone: str, count: int) -> list[Voter]:
    """Nodes of a zone that pass updates on: the same ones in every node's eyes."""
    in_zone = [node for node in nodes if node.zone == zone]
    in_zone.sort(key=lambda node: -rendezvous_weight(node.node_id, RELAY_SEED))
    return in_zone[:count]


class DisseminationCore:
    """Spreads what this node learns, and keeps its own copies up to date."""

    def __init__(
        self,
        identity: Voter,
        timing: ControlTiming,
        limits: ControlLimits,
        routes: RouteTable,
        config: ConfigReplica,
        now: Seconds,
    ) -> None:
        self.identity = identity
        self.timing = timing
        self.limits = limits
        self.routes = routes
        self.config = config
        self._nodes: tuple[Voter, ...] = (identity,)
        self._relays: dict[str, list[Voter]] = {}
        self._next_sync_at: Seconds = now
        self._sync_round = 0
        self._outbox: list[Deliver] = []

    @property
    def is_relay(self) -> bool:
        """Whether this node passes updates on within its zone."""
        return self.identity in self._relays.get(self.identity.zone, ())

    def set_nodes(self, staying: Sequence[Voter], reachable: Sequence[Voter]) -> None:
        """Take up a changed membership.

        Parameters
        ----------
        staying
            Nodes that may pass updates on.
        reachable
            Nodes that need updates: those, and the ones that still serve before they stop.
        """
        if len(reachable) > len(self._nodes):
            # What a new neighbour has may be newer: a started node asks at once.
            self._next_sync_at = NEVER
        self._nodes = tuple(reachable)
        count = self.limits.relays_per_zone
        self._relays = {}
        for zone in sorted({node.zone for node in reachable}):
            relays = zone_relays(staying, zone, count)
            self._relays[zone] = relays or [node for node in reachable if node.zone == zone]

    # ------------------------------------------------------------------ events

    def publish_routes(self, update: RouteUpdate) -> list[Deliver]:
        """Spread an assignment that this node has decided."""
        self.routes.apply(update)
        self._send_everywhere(PeerMessage(route_update=update))
        return self._finish()

    def publish_config(self, update: ConfigUpdate) -> list[Deliver]:
        """Spread a configuration that this node has read from the table or had accepted."""
        if self.config.apply(update) is UpdateOutcome.APPLIED:
            self._send_everywhere(PeerMessage(config_update=update))
        return self._finish()

    def handle_route_update(self, sender: Voter, update: RouteUpdate) -> list[Deliver]:
        """Take in an assignment and pass it on if that is this node's part."""
        outcome = self.routes.apply(update)
        self._follow_up(sender, outcome, PeerMessage(route_update=update))
        return self._finish()

    def handle_config_update(self, sender: Voter, update: ConfigUpdate) -> list[Deliver]:
        """Take in a configuration and pass it on if that is this node's part."""
        outcome = self.config.apply(update)
        self._follow_up(sender, outcome, PeerMessage(config_update=update))
        return self._finish()

    def handle_digest(self, sender: Voter, digest: SyncDigest) -> list[Deliver]:
        """Send what the sender lacks, and ask for what this node lacks."""
        if digest.config_revision < self.config.revision:
            self._send(sender, PeerMessage(config_update=self.config.whole()))
        if digest.detailed:
            self._answer_detailed(sender, digest)
        elif (
            digest.routes_checksum != self.routes.checksum()
            or digest.config_revision > self.config.revision
        ):
            self._send(sender, PeerMessage(sync_digest=self._digest(detailed=True)))
        return self._finish()

    def handle_tick(self, now: Seconds) -> list[Deliver]:
        """Send the digest that is due."""
        if now < self._next_sync_at:
            return []
        self._next_sync_at = now + self.timing.sync_interval
        self._sync_round += 1
        partner = self._sync_partner()
        if partner is not None:
            self._send(partner, PeerMessage(sync_digest=self._digest(detailed=False)))
        return self._finish()

    # ------------------------------------------------------------------ helpers

    def _follow_up(self, sender: Voter, outcome: UpdateOutcome, message: PeerMessage) -> None:
        if outcome is UpdateOutcome.GAP:
            self._send(sender, PeerMessage(sync_digest=self._digest(detailed=True)))
        elif outcome is UpdateOutcome.APPLIED and self.is_relay:
            for node in self._nodes:
                if node.zone == self.identity.zone and node != sender:
                    self._send(node, message)

    def _send_everywhere(self, message: PeerMessage) -> None:
        targets = [relay for relays in self._relays.values() for relay in relays]
        if self.is_relay:
            targets += [node for node in self._nodes if node.zone == self.identity.zone]
        for target in dict.fromkeys(targets):
            self._send(target, message)

    def _sync_partner(self) -> Voter | None:
        partners = self._own_relays()
        if not partners or (self.is_relay and self._sync_round % 2 == 0):
            partners = self._other_relays() or partners
        if not partners:
            return None
        return partners[self._sync_round // 2 % len(partners)]

    def _own_relays(self) -> list[Voter]:
        relays = self._relays.get(self.identity.zone, [])
        return [relay for relay in relays if relay != self.identity]

    def _other_relays(self) -> list[Voter]:
        return [
            relay
            for zone, relays in sorted(self._relays.items())
            if zone != self.identity.zone
            for relay in relays
        ]

    def _digest(self, detailed: bool) -> SyncDigest:
        return SyncDigest(
            config_revision=self.config.revision,
            routes_checksum=self.routes.checksum(),
            detailed=detailed,
            groups=self.routes.versions() if detailed else [],
        )

    def _answer_detailed(self, sender: Voter, digest: SyncDigest) -> None:
        theirs = {GroupId(item.group): item.version for item in digest.groups}
        behind = False
        for group, held in self.routes.groups.items():
            if theirs.get(group, 0) < held.version:
                self._send(sender, PeerMessage(route_update=self.routes.whole(group)))
        for group, version in theirs.items():
            behind = behind or version > self.routes.version(group)
        if behind or digest.config_revision > self.config.revision:
            self._send(sender, PeerMessage(sync_digest=self._digest(detailed=True)))

    def _send(self, target: Voter, message: PeerMessage) -> None:
        if target != self.identity:
            self._outbox.append(Deliver(target, message))

    def _finish(self) -> list[Deliver]:
        outgoing = self._outbox
        self._outbox = []
        return outgoing
