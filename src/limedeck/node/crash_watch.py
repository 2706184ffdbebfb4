"""Finds out whether a back end that dropped a connection has ended, and judges what is known."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from limedeck.clock import steady_clock
from limedeck.forwarding import quarantine_updates, request_content
from limedeck.http_client import HttpClient
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import AttemptFailed

TICK: Seconds = 0.1
"""Between two looks at what is known; a fifth of the time that news take to all nodes."""
LOOKS: tuple[Seconds, ...] = (0.01, 0.09)
"""Pauses before each look at the port of a back end that dropped a connection. A process that ends
drops its connections and its port together, and is not back within a tenth of a second."""
LOOK_TIMEOUT: Seconds = 0.25
LINES_PER_SECOND = 20
"""A node that starts may be told of thousands of quarantines at once; counters tell of them all."""
LOOK_INTERVAL: Seconds = 1.0
"""A back end that drops connections because it is full is looked at so often at most."""


class CrashWatch:
    """Keeps this node's ledger of requests that end back ends.

    A connection that was dropped may have been reset by a back end that is full, or cut on its
    way. Only a closed port shows that the process has ended: without that look, each reset of a
    busy back end would speak against all that it was at work on.
    """

    def __init__(self, state: NodeState, client: HttpClient, telemetry: Telemetry) -> None:
        self._state = state
        self._ledger = state.quarantine
        self._client = client
        self._telemetry = telemetry
        self._looked_at: dict[str, Seconds] = {}
        self._tasks: TaskGroup | None = None
        self._lines = RateLimit(LINES_PER_SECOND)
        self._log = get_logger("quarantine")

    async def run(self) -> None:
        """Judge again and again until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(TICK)
                self.judge(steady_clock())

    def record_lost_request(self, backend: Backend, asked: request_content.RequestContent) -> None:
        """A back end dropped the connection while it was at work on a request."""
        now = steady_clock()
        self._ledger.record_lost_request(backend.backend_id, asked.fingerprints, now)
        is_due = now - self._looked_at.get(backend.backend_id, NEVER) >= LOOK_INTERVAL
        if is_due and self._tasks is not None:
            self._looked_at[backend.backend_id] = now
            self._tasks.start_soon(self._look, backend)

    def note_refused(self, backend: Backend) -> None:
        """Nobody listens at a back end's address.

        This node passes it over. Others find that out by themselves: a node that is cut off may be
        refused by all back ends, and must not take them from all other nodes.
        """
        now = steady_clock()
        self._ledger.record_process_exit(backend.backend_id, now)
        state = self._state.directory.find(backend.backend_id)
        if state is not None:
            state.record_process_exit(now)

    def judge(self, now: Seconds) -> None:
        """Look at what is known by now, and tell what came of it."""
        self._ledger.handle_tick(now)
        events, self._ledger.events = self._ledger.events, []
        for event in events:
            self._tell(event, now)
        self._telemetry.quarantined.set(self._ledger.count)
        for backend_id in [key for key, at in self._looked_at.items() if at < now - LOOK_INTERVAL]:
            del self._looked_at[backend_id]

    async def _look(self, backend: Backend) -> None:
        for pause in LOOKS:
            await anyio.sleep(pause)
            try:
                until = steady_clock() + LOOK_TIMEOUT
                await self._client.try_connect(backend.address, until)
            except AttemptFailed as error:
                self._log.info("port_looked_at", backend=backend.backend_id, problem=error.problem)
                if error.by_other_end:
                    self.note_refused(backend)
                return
        self._ledger.record_alive(backend.backend_id)

    def _tell(self, event: quarantine_updates.Event, now: Seconds) -> None:
        """Count an event, and log it unless there are too many."""
        match event:
            case quarantine_updates.BackendEnded():
                self._telemetry.backend_crashes.inc()
            case quarantine_updates.QuarantineBegan():
                self._telemetry.quarantines.labels("began").inc()
            case quarantine_updates.QuarantineEnded():
                self._telemetry.quarantines.labels("ended").inc()
        if self._lines.allows():
            self._write_line(event, now)

    def _write_line(self, event: quarantine_updates.Event, now: Seconds) -> None:
        match event:
            case quarantine_updates.BackendEnded():
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
