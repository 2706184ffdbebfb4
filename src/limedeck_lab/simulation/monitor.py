"""Checks the invariants of a simulated system across its processes, and measures it."""

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

MAX_HISTORY_LINES = 60
FREQUENT_EVENTS = ("Tick", "PeerMessageReceived", "LeaseReplied", "MachinesReceived")
"""Events that are too frequent to be kept in the history."""
OBSERVE_INTERVAL: Seconds = 0.01
ATTRIBUTION_WINDOW: Seconds = 6.0
"""An unserved interval is attributed to the latest fault that began within this time before it."""


@dataclass(frozen=True)
class HistoryLine:
    """An entry of a run's history.

    Parameters
    ----------
    at
        Simulated seconds.
    text
        Where something happened and what, with its cause.
    """

    at: Seconds
    text: str


class RunViolated(LimedeckError):
    """The run has violated an invariant and must stop."""


@dataclass
class FaultStart:
    """When a fault began."""

    name: str
    at: Seconds


@dataclass
class ObservedGroup:
    """State of a control group as the monitor observes it.

    Parameters
    ----------
    committed
        Hash of the state at each committed index, from whichever node committed it first.
    """

    service: str
    unavailable: UnavailableTime = field(default_factory=UnavailableTime)
    committed: dict[int, int] = field(default_factory=dict)
    newest_slices: SliceMap = field(default_factory=SliceMap)
    newest_index: int = 0
    churn: float = 0.0
    was_assigned: bool = False


