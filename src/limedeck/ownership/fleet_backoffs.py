"""Back ends that request back-off from several nodes, as reported to the leader.

A back end may request back-off from individual nodes and serve others. One that requests it from
more nodes than it has recently served is considered overloaded: its keys are moved, and nodes send
other requests elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from limedeck.identity import Seconds
from limedeck.ownership.fleet_load import BackendReport

SERVED_WINDOW: Seconds = 0.5
"""A node counts as served for this time after it reported a response; spans two reports."""
MIN_NODES = 2
"""Nodes that must back off, unless the fleet is smaller: a single node may itself be the cause."""
OWNER_COOLDOWN: Seconds = 5.0
"""How long a back end that was rejecting is avoided as an owner. Prevents repeated moves, each of
which delays callers by a fraction of a second."""


@dataclass(slots=True)
class _BackendRecord:
    """Reports of all nodes about one back end.

    Parameters
    ----------
    backing_off
        End of the back-off, by node.
    served
        Time of the last reported response, by node.
    rejecting_at
        When `is_rejecting` was last found to be true; None if never.
    """

    backing_off: dict[str, Seconds] = field(default_factory=dict)
    served: dict[str, Seconds] = field(default_factory=dict)
    rejecting_at: Seconds | None = None

    def is_rejecting(self, node_count: int, now: Seconds) -> bool:
        """Whether it requests back-off from more nodes than it serves."""
        backing_off = {node for node, until in self.backing_off.items() if now < until}
        served = {node for node, at in self.served.items() if now - at < SERVED_WINDOW}
        required = min(MIN_NODES, node_count)
        return len(backing_off) >= required and len(backing_off) > len(served - backing_off)


class FleetBackoffs:
    """Aggregates the back-offs that nodes report; back ends are keyed by a hash of their id."""

    def __init__(self) -> None:
        self._backends: dict[int, _BackendRecord] = {}
        self._nodes: set[str] = set()

    def record_report(self, node: str, reports: Iterable[BackendReport], now: Seconds) -> None:
        """Record a node's report, which lists every back end from which it backs off."""
        self._nodes.add(node)
        for record in self._backends.values():
            record.backing_off.pop(node, None)
        for report in reports:
            if not report.backoff and report.backend not in self._backends:
                continue
            record = self._backends.setdefault(report.backend, _BackendRecord())
            if report.backoff:
                record.backing_off[node] = now + report.backoff
            if report.answers:
                record.served[node] = now

    def forget(self, node: str) -> None:
        """Drop the reports of a node that has disconnected."""
        self._nodes.discard(node)
        for record in self._backends.values():
            record.backing_off.pop(node, None)
            record.served.pop(node, None)

    def clear(self) -> None:
        """Drop all reports when this node is no longer the leader."""
        self._backends.clear()
        self._nodes.clear()

    def update_rejecting(self, now: Seconds) -> set[int]:
        """Return back ends that request back-off from more nodes than they serve.

        Also starts their cooldown as owners and drops records that are no longer needed.
        """
        found = set()
        for backend, record in list(self._backends.items()):
            if record.is_rejecting(len(self._nodes), now):
                record.rejecting_at = now
                found.add(backend)
            elif not record.backing_off and not self._was_rejecting(record, now):
                del self._backends[backend]
        return found

    def avoided_owners(self, now: Seconds) -> set[int]:
        """Return back ends found by `update_rejecting` within the last `OWNER_COOLDOWN`."""
        return {key for key, record in self._backends.items() if self._was_rejecting(record, now)}

    def _was_rejecting(self, record: _BackendRecord, now: Seconds) -> bool:
        return record.rejecting_at is not None and now - record.rejecting_at < OWNER_COOLDOWN
