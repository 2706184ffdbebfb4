"""Faults of a simulated deployment: one generator for each kind."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable
from typing import TYPE_CHECKING

import simpy

from limedeck.identity import Seconds
from limedeck.node import election_calls
from limedeck_lab.ownership.backends import SimulatedBackend
from limedeck_lab.ownership.node import SimulatedNode
from limedeck_lab.ownership.store import StoreFaults

if TYPE_CHECKING:
    from limedeck_lab.ownership.world import World

FAULTS = (
    "node_killed",
    "all_killed",
    "node_paused",
    "store_cut",
    "backends_cut",
    "node_cut",
    "store_down",
    "store_lossy",
    "orders_late",
    "backend_crashed",
    "backend_unreachable",
    "backend_leaves",
    "listing_lapses",
    "two_leaders",
    "holder_of_old_leader",
)
"""Faults that may overlap. Their order determines which faults a seed draws."""
FAULTS_RUN_ALONE = (
    "backend_reborn",
    "owner_of_old_leader_reborn",
    "leader_paused",
    "leader_gone_owners_reborn",
)
"""Faults that change how the effects of others are checked, or that require a healthy deployment
when they begin. They run only when named, so that seeds of `FAULTS` still draw the same faults."""
STORE_RETURN_FAULTS = (
    "store_returns_from_copy",
    "store_returns_leader_killed",
    "store_returns_successor_killed",
    "store_returns_all_killed",
    "store_returns_twice",
)
"""Faults in which the store returns from a copy some seconds old, after owners have changed."""
PARTITION_FAULTS = (
    "leader_partitioned",
    "most_partitioned",
    "all_partitioned",
    "partitioned_twice",
    "partitioned_successor_killed",
)
"""Faults in which nodes reach no back end, while the store and other nodes reach them."""
LOST_RECORD_FAULTS = (
    "record_lost",
    "record_lost_leader_killed",
    "record_lost_leader_cut",
    "record_lost_all_killed",
)
"""Faults in which the leader's record is dropped, or overwritten by what is none."""


