"""Makes attempts for other nodes that do not reach a back end."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from limedeck.clock import steady_clock
from limedeck.errors import PeerProtocolError
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.commands import Attempt
from limedeck.forwarding.protocol import CallerProtocol, Headers
from limedeck.held_memory import MemoryLimits, Purpose
from limedeck.http_client import FOREIGN_RESPONSE, HttpClient, HttpRequest, HttpResponse
from limedeck.identity import Seconds
from limedeck.memory_keeper import MemoryKeeper
from limedeck.node import http_messages
from limedeck.node import intermediary_messages as messages
from limedeck.node.asgi import Receive, Scope, Send
from limedeck.node.exchange_memory import ExchangeMemory, MemoryExhausted
from limedeck.node.logs import get_logger
from limedeck.node.reachability_monitor import PROBE_TIMEOUT, ReachabilityMonitor
from limedeck.node.response_reader import ResponseReader
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

MAX_CONCURRENT_ATTEMPTS = 128
"""Attempts for other nodes in progress at a time; with more, they have to ask another node."""
BAD_REQUEST_STATUS = 400
PROBED_STATUS = 204


@dataclass(frozen=True, slots=True)
class _Response:
    """Response to the node that asked for an attempt.

    Parameters
    ----------
    length
        Headers about the length of the body; None: as long as it is.
    """

    status: int
    headers: Headers
    body: bytes = b""
    length: Headers | None = None


class IntermediaryServer:
    """ASGI application that makes attempts for other nodes.

    An attempt is sent to the back end itself, never through a further node. Retries, permits and
    budgets are up to the node that asks for it.
    """

    def __init__(
        self,
        state: NodeState,
        protocol: CallerProtocol,
        client: HttpClient,
        reader: ResponseReader,
        monitor: ReachabilityMonitor,
        telemetry: Telemetry,
        memory: MemoryKeeper | None = None,
    ) -> None:
        self._memory = memory if memory is not None else MemoryKeeper(MemoryLimits())
        self._state = state
        self._protocol = protocol
        self._client = client
        self._reader = reader
        self._monitor = monitor
        self._telemetry = telemetry
        self._active = 0
        self._log = get_logger("intermediary")

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle an attempt of another node."""
        if scope["type"] != "http":
            return
        memory = ExchangeMemory(self._memory, Purpose.OTHER_NODES)
        try:
            await self._handle(scope, receive, send, memory)
        finally:
            memory.close()

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, memory: ExchangeMemory
    ) -> None:
        configuration = self._state.configuration
        try:
            attempt = messages.read_attempt(scope["headers"])
            memory.check_room(dict(scope["headers"]))
            limit = configuration.limits.body_bytes if configuration is not None else 0
            body = await http_messages.read_body(receive, limit, memory)
        except http_messages.CallerLeft:
            return
        except MemoryExhausted:
            await self._respond_unable(scope, send)
            return
        except (PeerProtocolError, http_messages.BodyTooLarge) as error:
            self._log.warning("forwarded_attempt_invalid", problem=str(error))
            await http_messages.send_response(send, BAD_REQUEST_STATUS, [], b"")
            return
        until = steady_clock() + attempt.time_left
        target = self._state.directory.find(attempt.backend_id)
        if target is None or not self._is_able():
            await self._respond_unable(scope, send)
            return
        request = self._encode(scope, attempt, target, body)
        response = await self._run_until_disconnect(attempt, target, request, until, receive)
        if response is not None:
            memory.keep_response(len(response.body))
            named = [*response.headers, messages.request_header(scope["headers"])]
            await http_messages.send_response(
                send, response.status, named, response.body, memory, response.length
            )

    async def _respond_unable(self, scope: Scope, send: Send) -> None:
        """Respond that nothing was sent to the back end; the other node asks a further one."""
        unable = messages.result_headers(messages.AttemptResult.UNABLE)
        unable.append(messages.request_header(scope["headers"]))
        await http_messages.send_response(send, messages.NO_RESPONSE_STATUS, unable, b"")

    def _is_able(self) -> bool:
        reachability = self._state.directory.reachability
        has_links = not reachability.is_partitioned and not reachability.is_doubted
        is_stopping = self._state.stopping or self._state.closing
        return has_links and not is_stopping and self._active < MAX_CONCURRENT_ATTEMPTS

    async def _run_until_disconnect(
        self,
        attempt: messages.ForwardedAttempt,
        target: BackendState,
        request: HttpRequest,
        until: Seconds,
        receive: Receive,
    ) -> _Response | None:
        """Make an attempt; cancel it if it is repeatable and the other node disconnects."""
        response: _Response | None = None
        self._active += 1
        self._state.in_flight += 1
        try:
            async with anyio.create_task_group() as tasks:

                async def watch() -> None:
                    while (await receive())["type"] != "http.disconnect":
                        pass
                    if attempt.repeatable:
                        tasks.cancel_scope.cancel()

                tasks.start_soon(watch)
                response = await self._run(attempt, target, request, until)
                tasks.cancel_scope.cancel()
        finally:
            self._active -= 1
            self._state.in_flight -= 1
            if self._state.stopping:
                self._state.notify()
        return response

    async def _run(
        self,
        attempt: messages.ForwardedAttempt,
        target: BackendState,
        request: HttpRequest,
        until: Seconds,
    ) -> _Response:
        backend_id = target.backend.backend_id
        try:
            if self._state.directory.reachability.is_unreached(backend_id):
                raise AttemptFailed(FailurePhase.NOT_CONNECTED, messages.UNREACHED)
            response = await self._attempt(attempt, target, request, until)
        except AttemptFailed as error:
            if error.phase is FailurePhase.NOT_CONNECTED:
                self._monitor.suspect(backend_id)
            elif error.is_reset_without_response:
                self._monitor.record_failed_exchange(backend_id)
            elif error.problem == FOREIGN_RESPONSE:
                self._telemetry.unmatched_responses.inc()
            self._telemetry.forwarded_attempts.labels("for-others", error.phase.value).inc()
            failed = messages.result_headers(messages.AttemptResult.FAILED, error)
            return _Response(messages.NO_RESPONSE_STATUS, failed)
        self._telemetry.forwarded_attempts.labels("for-others", "answered").inc()
        headers = http_messages.end_to_end_headers(response.headers)
        headers = messages.without_attempt_headers(headers)
        headers += messages.result_headers(messages.AttemptResult.RESPONSE)
        length = http_messages.length_headers(request.method, response)
        return _Response(response.status, headers, response.body, length)

    async def _attempt(
        self,
        attempt: messages.ForwardedAttempt,
        target: BackendState,
        request: HttpRequest,
        until: Seconds,
    ) -> HttpResponse:
        if attempt.kind is messages.AttemptKind.PROBE:
            probe_until = min(until, steady_clock() + PROBE_TIMEOUT)
            await self._client.try_connect(target.backend.address, probe_until)
            return HttpResponse(PROBED_STATUS, [], b"")
        started = steady_clock()
        with self._monitor.direct.waiting(target.backend.backend_id, attempt.repeatable):
            response = await self._client.exchange(request, until)
        self._monitor.record_response(target.backend.backend_id)
        request_id = self._protocol.request_id(dict(request.headers))
        if request_id is not None:
            self._reader.read_statements(request_id, Attempt(target, until), response, started)
        return response

    def _encode(
        self,
        scope: Scope,
        attempt: messages.ForwardedAttempt,
        target: BackendState,
        body: bytes,
    ) -> HttpRequest:
        headers = http_messages.end_to_end_headers(scope["headers"])
        headers = messages.without_attempt_headers(headers)
        had_body = any(name == b"content-length" for name, _ in scope["headers"])
        if body or had_body:
            headers.append((b"content-length", b"%d" % len(body)))
        request_id = self._protocol.request_id(dict(headers)) or b""
        return HttpRequest(
            target.backend.address,
            scope["method"].encode(),
            http_messages.request_target(scope),
            headers,
            body,
            request_id,
            watched=attempt.watched,
            is_answered_by=lambda response: self._protocol.names_request(
                request_id, response.headers
            ),
        )
