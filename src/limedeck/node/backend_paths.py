"""Sends attempts to back ends: directly, or through a node that reaches them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from limedeck.clock import steady_clock
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.protocol import CallerProtocol, Headers
from limedeck.forwarding.reachability import SILENCE
from limedeck.http_client import UNACKNOWLEDGED, HttpClient, HttpRequest, HttpResponse
from limedeck.identity import Seconds
from limedeck.model import Backend
from limedeck.node.intermediary_client import (
    NO_INTERMEDIARY,
    ForwardedRequest,
    IntermediaryClient,
    always,
)
from limedeck.node.intermediary_messages import ForwardedAttempt
from limedeck.node.reachability_monitor import PROBE_TIMEOUT, ReachabilityMonitor
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import SURELY_NOT_RUN, AttemptFailed, FailurePhase

RECENT_CONTACT: Seconds = 0.1
"""A reset is not taken for a sign of a broken link if another back end has responded since then."""
OVERDUE_FACTOR = 4.0
"""Multiple of a back end's mean service time after which it is probed."""
ABORTED = "aborted: this node does not reach the back end"
"""Problem of an attempt that was aborted to be made through another node."""


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """One attempt of a request, without the headers that depend on when it is sent.

    Parameters
    ----------
    repeatable
        Whether the attempt may be aborted, to be made again through another node.
    watched
        See `HttpRequest`.
    is_wanted
        Whether the caller still waits for the response; otherwise nothing more is begun.
    """

    backend: Backend
    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    repeatable: bool
    watched: bool
    is_wanted: Callable[[], bool] = always


@dataclass(slots=True, eq=False)
class _DirectExchange:
    """An attempt on a connection of this node that has no response yet."""

    backend_id: str
    started_at: Seconds
    repeatable: bool
    scope: anyio.CancelScope


