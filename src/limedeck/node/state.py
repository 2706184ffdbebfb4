"""What all parts of a node share: configuration, back ends, owners, budgets."""

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

ISOLATION: Seconds = 2.5
"""A node that has not heard from a sound leader for so long believes owners of long ago; above the
time in which a lost leader is replaced."""
LEADER_STORE_SILENCE: Seconds = 4.0
"""A leader that the store has not confirmed for so long may have been replaced without knowing."""
UNHEARD_STORE: Seconds = 1.5
"""A leader that the store has not confirmed for so long hears of no back end: above two intervals
of confirmation. After a shorter time away an entry comes before a back end's rest is over."""
MOST_KEYS = 400
"""Keys in one report, the most requested first."""


class NodeState:
    """One node's beliefs; each part of the node reads them, and one part writes each.

    Attributes
    ----------
    configuration
        The newest that this process has seen; it never goes back.
    fleet_size
        How many nodes there are, as the leader tells.
    peers
        Where some other nodes are reached, as the leader told last.
    stopping
        A planned stop has begun.
    in_flight
        Requests that were read and not answered.
    leader_heard_at
        When a leader that is in touch with the store was heard, or this node was one; None before.
    closing
        The stop is so far that no more requests are passed on.
    quarantine
        Requests that end back ends.
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
        self.leader_heard_at: Seconds | None = None
        self.listing_changes = 0
        self._allowance = allowance
        self._changed = anyio.Event()

    def set_configuration(self, configuration: Configuration) -> bool:
        """Take in a configuration unless it is older than the one in force."""
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
        """Operators want nothing to be sent to a zone's back ends."""
        self.directory.availability.evacuate(zone, now)
        self.notify()

    def end_evacuation(self, zone: str) -> None:
        """Operators have taken an evacuation back."""
        self.directory.availability.end_evacuation(zone)
        self.notify()

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Operators allow other retries from now on."""
        self._allowance = allowance
        for view in self.services.values():
            view.budget.set_allowance(allowance)

    def retry_sharers(self, now: Seconds) -> int:
        """Return how many nodes share a retry budget's slack; zero: this one has no part in it."""
        return self.fleet_size.sharing_nodes(self._allowance.window, now)

    def service(self, name: str) -> ServiceView:
        """Return what requests for a service share."""
        view = self.services.get(name)
        if view is None:
            view = ServiceView(name, False, RetryBudget(self._allowance))
            self.services[name] = view
        return view

    def take_loads(self) -> list[ServiceLoad]:
        """Return what was counted by key since the last call."""
        loads = []
        for view in self.services.values():
            if not view.keyed:
                continue
            load = ServiceLoad(service=view.name)
            for position, count in view.key_counts.most_common(MOST_KEYS):
                load.keys.append(KeyCount(position=position, count=count))
            view.key_counts.clear()
            loads.append(load)
        return loads

    def set_owners(self, service: str, owners: OwnerMap) -> None:
        """Take in a service's owners unless they are older."""
        view = self.service(service)
        if owners.version > view.owners.version:
            view.owners = owners
            self.notify()

    def note_leader(self, store_silence: Seconds, node_count: int, now: Seconds) -> None:
        """A leader was heard, or this node leads; the store confirmed it so long ago.

        One that the store has not confirmed for long may have been replaced. What it counts is
        not believed then: its nodes and the other leader's would share the same amount twice.
        """
        if store_silence < LEADER_STORE_SILENCE:
            self.leader_heard_at = now
            self.fleet_size.record_node_count(node_count, now)
        self.directory.record_store_confirmation(store_silence, now)
        if store_silence > UNHEARD_STORE:
            self.directory.extend_exit_cooldowns(now)

    def is_isolated(self, now: Seconds) -> bool:
        """Whether what this node believes of owners may be long out of date."""
        return self.leader_heard_at is not None and now - self.leader_heard_at > ISOLATION

    def is_ready(self, now: Seconds) -> bool:
        """Whether requests can be served here, as well as at other nodes."""
        if self.is_isolated(now):
            return False
        if self.stopping or self.configuration is None or not self.backends_listed:
            return False
        return all(view.owners.ranges for view in self.services.values() if view.keyed)

    def notify(self) -> None:
        """Wake everything that waits for a change."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, longest: Seconds) -> None:
        """Wait until something has changed, for at most so long."""
        changed = self._changed
        with anyio.move_on_after(longest):
            await changed.wait()
