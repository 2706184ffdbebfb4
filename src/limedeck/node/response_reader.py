"""Classifies the responses of back ends and records the statements that they carry.

Statements are recorded if the response comes from the back end, whether or not the request
succeeded.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedeck import errors, retry_after
from limedeck.clock import steady_clock
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.commands import Attempt
from limedeck.forwarding.leaving import LeavingStatement
from limedeck.forwarding.limits import LimitStatement
from limedeck.forwarding.protocol import CallerProtocol, LoadReport, ResponseMetadata
from limedeck.http_client import FOREIGN_RESPONSE, HttpResponse
from limedeck.identity import Seconds
from limedeck.node.request_log import RequestLog
from limedeck.routing.outcomes import FailurePhase

DEADLINE_PASSED = 504
"""The request exceeded its deadline: the back end is slow or overloaded, but has not failed."""
SERVER_ERROR = 500
"""The lowest status that reports a failure of the back end."""


@dataclass(frozen=True, slots=True)
class ResponseResult:
    """The result of one attempt, according to its response.

    Parameters
    ----------
    phase
        How the attempt failed; None if the response may be forwarded to the caller.
    received_at
        When the response arrived.
    load
        The back end's load, if reported.
    wrong_owner
        The back end does not own the key, or another back end responded.
    """

    phase: FailurePhase | None
    received_at: Seconds
    load: LoadReport | None = None
    wrong_owner: bool = False


class ResponseReader:
    """Processes the responses to one node's attempts."""

    def __init__(
        self, directory: BackendDirectory, protocol: CallerProtocol, log: RequestLog
    ) -> None:
        self._directory = directory
        self._protocol = protocol
        self._log = log

    def read(
        self, request_id: bytes, attempt: Attempt, response: HttpResponse, requested_at: Seconds
    ) -> ResponseResult:
        """Classify a response that arrived now, and record its statements."""
        metadata = self._protocol.response_metadata(response.status, response.headers)
        now = steady_clock()
        backend = attempt.state.backend
        is_own = metadata.request_id == request_id
        if not is_own or not metadata.is_from_backend:
            attempt.state.record_failure(now)
            problem = FOREIGN_RESPONSE if not is_own else "unsigned response"
            self._log.record_failed_attempt(request_id, backend, FailurePhase.AWAITING, problem)
            return ResponseResult(FailurePhase.AWAITING, now)
        self._record_statements(attempt, metadata, response, requested_at, now)
        if metadata.not_run:
            phase = FailurePhase.REFUSED
            self._log.record_rejected_attempt(
                request_id, backend, phase, response.status, response.carrier
            )
            return ResponseResult(phase, now, metadata.load, metadata.wrong_instance)
        error_phase = self._error_phase(response.status)
        if error_phase is not None:
            if response.status >= SERVER_ERROR and response.status != DEADLINE_PASSED:
                attempt.state.record_failure(now)
            self._log.record_rejected_attempt(
                request_id, backend, error_phase, response.status, response.carrier
            )
        return ResponseResult(error_phase, now, metadata.load, metadata.wrong_instance)

    def _error_phase(self, status: int) -> FailurePhase | None:
        """Return how an attempt failed whose response does not state that the request did not run.

        None if the response may be forwarded to the caller.
        """
        if status in self._protocol.not_run_statuses:
            return FailurePhase.UNPROVEN_STATUS
        return FailurePhase.ERROR_RESPONSE if status >= SERVER_ERROR else None

    def read_statements(
        self, request_id: bytes, attempt: Attempt, response: HttpResponse, requested_at: Seconds
    ) -> None:
        """Record only the statements of a response, which another node classifies."""
        metadata = self._protocol.response_metadata(response.status, response.headers)
        if metadata.request_id == request_id and metadata.is_from_backend:
            self._record_statements(attempt, metadata, response, requested_at, steady_clock())

    def _record_statements(
        self,
        attempt: Attempt,
        metadata: ResponseMetadata,
        response: HttpResponse,
        requested_at: Seconds,
        now: Seconds,
    ) -> None:
        if metadata.load is not None:
            refuted = attempt.state.record_load(metadata.load, now)
            if refuted is not None:
                self._log.record_refuted_load(attempt.state.backend, refuted)
        elif metadata.unreadable_load:
            self._log.record_unreadable_load(attempt.state.backend)
        if metadata.wrong_instance:
            # The address may have been reassigned to another back end.
            return
        is_served = not metadata.not_run and response.status < SERVER_ERROR
        self._record_limit(
            attempt, metadata, is_served, LimitStatement(metadata.limit, requested_at, now)
        )
        self._record_leaving(attempt, metadata, requested_at, now)
        self._record_backoff(attempt, response, now)
        if is_served and response.status not in retry_after.BACKOFF_STATUSES:
            self._directory.backoffs.record_served(attempt.state.backend.backend_id, requested_at)

    def _record_limit(
        self,
        attempt: Attempt,
        metadata: ResponseMetadata,
        is_served: bool,
        statement: LimitStatement,
    ) -> None:
        """Record the limit that a response states, or that it states none.

        Only the response to a served request lifts a limit: a back end may reject a request, or
        fail, before it adds the limit to the response.
        """
        backend = attempt.state.backend
        if metadata.unreadable_limit:
            self._log.record_unreadable_limit(backend)
        elif statement.rate is not None or is_served:
            self._directory.limits.record(backend.backend_id, statement)

    def _record_leaving(
        self, attempt: Attempt, metadata: ResponseMetadata, requested_at: Seconds, now: Seconds
    ) -> None:
        if metadata.leaving:
            statement = LeavingStatement(True, requested_at, now)
            self._directory.leaving.record(attempt.state.backend.backend_id, statement)

    def _record_backoff(self, attempt: Attempt, response: HttpResponse, now: Seconds) -> None:
        backend = attempt.state.backend
        try:
            seconds = retry_after.requested_backoff(response.status, response.headers)
        except errors.UnreadableRetryAfter:
            self._log.record_unreadable_retry_after(backend)
            return
        if seconds is not None:
            self._directory.backoffs.record(backend.backend_id, seconds, now)
