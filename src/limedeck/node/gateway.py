"""HTTP gateway for callers: reads requests, runs their request cores, forwards responses."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from limedeck.clock import steady_clock
from limedeck.forwarding.commands import (
    Attempt,
    Command,
    Refuse,
    RequestPermit,
    Wait,
)
from limedeck.forwarding.protocol import CallerProtocol, Headers
from limedeck.forwarding.request import RequestCore
from limedeck.forwarding.request_content import RequestContent
from limedeck.forwarding.request_guard import RequestGuard
from limedeck.forwarding.response_sizes import ResponseSizes
from limedeck.forwarding.routes import choose_service
from limedeck.held_memory import MemoryLimits, Purpose
from limedeck.http_client import HttpResponse
from limedeck.identity import Seconds
from limedeck.memory_keeper import MemoryKeeper
from limedeck.model import Route
from limedeck.node import caller_statuses, http_messages, response_reader
from limedeck.node.asgi import CLOSE_BEHIND_LAST, OVERLAPPING, RECEIVED_AT, Receive, Scope, Send
from limedeck.node.backend_paths import BackendPaths, BackendRequest
from limedeck.node.crash_watch import CrashWatch
from limedeck.node.exchange_memory import ExchangeMemory, MemoryExhausted
from limedeck.node.permit_exchange import PermitExchange
from limedeck.node.request_log import RequestLog
from limedeck.node.state import NodeState
from limedeck.routing.outcomes import SURELY_NOT_RUN, AttemptFailed, FailurePhase
from limedeck.routing.run_evidence import NEVER_SENT, NotRunProof

START_RETRY_AFTER: Seconds = 0.3
"""About the time in which a starting node has read its configuration."""
STOP_RETRY_AFTER: Seconds = 0.02
"""Another node can take the request at once; the pause avoids a tight retry loop of a client."""
MEMORY_RETRY_AFTER: Seconds = 0.25
"""Time in which the slowest readers are known and broken off, so that there is memory again."""
MAX_REQUEST_TIME: Seconds = 3600.0


@dataclass(frozen=True, slots=True)
class _Caller:
    """How to receive from a request's caller, and respond to it."""

    scope: Scope
    receive: Receive
    send: Send


@dataclass(slots=True, eq=False)
class _Call:
    """A caller's request and the state of its processing.

    Parameters
    ----------
    headers
        The headers that are forwarded to back ends.
    caller_left
        The caller has closed its connection.
    process_exiting
        This process is about to exit.
    error_response
        The last error response of a back end; forwarded if no other response arrives.
    scope
        Cancels the attempt or wait in progress.
    """

    request_id: bytes
    content: RequestContent
    headers: Headers
    route: Route
    core: RequestCore
    memory: ExchangeMemory
    arrived_at: Seconds
    caller_left: bool = False
    process_exiting: bool = False
    error_response: HttpResponse | None = None
    scope: anyio.CancelScope | None = None


