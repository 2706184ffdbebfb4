"""Probes back ends by connections, and logs what this node reaches."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from limedeck.clock import steady_clock
from limedeck.forwarding import reachability
from limedeck.forwarding.backend_state import BackendState
from limedeck.http_client import HttpClient
from limedeck.identity import Seconds
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
MAX_LINES_PER_SECOND = 10
"""Lines about single back ends; a fleet has hundreds."""


class ReachabilityMonitor:
    """Runs the probes of one node.

    Attributes
    ----------
    oldest_request
        Returns since when the oldest outstanding request has been waiting; None if there is none.
    overdue_backends
        Returns back ends that have not responded for much longer than usual.
    on_unreached
        Called when this node finds that it does not reach a back end, or none at all (None).
    on_reached
        Called when this node reaches a back end again.
    on_partition_changed
        Called when a partition of this node begins or ends, after `on_unreached`.
    """

    def __init__(self, state: NodeState, client: HttpClient, telemetry: Telemetry) -> None:
        self.oldest_request: Callable[[], Seconds | None] = lambda: None
        self.overdue_backends: Callable[[Seconds], list[str]] = lambda now: []
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

    def _end_round(self) -> None:
        if not self._reachability.is_partitioned:
            for state in self._deferred_faults:
                state.record_own_fault()
        self._deferred_faults.clear()
        self._rounds.notify()

    async def ensure_contact(self, max_age: Seconds) -> None:
        """Probe back ends if none was in contact with this node for `max_age`."""
        if self._reachability.had_contact_since(steady_clock() - max_age):
            return
        states = self._state.directory.all_states()
        if states:
            self.suspect(next(iter(states)).backend.backend_id)
            await self.wait_for_round(PROBE_TIMEOUT + PROBE_WATCH_TIME + MAX_PROBE_DELAY)

    async def wait_for_round(self, timeout: Seconds) -> None:
        """Wait until the current or next round of probes has ended, for at most `timeout`."""
        await self._rounds.wait_past(self._rounds.count, timeout)

    def _start_due_probes(self) -> None:
        if self._tasks is None:
            return
        now = steady_clock()
        waiting_since = self.oldest_request()
        self._reachability.suspect_overdue(self.overdue_backends(now), now)
        if not self._reachability.is_round_due(waiting_since, now):
            return
        states = {state.backend.backend_id: state for state in self._state.directory.all_states()}
        listed = {key: state.backend.service for key, state in states.items()}
        for backend_id in self._reachability.next_probes(listed, waiting_since, now):
            self._tasks.start_soon(self._probe, states[backend_id])

    async def _probe(self, state: BackendState) -> None:
        outcome = reachability.ProbeOutcome.UNKNOWN
        try:
            outcome = await self._connect(state.backend.address)
        finally:
            now = steady_clock()
            rounds = self._reachability.rounds
            events = self._reachability.handle_probe(state.backend.backend_id, outcome, now)
            for event in events:
                self._record_event(event)
            if self._reachability.rounds != rounds:
                self._end_round()

    async def _connect(self, address: str) -> reachability.ProbeOutcome:
        started = steady_clock()
        try:
            await self._client.try_connect(address, started + PROBE_TIMEOUT, PROBE_WATCH_TIME)
        except AttemptFailed as error:
            if error.phase is FailurePhase.TURNED_AWAY:
                return reachability.ProbeOutcome.TURNED_AWAY
            if steady_clock() - started > PROBE_TIMEOUT + PROBE_WATCH_TIME + MAX_PROBE_DELAY:
                return reachability.ProbeOutcome.UNKNOWN
            return reachability.ProbeOutcome.UNREACHED
        return reachability.ProbeOutcome.REACHED

    def _record_event(self, event: reachability.ReachabilityEvent) -> None:
        match event:
            case reachability.PartitionBegan():
                self._telemetry.partitioned.set(1)
                self._log.warning("partition_began", probed=list(event.probed))
                self.on_unreached(None)
                self.on_partition_changed()
            case reachability.PartitionEnded():
                self._telemetry.partitioned.set(0)
                self._log.warning("partition_ended", seconds=round(event.lasted, 3))
                self.on_partition_changed()
            case reachability.BackendUnreached():
                self.on_unreached(event.backend_id)
                if self._line_limit.allows():
                    self._log.warning("back_end_unreached", backend=event.backend_id)
            case reachability.BackendReached():
                self.on_reached(event.backend_id)
                if self._line_limit.allows():
                    self._log.info(
                        "back_end_reached",
                        backend=event.backend_id,
                        seconds=round(event.lasted, 3),
                    )
        self._telemetry.unreached.set(len(self._reachability.unreached_backends))