class BackendPaths:
    """The ways on which this node reaches back ends.

    Attributes
    ----------
    on_backend_unreached
        Called when probes have shown that this node does not reach a back end, while it reaches
        others.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        protocol: CallerProtocol,
        client: HttpClient,
        monitor: ReachabilityMonitor,
        through_others: IntermediaryClient,
        telemetry: Telemetry,
    ) -> None:
        self._directory = directory
        self._reachability = directory.reachability
        self._intermediaries = directory.intermediaries
        self._protocol = protocol
        self._client = client
        self._monitor = monitor
        self._through_others = through_others
        self._telemetry = telemetry
        self.on_backend_unreached: Callable[[Backend], None] = lambda backend: None
        self._waiting: set[_DirectExchange] = set()
        monitor.oldest_request = self._oldest_request
        monitor.overdue_backends = self._overdue_backends
        monitor.on_unreached = self._handle_unreached
        monitor.on_reached = self._handle_reached

    async def exchange(self, request: BackendRequest, until: Seconds) -> HttpResponse:
        """Send a request to its back end, and wait for the complete response.

        If no connection to the back end can be established, nothing has been sent, and the same
        attempt is made through another node.

        Raises
        ------
        AttemptFailed
            There is no complete response by `until` (on this node's clock).
        """
        backend_id = request.backend.backend_id
        direct: AttemptFailed | None = None
        if self._is_direct(backend_id):
            try:
                return await self._exchange_directly(request, until)
            except AttemptFailed as error:
                if error.phase is not FailurePhase.NOT_CONNECTED:
                    raise
                direct = error
        is_failed = self._intermediaries.is_backend_failed(backend_id, steady_clock())
        if is_failed or not request.is_wanted():
            raise direct or AttemptFailed(FailurePhase.NOT_CONNECTED, NO_INTERMEDIARY)
        try:
            return await self._exchange_through_others(request, until)
        except AttemptFailed as error:
            if direct is not None and error.problem == NO_INTERMEDIARY:
                raise await self._confirm_refusal(direct) from error
            raise

    def _is_direct(self, backend_id: str) -> bool:
        """Whether an attempt is made on a connection of this node first."""
        if not self._reachability.is_unreached(backend_id):
            return True
        now = steady_clock()
        if self._reachability.is_partitioned:
            # Open connections may still work.
            return not self._intermediaries.has_any(now)
        # The back end may have come back.
        return self._intermediaries.is_backend_failed(backend_id, now)

    async def check_port(self, backend: Backend, until: Seconds) -> None:
        """Check that a back end accepts connections, of this node or of another one.

        Raises
        ------
        AttemptFailed
            It accepts none; `by_other_end` tells whether this is due to the back end.
        """
        direct: AttemptFailed | None = None
        if not self._reachability.is_partitioned:
            try:
                await self._client.try_connect(backend.address, until)
                return
            except AttemptFailed as error:
                self._monitor.suspect(backend.backend_id)
                direct = error
        try:
            await self._through_others.probe(backend.backend_id, until + PROBE_TIMEOUT)
        except AttemptFailed as error:
            if direct is not None and error.problem == NO_INTERMEDIARY:
                raise await self._confirm_refusal(direct) from error
            raise

    async def _confirm_refusal(self, error: AttemptFailed) -> AttemptFailed:
        """Return a failed connection that counts as refused only if this node reaches others."""
        if error.by_other_end:
            await self._monitor.wait_for_round(PROBE_TIMEOUT)
        if self._reachability.is_partitioned:
            return AttemptFailed(error.phase, error.problem)
        return error

    async def _exchange_directly(self, request: BackendRequest, until: Seconds) -> HttpResponse:
        with anyio.CancelScope() as scope:
            backend_id = request.backend.backend_id
            waiting = _DirectExchange(backend_id, steady_clock(), request.repeatable, scope)
            self._waiting.add(waiting)
            try:
                response = await self._client.exchange(self._encode(request, until), until)
            except AttemptFailed as error:
                if self.may_be_broken_link(error):
                    self._monitor.suspect(backend_id)
                raise
            finally:
                self._waiting.discard(waiting)
            self._reachability.record_response(backend_id, steady_clock())
            return response
        raise AttemptFailed(FailurePhase.AWAITING, ABORTED)

    async def _exchange_through_others(
        self, request: BackendRequest, until: Seconds
    ) -> HttpResponse:
        time_left = until - steady_clock()
        attempt = ForwardedAttempt(
            request.backend.backend_id,
            time_left,
            repeatable=request.repeatable,
            watched=request.watched,
        )
        forwarded = ForwardedRequest(
            attempt,
            request.request_id,
            request.method,
            request.target,
            request.headers + self._protocol.attempt_headers(request.backend.name, time_left),
            request.body,
            request.is_wanted,
        )
        result = "answered"
        try:
            return await self._through_others.exchange(forwarded, until)
        except AttemptFailed as error:
            result = error.phase.value
            raise
        finally:
            self._telemetry.forwarded_attempts.labels("through-others", result).inc()

    def _encode(self, request: BackendRequest, until: Seconds) -> HttpRequest:
        backend = request.backend
        added = self._protocol.attempt_headers(backend.name, until - steady_clock())
        return HttpRequest(
            backend.address,
            request.method,
            request.target,
            request.headers + added,
            request.body,
            request.watched,
        )

    def may_be_broken_link(self, error: AttemptFailed) -> bool:
        """Whether a failure could be due to this node's link rather than to the back end."""
        if error.phase is FailurePhase.NOT_CONNECTED or error.problem == UNACKNOWLEDGED:
            return True
        is_reset = error.by_other_end and error.phase not in SURELY_NOT_RUN
        return is_reset and not self._reachability.had_contact_since(
            steady_clock() - RECENT_CONTACT
        )

    def record_failure(
        self, state: BackendState, error: AttemptFailed, own_fault: bool, now: Seconds
    ) -> None:
        """Record a failed attempt at a back end, unless this node's links are at fault.

        Parameters
        ----------
        own_fault
            Whether the back end is not known to be overloaded.
        """
        if self._reachability.is_partitioned:
            return
        if not self.may_be_broken_link(error):
            state.record_failure(now, own_fault)
            return
        state.record_failure(now, own_fault=False)
        if own_fault:
            self._monitor.defer_fault(state)

    def _oldest_request(self) -> Seconds | None:
        return min((self._waits_since(item) for item in self._waiting), default=None)

    def _waits_since(self, item: _DirectExchange) -> Seconds:
        """Return from when on an attempt counts as unanswered: later if it usually takes long."""
        state = self._directory.find(item.backend_id)
        usual = state.service_time if state is not None else None
        return item.started_at + max(OVERDUE_FACTOR * (usual or 0.0) - SILENCE, 0.0)

    def _overdue_backends(self, now: Seconds) -> list[str]:
        """Return back ends with requests that wait for much longer than they usually take."""
        late = {
            item.backend_id for item in self._waiting if now - self._waits_since(item) >= SILENCE
        }
        return sorted(late)

    def _handle_unreached(self, backend_id: str | None) -> None:
        """Abort repeatable attempts that hang: they would wait for their deadlines.

        Parameters
        ----------
        backend_id
            The back end that is not reached; None if none is. Failures recorded before are then
            forgotten.
        """
        if backend_id is None:
            for state in self._directory.all_states():
                state.clear_failures()
            if not self._reachability.is_silent(self._oldest_request(), steady_clock()):
                return
        else:
            unreached = self._directory.find(backend_id)
            if unreached is not None:
                self.on_backend_unreached(unreached.backend)
        for item in self._waiting:
            if item.repeatable and backend_id in (None, item.backend_id):
                item.scope.cancel()

    def _handle_reached(self, backend_id: str) -> None:
        """Let a back end that exited be cold for a while from its return on."""
        state = self._directory.find(backend_id)
        if state is not None:
            state.restart_exit_cooldown(steady_clock())
