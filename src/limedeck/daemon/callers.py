"""HTTP gateway for callers: reads requests, runs their cores and returns the responses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import anyio

from limedeck.clock import steady_clock
from limedeck.daemon.backend_client import (
    NOT_OWNER,
    AttemptRefused,
    BackendClient,
    BackendRequest,
    BackendResponse,
)
from limedeck.daemon.caller_requests import (
    RESERVED_HEADER_PREFIX,
    CallerDisconnected,
    CallerRequest,
    RequestRefused,
    read_request,
)
from limedeck.daemon.control_host import ControlHost
from limedeck.daemon.in_flight import InFlightRequests
from limedeck.daemon.logs import get_logger
from limedeck.daemon.problems import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    BufferedResponse,
    problem,
    refusal,
)
from limedeck.daemon.telemetry import Telemetry
from limedeck.identity import Seconds
from limedeck.node.asgi import Receive, Scope, Send
from limedeck.routing.backends import BackendStates
from limedeck.routing.outcomes import AttemptFailed, FailurePhase, Outcome
from limedeck.routing.request import (
    Attempt,
    RefusalReason,
    Refuse,
    RequestCommand,
    RequestCore,
    RetryBudget,
    RouterView,
    RoutingLimits,
    Wait,
)
from limedeck.routing.rules import MILLISECONDS

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
"""A response of up to this size is returned only once it was received whole."""
CONNECTION_HEADERS = frozenset({b"connection", b"keep-alive", b"transfer-encoding"})


@dataclass(frozen=True)
class StreamedResponse:
    """A response too large to buffer: what has been received, and an iterator over the rest."""

    response: BackendResponse
    received: bytes
    remaining: Any


GatewayResult = BufferedResponse | StreamedResponse


class CallerGateway:
    """ASGI application for callers' requests."""

    def __init__(
        self,
        host: ControlHost,
        client: BackendClient,
        limits: RoutingLimits,
        telemetry: Telemetry,
    ) -> None:
        self._host = host
        self._client = client
        self._telemetry = telemetry
        self._backends = BackendStates()
        self._view = RouterView(host.core.config, host.core.routes, self._backends, limits)
        self._budgets: dict[str, RetryBudget] = {}
        self._waiting: dict[str, int] = {}
        self._in_flight = InFlightRequests()
        self._config_seen = 0
        self._membership_seen = -1
        self.stopping = False
        self._log = get_logger("callers")

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        started = steady_clock()
        try:
            self._apply_config_changes()
            request = await read_request(self._host.core.config, scope, receive, started)
        except RequestRefused as error:
            self._telemetry.requests.labels("", Outcome.NOT_RUN.value, error.reason).inc()
            await self._send_buffered(send, error.response, None)
            return
        except CallerDisconnected:
            return
        result = await self._run_until_disconnect(request, receive)
        if result is not None:
            await self._send_result(send, result, request)
        service = request.target.service.name
        self._telemetry.request_seconds.labels(service).observe(steady_clock() - started)

    # ------------------------------------------------------------------ configuration

    def _apply_config_changes(self) -> None:
        config = self._host.core.config
        membership = self._host.core.membership
        if membership.version != self._membership_seen:
            self._membership_seen = membership.version
            self._backends.router_count = len(membership.live_nodes())
        if config.revision == self._config_seen:
            return
        self._config_seen = config.revision
        known = [backend for item in config.services() for backend in config.backends_of(item.name)]
        self._backends.retain({backend.backend_id for backend in known})

    # ------------------------------------------------------------------ running

    async def _run_until_disconnect(
        self, request: CallerRequest, receive: Receive
    ) -> GatewayResult | None:
        """Run a request; stop and return None when the caller disconnects."""
        result: GatewayResult | None = None
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            result = await self._run_deduplicated(request)
            tasks.cancel_scope.cancel()
        return result

    async def _run_deduplicated(self, request: CallerRequest) -> GatewayResult:
        """Run a request; duplicates with the same given id wait for the one in flight."""
        if not request.has_given_id:
            return await self._run(request)
        key = (request.target.service.name, request.request_id)
        earlier = self._in_flight.find(key)
        if earlier is not None:
            shared = await earlier.wait(request.deadline - steady_clock())
            return shared or _already_in_flight()
        with self._in_flight.track(key) as entry:
            result = await self._run(request)
            if isinstance(result, BufferedResponse):
                entry.finish(result)
            return result

    async def _run(self, request: CallerRequest) -> GatewayResult:
        service = request.target.service.name
        budget = self._budgets.setdefault(service, RetryBudget())
        now = steady_clock()
        budget.record_request(now)
        core = RequestCore(
            request.request_id, request.target, request.deadline, self._view, budget, now
        )
        command: RequestCommand | GatewayResult = core.next_command(now)
        while True:
            if isinstance(command, Attempt):
                command = await self._attempt(core, command, request)
            elif isinstance(command, Wait):
                command = await self._wait(core, command, service)
            elif isinstance(command, Refuse):
                return self._refuse(command, request)
            else:
                self._telemetry.requests.labels(service, Outcome.WHOLE.value, "").inc()
                return command

    async def _wait(self, core: RequestCore, wait: Wait, service: str) -> RequestCommand:
        waiting = self._waiting.get(service, 0)
        if waiting >= self._view.limits.waiting_requests:
            outcome = Outcome.NOT_RUN
            return Refuse(outcome, RefusalReason.QUEUE_FULL, self._view.limits.longest_wait)
        self._waiting[service] = waiting + 1
        self._telemetry.waiting.labels(service).set(waiting + 1)
        try:
            await self._host.wait_for_change(wait.until - steady_clock())
        finally:
            self._waiting[service] -= 1
            self._telemetry.waiting.labels(service).set(self._waiting[service])
        return core.next_command(steady_clock())

    async def _attempt(
        self, core: RequestCore, attempt: Attempt, request: CallerRequest
    ) -> RequestCommand | GatewayResult:
        service = request.target.service.name
        state = self._backends.state(attempt.backend.backend_id)
        state.outstanding += 1
        self._telemetry.running.inc()
        started = steady_clock()
        result = "cancelled"
        try:
            response = await self._client.send(
                _backend_request(request, attempt, started), attempt.deadline - started
            )
            received = await self._read_response(response)
            state.record_response(steady_clock() - started)
            result = "answered"
            return received
        except AttemptRefused as error:
            result = error.refusal
            not_owner = error.refusal == NOT_OWNER
            if not not_owner:
                state.record_failure(steady_clock())
            return core.handle_failure(FailurePhase.REFUSED, steady_clock(), not_owner)
        except AttemptFailed as error:
            result = error.phase.value
            state.record_failure(steady_clock())
            self._log.info(
                "attempt_failed",
                request_id=request.request_id,
                backend=attempt.backend.backend_id,
                phase=error.phase.value,
                reason=error.problem,
            )
            return core.handle_failure(error.phase, steady_clock())
        finally:
            state.outstanding -= 1
            self._telemetry.running.dec()
            self._telemetry.attempts.labels(service, result).inc()

    async def _read_response(self, response: BackendResponse) -> GatewayResult:
        """Read a response whole, or only its first chunks when it is too large to buffer."""
        content = bytearray()
        remaining = response.chunks()
        streamed = False
        try:
            async for chunk in remaining:
                content += chunk
                if len(content) > MAX_BUFFERED_RESPONSE_BYTES:
                    streamed = True
                    return StreamedResponse(response, bytes(content), remaining)
        finally:
            if not streamed:
                await response.aclose()
        return BufferedResponse(
            response.status, _response_headers(response.headers), bytes(content)
        )

    def _refuse(self, refuse: Refuse, request: CallerRequest) -> BufferedResponse:
        service = request.target.service.name
        self._telemetry.requests.labels(service, refuse.outcome.value, refuse.reason.value).inc()
        self._log.info(
            "request_refused",
            request_id=request.request_id,
            service=service,
            outcome=refuse.outcome.value,
            reason=refuse.reason.value,
        )
        return refusal(refuse)

    # ------------------------------------------------------------------ responding

    async def _send_result(self, send: Send, result: GatewayResult, request: CallerRequest) -> None:
        if isinstance(result, BufferedResponse):
            await self._send_buffered(send, result, request.request_id)
        else:
            await self._send_streamed(send, result, request.request_id)

    async def _send_buffered(
        self, send: Send, response: BufferedResponse, request_id: str | None
    ) -> None:
        headers = [*response.headers, *self._router_headers(response.headers, request_id)]
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})

    async def _send_streamed(self, send: Send, result: StreamedResponse, request_id: str) -> None:
        response = result.response
        headers = _response_headers(response.headers)
        headers += self._router_headers(headers, request_id)
        try:
            await send(
                {"type": "http.response.start", "status": response.status, "headers": headers}
            )
            await send({"type": "http.response.body", "body": result.received, "more_body": True})
            async for chunk in result.remaining:
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
            await send({"type": "http.response.body", "body": b""})
        finally:
            # A failure propagates, so that the server closes the connection and the caller sees
            # that the response is incomplete.
            await response.aclose()

    def _router_headers(
        self, present: Iterable[tuple[bytes, bytes]], request_id: str | None
    ) -> list[tuple[bytes, bytes]]:
        names = {name for name, _ in present}
        headers = []
        if OUTCOME_HEADER not in names:
            headers.append((OUTCOME_HEADER, Outcome.WHOLE.value.encode()))
        if request_id is not None:
            headers.append((REQUEST_ID_HEADER, request_id.encode("latin-1")))
        if self.stopping:
            headers.append((b"connection", b"close"))
        return headers


def _response_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    lowered = [(name.lower(), value) for name, value in headers]
    return [
        (name, value)
        for name, value in lowered
        if name not in CONNECTION_HEADERS and not name.startswith(RESERVED_HEADER_PREFIX)
    ]


def _backend_request(request: CallerRequest, attempt: Attempt, now: Seconds) -> BackendRequest:
    time_left = max(int((attempt.deadline - now) * MILLISECONDS), 1)
    headers = [
        *request.headers,
        ("limedeck-request-id", request.request_id),
        ("limedeck-deadline-ms", str(time_left)),
    ]
    place = request.target.place
    if place is not None:
        headers.append(("limedeck-group", place.group))
        headers.append(("limedeck-key-position", str(place.position)))
    return BackendRequest(
        attempt.backend.address, request.method, request.target.path, headers, request.body
    )


def _already_in_flight() -> BufferedResponse:
    detail = "another request with this id is in flight"
    return problem(409, "request-in-flight", detail, Outcome.UNKNOWN, retry_after=1.0)
