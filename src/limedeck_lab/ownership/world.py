"""Nodes, back ends and a store in simulated time, random faults, and a judge of ownership."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from dataclasses import dataclass

import simpy

from limedeck.forwarding.permits import Bound, Permit, PermitAsk
from limedeck.identity import Seconds, life_id
from limedeck.model import Backend
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.timing import OwnershipTiming
from limedeck_lab.ownership.backends import SimulatedBackend
from limedeck_lab.ownership.node import SimulatedNode
from limedeck_lab.ownership.store import SimulatedStore, StoreFaults

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
        name = life_id(instance, self._lives) if instance else f"backend-{self._lives}"
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

    def _borrow(self, now: Seconds) -> None:
        """Ask every node that believes to lead for a permit for the same back end."""
        for node in self.nodes.values():
            if not node.up or node.paused:
                continue
            answer = node.lending.answer(PermitAsk(Bound("limited", LIMIT), 0.0), None, now)
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

    # ------------------------------------------------------------------ faults

    def run_with_faults(self, seconds: Seconds, only: str = "") -> None:
        """Run with random faults for a while, then without any until all must be well.

        Parameters
        ----------
        only
            The one fault that happens, by its name here; empty for all.
        """
        self.environment.run(until=8.0)
        every_fault = (
            self._fault_node_killed,
            self._fault_all_killed,
            self._fault_node_paused,
            self._fault_store_cut,
            self._fault_backends_cut,
            self._fault_node_cut,
            self._fault_store_down,
            self._fault_store_lossy,
            self._fault_orders_late,
            self._fault_backend_crashed,
            self._fault_backend_unreachable,
            self._fault_backend_leaves,
            self._fault_listing_lapses,
            self._fault_two_leaders,
            self._fault_holder_of_old_leader,
        )
        by_name_alone = (self._fault_backend_reborn, self._fault_owner_of_old_leader_reborn)
        faults = [fault for fault in every_fault if only in fault.__name__]
        if only:
            faults += [fault for fault in by_name_alone if only in fault.__name__]
        end = self.environment.now + seconds
        while self.environment.now < end:
            fault = self.random.choice(faults)
            self.environment.process(fault())
            low, high = SPACING_OF_ONE_FAULT if only else SPACING_OF_ALL_FAULTS
            self.environment.run(until=self.environment.now + self.random.uniform(low, high))
        self.environment.run(until=end + HEALING)

    def _pause(self, low: Seconds, high: Seconds) -> simpy.Event:
        return self.environment.timeout(self.random.uniform(low, high))

    def _any_node(self) -> SimulatedNode:
        return self.random.choice(list(self.nodes.values()))

    def _any_backend(self) -> SimulatedBackend:
        return self.random.choice([item for item in self.backends.values() if item.listed])

    def _fault_node_killed(self) -> Generator[simpy.Event, object, None]:
        node = self._any_node()
        self.kill_node(node.node_id)
        yield self._pause(0.3, 4.0)
        self._restart(node)

    def _restart(self, node: SimulatedNode) -> None:
        if self.nodes[node.node_id] is node:
            self.start_node(node.node_id)

    def _fault_all_killed(self) -> Generator[simpy.Event, object, None]:
        nodes = list(self.nodes.values())
        for node in nodes:
            self.kill_node(node.node_id)
        yield self._pause(0.3, 3.0)
        for node in nodes:
            self._restart(node)

    def _node_fault(
        self, begin: Callable[[SimulatedNode], None], end: Callable[[SimulatedNode], None]
    ) -> Generator[simpy.Event, object, None]:
        node = self._any_node()
        begin(node)
        yield self._pause(0.5, 9.0)
        end(node)

    def _fault_node_paused(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "paused", True), lambda node: setattr(node, "paused", False)
        )

    def _fault_store_cut(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "reaches_store", False),
            lambda node: setattr(node, "reaches_store", True),
        )

    def _fault_backends_cut(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "reaches_backends", False),
            lambda node: setattr(node, "reaches_backends", True),
        )

    def _fault_node_cut(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "reaches_nodes", False),
            lambda node: setattr(node, "reaches_nodes", True),
        )

    def _leader(self) -> SimulatedNode:
        leaders = [item for item in self.nodes.values() if item.core is not None and item.up]
        return self.random.choice(leaders) if leaders else self._any_node()

    def _fault_two_leaders(self) -> Generator[simpy.Event, object, None]:
        """The leader reaches back ends only, is replaced, and a back end leaves unseen by it."""
        leader = self._leader()
        leader.reaches_store = leader.reaches_nodes = False
        yield self._pause(3.5, 5.0)
        yield from self._fault_backend_leaves()
        leader.reaches_store = leader.reaches_nodes = True

    def _fault_holder_of_old_leader(self) -> Generator[simpy.Event, object, None]:
        """The leader is cut off from everything, together with one back end."""
        leader = self._leader()
        backend = self._any_backend()
        others = {
            (node_id, backend.backend_id) for node_id in self.nodes if node_id != leader.node_id
        }
        others |= {(leader.node_id, name) for name in self.backends if name != backend.backend_id}
        leader.reaches_store = leader.reaches_nodes = False
        self.pair_cuts |= others
        yield self._pause(8.0, 12.0)
        self.pair_cuts -= others
        leader.reaches_store = leader.reaches_nodes = True

    def _fault_store_down(self) -> Generator[simpy.Event, object, None]:
        faults = StoreFaults(refuses=self.random.random() < 0.5)
        faults.silent = not faults.refuses
        self.store.faults = faults
        yield self._pause(1.0, 12.0)
        self.store.faults = StoreFaults()

    def _fault_store_lossy(self) -> Generator[simpy.Event, object, None]:
        self.store.faults = StoreFaults(slowness=10.0, lost_share=0.3, late_share=0.3)
        yield self._pause(1.0, 8.0)
        self.store.faults = StoreFaults()

    def _fault_orders_late(self) -> Generator[simpy.Event, object, None]:
        self.late_orders = 0.3
        yield self._pause(1.0, 6.0)
        self.late_orders = 0.0

    def _fault_backend_crashed(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        backend.up = False
        yield self._pause(0.5, 3.0)
        self.start_backend()
        yield self._pause(0.5, 3.0)
        backend.listed = False

    def _fault_backend_reborn(self) -> Generator[simpy.Event, object, None]:
        """An owner takes orders late, ends, and starts again under its name seconds later.

        Its keys are another one's by then, and orders to its former life are still on their way.
        """
        backend = self._any_backend()
        self.judges_late_grants = True
        self.late_orders = 1.0
        yield self._pause(0.3, 0.6)
        self.late_orders = 0.0
        backend.up = False
        yield self._pause(0.1, 2.0)
        backend.listed = False
        yield self._pause(1.0, 3.0)
        self.start_backend(backend.instance)

    def _fault_owner_of_old_leader_reborn(self) -> Generator[simpy.Event, object, None]:
        """The leader reaches back ends only and is replaced; two start again unseen by it.

        What it goes on to send to their former lives reaches the later ones, which other nodes
        reach only seconds after that.
        """
        leader = self._leader()
        leader.reaches_store = leader.reaches_nodes = False
        yield self._pause(0.2, 3.0)
        listed = [item for item in self.backends.values() if item.listed]
        for backend in self.random.sample(listed, 2):
            backend.up = backend.listed = False
            yield self._pause(0.05, 0.4)
            later = self.start_backend(backend.instance)
            cuts = {(item, later.backend_id) for item in self.nodes if item != leader.node_id}
            self.pair_cuts |= cuts
            yield self._pause(1.0, 2.0)
            self.pair_cuts -= cuts
        yield self._pause(3.0, 5.0)
        leader.reaches_store = leader.reaches_nodes = True

    def _fault_backend_unreachable(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        backend.reachable = False
        yield self._pause(0.5, 8.0)
        backend.reachable = True

    def _fault_backend_leaves(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        self.start_backend()
        backend.draining = True
        yield self._pause(2.0, 4.0)
        backend.listed = False
        yield self._pause(0.0, 5.0)
        backend.up = False

    def _fault_listing_lapses(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        backend.listed = False
        yield self._pause(1.0, 5.0)
        backend.listed = backend.up and not backend.draining
