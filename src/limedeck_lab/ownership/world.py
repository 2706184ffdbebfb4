"""Nodes, back ends and a store in simulated time, random faults, and a judge of ownership."""

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

POSITIONS = 48
JUDGE_INTERVAL: Seconds = 0.02
LATEST_ORDER: Seconds = 12.0
EARLIEST_LATE_ORDER: Seconds = 2.0
SPACING_OF_ALL_FAULTS = (0.3, 4.0)
"""In seconds; faults overlap."""
SPACING_OF_ONE_FAULT = (14.0, 18.0)
"""In seconds; each of one kind is over before the next."""
LIMIT = 4.2
"""Requests a second that a back end in need takes, for which permits are asked all the time."""
START: Seconds = 8.0
"""Before the first fault: a leader is elected, and all keys have owners."""
HEALING: Seconds = 45.0
"""After the last fault: longest lease of a leader that is cut off, and everything else."""


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
        Of the product; a sabotaged one must be caught.
    """

    def __init__(
        self, seed: int, timing: OwnershipTiming, node_count: int = 3, backend_count: int = 5
    ) -> None:
        self.environment = simpy.Environment()
        self.random = random.Random(seed)
        self.timing = timing
        self.positions = POSITIONS
        self.store = SimulatedStore(self.environment, self.random)
        self.nodes: dict[str, SimulatedNode] = {}
        self.backends: dict[str, SimulatedBackend] = {}
        self.late_orders = 0.0
        self.pair_cuts: set[tuple[str, str]] = set()
        self.judges_late_grants = False
        self.found: list[DoubleOwner] = []
        self.lent_at: list[Seconds] = []
        self.faults = WorldFaults(self)
        self.begun: Counter[str] = Counter()
        self.longest_without_owner: Seconds = 0.0
        self._without_owner: dict[int, Seconds] = {}
        self._lives = 0
        for index in range(node_count):
            self.start_node(f"node-{index}")
        for _ in range(backend_count):
            self.start_backend()
        self.environment.process(self._judge())

    # ------------------------------------------------------------------ parts

    def start_node(self, node_id: str) -> None:
        """Start a node, or a new life of one."""
        self._lives += 1
        self.nodes[node_id] = SimulatedNode(self, node_id, self._lives)

    def kill_node(self, node_id: str) -> None:
        """End a node's process at once."""
        self.nodes[node_id].up = False

    def start_backend(self, instance: str = "") -> SimulatedBackend:
        """Start a back end, or another life of one."""
        self._lives += 1
        name = incarnation_id(instance, self._lives) if instance else f"backend-{self._lives}"
        backend = SimulatedBackend(name, self.positions, instance=instance)
        self.backends[backend.backend_id] = backend
        return backend

    def listing(self) -> dict[str, Backend]:
        """The store's list of back ends."""
        return {
            item.backend_id: Backend(
                item.backend_id, "service", "127.0.0.1:1", "z", 2, item.draining
            )
            for item in self.backends.values()
            if item.listed
        }

    def take(self, backend: SimulatedBackend, order: Grant | Release, late: bool) -> bool:
        """Carry out an order at a back end."""
        if isinstance(order, Grant):
            return backend.grant(order, self.environment.now, late)
        backend.release(order)
        return True

    def take_late(self, order: Grant | Release) -> None:
        """Carry out an order seconds later."""
        self.environment.process(self._take_late(order))

    def _take_late(self, order: Grant | Release) -> Generator[simpy.Event, object, None]:
        span = self.random.uniform(EARLIEST_LATE_ORDER, LATEST_ORDER)
        yield self.environment.timeout(span)
        backend = self.addressed(order)
        if backend is not None and backend.up:
            self.take(backend, order, late=True)

    def addressed(self, order: Grant | Release) -> SimulatedBackend | None:
        """Return the back end that an order reaches: the newest life of the one meant."""
        meant = self.backends.get(order.backend_id)
        if meant is None:
            return None
        return [item for item in self.backends.values() if item.instance == meant.instance][-1]

    # ------------------------------------------------------------------ judging

    def _judge(self) -> Generator[simpy.Event, object, None]:
        while True:
            yield self.environment.timeout(JUDGE_INTERVAL)
            now = self.environment.now
            self._borrow(now)
            for key in range(self.positions):
                owners = tuple(
                    item.backend_id
                    for item in self.backends.values()
                    if item.holds(key, now, self.judges_late_grants)
                )
                if len(owners) > 1:
                    self.found.append(DoubleOwner(now, key, owners))
                self._note_owned(key, bool(owners), now)

    def _note_owned(self, key: int, is_owned: bool, now: Seconds) -> None:
        if is_owned or now < START:
            self._without_owner.pop(key, None)
            return
        since = self._without_owner.setdefault(key, now)
        self.longest_without_owner = max(self.longest_without_owner, now - since)

    def _borrow(self, now: Seconds) -> None:
        """Ask every node that believes to lead for a permit for the same back end."""
        for node in self.nodes.values():
            if not node.up or node.paused:
                continue
            answer = node.lending.issue(PermitRequest(RateBound("limited", LIMIT), 0.0), None, now)
            if isinstance(answer, Permit):
                self.lent_at.append(now)

    def most_lent(self, window: Seconds) -> int:
        """Return the most permits that all nodes together lent in any window."""
        return max(
            (sum(at <= other < at + window for other in self.lent_at) for at in self.lent_at),
            default=0,
        )

    def unserved(self) -> list[int]:
        """Keys that no back end holds now."""
        now = self.environment.now
        return [
            key
            for key in range(self.positions)
            if not any(item.holds(key, now) or key in item.late for item in self.backends.values())
        ]

    # ------------------------------------------------------------------ runs

    def run_with_faults(self, seconds: Seconds, names: Sequence[str] = FAULTS) -> None:
        """Run with random faults for a while, then without any until all must be well.

        Parameters
        ----------
        names
            Which faults happen; none of a kind begins while the only one there is goes on.
        """
        self.environment.run(until=START)
        faults = [getattr(self.faults, name) for name in names]
        low, high = SPACING_OF_ONE_FAULT if len(names) == 1 else SPACING_OF_ALL_FAULTS
        end = self.environment.now + seconds
        while faults and self.environment.now < end:
            fault = self.random.choice(faults)
            self.begun[fault.__name__] += 1
            self.environment.process(fault())
            self.environment.run(until=self.environment.now + self.random.uniform(low, high))
        self.environment.run(until=end + HEALING)