class WorldFaults:
    """The faults of one deployment, by the names in `FAULTS` and `FAULTS_RUN_ALONE`."""

    def __init__(self, world: World) -> None:
        self._world = world

    def _pause(self, low: Seconds, high: Seconds) -> simpy.Event:
        return self._world.environment.timeout(self._world.random.uniform(low, high))

    def _any_node(self) -> SimulatedNode:
        return self._world.random.choice(list(self._world.nodes.values()))

    def _any_backend(self) -> SimulatedBackend:
        return self._world.random.choice(self._listed())

    def _listed(self) -> list[SimulatedBackend]:
        return [item for item in self._world.backends.values() if item.listed]

    def node_killed(self) -> Generator[simpy.Event, object, None]:
        node = self._any_node()
        self._world.kill_node(node.node_id)
        yield self._pause(0.3, 4.0)
        self._restart(node)

    def _restart(self, node: SimulatedNode) -> None:
        if self._world.nodes[node.node_id] is node:
            self._world.start_node(node.node_id)

    def all_killed(self) -> Generator[simpy.Event, object, None]:
        nodes = list(self._world.nodes.values())
        for node in nodes:
            self._world.kill_node(node.node_id)
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

    def node_paused(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "paused", True), lambda node: setattr(node, "paused", False)
        )

    def store_cut(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "reaches_store", False),
            lambda node: setattr(node, "reaches_store", True),
        )

    def backends_cut(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "reaches_backends", False),
            lambda node: setattr(node, "reaches_backends", True),
        )

    def node_cut(self) -> Generator[simpy.Event, object, None]:
        return self._node_fault(
            lambda node: setattr(node, "reaches_nodes", False),
            lambda node: setattr(node, "reaches_nodes", True),
        )

    def _leader(self) -> SimulatedNode:
        leaders = [item for item in self._world.nodes.values() if item.core is not None and item.up]
        return self._world.random.choice(leaders) if leaders else self._any_node()

    def two_leaders(self) -> Generator[simpy.Event, object, None]:
        """The leader reaches only back ends and is replaced; a back end leaves unnoticed by it."""
        leader = self._leader()
        leader.reaches_store = leader.reaches_nodes = False
        yield self._pause(3.5, 5.0)
        yield from self.backend_leaves()
        leader.reaches_store = leader.reaches_nodes = True

    def holder_of_old_leader(self) -> Generator[simpy.Event, object, None]:
        """The leader and one back end are cut off from everything but each other."""
        leader = self._leader()
        backend = self._any_backend()
        others = {
            (node_id, backend.backend_id)
            for node_id in self._world.nodes
            if node_id != leader.node_id
        }
        others |= {
            (leader.node_id, name) for name in self._world.backends if name != backend.backend_id
        }
        leader.reaches_store = leader.reaches_nodes = False
        self._world.pair_cuts |= others
        yield self._pause(8.0, 12.0)
        self._world.pair_cuts -= others
        leader.reaches_store = leader.reaches_nodes = True

    def store_down(self) -> Generator[simpy.Event, object, None]:
        faults = StoreFaults(refuses=self._world.random.random() < 0.5)
        faults.silent = not faults.refuses
        self._world.store.faults = faults
        yield self._pause(1.0, 12.0)
        self._world.store.faults = StoreFaults()

    def store_lossy(self) -> Generator[simpy.Event, object, None]:
        self._world.store.faults = StoreFaults(slowdown=10.0, lost_share=0.3, late_share=0.3)
        yield self._pause(1.0, 8.0)
        self._world.store.faults = StoreFaults()

    def orders_late(self) -> Generator[simpy.Event, object, None]:
        self._world.late_orders = 0.3
        yield self._pause(1.0, 6.0)
        self._world.late_orders = 0.0

    def backend_crashed(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        backend.up = False
        yield self._pause(0.5, 3.0)
        self._world.start_backend()
        yield self._pause(0.5, 3.0)
        backend.listed = False

    def backend_reborn(self) -> Generator[simpy.Event, object, None]:
        """An owner receives orders late, exits, and starts again under its name seconds later.

        By then its keys have another owner, and orders to its former incarnation are still in
        transit.
        """
        backend = self._any_backend()
        self._world.counts_late_grants = True
        self._world.late_orders = 1.0
        yield self._pause(0.3, 0.6)
        self._world.late_orders = 0.0
        backend.up = False
        yield self._pause(0.1, 2.0)
        backend.listed = False
        yield self._pause(1.0, 3.0)
        self._world.start_backend(backend.instance)

    def owner_of_old_leader_reborn(self) -> Generator[simpy.Event, object, None]:
        """The leader reaches only back ends and is replaced; two restart without its noticing.

        Orders that it still sends to their former incarnations reach the later ones, which other
        nodes can reach only seconds later.
        """
        leader = self._leader()
        leader.reaches_store = leader.reaches_nodes = False
        yield self._pause(0.2, 3.0)
        for backend in self._world.random.sample(self._listed(), 2):
            backend.up = backend.listed = False
            yield self._pause(0.05, 0.4)
            later = self._world.start_backend(backend.instance)
            cuts = {
                (item, later.backend_id) for item in self._world.nodes if item != leader.node_id
            }
            self._world.pair_cuts |= cuts
            yield self._pause(1.0, 2.0)
            self._world.pair_cuts -= cuts
        yield self._pause(3.0, 5.0)
        leader.reaches_store = leader.reaches_nodes = True

    def leader_paused(self) -> Generator[simpy.Event, object, None]:
        """The leader is paused, for less or more time than it takes to elect a successor."""
        leader = self._leader()
        leader.paused = True
        yield self._pause(0.5, 12.0)
        leader.paused = False

    def leader_gone_owners_reborn(self) -> Generator[simpy.Event, object, None]:
        """All nodes exit, the leader for longer, while two owners restart under their names.

        Restarted nodes have never seen the former incarnations listed and cannot address them.
        """
        leader = self._leader()
        nodes = list(self._world.nodes.values())
        for node in nodes:
            self._world.kill_node(node.node_id)
        for backend in self._world.random.sample(self._listed(), 2):
            backend.up = backend.listed = False
            yield self._pause(0.05, 0.2)
            self._world.start_backend(backend.instance)
        for node in nodes:
            if node is not leader:
                self._restart(node)
        yield self._pause(10.0, 12.0)
        self._restart(leader)

    def backend_unreachable(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        backend.reachable = False
        yield self._pause(0.5, 8.0)
        backend.reachable = True

    def backend_leaves(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        self._world.start_backend()
        backend.draining = True
        yield self._pause(2.0, 4.0)
        backend.listed = False
        yield self._pause(0.0, 5.0)
        backend.up = False

    def listing_lapses(self) -> Generator[simpy.Event, object, None]:
        backend = self._any_backend()
        backend.listed = False
        yield self._pause(1.0, 5.0)
        backend.listed = backend.up and not backend.draining

    # ------------------------------------------------------------------ copies of the store

    def _store_away(self) -> Generator[simpy.Event, object, None]:
        """The store is away for a moment, and returns from a copy some seconds old."""
        faults = StoreFaults(refuses=self._world.random.random() < 0.5)
        faults.silent = not faults.refuses
        self._world.store.faults = faults
        yield self._pause(0.2, 2.0)
        self._world.return_store_from_copy(self._world.random.uniform(0.5, 8.0))
        self._world.store.faults = StoreFaults()

    def _change_owners(self) -> Generator[simpy.Event, object, None]:
        """Owners of keys change in what the copy lacks."""
        self._world.environment.process(self.backend_leaves())
        yield self._pause(0.2, 3.0)

    def store_returns_from_copy(self) -> Generator[simpy.Event, object, None]:
        yield from self._change_owners()
        yield from self._store_away()

    def store_returns_leader_killed(self) -> Generator[simpy.Event, object, None]:
        """The leader is killed while the store is away."""
        yield from self._change_owners()
        leader = self._leader()
        self._world.kill_node(leader.node_id)
        yield from self._store_away()
        yield self._pause(3.0, 6.0)
        self._restart(leader)

    def store_returns_successor_killed(self) -> Generator[simpy.Event, object, None]:
        """The election of the leader is lost; the leader is killed as the store returns."""
        former = self._leader()
        self._world.kill_node(former.node_id)
        yield self._pause(1.8, 2.5)
        self._restart(former)
        yield from self._change_owners()
        leader = self._leader()
        yield from self._store_away()
        self._world.kill_node(leader.node_id)
        yield self._pause(3.0, 6.0)
        self._restart(leader)

    def store_returns_all_killed(self) -> Generator[simpy.Event, object, None]:
        yield from self._change_owners()
        nodes = list(self._world.nodes.values())
        for node in nodes:
            self._world.kill_node(node.node_id)
        yield from self._store_away()
        for node in nodes:
            self._restart(node)

    def store_returns_twice(self) -> Generator[simpy.Event, object, None]:
        yield from self._change_owners()
        yield from self._store_away()
        yield from self._change_owners()
        yield from self._store_away()

    # ------------------------------------------------------------------ lost records

    def _lose_record(self) -> None:
        """Let another program drop the leader's record, or overwrite it."""
        is_dropped = self._world.random.random() < 0.5
        self._world.store.overwrite(election_calls.LEADER_ROW, None if is_dropped else b"\xff")

    def record_lost(self) -> Generator[simpy.Event, object, None]:
        yield from self._change_owners()
        self._lose_record()

    def record_lost_leader_killed(self) -> Generator[simpy.Event, object, None]:
        """The leader is killed before or after the record is lost, within a second."""
        leader = self._leader()
        yield from self._change_owners()
        if self._world.random.random() < 0.5:
            self._lose_record()
            yield self._pause(0.0, 1.0)
            self._world.kill_node(leader.node_id)
        else:
            self._world.kill_node(leader.node_id)
            yield self._pause(0.0, 1.0)
            self._lose_record()
        yield self._pause(3.0, 6.0)
        self._restart(leader)

    def record_lost_leader_cut(self) -> Generator[simpy.Event, object, None]:
        """The leader reaches only back ends when its record, or its successor's, is lost."""
        leader = self._leader()
        leader.reaches_store = leader.reaches_nodes = False
        yield self._pause(0.0, 3.0)
        self._lose_record()
        yield from self.backend_leaves()
        leader.reaches_store = leader.reaches_nodes = True

    def record_lost_all_killed(self) -> Generator[simpy.Event, object, None]:
        """No node is left that knows the lost record's term."""
        yield from self._change_owners()
        self._lose_record()
        yield from self.all_killed()

    # ------------------------------------------------------------------ partitions

    def _partition(
        self, nodes: Iterable[SimulatedNode], low: Seconds, high: Seconds
    ) -> Generator[simpy.Event, object, None]:
        """Cut nodes off from all back ends for a time."""
        cut = list(nodes)
        for node in cut:
            node.reaches_backends = False
        yield self._pause(low, high)
        for node in cut:
            node.reaches_backends = True

    def _most_nodes(self) -> list[SimulatedNode]:
        """Return the leader and most of the other nodes, but not all."""
        leader = self._leader()
        others = [node for node in self._world.nodes.values() if node is not leader]
        count = max(2 * len(others) // 3, 1)
        return [leader, *self._world.random.sample(others, min(count, len(others) - 1))]

    def leader_partitioned(self) -> Generator[simpy.Event, object, None]:
        yield from self._partition([self._leader()], 1.0, 9.0)

    def most_partitioned(self) -> Generator[simpy.Event, object, None]:
        yield from self._partition(self._most_nodes(), 1.0, 9.0)

    def all_partitioned(self) -> Generator[simpy.Event, object, None]:
        yield from self._partition(self._world.nodes.values(), 0.5, 5.0)

    def partitioned_twice(self) -> Generator[simpy.Event, object, None]:
        yield from self._partition(self._most_nodes(), 1.0, 4.0)
        yield self._pause(0.1, 2.0)
        yield from self._partition(self._most_nodes(), 1.0, 4.0)

    def partitioned_successor_killed(self) -> Generator[simpy.Event, object, None]:
        """The node that took over the lead is killed while the former leader is still cut off."""
        cut = self._most_nodes()
        self._world.environment.process(self._partition(cut, 6.0, 9.0))
        yield self._pause(1.5, 3.0)
        leader = self._leader()
        self._world.kill_node(leader.node_id)
        yield self._pause(0.3, 4.0)
        self._restart(leader)
