"""What nodes tell the leader of back ends, and what it tells them of all requests there."""

from __future__ import annotations

import dataclasses

from limedeck.api import control_pb2
from limedeck.forwarding import backends
from limedeck.identity import Seconds
from limedeck.node import backend_loads, logs
from limedeck.ownership import fleet_backoffs, fleet_load, outliers

TOTALS_INTERVAL: Seconds = 0.25
"""Between two sums of what all nodes have at back ends; nodes report as often."""


class LoadExchange:
    """One node's side of it: as a follower, and as the leader.

    Parameters
    ----------
    node_id
        This node's name among the reports that a leader adds up.

    Attributes
    ----------
    avoided_owners
        Back ends avoided as owners of keys because they request back-off from more nodes than they
        serve, or did so recently. Empty unless this node is the leader.
    """

    def __init__(self, directory: backends.BackendDirectory, node_id: str) -> None:
        self._directory = directory
        self._node_id = node_id
        self._fleet_load = fleet_load.FleetLoad()
        self._outliers = outliers.OutlierDetector()
        self._backoffs = fleet_backoffs.FleetBackoffs()
        self.avoided_owners: frozenset[str] = frozenset()
        self._excluded: set[str] = set()
        self._log = logs.get_logger("loads")
        self._writer = backend_loads.TotalsWriter()
        self._reader = backend_loads.TotalsReader()
        self._next_totals: Seconds | None = None

    # ------------------------------------------------------------------ as a follower

    def report(self, now: Seconds) -> control_pb2.BackendLoads:
        """What this node has to tell of its requests at back ends since the last report."""
        return backend_loads.write_report(self._directory, now)

    def handle_connected(self) -> None:
        """A connection to a leader begins, on which nothing was told yet."""
        self._reader = backend_loads.TotalsReader()

    def handle_totals(self, message: control_pb2.BackendTotals, now: Seconds) -> None:
        """The leader told what all nodes have."""
        backend_loads.apply_totals(self._reader.read(message), self._directory, now)

    # ------------------------------------------------------------------ as the leader

    def handle_report(self, node: str, message: control_pb2.BackendLoads, now: Seconds) -> None:
        """A node told what it has."""
        reports = backend_loads.read_report(message)
        self._fleet_load.record_report(node, reports, now)
        self._backoffs.record_report(node, reports, now)
        for report in reports:
            self._outliers.record(report.backend, report.answers, report.failures, now)

    def handle_follower_left(self, node: str) -> None:
        """A node is not connected any more."""
        self._fleet_load.forget(node)
        self._backoffs.forget(node)

    def refresh(self, now: Seconds) -> dict[str, fleet_load.BackendTotal]:
        """Add up what all nodes told, by back end, if that is due; this node believes it too."""
        if self._next_totals is None:
            self._fleet_load.initialize(backend_loads.known_service_times(self._directory), now)
        elif now < self._next_totals:
            return {}
        self._next_totals = now + TOTALS_INTERVAL
        self.handle_report(self._node_id, self.report(now), now)
        listed = {
            backend_loads.backend_hash(state.backend.backend_id): state.backend
            for state in self._directory.all_states()
        }
        sums = self._fleet_load.totals(listed)
        overloaded = [
            total.backend
            for total in sums
            if total.outstanding
            >= outliers.OVERLOAD_REQUESTS_PER_SLOT * listed[total.backend].slots
        ]
        services = {mark: backend.service for mark, backend in listed.items()}
        excluded = set(self._outliers.excluded(services, now, overloaded))
        excluded |= self._backoffs.update_rejecting(now) & listed.keys()
        avoided = self._backoffs.avoided_owners(now) & listed.keys()
        self.avoided_owners = frozenset(listed[mark].backend_id for mark in avoided)
        self._log_excluded({listed[mark].backend_id for mark in excluded})
        totals = [dataclasses.replace(total, excluded=total.backend in excluded) for total in sums]
        # Owners of keys are planned by what was measured: their keys do not try out who is fast.
        told = fleet_load.with_decayed_service_times(totals, services, now)
        self._writer.write(told)
        backend_loads.apply_totals(told, self._directory, now)
        return {listed[total.backend].backend_id: total for total in totals}

    def totals_for(self, told: backend_loads.ToldTotals) -> control_pb2.BackendTotals | None:
        """What a node lacks; `told` is updated."""
        return None if self._next_totals is None else self._writer.message_for(told)

    def end(self) -> None:
        """This node leads no more."""
        self._fleet_load.clear()
        self._outliers.clear()
        self._backoffs.clear()
        self.avoided_owners = frozenset()
        self._next_totals = None

    def _log_excluded(self, excluded: set[str]) -> None:
        for backend_id in excluded - self._excluded:
            self._log.info("backend_excluded", backend=backend_id)
        for backend_id in self._excluded - excluded:
            self._log.info("backend_taken_back", backend=backend_id)
        self._excluded = excluded