class CallerGateway:
    """ASGI application for callers' requests."""

    def __init__(
        self,
        state: NodeState,
        protocol: CallerProtocol,
        paths: BackendPaths,
        log: RequestLog,
        watch: CrashWatch,
        permits: PermitExchange,
        memory: MemoryKeeper | None = None,
    ) -> None:
        self._memory = memory if memory is not None else MemoryKeeper(MemoryLimits())
        self._permits = permits
        self._watch = watch
        self._state = state
        self._protocol = protocol
        self._paths = paths
        self._log = log
        self._reader = response_reader.ResponseReader(state.directory, protocol, log)
        self._open_requests: set[_Call] = set()
        self._response_sizes = ResponseSizes()

    def cancel_open_requests(self) -> None:
        """Cancel the open requests and respond to each: this process is about to exit.

        If the tasks of the requests were cancelled instead, the HTTP server library would respond
        with status 500, which does not say whether a request may have run, and would not log which
        request it was.
        """
        for call in self._open_requests:
            call.process_exiting = True
            if call.scope is not None:
                call.scope.cancel()

    def may_overlap(self, scope: Scope) -> bool:
        """Whether a request may run beside others of its connection: it is repeatable."""
        routes = self._state.routes
        if routes is None:
            return False
        route = routes.find(*_host_and_path(scope, dict(scope["headers"])))
        return route is not None and route.repeatable

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request."""
        if scope["type"] != "http":
            return
        caller = _Caller(scope, receive, send)
        now = steady_clock()
        headers = dict(scope["headers"])
        routes = self._state.routes
        configuration = self._state.configuration
        if self._state.closing:
            await self._respond_not_run(caller, NEVER_SENT, STOP_RETRY_AFTER)
            return
        if routes is None or configuration is None:
            await self._respond_not_run(caller, NEVER_SENT, START_RETRY_AFTER)
            return
        host, path = _host_and_path(scope, headers)
        route = routes.find(host, path)
        request_id = self._protocol.request_id(headers)
        if route is None or request_id is None:
            self._log.record_unroutable(host, path, configuration.version, request_id)
            is_known = route is not None
            status = (
                caller_statuses.BAD_REQUEST_STATUS if is_known else caller_statuses.NO_ROUTE_STATUS
            )
            await self._respond(caller, status)
            return
        if scope.get(OVERLAPPING) and not route.repeatable:
            # The configuration has changed since the request was received.
            await self._respond_not_run(caller, NEVER_SENT, START_RETRY_AFTER)
            return
        memory = ExchangeMemory(self._memory, Purpose.REQUESTS)
        try:
            limit = configuration.limits.body_bytes
            body = await self._read_body(caller, headers, request_id, route, limit, memory, now)
            if body is not None:
                call = self._create_call(scope, headers, route, request_id, body, memory, now)
                await self._serve(call, caller)
        except Exception as error:
            self._log.record_internal_error(request_id, error)
            raise
        finally:
            memory.close()

    async def _read_body(
        self,
        caller: _Caller,
        headers: dict[bytes, bytes],
        request_id: bytes,
        route: Route,
        limit: int,
        memory: ExchangeMemory,
        now: Seconds,
    ) -> bytes | None:
        """Read a request's body; if that fails, respond to the caller and return None."""
        try:
            memory.check_room(headers)
            body = await http_messages.read_body(caller.receive, limit, memory)
            await memory.expect_response(self._response_sizes.expected(route.name))
        except http_messages.CallerLeft:
            return None
        except http_messages.BodyTooLarge:
            await self._respond(caller, caller_statuses.TOO_LARGE_STATUS)
            return None
        except MemoryExhausted as error:
            self._log.record_memory_refusal(request_id, route, error, MEMORY_RETRY_AFTER, now)
            await self._respond_not_run(caller, NEVER_SENT, MEMORY_RETRY_AFTER)
            return None
        return body

    def _create_call(
        self,
        scope: Scope,
        headers: dict[bytes, bytes],
        route: Route,
        request_id: bytes,
        body: bytes,
        memory: ExchangeMemory,
        now: Seconds,
    ) -> _Call:
        time_left = self._protocol.time_left(headers)
        # Its caller has waited since then, if it waited for its turn on its connection.
        received_at = scope.get(RECEIVED_AT, now)
        deadline = received_at + min(time_left or MAX_REQUEST_TIME, MAX_REQUEST_TIME)
        service = self._state.service(choose_service(route, request_id))
        service.budget.record_request(now)
        position = self._protocol.key_position(headers) if service.keyed else None
        is_client_retry = service.record_wait(route.name, deadline - now)
        if position is not None and not is_client_retry:
            service.key_counts[position] += 1
        content = _request_content(scope, route.host, body, position)
        core = RequestCore(
            request_id,
            route,
            service,
            self._state.directory,
            position,
            deadline,
            now,
            is_client_retry,
            RequestGuard(self._state.quarantine, content),
        )
        forwarded = self._forwarded_headers(scope["headers"], body)
        return _Call(request_id, content, forwarded, route, core, memory, received_at)

    def _forwarded_headers(self, headers: Headers, body: bytes) -> Headers:
        forwarded = [
            (name, value)
            for name, value in http_messages.end_to_end_headers(headers)
            if name not in self._protocol.reserved_headers
        ]
        had_body = any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
        if body or had_body:
            forwarded.append((b"content-length", b"%d" % len(body)))
        return forwarded

    async def _serve(self, call: _Call, caller: _Caller) -> None:
        self._state.in_flight += 1
        self._open_requests.add(call)
        try:
            await self._serve_until_disconnect(call, caller)
        finally:
            self._open_requests.discard(call)
            self._state.in_flight -= 1
            if self._state.stopping:
                self._state.notify()

    async def _serve_until_disconnect(self, call: _Call, caller: _Caller) -> None:
        """Serve a request; cancel it if it is repeatable and its caller disconnects."""
        result: HttpResponse | Refuse | None = None
        async with anyio.create_task_group() as tasks:
            call.scope = tasks.cancel_scope

            async def watch() -> None:
                while (await caller.receive())["type"] != "http.disconnect":
                    pass
                call.caller_left = True
                if call.route.repeatable:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            result = await self._run(call)
            tasks.cancel_scope.cancel()
        if result is None and call.process_exiting:
            result = call.core.give_up()
        if result is None or call.caller_left:
            self._log.record_caller_left(call.request_id, call.core, call.arrived_at)
            return
        if isinstance(result, Refuse):
            status = caller_statuses.status_of_refusal(result)
            self._log.record_refusal(call.request_id, call.core, result, status, call.arrived_at)
            await self._refuse(caller, result, status)
            return
        self._log.record_response(call.request_id, call.core, result.status, call.arrived_at)
        headers = http_messages.end_to_end_headers(result.headers)
        length = http_messages.length_headers(call.content.method, result)
        await self._send(caller, result.status, headers, result.body, call.memory, length)

    async def _run(self, call: _Call) -> HttpResponse | Refuse | None:
        core = call.core
        command = self._next_command(core)
        while True:
            if isinstance(command, Refuse):
                return call.error_response or command
            if call.caller_left:
                return None
            if isinstance(command, Wait):
                await self._state.wait_for_change(command.until - steady_clock())
                command = self._next_command(core)
                continue
            if isinstance(command, RequestPermit):
                response = await self._permits.request(command.permit_request)
                now = steady_clock()
                command = core.handle_permit(
                    command, response, now, self._state.retry_sharing_nodes(now)
                )
                continue
            result = await self._attempt(call, command)
            if isinstance(result, HttpResponse):
                return result
            phase, wrong_owner = result
            now = steady_clock()
            sharing_nodes = self._state.retry_sharing_nodes(now)
            command = core.handle_failure(phase, now, sharing_nodes, wrong_owner)

    def _next_command(self, core: RequestCore) -> Command:
        now = steady_clock()
        return core.next_command(now, self._state.retry_sharing_nodes(now))

    async def _attempt(
        self, call: _Call, attempt: Attempt
    ) -> HttpResponse | tuple[FailurePhase, bool]:
        backend = attempt.state.backend
        started = steady_clock()
        request = BackendRequest(
            backend,
            call.request_id,
            call.content.method,
            call.content.target,
            call.headers,
            call.content.body,
            call.route.repeatable,
            # A busy back end resets some new connections. If the reset comes before the request is
            # sent, the caller can be told that it has not run.
            watched=not call.route.repeatable or attempt.ahead >= backend.slots,
            is_wanted=lambda: not call.caller_left,
            ledger=call.core.claim.ledger,
        )
        attempt.state.outstanding += 1
        try:
            response = await self._paths.exchange(request, attempt.until)
        except AttemptFailed as error:
            self._record_failed_attempt(call, attempt, error)
            self._log.record_lost_attempt(
                call.request_id, call.content, backend, error.phase, error.problem
            )
            return error.phase, False
        finally:
            attempt.state.outstanding -= 1
        return self._evaluate_response(call, attempt, response, started)

    def _evaluate_response(
        self, call: _Call, attempt: Attempt, response: HttpResponse, started: Seconds
    ) -> HttpResponse | tuple[FailurePhase, bool]:
        """Return a response that may be forwarded, or how the attempt failed."""
        result = self._reader.read(call.request_id, attempt, response, started)
        if result.phase is None:
            if call.core.guard is not None:
                call.core.guard.record_served(result.received_at)
            duration = result.received_at - started
            attempt.state.record_response(
                duration, result.load, result.received_at, call.route.name, attempt.ahead
            )
            call.memory.keep_response(len(response.body))
            self._response_sizes.record(call.route.name, len(response.body))
            return response
        if result.phase is FailurePhase.ERROR_RESPONSE:
            call.memory.keep_response(len(response.body))
            call.error_response = response
        return result.phase, result.wrong_owner

    def _record_failed_attempt(self, call: _Call, attempt: Attempt, error: AttemptFailed) -> None:
        """Record what a failed attempt shows about the back end and about the request."""
        backend = attempt.state.backend
        now = steady_clock()
        if error.by_other_end and error.phase is FailurePhase.NOT_CONNECTED:
            self._watch.record_refused_connection(backend)
            return
        if error.by_other_end and error.phase not in SURELY_NOT_RUN:
            self._watch.record_lost_request(backend, call.content)
        if now < attempt.until:
            is_overloaded = attempt.ahead >= backend.slots
            self._paths.record_failure(attempt.state, error, not is_overloaded, now)

    async def _refuse(self, caller: _Caller, refuse: Refuse, status: int) -> None:
        if refuse.proof is not None:
            await self._respond_not_run(caller, refuse.proof, refuse.retry_after)
            return
        self._log.count_refusal(None)
        await self._respond(caller, status)

    async def _respond_not_run(
        self, caller: _Caller, proof: NotRunProof, retry_after: Seconds
    ) -> None:
        """Respond that the request did not run and never will, as the proof shows."""
        self._log.count_refusal(proof)
        await self._respond(caller, caller_statuses.NOT_RUN_STATUS, retry_after)

    async def _respond(
        self, caller: _Caller, status: int, retry_after: Seconds | None = None
    ) -> None:
        headers: Headers = []
        if retry_after is not None:
            headers.append(self._protocol.retry_after(retry_after))
        await self._send(caller, status, headers, b"")

    async def _send(
        self,
        caller: _Caller,
        status: int,
        headers: Headers,
        body: bytes,
        memory: ExchangeMemory | None = None,
        length: Headers | None = None,
    ) -> None:
        if self._state.stopping or self._state.is_isolated(steady_clock()):
            close_behind_last = caller.scope.get(CLOSE_BEHIND_LAST)
            if close_behind_last is None:
                headers.append((b"connection", b"close"))
            else:
                close_behind_last()
        await http_messages.send_response(caller.send, status, headers, body, memory, length)


def _host_and_path(scope: Scope, headers: dict[bytes, bytes]) -> tuple[str, str]:
    path = scope["raw_path"].decode("latin-1").partition("?")[0]
    host = headers.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
    return host, path


def _request_content(scope: Scope, host: str, body: bytes, position: int | None) -> RequestContent:
    target = http_messages.request_target(scope)
    client = scope.get("client")
    caller = client[0] if client else ""
    return RequestContent(scope["method"].encode(), host, target, caller, body, position)