class Monitor:
    """Checks invariants across processes, and takes measurements.

    Parameters
    ----------
    groups
        Control group of each keyed service.
    """

    def __init__(self, kernel: Kernel, groups: dict[GroupId, str]) -> None:
        self.kernel = kernel
        self.groups = {group: ObservedGroup(service) for group, service in groups.items()}
        self.violations: list[str] = []
        self.history: deque[HistoryLine] = deque(maxlen=MAX_HISTORY_LINES)
        self.nodes: Sequence[SimulatedNode] = ()
        self._by_group: dict[GroupId, list[SimulatedBackend]] = {}
        self.faults: list[FaultStart] = []
        self.worst_by_fault: dict[str, Seconds] = {}
        self.load_by_backend: dict[str, int] = {}
        self._seen_commit: dict[tuple[str, int, GroupId], int] = {}
        self._measured_state: dict[GroupId, tuple[object, ...]] = {}

    # ------------------------------------------------------------------ history

    def record_history(self, text: str) -> None:
        """Append an entry to the history."""
        self.history.append(HistoryLine(self.kernel.now, text))

    def record_fault(self, name: str, target: str) -> None:
        """Record that a fault was injected."""
        self.faults.append(FaultStart(name, self.kernel.now))
        self.record_history(f"fault {name} at {target}")

    def report_violation(self, invariant: str, detail: str, cause: str) -> None:
        """Record a violation and end the run."""
        text = f"{invariant} at {self.kernel.now:.4f} s: {detail} (cause: {cause})"
        self.violations.append(text)
        self.record_history(f"VIOLATION {text}")
        raise RunViolated(text)

    # ------------------------------------------------------------------ nodes

    def before_event(self, node: SimulatedNode, event: ControlEvent) -> None:
        """Record an event that a node is about to handle."""
        if type(event).__name__ not in FREQUENT_EVENTS:
            self.record_history(f"{node.node_id}: {event}"[:200])

    def after_event(self, node: SimulatedNode, commands: list[ControlCommand]) -> None:
        """Check what a node has committed after an event."""
        for group, core in node.core.groups.items():
            if core.consensus.commit_index > 0 and group in self.groups:
                self._check_committed(node, group, self.groups[group])

    def _check_committed(
        self, node: SimulatedNode, group: GroupId, observed: ObservedGroup
    ) -> None:
        """Check that two nodes that have committed the same index hold the same state."""
        consensus = node.core.groups[group].consensus
        index = consensus.commit_index
        key = (node.node_id, node.run_number, group)
        if self._seen_commit.get(key) == index or index == 0:
            return
        self._seen_commit[key] = index
        state = consensus.snapshot()
        digest = xxhash.xxh3_64_intdigest(state.assignment.SerializeToString())
        known = observed.committed.setdefault(index, digest)
        self.record_history(f"{node.node_id}: {group} committed {index} in term {consensus.term}")
        if known != digest:
            self.report_violation("committed-state-agrees", f"{group} index {index}", node.node_id)
        if index > observed.newest_index:
            same_epoch = index // TERMS_PER_EPOCH == observed.newest_index // TERMS_PER_EPOCH
            if same_epoch:
                observed.churn += churn(observed.newest_slices, consensus.slices)
            observed.newest_index = index
            observed.newest_slices = consensus.slices.copy()

    def check_leaders(self) -> None:
        """Check that no two nodes hold a group's leadership lease at the same time."""
        for group in self.groups:
            holders = [
                node.node_id
                for node in self.nodes
                if node.is_up
                and group in node.core.groups
                and node.core.groups[group].may_grant(node.clock.read())
            ]
            if len(holders) > 1:
                self.report_violation("one-leader-at-a-time", f"{group}: {holders}", "observation")

    # ------------------------------------------------------------------ back ends

    def serving_changed(self, backend: SimulatedBackend) -> None:
        """Check and measure ownership after the ranges that a back end may serve have changed."""
        if not backend.keyed:
            return
        group = backend.group
        self.record_history(
            f"{backend.place.machine}: serves version {backend.core.owned_version}, "
            f"running {backend.is_running}"
        )
        self._check_ownership(group, backend)
        self._measure(group)

    def set_backends(self, by_group: dict[GroupId, list[SimulatedBackend]]) -> None:
        """Set the back ends to observe, by their control group."""
        self._by_group = by_group

    def _backends_of(self, group: GroupId) -> Sequence[SimulatedBackend]:
        return self._by_group.get(group, [])

    def _check_ownership(self, group: GroupId, cause: SimulatedBackend) -> None:
        """Check that no two back ends, frozen ones included, may serve the same key now."""
        ranges = [part for item in self._backends_of(group) for part in item.servable_ranges()]
        shared = overlap(ranges)
        if shared is None:
            return
        holders = [
            item.place.machine
            for item in self._backends_of(group)
            if any(start < shared[1] and shared[0] < end for start, end in item.servable_ranges())
        ]
        detail = f"{shared[0]:#x} by {holders}"
        self.report_violation("one-owner-per-key", detail, cause.place.machine)

    def _serving_ranges(self, backend: SimulatedBackend) -> list[KeyRange]:
        return backend.servable_ranges() if backend.is_serving() else []

    def _measure(self, group: GroupId) -> None:
        observed = self.groups[group]
        gaps = uncovered(
            part for item in self._backends_of(group) for part in self._serving_ranges(item)
        )
        if not gaps:
            observed.was_assigned = True
        if not observed.was_assigned:
            return
        for interval in observed.unavailable.observe(gaps, self.kernel.now):
            name = self._attributed_fault(interval.since)
            worst = self.worst_by_fault.get(name, 0.0)
            self.worst_by_fault[name] = max(worst, interval.length)

    def _attributed_fault(self, since: Seconds) -> str:
        for fault in reversed(self.faults):
            if fault.at <= since and since - fault.at <= ATTRIBUTION_WINDOW:
                return fault.name
        return "none"

    def executed(self, backend: SimulatedBackend, work: Work) -> None:
        """Count an executed request; check that an unrepeatable one ran only once."""
        name = backend.place.machine
        self.load_by_backend[name] = self.load_by_backend.get(name, 0) + 1
        if work.unrepeatable and backend.executions[work.request_id] > 1:
            self.report_violation("unrepeatable-runs-once", work.request_id, name)

    # ------------------------------------------------------------------ sampling

    def observe(self) -> None:
        """Check what changes without an event: leases that expire, and leadership."""
        self.check_leaders()
        for group in self.groups:
            key = tuple([item.serving_state() for item in self._backends_of(group)])
            if self._measured_state.get(group) != key:
                self._measured_state[group] = key
                self._measure(group)
        self.kernel.after(OBSERVE_INTERVAL, self.observe)

    def keyspace_imbalance(self, group: GroupId) -> float:
        """Return the highest share of the key space over the mean share, among current owners."""
        observed = self.groups[group]
        owners = sorted(observed.newest_slices.owners())
        return max_over_mean(keyspace_shares(observed.newest_slices, owners).values())

    def report_product_violation(self, error: InvariantViolation, where: str) -> None:
        """Report an invariant that the product itself found violated."""
        self.report_violation(error.invariant, error.detail, f"{where}: {error.cause}")
