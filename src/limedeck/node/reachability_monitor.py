"""Probes back ends by connections, and logs what this node reaches."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from limedeck.clock import steady_clock
from limedeck.forwarding import reachability_events as events
from limedeck.forwarding.backend_state import MIN_FULL_LOAD_PER_SLOT, BackendState
from limedeck.http_client import HttpClient
from limedeck.identity import Seconds
from limedeck.node.direct_exchanges import DirectExchanges
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.notifier import Notifier
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

CHECK_INTERVAL: Seconds = 0.05
PROBE_TIMEOUT: Seconds = 0.25
"""Time in which a connection must be established; many round trips within a region."""
PROBE_WATCH_TIME: Seconds = 0.1
"""Time for which the connection of a probe must stay open: a reset may arrive after it opened."""
MAX_PROBE_DELAY: Seconds = 0.2
"""A probe that took this much longer than its timeout was not measured: the process was paused."""
MAX_ABORTED_AT_SUSPICION = 4
"""Attempts that are made again before a suspicion is confirmed: overloaded back ends may have
caused it, and some of the other nodes may be cut off too."""
MAX_LINES_PER_SECOND = 10
"""Lines about single back ends; a fleet has hundreds."""


class ReachabilityMonitor:
    """Runs the probes of one node.

    Attributes
    ----------
    direct
        Attempts on connections of this node that have no response yet.
    on_unreached
        Called when this node finds that it does not reach a back end, or none at all (None).
    on_reached
        Called when this node reaches a back end again.
    on_partition_changed
        Called when a partition of this node begins or ends, after `on_unreached`.
    """

    def __init__(self, state: NodeState, client: HttpClient, telemetry: Telemetry) -> None:
        self.direct = DirectExchanges(state.directory)
        self.on_unreached: Callable[[str | None], None] = lambda backend_id: None
        self.on_reached: Callable[[str], None] = lambda backend_id: None
        self.on_partition_changed: Callable[[], None] = lambda: None
        self._state = state
        self._reachability = state.directory.reachability
        self._client = client
        self._telemetry = telemetry
        self._tasks: TaskGroup | None = None
        self._rounds = Notifier()
        self._deferred_faults: list[BackendState] = []
        self._line_limit = RateLimit(MAX_LINES_PER_SECOND)
        self._log = get_logger("reachability")

    async def run(self) -> None:
        """Start rounds of probes when they are due, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._start_due_probes()
                await anyio.sleep(CHECK_INTERVAL)

    def suspect(self, backend_id: str) -> None:
        """Probe a back end soon: an attempt failed in a way that a broken link could cause."""
        self._reachability.suspect(backend_id)
        self._start_due_probes()

    def defer_fault(self, state: BackendState) -> None:
        """Report a failure as the back end's own after a round that finds no partition."""
        self._deferred_faults.append(state)
        self.suspect(state.backend.backend_id)

    def record_response(self, backend_id: str) -> None:
        """Record that a back end responded on a connection of this node."""
        self._record_events(self._reachability.record_response(backend_id, steady_clock()))

    def record_served_by_other(self) -> None:
        """Record that a back end responded through another node."""
        if self._reachability.is_doubted:
            self._record_events(self._reachability.record_served_by_other(steady_clock()))

    def record_failed_exchange(self, backend_id: str) -> None:
        """Record that a request got no byte of a response on a connection of this node.

        Overloaded back ends reset connections too; at those it shows nothing about links.
        """
        now = steady_clock()
        state = self._state.directory.find(backend_id)
        if state is not None:
            full_load = MIN_FULL_LOAD_PER_SLOT * state.backend.slots
            if state.expected_load(now) < full_load:
                self._reachability.exchanges.record_failure(backend_id, now)
        self.suspect(backend_id)

    def _end_round(self) -> None:
        self._settle_deferred_faults()
        self._rounds.notify()

    def _settle_deferred_faults(self) -> None:
        """Report deferred failures once it is known whether this node's links are at fault."""
        is_partitioned = self._reachability.is_partitioned
        if not is_partitioned and self._reachability.exchanges.is_undecided(steady_clock()):
            return
        if not is_partitioned:
            for state in self._deferred_faults:
                state.record_own_fault()
        self._deferred_faults.clear()

    def is_in_doubt(self, now: Seconds) -> bool:
        """Whether it is not decided yet if this node is partitioned."""
        return self._reachability.is_in_doubt(now)

    def must_stand_last(self, leads: bool, now: Seconds) -> bool:
        """Whether this node is partitioned, or may be while it does not lead.

        If all nodes are in doubt, one of them is elected later than usual.
        """
        return self._reachability.is_partitioned or (not leads and self.is_in_doubt(now))

    async def ensure_contact(self, max_age: Seconds) -> bool:
        """Return whether this node reaches back ends; probe some if there was no contact lately."""
        if not self._reachability.had_contact_since(steady_clock() - max_age):
            states = self._state.directory.all_states()
            if states:
                self.suspect(next(iter(states)).backend.backend_id)
                await self.wait_for_round(PROBE_TIMEOUT + PROBE_WATCH_TIME + MAX_PROBE_DELAY)
        return not self._reachability.is_partitioned

    async def wait_for_round(self, timeout: Seconds) -> None:
        """Wait until the current or next round of probes has ended, for at most `timeout`."""
        await self._rounds.wait_past(self._rounds.count, timeout)

    def _start_due_probes(self) -> None:
        if self._tasks is None:
            return
        now = steady_clock()
        waiting_since = self.direct.oldest()
        overdue = self.direct.overdue_backends(now)
        self._reachability.suspect_overdue(overdue, now)
        if self._deferred_faults and not self._reachability.has_pending_probes:
            self._settle_deferred_faults()
        if self._reachability.exchanges.needs_evaluation(overdue):
            listed = {
                state.backend.backend_id: state.backend.service
                for state in self._state.directory.all_states()
            }
            self._record_events(self._reachability.evaluate_exchanges(overdue, listed, now))
        if not self._reachability.is_round_due(waiting_since, now):
            return
        states = {state.backend.backend_id: state for state in self._state.directory.all_states()}
        listed = {key: state.backend.service for key, state in states.items()}
        for backend_id in self._reachability.next_probes(listed, waiting_since, now):
            self._tasks.start_soon(self._probe, states[backend_id])

    async def _probe(self, state: BackendState) -> None:
        outcome = events.ProbeOutcome.UNKNOWN
        try:
            outcome = await self._connect(state.backend.address)
        finally:
            now = steady_clock()
            rounds = self._reachability.rounds
            self._record_events(
                self._reachability.handle_probe(state.backend.backend_id, outcome, now)
            )
            if self._reachability.rounds != rounds:
                self._end_round()

    async def _connect(self, address: str) -> events.ProbeOutcome:
        started = steady_clock()
        try:
            await self._client.try_connect(address, started + PROBE_TIMEOUT, PROBE_WATCH_TIME)
        except AttemptFailed as error:
            if error.phase is FailurePhase.TURNED_AWAY:
                return events.ProbeOutcome.TURNED_AWAY
            if steady_clock() - started > PROBE_TIMEOUT + PROBE_WATCH_TIME + MAX_PROBE_DELAY:
                return events.ProbeOutcome.UNKNOWN
            return events.ProbeOutcome.UNREACHED
        return events.ProbeOutcome.REACHED

    def _record_events(self, found: Iterable[events.ReachabilityEvent]) -> None:
        for event in found:
            self._record_event(event)

    def _record_event(self, event: events.ReachabilityEvent) -> None:
        match event:
            case events.PartitionBegan():
                self._telemetry.partitioned.set(1)
                self._log.warning(
                    "partition_began", probed=list(event.probed), shown_by=event.evidence.value
                )
                self.on_unreached(None)
                self.on_partition_changed()
            case events.PartitionEnded():
                self._telemetry.partitioned.set(0)
                self._log.warning("partition_ended", seconds=round(event.lasted, 3))
                self.on_partition_changed()
            case events.ExchangesFailing():
                self._log.warning("exchanges_failing", backends=list(event.backends))
                # Made again through other nodes, they show whether these are served.
                self.direct.abort_overdue(MAX_ABORTED_AT_SUSPICION)
            case events.BackendUnreached():
                self.on_unreached(event.backend_id)
                if self._line_limit.allows():
                    self._log.warning("back_end_unreached", backend=event.backend_id)
            case events.BackendReached():
                self.on_reached(event.backend_id)
                if self._line_limit.allows():
                    self._log.info(
                        "back_end_reached",
                        backend=event.backend_id,
                        seconds=round(event.lasted, 3),
                    )
        self._telemetry.unreached.set(len(self._reachability.unreached_backends))
