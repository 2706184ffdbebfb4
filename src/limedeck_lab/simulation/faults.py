"""Faults of a simulated system, drawn at random times on random targets."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from limedeck.identity import Seconds
from limedeck_lab.simulation.network import Cut, NetworkFaults
from limedeck_lab.simulation.processes import SimulatedProcess

if TYPE_CHECKING:
    from limedeck_lab.simulation.world import World

FAULT_FREE_START: Seconds = 15.0
"""No faults are injected before the system has started up."""
FAULT_FREE_END: Seconds = 40.0
"""No faults are injected in this time before the end, so that the system has recovered by then."""

LONG_OUTAGE: Seconds = 1800.0

Injector = Callable[["World", random.Random], str]
"""Starts a fault that ends by itself; returns a description of its target."""


def _pick(processes: Sequence[SimulatedProcess], generator: random.Random) -> SimulatedProcess:
    return processes[generator.randrange(len(processes))]


def _restart_later(world: World, process: SimulatedProcess, after: Seconds) -> None:
    def restart() -> None:
        if not process.is_up:
            world.start_process(process)

    world.kernel.after(after, restart)


def _kill(world: World, process: SimulatedProcess, down_for: Seconds) -> None:
    process.kill()
    world.unlist_unless_restarted(process)
    _restart_later(world, process, down_for)


def kill_backend(world: World, generator: random.Random) -> str:
    """A back end is killed and restarts without its state after some seconds."""
    backend = _pick(world.backends, generator)
    _kill(world, backend, generator.uniform(0.1, 20.0))
    return backend.place.machine


def freeze_backend(world: World, generator: random.Random) -> str:
    """A back end freezes and resumes with its state unchanged."""
    backend = _pick(world.backends, generator)
    backend.freeze()
    world.kernel.after(generator.uniform(0.1, 8.0), backend.thaw)
    return backend.place.machine


def kill_node(world: World, generator: random.Random) -> str:
    """A node is killed and restarts as another run."""
    node = _pick(world.nodes, generator)
    _kill(world, node, generator.uniform(0.1, 15.0))
    return node.place.machine


def kill_leader(world: World, generator: random.Random) -> str:
    """The leader of a group is killed and restarts as another run."""
    node = world.leader() or _pick(world.nodes, generator)
    _kill(world, node, generator.uniform(0.5, 15.0))
    return node.place.machine


def freeze_leader(world: World, generator: random.Random) -> str:
    """The leader of a group freezes and resumes with its state unchanged."""
    node = world.leader() or _pick(world.nodes, generator)
    node.freeze()
    world.kernel.after(generator.uniform(0.1, 8.0), node.thaw)
    return node.place.machine


def freeze_node(world: World, generator: random.Random) -> str:
    """A node freezes and resumes with its state unchanged."""
    node = _pick(world.nodes, generator)
    node.freeze()
    world.kernel.after(generator.uniform(0.1, 8.0), node.thaw)
    return node.place.machine


def stop_node(world: World, generator: random.Random) -> str:
    """A node is stopped gracefully and restarted later."""
    node = world.nodes[generator.randrange(len(world.nodes))]
    node.stop_gracefully()
    _restart_later(world, node, generator.uniform(3.0, 15.0))
    return node.place.machine


def partition(world: World, generator: random.Random) -> str:
    """The network between some machines and the others is cut, in both directions or in one."""
    machines = [process.place.machine for process in (*world.nodes, *world.backends)]
    size = generator.randint(1, max(len(machines) // 2, 1))
    some = frozenset(generator.sample(machines, size))
    others = frozenset(machines) - some
    holds = generator.random() < 0.5
    cuts = [Cut(some, others, holds)]
    if generator.random() < 0.6:
        cuts.append(Cut(others, some, holds))
    world.network.cuts.extend(cuts)
    span = generator.uniform(0.2, 12.0)
    for cut in cuts:
        world.kernel.after(span, lambda cut=cut: world.network.heal(cut))  # type: ignore[misc]
    return f"{len(some)} machines, {len(cuts)} ways"


def isolate_leader(world: World, generator: random.Random) -> str:
    """The leader reaches the other nodes, but no back end."""
    leader = world.leader() or world.nodes[0]
    node = frozenset([leader.place.machine])
    others = frozenset(backend.place.machine for backend in world.backends)
    cuts = [Cut(node, others, False), Cut(others, node, False)]
    world.network.cuts.extend(cuts)
    span = generator.uniform(5.0, 15.0)
    for cut in cuts:
        world.kernel.after(span, lambda cut=cut: world.network.heal(cut))  # type: ignore[misc]
    return f"{leader.place.machine} for {span:.0f} s"


def bad_network(world: World, generator: random.Random) -> str:
    """Messages are lost, duplicated, delayed and reordered."""
    world.network.faults = NetworkFaults(
        loss=generator.uniform(0.0, 0.3),
        duplication=generator.uniform(0.0, 0.3),
        extra_delay=generator.uniform(0.0, 0.3),
    )

    def end() -> None:
        world.network.faults = NetworkFaults()

    world.kernel.after(generator.uniform(1.0, 10.0), end)
    return str(world.network.faults)


def late_messages(world: World, generator: random.Random) -> str:
    """Some messages are delayed by up to most of a lease and arrive after newer ones."""
    world.network.faults = NetworkFaults(
        extra_delay=generator.uniform(0.8, 1.8), late_share=generator.uniform(0.1, 0.3)
    )

    def end() -> None:
        world.network.faults = NetworkFaults()

    world.kernel.after(generator.uniform(4.0, 10.0), end)
    return str(world.network.faults)


def store_down(world: World, generator: random.Random) -> str:
    """The table does not respond for up to two minutes."""
    world.platform.faults.down = True

    def end() -> None:
        world.platform.faults.down = False

    span = min(generator.uniform(5.0, 120.0), world.seconds_left() - FAULT_FREE_END)
    world.kernel.after(span, end)
    return f"for {span:.0f} s"


def store_down_for_long(world: World, generator: random.Random) -> str:
    """The table does not respond for 30 minutes, or as long as the run allows."""
    world.platform.faults.down = True

    def end() -> None:
        world.platform.faults.down = False

    span = min(LONG_OUTAGE, world.seconds_left() - FAULT_FREE_END)
    world.kernel.after(span, end)
    return f"for {span:.0f} s"


def store_trouble(world: World, generator: random.Random) -> str:
    """The table is slow and loses responses, also to writes that took effect."""
    faults = world.platform.faults
    faults.delay = generator.uniform(0.0, 2.0)
    faults.lost_answers = generator.uniform(0.0, 0.8)

    def end() -> None:
        faults.delay = 0.0
        faults.lost_answers = 0.0

    world.kernel.after(generator.uniform(5.0, 30.0), end)
    return str(faults)


def lose_zone(world: World, generator: random.Random) -> str:
    """Every process of a zone is killed and restarts later."""
    zone = generator.choice(world.site.zones)
    span = generator.uniform(5.0, 25.0)
    for process in world.processes():
        if process.place.zone == zone and process.is_up:
            _kill(world, process, span + generator.uniform(0.0, 3.0))
    return zone


def lose_leader_zone(world: World, generator: random.Random) -> str:
    """Every process of the leader's zone is killed and restarts later."""
    leader = world.leader()
    zone = leader.place.zone if leader else world.site.zones[0]
    for process in world.processes():
        if process.place.zone == zone and process.is_up:
            _kill(world, process, generator.uniform(10.0, 15.0))
    return zone


