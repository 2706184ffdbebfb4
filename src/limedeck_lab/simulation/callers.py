"""Simulated callers, whose requests pass through the product's request cores and may be lost."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from limedeck.identity import Seconds
from limedeck.routing.outcomes import FailurePhase, Outcome
from limedeck.routing.request import Attempt, Refuse, RequestCommand, RequestCore, RetryBudget, Wait
from limedeck.routing.rules import RequestTarget, deadline_of, match_request
from limedeck_lab.load import draw_key
from limedeck_lab.simulation.backends import BackendResponse, SimulatedBackend
from limedeck_lab.simulation.kernel import Kernel
from limedeck_lab.simulation.network import Network
from limedeck_lab.simulation.nodes import SimulatedNode
from limedeck_lab.site import RequestKind, Site
from limedeck_lab.standins.backend import Refusal, Work

CONNECT_TIMEOUT: Seconds = 1.0
CALLER_TIMEOUT: Seconds = 15.0
CALLER_RETRY_DELAY: Seconds = 0.05
MAX_CALLER_ATTEMPTS = 40


@dataclass
class RequestRecord:
    """A request and the outcome that its caller received.

    Parameters
    ----------
    outcome
        None while it is in flight.
    """

    request_id: str
    kind: RequestKind
    sent_at: Seconds
    outcome: Outcome | None = None
    reason: str = ""


@dataclass
class RequestCounts:
    """Counts of all requests by outcome, and the latencies of those with a complete response."""

    sent: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    reasons: Counter[str] = field(default_factory=Counter)
    latencies: list[Seconds] = field(default_factory=list)


class SimulatedCallers:
    """Sends the site's requests at a mean rate to nodes in turn.

    Parameters
    ----------
    rate
        Requests per second, over all kinds.
    """

    def __init__(
        self,
        kernel: Kernel,
        network: Network,
        site: Site,
        nodes: Sequence[SimulatedNode],
        backends: dict[str, SimulatedBackend],
        rate: float,
        generator: random.Random,
    ) -> None:
        self.kernel = kernel
        self.network = network
        self.site = site
        self.nodes = nodes
        self.backends = backends
        self.rate = rate
        self.counts = RequestCounts()
        self.records: dict[str, RequestRecord] = {}
        self.stopped = False
        self._random = generator
        self._weights = [kind.weight for kind in site.requests]
        self._is_repeatable = {
            kind.name: kind.method in self._repeatable_methods(kind.service)
            for kind in site.requests
        }

    def _repeatable_methods(self, service: str) -> list[str]:
        return next(item.repeatable_methods for item in self.site.services if item.name == service)

    def is_unrepeatable(self, record: RequestRecord) -> bool:
        """Whether the request may run at most once."""
        return not self._is_repeatable[record.kind.name]

    def begin(self) -> None:
        """Start sending."""
        self._schedule()

    def _schedule(self) -> None:
        if self.stopped or self.rate <= 0:
            return
        self.kernel.after(self._random.expovariate(self.rate), self._send_next)

    def _send_next(self) -> None:
        if self.stopped:
            return
        self._schedule()
        kind = self._random.choices(self.site.requests, self._weights)[0]
        self.counts.sent += 1
        record = RequestRecord(f"request-{self.counts.sent}", kind, self.kernel.now)
        self.records[record.request_id] = record
        key = draw_key(kind, self._random)
        self._send_to_node(
            record, key, self._random.randrange(len(self.nodes)), MAX_CALLER_ATTEMPTS
        )

    def _send_to_node(
        self, record: RequestRecord, key: str, index: int, attempts_left: int
    ) -> None:
        """Send a request to a node, or after a delay to the next if this one is not reachable."""
        node = self.nodes[index % len(self.nodes)]
        if attempts_left == 0:
            self.finish(record, Outcome.NOT_RUN, "no node reachable")
            return
        if not node.accepts_requests():

            def retry() -> None:
                self._send_to_node(record, key, index + 1, attempts_left - 1)

            self.kernel.after(CALLER_RETRY_DELAY, retry)
            return
        run = node.run_number
        request = SimulatedRequest(self, record, key, node)

        def arrive() -> None:
            node.deliver_to_run(run, request.begin)

        self.kernel.after(self.site.caller_delay_ms / 1000, arrive)
        self.kernel.after(CALLER_TIMEOUT, request.time_out)

    def finish(self, record: RequestRecord, outcome: Outcome, reason: str) -> None:
        """Record the outcome that the caller receives; only the first one counts."""
        if record.outcome is not None:
            return
        record.outcome = outcome
        record.reason = reason
        counts = self.counts
        if outcome is Outcome.WHOLE:
            counts.whole += 1
            counts.latencies.append(self.kernel.now - record.sent_at)
            if not self.is_unrepeatable(record):
                del self.records[record.request_id]
            return
        counts.reasons[f"{outcome.value}: {reason}"] += 1
        if outcome is Outcome.NOT_RUN:
            counts.not_run += 1
        else:
            counts.unknown += 1


class SimulatedRequest:
    """A request on its way through one node."""

    def __init__(
        self, callers: SimulatedCallers, record: RequestRecord, key: str, node: SimulatedNode
    ) -> None:
        self._callers = callers
        self._record = record
        self._key = key
        self._node = node
        self._run = node.run_number
        self._target: RequestTarget
        self._core: RequestCore

    def time_out(self) -> None:
        """End the request with an unknown outcome, as the caller's timeout has passed."""
        self._callers.finish(self._record, Outcome.UNKNOWN, "caller timed out")

    def begin(self) -> None:
        """Route the request when the node receives it."""
        kind = self._record.kind
        node = self._node
        now = node.clock.read()
        path = f"/{kind.service}/{kind.path.format(key=self._key)}"
        if node.core.config.service(kind.service) is None:
            self._respond(Outcome.NOT_RUN, "unknown-service")
            return
        self._target = match_request(node.core.config, kind.method, path, "", {})
        budget = node.retry_budgets.setdefault(kind.service, RetryBudget())
        budget.record_request(now)
        deadline = deadline_of(self._target.service, None, now)
        self._core = RequestCore(
            self._record.request_id, self._target, deadline, node.router, budget, now
        )
        self._execute(self._core.next_command(now))

    def _bind_to_run(self, action: Callable[[], None]) -> Callable[[], None]:
        return lambda: self._node.deliver_to_run(self._run, action)

    def _execute(self, command: RequestCommand) -> None:
        if isinstance(command, Attempt):
            self._attempt(command)
        elif isinstance(command, Wait):
            self._wait(command)
        else:
            self._refuse(command)

    def _wait(self, wait: Wait) -> None:
        span = max(wait.until - self._node.clock.read(), 0.0)

        def resume() -> None:
            self._execute(self._core.next_command(self._node.clock.read()))

        self._callers.kernel.after(span, self._bind_to_run(resume))

    def _refuse(self, refuse: Refuse) -> None:
        self._respond(refuse.outcome, refuse.reason.value)

    def _respond(self, outcome: Outcome, reason: str) -> None:
        callers = self._callers
        delay = callers.site.caller_delay_ms / 1000
        callers.kernel.after(delay, lambda: callers.finish(self._record, outcome, reason))

    # ------------------------------------------------------------------ attempts

    def _attempt(self, attempt: Attempt) -> None:
        backend = self._callers.backends[attempt.backend.backend_id]
        state = self._node.backend_states.state(attempt.backend.backend_id)
        state.outstanding += 1
        attempt_end = AttemptEnd(self)
        network = self._callers.network
        source, destination = self._node.place, backend.place
        if network.is_cut(source.machine, destination.machine) or not backend.is_up:
            refused_at_once = not backend.is_up
            span = 2 * network.delay(source, destination) if refused_at_once else CONNECT_TIMEOUT
            self._callers.kernel.after(
                span, self._bind_to_run(lambda: attempt_end.fail(FailurePhase.NOT_CONNECTED))
            )
            return
        backend_run = backend.run_number
        work = Work(
            self._record.request_id,
            self._target.place.position if self._target.place else None,
            self._callers.is_unrepeatable(self._record),
        )

        def respond(result: BackendResponse) -> None:
            network.send(
                destination,
                source,
                self._bind_to_run(lambda: attempt_end.handle_response(result)),
                reliable=True,
            )

        def arrive() -> None:
            backend.deliver_to_run(backend_run, lambda: backend.handle_work(work, respond))

        network.send(source, destination, arrive, reliable=True)
        remaining = max(attempt.deadline - self._node.clock.read(), 0.0)
        self._callers.kernel.after(
            remaining, self._bind_to_run(lambda: attempt_end.fail(FailurePhase.AWAITING))
        )
        self._watch_connection(backend, backend_run, attempt_end)

    def _watch_connection(
        self, backend: SimulatedBackend, run: int, attempt_end: AttemptEnd
    ) -> None:
        """Fail the attempt soon after the back end was killed, as its connections break."""

        def check() -> None:
            if attempt_end.is_over:
                return
            if backend.run_number != run:
                attempt_end.fail(FailurePhase.AWAITING)
                return
            self._callers.kernel.after(0.05, self._bind_to_run(check))

        self._callers.kernel.after(0.05, self._bind_to_run(check))

    def attempt_failed(self, phase: FailurePhase, not_owner: bool) -> None:
        """Handle an attempt that ended without a complete response."""
        self._decrement_outstanding()
        now = self._node.clock.read()
        state = self._node.backend_states.state(self._backend_id())
        if not not_owner:
            state.record_failure(now)
        self._execute(self._core.handle_failure(phase, now, not_owner))

    def attempt_succeeded(self) -> None:
        """Handle an attempt that ended with a complete response."""
        self._decrement_outstanding()
        self._node.backend_states.state(self._backend_id()).record_response(0.001)
        self._respond(Outcome.WHOLE, "")

    def _backend_id(self) -> str:
        attempt = self._core.in_flight
        return attempt.backend.backend_id if attempt else ""

    def _decrement_outstanding(self) -> None:
        self._node.backend_states.state(self._backend_id()).outstanding -= 1


@dataclass
class AttemptEnd:
    """End of an attempt, which takes effect only once."""

    request: SimulatedRequest
    is_over: bool = False

    def fail(self, phase: FailurePhase, not_owner: bool = False) -> None:
        """End without a complete response."""
        if not self.is_over:
            self.is_over = True
            self.request.attempt_failed(phase, not_owner)

    def handle_response(self, response: BackendResponse) -> None:
        """End with the back end's response; one that arrives after the end is ignored."""
        if self.is_over:
            return
        if response is not None:
            self.fail(FailurePhase.REFUSED, response is Refusal.NOT_OWNER)
            return
        self.is_over = True
        self.request.attempt_succeeded()
