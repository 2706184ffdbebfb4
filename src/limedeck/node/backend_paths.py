"""Sends attempts to back ends: directly, or through a node that reaches them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limedeck.clock import steady_clock
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.protocol import CallerProtocol, Headers
from limedeck.http_client import (
    FOREIGN_RESPONSE,
    UNACKNOWLEDGED,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from limedeck.identity import NEVER, Seconds
from limedeck.model import Backend
from limedeck.node.intermediary_client import (
    NO_INTERMEDIARY,
    ForwardedRequest,
    IntermediaryClient,
    always,
)
from limedeck.node.intermediary_messages import ForwardedAttempt
from limedeck.node.link_trials import LinkTrials
from limedeck.node.reachability_monitor import PROBE_TIMEOUT, ReachabilityMonitor
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import SURELY_NOT_RUN, AttemptFailed, FailurePhase
from limedeck.routing.run_evidence import RunLedger

RECENT_CONTACT: Seconds = 0.1
"""A reset is not taken for a sign of a broken link if another back end has responded since then."""


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
    ledger
        Records a link trial that fails: the same attempt is then made on another path, and its
        result does not tell what became of the trial.
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
    ledger: RunLedger = field(default_factory=RunLedger)


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
        self._link_trials = LinkTrials(directory.reachability, monitor.direct)
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
        if self._reachability.is_doubted:
            response = await self._try_own_links(request, until)
            if response is not None:
                return response
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

    async def _try_own_links(self, request: BackendRequest, until: Seconds) -> HttpResponse | None:
        """Use a repeatable request to find out whether links work again; None if it fails."""
        end = self._link_trials.begin(request.backend.backend_id, request.repeatable, until)
        if end is None:
            return None
        try:
            return await self._exchange_directly(request, end, until)
        except AttemptFailed as error:
            request.ledger.begin_attempt(request.backend.backend_id).phase = error.phase
            return None

    def _is_direct(self, backend_id: str) -> bool:
        """Whether an attempt is made on a connection of this node first."""
        if self._reachability.is_doubted:
            return not self._intermediaries.has_any(steady_clock())
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

    async def _exchange_directly(
        self, request: BackendRequest, until: Seconds, attempts_until: Seconds = NEVER
    ) -> HttpResponse:
        backend_id = request.backend.backend_id
        with self._monitor.direct.waiting(backend_id, request.repeatable):
            try:
                encoded = self._encode(request, until, attempts_until)
                response = await self._client.exchange(encoded, until)
            except AttemptFailed as error:
                if error.problem == FOREIGN_RESPONSE:
                    self._telemetry.unmatched_responses.inc()
                if self.may_be_broken_link(error):
                    self._record_broken_link(backend_id, error)
                raise self._classify(backend_id, error) from error
        self._monitor.record_response(backend_id)
        return response

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
            response = await self._through_others.exchange(forwarded, until)
        except AttemptFailed as error:
            result = error.phase.value
            raise
        finally:
            self._telemetry.forwarded_attempts.labels("through-others", result).inc()
        self._monitor.record_served_by_other()
        return response

    def _encode(
        self, request: BackendRequest, until: Seconds, attempts_until: Seconds
    ) -> HttpRequest:
        backend = request.backend
        added = self._protocol.attempt_headers(backend.name, until - steady_clock())
        return HttpRequest(
            backend.address,
            request.method,
            request.target,
            request.headers + added,
            request.body,
            request.request_id,
            attempts_until,
            request.watched,
            is_answered_by=lambda response: self._protocol.names_request(
                request.request_id, response.headers
            ),
        )

    def may_be_broken_link(self, error: AttemptFailed) -> bool:
        """Whether a failure could be due to this node's link rather than to the back end."""
        if error.phase is FailurePhase.NOT_CONNECTED or error.problem == UNACKNOWLEDGED:
            return True
        is_reset = error.by_other_end and error.phase not in SURELY_NOT_RUN
        if not is_reset and error.phase is not FailurePhase.TURNED_AWAY:
            return False
        return not self._reachability.has_responded_since(steady_clock() - RECENT_CONTACT)

    def _classify(self, backend_id: str, error: AttemptFailed) -> AttemptFailed:
        """Return a failure as that of the link, if this node is known not to reach the back end."""
        if not self._reachability.has_broken_link(backend_id):
            return error
        if error.phase is FailurePhase.TURNED_AWAY:
            return AttemptFailed(FailurePhase.NOT_CONNECTED, error.problem)
        if error.is_reset_without_response:
            return AttemptFailed(FailurePhase.LINK_LOST, error.problem)
        return error

    def _record_broken_link(self, backend_id: str, error: AttemptFailed) -> None:
        if error.is_reset_without_response:
            self._monitor.record_failed_exchange(backend_id)
        else:
            self._monitor.suspect(backend_id)

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

    def _handle_unreached(self, backend_id: str | None) -> None:
        """Abort repeatable attempts that hang: they would wait for their deadlines.

        Parameters
        ----------
        backend_id
            The back end that is not reached; None if none is. Failures recorded before are then
            forgotten.
        """
        direct = self._monitor.direct
        if backend_id is None:
            for state in self._directory.all_states():
                state.clear_failures()
            if self._reachability.is_doubted:
                # Connections are accepted: what does not hang may be answered yet.
                direct.abort_overdue()
            elif self._reachability.is_silent(direct.oldest(), steady_clock()):
                direct.abort(None)
            return
        unreached = self._directory.find(backend_id)
        if unreached is not None:
            self.on_backend_unreached(unreached.backend)
        direct.abort(backend_id)

    def _handle_reached(self, backend_id: str) -> None:
        """Let a back end that exited be cold for a while from its return on."""
        state = self._directory.find(backend_id)
        if state is not None:
            state.restart_exit_cooldown(steady_clock())
