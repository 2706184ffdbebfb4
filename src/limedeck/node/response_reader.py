"""Classifies the answers of back ends and records the statements that they carry.

The statements of credible answers are recorded whether or not the request succeeded.
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
from limedeck.http_client import HttpResponse
from limedeck.identity import Seconds
from limedeck.node.request_log import RequestLog
from limedeck.routing.outcomes import FailurePhase

DEADLINE_PASSED = 504
"""The request exceeded its deadline: the back end is slow or overloaded, but has not failed."""
SERVER_ERROR = 500
"""The lowest status that reports a failure of the back end."""


@dataclass(frozen=True, slots=True)
class ResponseResult:
    """The result of one attempt, according to its answer.

    Parameters
    ----------
    phase
        How the attempt failed; None if the answer may be passed on to the caller.
    received_at
        When the answer arrived.
    load
        The back end's load, if reported.
    wrong_owner
        The back end does not own the key, or another back end answered.
    """

    phase: FailurePhase | None
    received_at: Seconds
    load: LoadReport | None = None
    wrong_owner: bool = False


class ResponseReader:
    """Processes the answers to one node's attempts."""

    def __init__(
        self, directory: BackendDirectory, protocol: CallerProtocol, log: RequestLog
    ) -> None:
        self._directory = directory
        self._protocol = protocol
        self._log = log

    def read(
        self, request_id: bytes, attempt: Attempt, answer: HttpResponse, requested_at: Seconds
    ) -> ResponseResult:
        """Classify an answer that arrived now, and record its statements."""
        facts = self._protocol.response_metadata(answer.status, answer.headers)
        now = steady_clock()
        backend = attempt.state.backend
        is_own = facts.request_id == request_id or (facts.request_id is None and facts.not_run)
        if not is_own or not facts.is_from_backend:
            attempt.state.record_failure(now)
            problem = "answer to another request" if not is_own else "unsigned answer"
            self._log.attempt_failed(request_id, backend, FailurePhase.AWAITING, problem)
            return ResponseResult(FailurePhase.AWAITING, now)
        self._take_statements(attempt, facts, answer, requested_at, now)
        if facts.not_run:
            problem = f"status {answer.status}"
            self._log.attempt_failed(request_id, backend, FailurePhase.REFUSED, problem)
            return ResponseResult(FailurePhase.REFUSED, now, facts.load, facts.wrong_instance)
        if answer.status >= SERVER_ERROR:
            if answer.status != DEADLINE_PASSED:
                attempt.state.record_failure(now)
            problem = f"status {answer.status}"
            self._log.attempt_failed(request_id, backend, FailurePhase.ERROR_ANSWER, problem)
            return ResponseResult(FailurePhase.ERROR_ANSWER, now, facts.load)
        return ResponseResult(None, now, facts.load)

    def _take_statements(
        self,
        attempt: Attempt,
        facts: ResponseMetadata,
        answer: HttpResponse,
        requested_at: Seconds,
        now: Seconds,
    ) -> None:
        if facts.load is not None:
            attempt.state.record_load(facts.load, now)
        elif facts.unreadable_load:
            self._log.unreadable_load(attempt.state.backend)
        if facts.wrong_instance:
            # The address may have been reassigned to another back end.
            return
        is_served = not facts.not_run and answer.status < SERVER_ERROR
        self._take_limit(attempt, facts, is_served, LimitStatement(facts.limit, requested_at, now))
        self._take_leaving(attempt, facts, requested_at, now)
        self._take_backoff(attempt, answer, now)
        if is_served and answer.status not in retry_after.BACKOFF_STATUSES:
            self._directory.backoffs.record_served(attempt.state.backend.backend_id, requested_at)

    def _take_limit(
        self, attempt: Attempt, facts: ResponseMetadata, is_served: bool, statement: LimitStatement
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        Only the answer to a served request lifts a limit: a back end may reject a request, or fail,
        before it adds the limit to the answer.
        """
        backend = attempt.state.backend
        if facts.unreadable_limit:
            self._log.unreadable_limit(backend)
        elif statement.rate is not None or is_served:
            self._directory.limits.record(backend.backend_id, statement)

    def _take_leaving(
        self, attempt: Attempt, facts: ResponseMetadata, requested_at: Seconds, now: Seconds
    ) -> None:
        if facts.leaving:
            statement = LeavingStatement(True, requested_at, now)
            self._directory.leaving.record(attempt.state.backend.backend_id, statement)

    def _take_backoff(self, attempt: Attempt, answer: HttpResponse, now: Seconds) -> None:
        backend = attempt.state.backend
        try:
            seconds = retry_after.requested_backoff(answer.status, answer.headers)
        except errors.UnreadableRetryAfter:
            self._log.unreadable_retry_after(backend)
            return
        if seconds is not None:
            self._directory.backoffs.record(backend.backend_id, seconds, now)