def lose_majority(world: World, generator: random.Random) -> str:
    """A majority of the nodes is killed at once and restarts as other runs."""
    count = len(world.nodes) // 2 + 1
    lost = generator.sample(list(world.nodes), count)
    for node in lost:
        _kill(world, node, generator.uniform(0.5, 10.0))
    return ", ".join(node.place.machine for node in lost)


def lose_leader_and_backend(world: World, generator: random.Random) -> str:
    """The store goes down; 5 s later the leader and a back end are killed together."""
    world.platform.faults.down = True
    leader = world.leader() or world.nodes[0]
    backend = _pick(world.backends, generator)

    def kill_both() -> None:
        _kill(world, leader, 20.0)
        _kill(world, backend, 20.0)

    def end() -> None:
        world.platform.faults.down = False

    world.kernel.after(5.0, kill_both)
    world.kernel.after(25.0, end)
    return f"{leader.place.machine}, {backend.place.machine}"


def drain_backend(world: World, generator: random.Random) -> str:
    """Operators drain a back end and end the draining later."""
    backend = _pick(world.backends, generator)
    name = backend.place.machine
    world.set_draining(name, True)
    world.kernel.after(generator.uniform(5.0, 15.0), lambda: world.set_draining(name, False))
    return name


def shed(world: World, generator: random.Random) -> str:
    """A back end accepts no more requests than it has slots for some seconds."""
    backend = world.backends[generator.randrange(len(world.backends))]
    run = backend.run_number
    backend.core.queue_limit = 0

    def end() -> None:
        if backend.run_number == run:
            backend.core.queue_limit = backend.size.queue_limit

    world.kernel.after(generator.uniform(1.0, 5.0), end)
    return backend.place.machine


FAULTS: dict[str, Injector] = {
    "kill-backend": kill_backend,
    "freeze-backend": freeze_backend,
    "kill-node": kill_node,
    "kill-leader": kill_leader,
    "freeze-leader": freeze_leader,
    "freeze-node": freeze_node,
    "stop-node": stop_node,
    "partition": partition,
    "isolate-leader": isolate_leader,
    "bad-network": bad_network,
    "late-messages": late_messages,
    "store-down": store_down,
    "store-trouble": store_trouble,
    "lose-zone": lose_zone,
    "drain-backend": drain_backend,
    "shed": shed,
}
"""Faults that ``--faults all`` draws from."""

SPECIAL_FAULTS: dict[str, Injector] = {
    "store-down-for-long": store_down_for_long,
    "lose-majority": lose_majority,
    "lose-leader-zone": lose_leader_zone,
    "lose-leader-and-backend": lose_leader_and_backend,
}
"""Faults for single measurements, injected only if named."""

ALL_FAULTS = {**FAULTS, **SPECIAL_FAULTS}


class FaultSchedule:
    """Injects faults at random times.

    Parameters
    ----------
    names
        Faults to draw from.
    mean_interval
        Mean time between two faults.
    """

    def __init__(
        self,
        world: World,
        names: Sequence[str],
        mean_interval: Seconds,
        end: Seconds,
        generator: random.Random,
    ) -> None:
        self._world = world
        self._names = list(names)
        self._mean_interval = mean_interval
        self._end = end - FAULT_FREE_END
        self._random = generator

    def begin(self) -> None:
        """Schedule the first fault."""
        if self._names:
            self._world.kernel.after(FAULT_FREE_START + self._draw_interval(), self._inject)

    def _draw_interval(self) -> Seconds:
        return self._mean_interval * self._random.uniform(0.4, 1.6)

    def _inject(self) -> None:
        if self._world.kernel.now > self._end:
            return
        name = self._random.choice(self._names)
        # Recorded first, so that immediate effects of the fault are attributed to it.
        self._world.monitor.record_fault(name, "begins")
        target = ALL_FAULTS[name](self._world, self._random)
        self._world.monitor.record_history(f"fault {name}: {target}")
        self._world.kernel.after(self._draw_interval(), self._inject)
