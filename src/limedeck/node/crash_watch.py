"""Checks whether a back end that dropped a connection has exited, and updates the quarantines."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from limedeck.clock import steady_clock
from limedeck.forwarding import quarantine_updates, request_content
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend
from limedeck.node.backend_paths import BackendPaths
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import AttemptFailed

EVALUATION_INTERVAL: Seconds = 0.1
"""The ledger is evaluated this often: a fifth of the time that updates take to reach all nodes."""
PROBE_DELAYS: tuple[Seconds, ...] = (0.01, 0.09)
"""Delays before each probe of the port of a back end that dropped a connection. A process that
exits closes its connections and its port together, and does not restart within 0.1 s."""
PROBE_TIMEOUT: Seconds = 0.25
MAX_LINES_PER_SECOND = 20
"""A starting node may receive thousands of quarantines at once; the counters include all."""
MIN_PROBE_INTERVAL: Seconds = 1.0
"""Limits the probes of a back end that drops connections because it is overloaded."""


class CrashWatch:
    """Maintains this node's ledger of requests that crash back ends.

    A dropped connection may have been reset by an overloaded back end, or interrupted in the
    network. Only a closed port shows that the process has exited: without the probe, each reset by
    a busy back end would count against all requests that it was processing.
    """

    def __init__(self, state: NodeState, paths: BackendPaths, telemetry: Telemetry) -> None:
        self._state = state
        self._ledger = state.quarantine
        self._paths = paths
        paths.on_backend_unreached = self.check_exit
        self._telemetry = telemetry
        self._probed_at: dict[str, Seconds] = {}
        self._tasks: TaskGroup | None = None
        self._line_limit = RateLimit(MAX_LINES_PER_SECOND)
        self._log = get_logger("quarantine")

    async def run(self) -> None:
        """Evaluate the ledger at intervals until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(EVALUATION_INTERVAL)
                self.evaluate(steady_clock())

    def record_lost_request(
        self, backend: Backend, content: request_content.RequestContent
    ) -> None:
        """Record that a back end dropped the connection while processing a request; probe it."""
        now = steady_clock()
        self._ledger.record_lost_request(backend.backend_id, content.fingerprints, now)
        is_due = now - self._probed_at.get(backend.backend_id, NEVER) >= MIN_PROBE_INTERVAL
        if is_due and self._tasks is not None:
            self._probed_at[backend.backend_id] = now
            self._tasks.start_soon(self._probe_port, backend)

    def check_exit(self, backend: Backend) -> None:
        """Find out whether a back end that this node does not reach has exited."""
        if self._tasks is not None:
            self._tasks.start_soon(self._check_exit, backend)

    async def _check_exit(self, backend: Backend) -> None:
        try:
            await self._paths.check_port(backend, steady_clock() + PROBE_TIMEOUT)
        except AttemptFailed as error:
            if error.by_other_end:
                self.record_refused_connection(backend)

    def record_refused_connection(self, backend: Backend) -> None:
        """Record that no process listens at a back end's address.

        Only this node ejects the back end; other nodes find out by themselves. A node that is cut
        off may be refused by all back ends, and must not eject them at all other nodes.
        """
        now = steady_clock()
        self._ledger.record_process_exit(backend.backend_id, now)
        state = self._state.directory.find(backend.backend_id)
        if state is not None:
            state.record_process_exit(now)

    def evaluate(self, now: Seconds) -> None:
        """Evaluate the ledger, and count and log the resulting events."""
        self._ledger.handle_tick(now)
        events, self._ledger.events = self._ledger.events, []
        for event in events:
            self._record_event(event, now)
        self._telemetry.quarantined.set(self._ledger.count)
        for backend_id in [
            key for key, at in self._probed_at.items() if at < now - MIN_PROBE_INTERVAL
        ]:
            del self._probed_at[backend_id]

    async def _probe_port(self, backend: Backend) -> None:
        for delay in PROBE_DELAYS:
            await anyio.sleep(delay)
            try:
                until = steady_clock() + PROBE_TIMEOUT
                await self._paths.check_port(backend, until)
            except AttemptFailed as error:
                self._log.info("port_looked_at", backend=backend.backend_id, problem=error.problem)
                if error.by_other_end:
                    self.record_refused_connection(backend)
                return
        self._ledger.record_alive(backend.backend_id)

    def _record_event(self, event: quarantine_updates.Event, now: Seconds) -> None:
        """Count an event, and log it unless the limit of log lines is reached."""
        match event:
            case quarantine_updates.BackendCrashed():
                self._telemetry.backend_crashes.inc()
            case quarantine_updates.QuarantineBegan():
                self._telemetry.quarantines.labels("began").inc()
            case quarantine_updates.QuarantineEnded():
                self._telemetry.quarantines.labels("ended").inc()
        if self._line_limit.allows():
            self._write_line(event, now)

    def _write_line(self, event: quarantine_updates.Event, now: Seconds) -> None:
        match event:
            case quarantine_updates.BackendCrashed():
                self._log.info("back_end_crashed", backend=event.backend_id, lost=event.lost)
            case quarantine_updates.QuarantineBegan():
                self._log.warning(
                    "quarantine_began",
                    fingerprint=request_content.format_fingerprint(event.quarantine.request),
                    level=event.quarantine.level,
                    ends_in=round(event.quarantine.ends - now, 1),
                    told=event.from_peer,
                )
            case quarantine_updates.QuarantineEnded():
                self._log.info(
                    "quarantine_ended",
                    fingerprint=request_content.format_fingerprint(event.request),
                )
