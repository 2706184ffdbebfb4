"""Watches a simulated system from outside: what must always hold, and the measures."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from limedeck.control.consensus_state import TERMS_PER_EPOCH
from limedeck.control.events import ControlEvent
from limedeck.control.node import ControlCommand
from limedeck.errors import InvariantViolation, LimedeckError
from limedeck.identity import GroupId, Seconds
from limedeck.keyspace.slices import SliceMap
from limedeck.measures import (
    KeyRange,
    UnavailableTime,
    churn,
    keyspace_shares,
    max_over_mean,
    overlap,
    uncovered,
)
from limedeck_lab.simulation.backends import SimulatedBackend
from limedeck_lab.simulation.kernel import Kernel
from limedeck_lab.simulation.nodes import SimulatedNode
from limedeck_lab.standins.backend import Work

HISTORY_LENGTH = 60
FREQUENT_EVENTS = ("Tick", "PeerMessageReceived", "LeaseReplied", "MachinesReceived")
"""Events that would fill the history."""
OBSERVE_INTERVAL: Seconds = 0.01
ATTRIBUTION_WINDOW: Seconds = 6.0
"""An unserved interval is put down to the latest fault that began so shortly before it."""


@dataclass(frozen=True)
class HistoryLine:
    """One thing that happened.

    Parameters
    ----------
    at
        Simulated seconds.
    what
        Where and what, with its cause.
    """

    at: Seconds
    what: str


class RunViolated(LimedeckError):
    """The run has violated an invariant and must stop."""


@dataclass
class FaultBegin:
    """When a fault began."""

    name: str
    at: Seconds


@dataclass
class GroupWatch:
    """What is known of one group from outside.

    Parameters
    ----------
    committed
        Hash of the state at each committed index, from whichever node committed it first.
    """

    service: str
    unavailable: UnavailableTime = field(default_factory=UnavailableTime)
    committed: dict[int, int] = field(default_factory=dict)
    newest: SliceMap = field(default_factory=SliceMap)
    newest_index: int = 0
    churn: float = 0.0
    was_assigned: bool = False


class Monitor:
    """Invariants across processes, and measures.

    Parameters
    ----------
    groups
        Control group of each keyed service.
    """

    def __init__(self, kernel: Kernel, groups: dict[GroupId, str]) -> None:
        self.kernel = kernel
        self.groups = {group: GroupWatch(service) for group, service in groups.items()}
        self.violations: list[str] = []
        self.history: deque[HistoryLine] = deque(maxlen=HISTORY_LENGTH)
        self.nodes: Sequence[SimulatedNode] = ()
        self._by_group: dict[GroupId, list[SimulatedBackend]] = {}
        self.faults: list[FaultBegin] = []
        self.worst_by_fault: dict[str, Seconds] = {}
        self.load_by_backend: dict[str, int] = {}
        self._seen_commit: dict[tuple[str, int, GroupId], int] = {}
        self._covered_key: dict[GroupId, tuple[object, ...]] = {}

    # ------------------------------------------------------------------ history

    def note(self, what: str) -> None:
        """Enter a line into the history."""
        self.history.append(HistoryLine(self.kernel.now, what))

    def fault_began(self, name: str, target: str) -> None:
        """A fault was injected."""
        self.faults.append(FaultBegin(name, self.kernel.now))
        self.note(f"fault {name} at {target}")

    def violate(self, invariant: str, detail: str, cause: str) -> None:
        """Record a violation and end the run."""
        text = f"{invariant} at {self.kernel.now:.4f} s: {detail} (cause: {cause})"
        self.violations.append(text)
        self.note(f"VIOLATION {text}")
        raise RunViolated(text)

    # ------------------------------------------------------------------ nodes

    def before_event(self, node: SimulatedNode, event: ControlEvent) -> None:
        """A node is about to handle an event."""
        if type(event).__name__ not in FREQUENT_EVENTS:
            self.note(f"{node.node_id}: {event}"[:200])

    def after_event(self, node: SimulatedNode, commands: list[ControlCommand]) -> None:
        """A node has handled an event."""
        for group, core in node.core.groups.items():
            if core.consensus.commit_index > 0 and group in self.groups:
                self._check_committed(node, group, self.groups[group])

    def _check_committed(self, node: SimulatedNode, group: GroupId, watch: GroupWatch) -> None:
        """Two nodes that have committed the same index hold the same state."""
        consensus = node.core.groups[group].consensus
        index = consensus.commit_index
        key = (node.node_id, node.run_number, group)
        if self._seen_commit.get(key) == index or index == 0:
            return
        self._seen_commit[key] = index
        state = consensus.snapshot()
        digest = xxhash.xxh3_64_intdigest(state.assignment.SerializeToString())
        known = watch.committed.setdefault(index, digest)
        self.note(f"{node.node_id}: {group} committed {index} in term {consensus.term}")
        if known != digest:
            self.violate("committed-state-agrees", f"{group} index {index}", node.node_id)
        if index > watch.newest_index:
            same_epoch = index // TERMS_PER_EPOCH == watch.newest_index // TERMS_PER_EPOCH
            if same_epoch:
                watch.churn += churn(watch.newest, consensus.slices)
            watch.newest_index = index
            watch.newest = consensus.slices.copy()

    def check_leaders(self) -> None:
        """No two nodes hold a group's leadership lease at the same time."""
        for group in self.groups:
            holders = [
                node.node_id
                for node in self.nodes
                if node.is_up
                and group in node.core.groups
                and node.core.groups[group].may_grant(node.clock.read())
            ]
            if len(holders) > 1:
                self.violate("one-leader-at-a-time", f"{group}: {holders}", "observation")

    # ------------------------------------------------------------------ back ends

    def serving_changed(self, backend: SimulatedBackend) -> None:
        """What a back end may serve has changed."""
        if not backend.keyed:
            return
        group = backend.group
        self.note(
            f"{backend.place.machine}: serves version {backend.core.owned_version}, "
            f"running {backend.is_running}"
        )
        self._check_ownership(group, backend)
        self._measure(group)

    def watch_backends(self, by_group: dict[GroupId, list[SimulatedBackend]]) -> None:
        """Set the back ends to watch, by their control group."""
        self._by_group = by_group

    def _backends_of(self, group: GroupId) -> Sequence[SimulatedBackend]:
        return self._by_group.get(group, [])

    def _check_ownership(self, group: GroupId, cause: SimulatedBackend) -> None:
        """No two runs may serve the same key at the same time, frozen ones included."""
        ranges = [part for item in self._backends_of(group) for part in item.may_serve()]
        shared = overlap(ranges)
        if shared is None:
            return
        holders = [
            item.place.machine
            for item in self._backends_of(group)
            if any(start < shared[1] and shared[0] < end for start, end in item.may_serve())
        ]
        detail = f"{shared[0]:#x} by {holders}"
        self.violate("one-owner-per-key", detail, cause.place.machine)

    def _serving_ranges(self, backend: SimulatedBackend) -> list[KeyRange]:
        return backend.may_serve() if backend.is_serving() else []

    def _measure(self, group: GroupId) -> None:
        watch = self.groups[group]
        gaps = uncovered(
            part for item in self._backends_of(group) for part in self._serving_ranges(item)
        )
        if not gaps:
            watch.was_assigned = True
        if not watch.was_assigned:
            return
        for interval in watch.unavailable.observe(gaps, self.kernel.now):
            name = self._fault_behind(interval.since)
            worst = self.worst_by_fault.get(name, 0.0)
            self.worst_by_fault[name] = max(worst, interval.length)

    def _fault_behind(self, since: Seconds) -> str:
        for fault in reversed(self.faults):
            if fault.at <= since and since - fault.at <= ATTRIBUTION_WINDOW:
                return fault.name
        return "none"

    def executed(self, backend: SimulatedBackend, work: Work) -> None:
        """A back end did a request's effect."""
        name = backend.place.machine
        self.load_by_backend[name] = self.load_by_backend.get(name, 0) + 1
        if work.unrepeatable and backend.executions[work.request_id] > 1:
            self.violate("unrepeatable-runs-once", work.request_id, name)

    # ------------------------------------------------------------------ sampling

    def observe(self) -> None:
        """Look at what changes without an event: lapsing leases, leadership."""
        self.check_leaders()
        for group in self.groups:
            key = tuple([item.serving_key() for item in self._backends_of(group)])
            if self._covered_key.get(group) != key:
                self._covered_key[group] = key
                self._measure(group)
        self.kernel.after(OBSERVE_INTERVAL, self.observe)

    def share_imbalance(self, group: GroupId) -> float:
        """Highest over mean share of the key line, over owners in use."""
        watch = self.groups[group]
        owners = sorted(watch.newest.owners())
        return max_over_mean(keyspace_shares(watch.newest, owners).values())

    def take_product_violation(self, error: InvariantViolation, where: str) -> None:
        """An invariant inside the product has failed."""
        self.violate(error.invariant, error.detail, f"{where}: {error.cause}")
