"""Nodes, back ends and a store in simulated time, random faults, and a check of ownership."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Generator, Sequence
from dataclasses import dataclass

import simpy

from limedeck.forwarding.permits import Permit, PermitRequest, RateBound
from limedeck.identity import Seconds, incarnation_id
from limedeck.model import Backend
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.timing import OwnershipTiming
from limedeck_lab.ownership.backends import SimulatedBackend
from limedeck_lab.ownership.faults import FAULTS, WorldFaults
from limedeck_lab.ownership.node import SimulatedNode
from limedeck_lab.ownership.store import SimulatedStore

KEY_POSITIONS = 48
CHECK_INTERVAL: Seconds = 0.02
MAX_ORDER_DELAY: Seconds = 12.0
MIN_ORDER_DELAY: Seconds = 2.0
MIXED_FAULTS_INTERVAL = (0.3, 4.0)
"""Bounds in seconds of the time between faults of several kinds, which overlap."""
SINGLE_FAULT_INTERVAL = (14.0, 18.0)
"""Bounds in seconds with one kind of fault: each fault is over before the next begins."""
RATE_LIMIT = 4.2
"""Requests per second that the rate-bound back end takes; permits are requested all the time."""
ENTRY_RETURN_TIME = (0.1, 1.9)
"""Bounds in seconds of the time from the store's return until back ends' entries are up to date."""
STARTUP_TIME: Seconds = 8.0
"""Before the first fault; a leader is elected and all keys get owners within this time."""
RECOVERY_TIME: Seconds = 45.0
"""After the last fault; covers the longest lease granted by a leader that is cut off, and the rest
of the recovery."""


@dataclass(frozen=True)
class DoubleOwner:
    """Two back ends held a key at the same moment."""

    at: Seconds
    key: int
    owners: tuple[str, ...]


class World:
    """One simulated deployment.

    Parameters
    ----------
    timing
        The product's timing, or a sabotaged one, which the check has to detect.
    """

    def __init__(
        self, seed: int, timing: OwnershipTiming, node_count: int = 3, backend_count: int = 5
    ) -> None:
        self.environment = simpy.Environment()
        self.random = random.Random(seed)
        self.timing = timing
        self.positions = KEY_POSITIONS
        self.store = SimulatedStore(self.environment, self.random)
        self.nodes: dict[str, SimulatedNode] = {}
        self.backends: dict[str, SimulatedBackend] = {}
        self.late_orders = 0.0
        self.pair_cuts: set[tuple[str, str]] = set()
        self.counts_late_grants = False
        self.found: list[DoubleOwner] = []
        self.permits_issued_at: list[Seconds] = []
        self.faults = WorldFaults(self)
        self.fault_counts: Counter[str] = Counter()
        self.longest_without_owner: Seconds = 0.0
        self._without_owner: dict[int, Seconds] = {}
        self._incarnation_count = 0
        self._listings: list[tuple[Seconds, dict[str, Backend]]] = []
        self._stale_listing: dict[str, Backend] = {}
        self._listing_stale_until: Seconds = 0.0
        for index in range(node_count):
            self.start_node(f"node-{index}")
        for _ in range(backend_count):
            self.start_backend()
        self.environment.process(self._check_owners())

    # ------------------------------------------------------------------ nodes and back ends

    def start_node(self, node_id: str) -> None:
        """Start a node, or a new incarnation of one."""
        self._incarnation_count += 1
        self.nodes[node_id] = SimulatedNode(self, node_id, self._incarnation_count)

    def kill_node(self, node_id: str) -> None:
        """End a node's process at once."""
        self.nodes[node_id].up = False

    def start_backend(self, instance: str = "") -> SimulatedBackend:
        """Start a back end, or another incarnation of one."""
        self._incarnation_count += 1
        name = (
            incarnation_id(instance, self._incarnation_count)
            if instance
            else f"backend-{self._incarnation_count}"
        )
        backend = SimulatedBackend(name, self.positions, instance=instance)
        self.backends[backend.backend_id] = backend
        return backend

    def return_store_from_copy(self, age: Seconds) -> None:
        """Let the store return from a copy; back ends write their entries again soon after."""
        self._stale_listing = self._listing_before(self.environment.now - age)
        self._listing_stale_until = self.environment.now + self.random.uniform(*ENTRY_RETURN_TIME)
        self.store.return_from_copy(age)

    def _listing_before(self, at: Seconds) -> dict[str, Backend]:
        return next((listed for since, listed in reversed(self._listings) if since <= at), {})

    def _record_listing(self) -> None:
        listed = self._current_listing()
        if not self._listings or self._listings[-1][1] != listed:
            self._listings.append((self.environment.now, listed))

    def listing(self) -> dict[str, Backend]:
        """Return the back ends listed in the store."""
        if self.environment.now < self._listing_stale_until:
            return self._stale_listing
        return self._current_listing()

    def _current_listing(self) -> dict[str, Backend]:
        return {
            item.backend_id: Backend(
                item.backend_id, "service", "127.0.0.1:1", "z", 2, item.draining
            )
            for item in self.backends.values()
            if item.listed
        }

    def deliver(self, backend: SimulatedBackend, order: Grant | Release, late: bool) -> bool:
        """Deliver an order to a back end; return whether it accepted the order."""
        if isinstance(order, Grant):
            return backend.grant(order, self.environment.now, late)
        backend.release(order)
        return True

    def deliver_late(self, order: Grant | Release) -> None:
        """Deliver an order seconds later."""
        self.environment.process(self._deliver_late(order))

    def _deliver_late(self, order: Grant | Release) -> Generator[simpy.Event, object, None]:
        span = self.random.uniform(MIN_ORDER_DELAY, MAX_ORDER_DELAY)
        yield self.environment.timeout(span)
        backend = self.addressee_of(order)
        if backend is not None and backend.up:
            self.deliver(backend, order, late=True)

    def addressee_of(self, order: Grant | Release) -> SimulatedBackend | None:
        """Return the back end that an order reaches: the newest incarnation of its addressee."""
        meant = self.backends.get(order.backend_id)
        if meant is None:
            return None
        return [item for item in self.backends.values() if item.instance == meant.instance][-1]

    # ------------------------------------------------------------------ checks

    def _check_owners(self) -> Generator[simpy.Event, object, None]:
        while True:
            yield self.environment.timeout(CHECK_INTERVAL)
            now = self.environment.now
            self._record_listing()
            self._request_permits(now)
            for key in range(self.positions):
                owners = tuple(
                    item.backend_id
                    for item in self.backends.values()
                    if item.holds(key, now, self.counts_late_grants)
                )
                if len(owners) > 1:
                    self.found.append(DoubleOwner(now, key, owners))
                self._record_owned(key, bool(owners), now)

    def _record_owned(self, key: int, is_owned: bool, now: Seconds) -> None:
        if is_owned or now < STARTUP_TIME:
            self._without_owner.pop(key, None)
            return
        since = self._without_owner.setdefault(key, now)
        self.longest_without_owner = max(self.longest_without_owner, now - since)

    def _request_permits(self, now: Seconds) -> None:
        """Request a permit for the same back end from every node that believes it leads."""
        for node in self.nodes.values():
            if not node.up or node.paused:
                continue
            response = node.permit_issuer.issue(
                PermitRequest(RateBound("limited", RATE_LIMIT), 0.0), None, now
            )
            if isinstance(response, Permit):
                self.permits_issued_at.append(now)

    def max_permits_issued(self, window: Seconds) -> int:
        """Return the most permits that all nodes together issued within any window."""
        return max(
            (
                sum(at <= other < at + window for other in self.permits_issued_at)
                for at in self.permits_issued_at
            ),
            default=0,
        )

    def unserved(self) -> list[int]:
        """Return the keys that no back end holds now."""
        now = self.environment.now
        return [
            key
            for key in range(self.positions)
            if not any(item.holds(key, now) or key in item.late for item in self.backends.values())
        ]

    # ------------------------------------------------------------------ runs

    def run_with_faults(self, seconds: Seconds, names: Sequence[str] = FAULTS) -> None:
        """Run with random faults for a time, then without any until the system must have recovered.

        Parameters
        ----------
        names
            Kinds of faults to draw from. With a single kind, each fault ends before the next.
        """
        self.environment.run(until=STARTUP_TIME)
        faults = [getattr(self.faults, name) for name in names]
        low, high = SINGLE_FAULT_INTERVAL if len(names) == 1 else MIXED_FAULTS_INTERVAL
        end = self.environment.now + seconds
        while faults and self.environment.now < end:
            fault = self.random.choice(faults)
            self.fault_counts[fault.__name__] += 1
            self.environment.process(fault())
            self.environment.run(until=self.environment.now + self.random.uniform(low, high))
        self.environment.run(until=end + RECOVERY_TIME)
