"""Dissemination of assignments and configuration to every node through relays in each zone.

A node that publishes an update sends it to each zone's relays, which forward it within their
zone. Updates are deltas between versions. Anti-entropy repairs missed updates: every node
periodically sends a short digest to one of the relays in turn; only if the digests differ are
versions exchanged and snapshots sent.
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
    """Choose the nodes of a zone that forward updates; every node chooses the same ones."""
    in_zone = [node for node in nodes if node.zone == zone]
    in_zone.sort(key=lambda node: -rendezvous_weight(node.node_id, RELAY_SEED))
    return in_zone[:count]


class DisseminationCore:
    """Distributes updates from this node and keeps its own routes and configuration up to date."""

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
        """Whether this node forwards updates within its zone."""
        return self.identity in self._relays.get(self.identity.zone, ())

    def set_nodes(self, staying: Sequence[Voter], reachable: Sequence[Voter]) -> None:
        """Replace the known nodes and choose the relays of each zone.

        Parameters
        ----------
        staying
            Nodes that may be chosen as relays.
        reachable
            Nodes that need updates: the staying nodes and those that still serve before they stop.
        """
        if len(reachable) > len(self._nodes):
            # A newly reachable node may have newer state; a node that just started syncs at once.
            self._next_sync_at = NEVER
        self._nodes = tuple(reachable)
        count = self.limits.relays_per_zone
        self._relays = {}
        for zone in sorted({node.zone for node in reachable}):
            relays = zone_relays(staying, zone, count)
            self._relays[zone] = relays or [node for node in reachable if node.zone == zone]

    # ------------------------------------------------------------------ events

    def publish_routes(self, update: RouteUpdate) -> list[Deliver]:
        """Apply and broadcast an assignment that this node has decided."""
        self.routes.apply(update)
        self._broadcast(PeerMessage(route_update=update))
        return self._drain_outbox()

    def publish_config(self, update: ConfigUpdate) -> list[Deliver]:
        """Broadcast a configuration that the table accepted or that this node read from it."""
        if self.config.apply(update) is UpdateOutcome.APPLIED:
            self._broadcast(PeerMessage(config_update=update))
        return self._drain_outbox()

    def handle_route_update(self, sender: Voter, update: RouteUpdate) -> list[Deliver]:
        """Apply an assignment and forward it if this node is a relay."""
        outcome = self.routes.apply(update)
        self._handle_outcome(sender, outcome, PeerMessage(route_update=update))
        return self._drain_outbox()

    def handle_config_update(self, sender: Voter, update: ConfigUpdate) -> list[Deliver]:
        """Apply a configuration and forward it if this node is a relay."""
        outcome = self.config.apply(update)
        self._handle_outcome(sender, outcome, PeerMessage(config_update=update))
        return self._drain_outbox()

    def handle_digest(self, sender: Voter, digest: SyncDigest) -> list[Deliver]:
        """Send the state that the sender lacks, and request the state that this node lacks."""
        if digest.config_revision < self.config.revision:
            self._send(sender, PeerMessage(config_update=self.config.whole()))
        if digest.detailed:
            self._respond_to_detailed_digest(sender, digest)
        elif (
            digest.routes_checksum != self.routes.checksum()
            or digest.config_revision > self.config.revision
        ):
            self._send(sender, PeerMessage(sync_digest=self._digest(detailed=True)))
        return self._drain_outbox()

    def handle_tick(self, now: Seconds) -> list[Deliver]:
        """Send a digest if one is due."""
        if now < self._next_sync_at:
            return []
        self._next_sync_at = now + self.timing.sync_interval
        self._sync_round += 1
        partner = self._sync_partner()
        if partner is not None:
            self._send(partner, PeerMessage(sync_digest=self._digest(detailed=False)))
        return self._drain_outbox()

    # ------------------------------------------------------------------ helpers

    def _handle_outcome(self, sender: Voter, outcome: UpdateOutcome, message: PeerMessage) -> None:
        if outcome is UpdateOutcome.GAP:
            self._send(sender, PeerMessage(sync_digest=self._digest(detailed=True)))
        elif outcome is UpdateOutcome.APPLIED and self.is_relay:
            for node in self._nodes:
                if node.zone == self.identity.zone and node != sender:
                    self._send(node, message)

    def _broadcast(self, message: PeerMessage) -> None:
        targets = [relay for relays in self._relays.values() for relay in relays]
        if self.is_relay:
            targets += [node for node in self._nodes if node.zone == self.identity.zone]
        for target in dict.fromkeys(targets):
            self._send(target, message)

    def _sync_partner(self) -> Voter | None:
        partners = self._relays_of_own_zone()
        if not partners or (self.is_relay and self._sync_round % 2 == 0):
            partners = self._relays_of_other_zones() or partners
        if not partners:
            return None
        return partners[self._sync_round // 2 % len(partners)]

    def _relays_of_own_zone(self) -> list[Voter]:
        relays = self._relays.get(self.identity.zone, [])
        return [relay for relay in relays if relay != self.identity]

    def _relays_of_other_zones(self) -> list[Voter]:
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

    def _respond_to_detailed_digest(self, sender: Voter, digest: SyncDigest) -> None:
        sender_versions = {GroupId(item.group): item.version for item in digest.groups}
        is_behind = False
        for group, route in self.routes.groups.items():
            if sender_versions.get(group, 0) < route.version:
                self._send(sender, PeerMessage(route_update=self.routes.whole(group)))
        for group, version in sender_versions.items():
            is_behind = is_behind or version > self.routes.version(group)
        if is_behind or digest.config_revision > self.config.revision:
            self._send(sender, PeerMessage(sync_digest=self._digest(detailed=True)))

    def _send(self, target: Voter, message: PeerMessage) -> None:
        if target != self.identity:
            self._outbox.append(Deliver(target, message))

    def _drain_outbox(self) -> list[Deliver]:
        outgoing = self._outbox
        self._outbox = []
        return outgoing
