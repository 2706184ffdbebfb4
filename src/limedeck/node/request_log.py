"""Rate-limited log lines about requests, and the metrics that count all of them."""

from __future__ import annotations

import math
import traceback

import xxhash

from limedeck.clock import steady_clock
from limedeck.forwarding import request_content
from limedeck.forwarding.availability import Unavailable
from limedeck.forwarding.commands import LoadEstimate, RefusalReason, Refuse
from limedeck.forwarding.permits import RateBound
from limedeck.forwarding.request import RequestCore
from limedeck.forwarding.routes import choose_service
from limedeck.forwarding.stated_load import RefutedLoad
from limedeck.http_client import Carrier
from limedeck.identity import Seconds
from limedeck.model import Backend, Route
from limedeck.node.exchange_memory import MemoryExhausted
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.settings import LogSection
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import SURELY_NOT_RUN, FailurePhase, Outcome
from limedeck.routing.run_evidence import NEVER_SENT, NotRunProof, evidence_of

MAX_TARGET_LENGTH = 200
"""Characters of a path and query that are logged."""
NO_EVIDENCE_LABEL = "none"
"""Label of refusals of requests that may have run."""
FIRST_ERROR_STATUS = 400


class RequestLog:
    """Logs and counts each decision that ends or repeats a request."""

    def __init__(self, settings: LogSection, telemetry: Telemetry) -> None:
        self.apply_settings(settings)
        self._telemetry = telemetry
        self._log = get_logger("requests")

    def apply_settings(self, settings: LogSection) -> None:
        """Apply changed settings for sampling and for the rate of log lines."""
        self._sample = max(settings.sample, 1)
        self._failure_limit = RateLimit(settings.failures_per_second)

    def record_response(
        self, request_id: bytes, core: RequestCore, status: int, since: Seconds
    ) -> None:
        """Record that a back end's response is forwarded to the caller.

        Only a sample of the responses to successful requests is logged.
        """
        duration = steady_clock() - since
        self._count(core, "answered", duration)
        is_sampled = xxhash.xxh32_intdigest(request_id) % self._sample == 0
        if is_sampled or (status >= FIRST_ERROR_STATUS and self._failure_limit.allows()):
            self._line("answered", request_id, core, duration, status=status)

    def record_refusal(
        self, request_id: bytes, core: RequestCore, refusal: Refuse, status: int, since: Seconds
    ) -> None:
        """Record that a request is refused with a status."""
        duration = steady_clock() - since
        self._count(core, f"{refusal.outcome.value}:{refusal.reason.value}", duration)
        if self._failure_limit.allows():
            self._line(
                "given_up",
                request_id,
                core,
                duration,
                outcome=refusal.outcome.value,
                reason=refusal.reason.value,
                status=status,
                evidence=refusal.proof.summary if refusal.proof is not None else None,
                tried=[str(attempt) for attempt in refusal.attempts],
                retry_after=round(refusal.retry_after, 3),
                returned=core.claim.is_client_retry,
                **_detail_fields(refusal.details),
            )

    def count_refusal(self, proof: NotRunProof | None) -> None:
        """Count a refusal by what shows that the request did not run; None: it may have run."""
        evidence = NO_EVIDENCE_LABEL if proof is None else proof.summary
        self._telemetry.refusals.labels(evidence).inc()

    def record_memory_refusal(
        self,
        request_id: bytes,
        route: Route,
        problem: MemoryExhausted,
        retry_after: Seconds,
        since: Seconds,
    ) -> None:
        """Record that a request is refused, or given up while it is read, for lack of memory."""
        service = choose_service(route, request_id)
        reason = RefusalReason.MEMORY_EXHAUSTED.value
        outcome = Outcome.NOT_RUN.value
        duration = steady_clock() - since
        self._telemetry.requests.labels(service, f"{outcome}:{reason}").inc()
        self._telemetry.request_seconds.labels(service).observe(duration)
        if self._failure_limit.allows():
            self._log.info(
                "given_up",
                request=request_id.decode("latin-1"),
                service=service,
                route=route.name,
                took=round(duration, 4),
                outcome=outcome,
                reason=reason,
                evidence=NEVER_SENT.summary,
                retry_after=retry_after,
                problem=str(problem),
            )

    def record_caller_left(self, request_id: bytes, core: RequestCore, since: Seconds) -> None:
        """Record that the caller closed its connection before the response."""
        duration = steady_clock() - since
        self._count(core, "caller-left", duration)
        if not core.route.repeatable and self._failure_limit.allows():
            tried = [str(attempt) for attempt in core.claim.ledger.attempts]
            self._line("caller_left", request_id, core, duration, tried=tried)

    def record_lost_attempt(
        self,
        request_id: bytes,
        content: request_content.RequestContent,
        backend: Backend,
        phase: FailurePhase,
        problem: str,
    ) -> None:
        """Record an attempt that got no response.

        If the request may have run, the line has its fingerprints, by which the same request is
        recognised when the caller sends it again with another id.
        """
        fields: dict[str, object] = {}
        if phase not in SURELY_NOT_RUN:
            fields = {
                "fingerprint": request_content.format_fingerprint(content.fingerprints.caller),
                "content": request_content.format_fingerprint(content.fingerprints.content),
                "target_sign": request_content.format_fingerprint(content.fingerprints.target),
                "caller": content.caller,
                "target": content.target.decode("latin-1")[:MAX_TARGET_LENGTH],
            }
        self.record_failed_attempt(request_id, backend, phase, problem, **fields)

    def record_rejected_attempt(
        self,
        request_id: bytes,
        backend: Backend,
        phase: FailurePhase,
        status: int,
        carrier: Carrier | None,
    ) -> None:
        """Record an attempt whose response cannot be forwarded, and where that came from."""
        self.record_failed_attempt(
            request_id,
            backend,
            phase,
            f"status {status}",
            connection=carrier.number if carrier is not None else None,
            exchange=carrier.exchanges if carrier is not None else None,
        )

    def record_failed_attempt(
        self,
        request_id: bytes,
        backend: Backend,
        phase: FailurePhase,
        problem: str,
        **fields: object,
    ) -> None:
        """Record an attempt that got no response that can be forwarded."""
        self._telemetry.attempts.labels(backend.service, phase.value).inc()
        if self._failure_limit.allows():
            evidence = evidence_of(phase)
            self._log.info(
                "attempt_failed",
                request=request_id.decode("latin-1"),
                backend=backend.backend_id,
                phase=phase.value,
                problem=problem,
                evidence=evidence.value if evidence is not None else None,
                **fields,
            )

    def record_unreadable_load(self, backend: Backend) -> None:
        """Record that a back end reported an unreadable load; treated as not reported."""
        self._telemetry.unreadable_values.labels("load").inc()
        if self._failure_limit.allows():
            self._log.info("load_not_read", backend=backend.backend_id)

    def record_refuted_load(self, backend: Backend, refuted: RefutedLoad) -> None:
        """Record that a back end states a load that cannot be true; treated as not reported."""
        self._telemetry.unreadable_values.labels("load").inc()
        if self._failure_limit.allows():
            self._log.info(
                "load_not_believed",
                backend=backend.backend_id,
                fault=refuted.fault.value,
                stated=refuted.stated,
                known=round(refuted.known, 1),
            )

    def record_unreadable_limit(self, backend: Backend) -> None:
        """Record that a back end stated an unreadable limit; the known one is kept."""
        self._telemetry.unreadable_values.labels("limit").inc()
        if self._failure_limit.allows():
            self._log.info("limit_not_read", backend=backend.backend_id)

    def record_unreadable_retry_after(self, backend: Backend) -> None:
        """Record that a back end requested an unreadable back-off; the known one is kept."""
        self._telemetry.unreadable_values.labels("rest").inc()
        if self._failure_limit.allows():
            self._log.info("rest_not_read", backend=backend.backend_id)

    def record_unroutable(
        self, host: str, path: str, version: int, request_id: bytes | None
    ) -> None:
        """Record a request without a matching route or without an id."""
        if self._failure_limit.allows():
            self._log.info(
                "unroutable",
                request=(request_id or b"").decode("latin-1"),
                host=host,
                path=path,
                configuration=version,
            )

    def record_internal_error(self, request_id: bytes, error: Exception) -> None:
        """Record an internal error; the server responds with status 500 or drops the connection."""
        self._log.error(
            "request_broken",
            request=request_id.decode("latin-1"),
            problem="".join(traceback.format_exception(error)),
        )

    def _count(self, core: RequestCore, outcome: str, duration: Seconds) -> None:
        self._telemetry.requests.labels(core.service.name, outcome).inc()
        self._telemetry.request_seconds.labels(core.service.name).observe(duration)

    def _line(
        self, event: str, request_id: bytes, core: RequestCore, duration: Seconds, **fields: object
    ) -> None:
        self._log.info(
            event,
            request=request_id.decode("latin-1"),
            service=core.service.name,
            route=core.route.name,
            key=core.position,
            owners=core.service.owners.version,
            attempts=core.attempts,
            took=round(duration, 4),
            **fields,
        )


def _detail_fields(details: LoadEstimate | RateBound | Unavailable | None) -> dict[str, object]:
    """Return the log fields for the details of a refusal."""
    match details:
        case None:
            return {}
        case RateBound(backend_id, rate):
            return {"backend": backend_id, "bound": rate}
        case Unavailable(backend_id, cause, remaining):
            time_left = None if remaining is None else round(remaining, 3)
            return {"backend": backend_id, "unavailable": cause.value, "left": time_left}
    return {
        "backend": details.backend_id,
        "expected": None if details.expected is None else round(details.expected, 4),
        "load": round(details.load, 1),
        "load_age": round(details.load_age, 3) if math.isfinite(details.load_age) else None,
    }
