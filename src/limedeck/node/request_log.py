"""Log lines about requests, bounded, and the counters and histograms behind them."""

from __future__ import annotations

import math
import traceback

import xxhash

from limedeck.clock import steady_clock
from limedeck.forwarding import request_content
from limedeck.forwarding.availability import Unavailable
from limedeck.forwarding.commands import LoadEstimate, Refuse
from limedeck.forwarding.permits import RateBound
from limedeck.forwarding.request import RequestCore
from limedeck.identity import Seconds
from limedeck.model import Backend
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.settings import LogSection
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import SURELY_NOT_RUN, FailurePhase

LONGEST_TARGET = 200
"""Characters of a path and query that a line holds."""


class RequestLog:
    """One line for each decision that ends or repeats a request."""

    def __init__(self, settings: LogSection, telemetry: Telemetry) -> None:
        self.set_bounds(settings)
        self._telemetry = telemetry
        self._log = get_logger("requests")

    def set_bounds(self, settings: LogSection) -> None:
        """Log this much from now on."""
        self._sample = max(settings.sample, 1)
        self._failures = RateLimit(settings.failures_per_second)

    def answered(self, request_id: bytes, core: RequestCore, status: int, since: Seconds) -> None:
        """A back end's answer is passed on."""
        took = steady_clock() - since
        self._count(core, "answered", took)
        if xxhash.xxh32_intdigest(request_id) % self._sample == 0:
            self._line("answered", request_id, core, took, status=status)

    def refused(self, request_id: bytes, core: RequestCore, why: Refuse, since: Seconds) -> None:
        """A request is given up."""
        took = steady_clock() - since
        self._count(core, f"{why.outcome.value}:{why.reason.value}", took)
        if self._failures.allows():
            self._line(
                "given_up",
                request_id,
                core,
                took,
                outcome=why.outcome.value,
                reason=why.reason.value,
                retry_after=round(why.retry_after, 3),
                returned=core.claim.is_client_retry,
                **_told(why.details),
            )

    def caller_left(self, request_id: bytes, core: RequestCore, since: Seconds) -> None:
        """The caller closed its connection before the answer."""
        self._count(core, "caller-left", steady_clock() - since)

    def attempt_lost(
        self,
        request_id: bytes,
        asked: request_content.RequestContent,
        backend: Backend,
        phase: FailurePhase,
        problem: str,
    ) -> None:
        """An attempt had no answer.

        If it may have run, the line tells by which content the same request is known again: its
        next attempts have other ids.
        """
        told: dict[str, object] = {}
        if phase not in SURELY_NOT_RUN:
            told = {
                "fingerprint": request_content.format_fingerprint(asked.fingerprints.caller),
                "content": request_content.format_fingerprint(asked.fingerprints.content),
                "target_sign": request_content.format_fingerprint(asked.fingerprints.target),
                "caller": asked.caller,
                "target": asked.target.decode("latin-1")[:LONGEST_TARGET],
            }
        self.attempt_failed(request_id, backend, phase, problem, **told)

    def attempt_failed(
        self,
        request_id: bytes,
        backend: Backend,
        phase: FailurePhase,
        problem: str,
        **told: object,
    ) -> None:
        """An attempt had no answer that can be passed on."""
        self._telemetry.attempts.labels(backend.service, phase.value).inc()
        if self._failures.allows():
            self._log.info(
                "attempt_failed",
                request=request_id.decode("latin-1"),
                backend=backend.backend_id,
                phase=phase.value,
                problem=problem,
                **told,
            )

    def unreadable_load(self, backend: Backend) -> None:
        """A back end tells a load that cannot be read; it is taken for one that tells none."""
        self._telemetry.strange_words.labels("load").inc()
        if self._failures.allows():
            self._log.info("load_not_read", backend=backend.backend_id)

    def unreadable_limit(self, backend: Backend) -> None:
        """A back end names a limit that cannot be read; what was believed stays."""
        self._telemetry.strange_words.labels("limit").inc()
        if self._failures.allows():
            self._log.info("limit_not_read", backend=backend.backend_id)

    def unreadable_retry_after(self, backend: Backend) -> None:
        """A back end requests a back-off that cannot be read; the known one stays in effect."""
        self._telemetry.strange_words.labels("rest").inc()
        if self._failures.allows():
            self._log.info("rest_not_read", backend=backend.backend_id)

    def unroutable(self, host: str, path: str, version: int, request_id: bytes | None) -> None:
        """No route, or no id."""
        if self._failures.allows():
            self._log.info(
                "unroutable",
                request=(request_id or b"").decode("latin-1"),
                host=host,
                path=path,
                configuration=version,
            )

    def broken(self, request_id: bytes, error: Exception) -> None:
        """A fault of this program; the server answers 500 or drops the connection."""
        self._log.error(
            "request_broken",
            request=request_id.decode("latin-1"),
            problem="".join(traceback.format_exception(error)),
        )

    def _count(self, core: RequestCore, outcome: str, took: Seconds) -> None:
        self._telemetry.requests.labels(core.service.name, outcome).inc()
        self._telemetry.request_seconds.labels(core.service.name).observe(took)

    def _line(
        self, event: str, request_id: bytes, core: RequestCore, took: Seconds, **fields: object
    ) -> None:
        self._log.info(
            event,
            request=request_id.decode("latin-1"),
            service=core.service.name,
            route=core.route.name,
            key=core.position,
            owners=core.service.owners.version,
            attempts=core.attempts,
            took=round(took, 4),
            **fields,
        )


def _told(details: LoadEstimate | RateBound | Unavailable | None) -> dict[str, object]:
    """What is logged of the belief that decided a refusal."""
    match details:
        case None:
            return {}
        case RateBound(backend_id, rate):
            return {"backend": backend_id, "bound": rate}
        case Unavailable(backend_id, cause, remaining):
            left = None if remaining is None else round(remaining, 3)
            return {"backend": backend_id, "unavailable": cause.value, "left": left}
    return {
        "backend": details.backend_id,
        "expected": None if details.expected is None else round(details.expected, 4),
        "load": round(details.load, 1),
        "load_age": round(details.load_age, 3) if math.isfinite(details.load_age) else None,
    }
