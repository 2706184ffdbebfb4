"""Exchange of back ends' loads: nodes report theirs, and the leader sends the totals."""

from __future__ import annotations

import dataclasses

from limedeck.api import control_pb2
from limedeck.forwarding import backends
from limedeck.identity import Seconds
from limedeck.node import backend_loads, logs
from limedeck.ownership import fleet_backoffs, fleet_load, outliers

TOTALS_INTERVAL: Seconds = 0.25
"""Interval at which the leader adds up all nodes' loads; nodes report as often."""


class LoadExchange:
    """A node's part in the exchange: as a follower and as the leader.

    Parameters
    ----------
    node_id
        This node's id among the reports that a leader adds up.

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
        """Return this node's load at back ends since the last report."""
        return backend_loads.write_report(self._directory, now)

    def handle_connected(self) -> None:
        """A connection to a leader begins, on which no totals were received yet."""
        self._reader = backend_loads.TotalsReader()

    def handle_totals(self, message: control_pb2.BackendTotals, now: Seconds) -> None:
        """Apply the totals that the leader sent."""
        backend_loads.apply_totals(self._reader.read(message), self._directory, now)

    # ------------------------------------------------------------------ as the leader

    def handle_report(
        self,
        node: str,
        message: control_pb2.BackendLoads,
        now: Seconds,
        is_partitioned: bool = False,
    ) -> None:
        """Record a node's report.

        Parameters
        ----------
        is_partitioned
            Whether the node reaches no back end; its failed attempts are then due to its own links.
        """
        reports = backend_loads.read_report(message)
        self._fleet_load.record_report(node, reports, now)
        self._backoffs.record_report(node, reports, now)
        for report in reports:
            failures = 0 if is_partitioned else report.failures
            self._outliers.record(report.backend, report.answers, failures, now)

    def handle_follower_left(self, node: str) -> None:
        """Forget the reports of a node that is no longer connected."""
        self._fleet_load.forget(node)
        self._backoffs.forget(node)

    def refresh(self, now: Seconds) -> dict[str, fleet_load.BackendTotal]:
        """Add up all nodes' reports by back end if due, and apply the totals to this node as well.

        Returns an empty dictionary if it is not due.
        """
        if self._next_totals is None:
            self._fleet_load.initialize(backend_loads.known_service_times(self._directory), now)
        elif now < self._next_totals:
            return {}
        self._next_totals = now + TOTALS_INTERVAL
        is_partitioned = self._directory.reachability.is_partitioned
        self.handle_report(self._node_id, self.report(now), now, is_partitioned)
        listed = {
            backend_loads.backend_hash(state.backend.backend_id): state.backend
            for state in self._directory.all_states()
        }
        sums = self._fleet_load.totals(listed, now)
        overloaded = [
            total.backend
            for total in sums
            if total.outstanding
            >= outliers.OVERLOAD_REQUESTS_PER_SLOT * listed[total.backend].slots
        ]
        services = {backend_hash: backend.service for backend_hash, backend in listed.items()}
        excluded = set(self._outliers.excluded(services, now, overloaded))
        excluded |= self._backoffs.update_rejecting(now) & listed.keys()
        avoided = self._backoffs.avoided_owners(now) & listed.keys()
        self.avoided_owners = frozenset(listed[backend_hash].backend_id for backend_hash in avoided)
        self._log_excluded({listed[backend_hash].backend_id for backend_hash in excluded})
        totals = [dataclasses.replace(total, excluded=total.backend in excluded) for total in sums]
        totals = fleet_load.with_decayed_lasting_times(totals, services, now)
        # Decayed service times let nodes try idle back ends again. The measured ones are returned,
        # since keys are not assigned to owners to try out which of them is fast.
        decayed = fleet_load.with_decayed_service_times(totals, services, now)
        self._writer.write(decayed)
        backend_loads.apply_totals(decayed, self._directory, now)
        return {listed[total.backend].backend_id: total for total in totals}

    def totals_for(self, sent: backend_loads.SentTotals) -> control_pb2.BackendTotals | None:
        """Return the totals that a node lacks, if any, and record them in `sent`."""
        return None if self._next_totals is None else self._writer.message_for(sent)

    def clear(self) -> None:
        """Forget everything, since this node no longer leads."""
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
