"""The state shared by all parts of a node: configuration, back ends, owners, retry budgets."""

from __future__ import annotations

import anyio

from limedeck.api.control_pb2 import KeyCount, ServiceLoad
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.budget import RetryAllowance, RetryBudget
from limedeck.forwarding.fleet_size import FleetSize
from limedeck.forwarding.owners import OwnerMap
from limedeck.forwarding.quarantine import QuarantineLedger
from limedeck.forwarding.request import ServiceView
from limedeck.forwarding.routes import RouteIndex
from limedeck.identity import Seconds
from limedeck.model import Configuration

ISOLATION_TIMEOUT: Seconds = 2.5
"""A node that has had no contact with a confirmed leader for this long is isolated: its owners may
be long out of date. Above the time in which a lost leader is replaced."""
LEADER_STORE_SILENCE: Seconds = 4.0
"""A leader that the store has not confirmed for this long may have been replaced without knowing
it."""
EXIT_COOLDOWN_STORE_SILENCE: Seconds = 1.5
"""While the store has not confirmed the leader for this long, exit cooldowns are extended, as the
entries of restarted back ends cannot arrive. Above two intervals of confirmation; after a shorter
outage of the store an entry arrives before a back end's exit cooldown is over."""
MAX_REPORTED_KEYS = 400
"""Keys in one load report, the most requested first."""


class NodeState:
    """The state of one node: read by every part of the node, each item written by a single part.

    Attributes
    ----------
    configuration
        The newest version that this process has received; never replaced by an older one.
    fleet_size
        The number of nodes, as sent by the leader.
    peers
        Addresses of some other nodes, as last sent by the leader.
    stopping
        A graceful shutdown has begun.
    in_flight
        The number of requests that were read and not yet responded to.
    leader_contact_at
        When this node last received a message from a leader that the store had confirmed, or was
        such a leader itself; None if never.
    closing
        The graceful shutdown has reached the point from which no new requests are forwarded.
    quarantine
        Requests that crash back ends.
    """

    def __init__(self, zone: str, node_id: str, allowance: RetryAllowance) -> None:
        self.directory = BackendDirectory(zone, node_id)
        self.quarantine = QuarantineLedger(node_id)
        self.configuration: Configuration | None = None
        self.routes: RouteIndex | None = None
        self.services: dict[str, ServiceView] = {}
        self.fleet_size = FleetSize()
        self.peers: tuple[str, ...] = ()
        self.backends_listed = False
        self.stopping = False
        self.closing = False
        self.in_flight = 0
        self.leader_contact_at: Seconds | None = None
        self.listing_changes = 0
        self._allowance = allowance
        self._changed = anyio.Event()

    def set_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the one in force; return whether it was."""
        if self.configuration and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.routes = RouteIndex(configuration)
        for name, service in configuration.services.items():
            view = self.service(name)
            view.keyed = service.keyed
        self.directory.set_cold_rates(
            {name: service.cold_rate for name, service in configuration.services.items()}
        )
        self.notify()
        return True

    def evacuate(self, zone: str, now: Seconds) -> None:
        """Send no more requests to a zone's back ends, as ordered by an operator."""
        self.directory.availability.evacuate(zone, now)
        self.notify()

    def end_evacuation(self, zone: str) -> None:
        """End a zone's evacuation, as ordered by an operator."""
        self.directory.availability.end_evacuation(zone)
        self.notify()

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Apply a changed allowance for retries to all services."""
        self._allowance = allowance
        for view in self.services.values():
            view.budget.set_allowance(allowance)

    def retry_sharing_nodes(self, now: Seconds) -> int:
        """Return how many nodes share a retry budget's slack; zero if this node has no share."""
        return self.fleet_size.sharing_nodes(self._allowance.window, now)

    def service(self, name: str) -> ServiceView:
        """Return the state shared by all requests for a service; create it if missing."""
        view = self.services.get(name)
        if view is None:
            view = ServiceView(name, False, RetryBudget(self._allowance))
            self.services[name] = view
        return view

    def collect_loads(self) -> list[ServiceLoad]:
        """Return the requests counted by key since the last call, and reset the counts."""
        loads = []
        for view in self.services.values():
            if not view.keyed:
                continue
            load = ServiceLoad(service=view.name)
            for position, count in view.key_counts.most_common(MAX_REPORTED_KEYS):
                load.keys.append(KeyCount(position=position, count=count))
            view.key_counts.clear()
            loads.append(load)
        return loads

    def set_owners(self, service: str, owners: OwnerMap) -> None:
        """Apply a service's owners if they are newer."""
        view = self.service(service)
        if owners.version > view.owners.version:
            view.owners = owners
            self.notify()

    def record_leader(self, store_silence: Seconds, node_count: int, now: Seconds) -> None:
        """Record a message from the leader, or that this node leads.

        A leader that the store has not confirmed for long may have been replaced. Its node count is
        not used then: otherwise the nodes of both leaders would share the same amount twice.

        Parameters
        ----------
        store_silence
            Time since the store last confirmed the leader.
        node_count
            The number of nodes, as counted by the leader.
        """
        if store_silence < LEADER_STORE_SILENCE:
            self.leader_contact_at = now
            self.fleet_size.record_node_count(node_count, now)
        self.directory.record_store_confirmation(store_silence, now)
        if store_silence > EXIT_COOLDOWN_STORE_SILENCE:
            self.directory.extend_exit_cooldowns(now)

    def is_isolated(self, now: Seconds) -> bool:
        """Whether this node's knowledge of owners may be long out of date."""
        return (
            self.leader_contact_at is not None and now - self.leader_contact_at > ISOLATION_TIMEOUT
        )

    def is_ready(self, now: Seconds) -> bool:
        """Whether this node can serve requests as well as other nodes."""
        if self.is_isolated(now):
            return False
        if self.stopping or self.configuration is None or not self.backends_listed:
            return False
        return all(view.owners.ranges for view in self.services.values() if view.keyed)

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, timeout: Seconds) -> None:
        """Wait until the state has changed, for at most the given time."""
        changed = self._changed
        with anyio.move_on_after(timeout):
            await changed.wait()
