"""The HTTP side towards callers: reads requests, drives their cores, passes answers on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import anyio

from limedeck.clock import steady_clock
from limedeck.forwarding.commands import (
    Attempt,
    Command,
    RefusalReason,
    Refuse,
    RequestPermit,
    Wait,
)
from limedeck.forwarding.protocol import CallerProtocol, Headers
from limedeck.forwarding.request import RequestCore
from limedeck.forwarding.request_content import RequestContent
from limedeck.forwarding.request_guard import RequestGuard
from limedeck.forwarding.routes import choose_service
from limedeck.http_client import HttpClient, HttpRequest, HttpResponse
from limedeck.identity import Seconds
from limedeck.model import Route
from limedeck.node import response_reader
from limedeck.node.asgi import Receive, Scope, Send
from limedeck.node.crash_watch import CrashWatch
from limedeck.node.permit_exchange import PermitExchange
from limedeck.node.request_log import RequestLog
from limedeck.node.state import NodeState
from limedeck.routing.outcomes import SURELY_NOT_RUN, AttemptFailed, FailurePhase, Outcome

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Headers that concern only one connection."""
NO_SUCH_ROUTE = 404
BAD_REQUEST = 400
TOO_LARGE = 413
NOT_RUN = 503
LOST = 502
TIMED_OUT = 504
START_RETRY_AFTER: Seconds = 0.3
"""A node that starts has read its configuration after about so long."""
STOP_RETRY_AFTER: Seconds = 0.02
"""Another node can take the request at once; spares a client that returns in the same instant."""
LONGEST_DEADLINE: Seconds = 3600.0


class CallerLeft(Exception):
    """The caller closed its connection before it had sent all of its request."""


class BodyTooLarge(Exception):
    """The request's body is above the limit."""


@dataclass(slots=True, eq=False)
class _Call:
    """One request as it came in.

    Parameters
    ----------
    left
        The caller has closed its connection.
    ended
        This process is about to end.
    scope
        Cancels what is under way for it.
    error_answer
        The last answer by which a back end told that it failed: passed on if no other comes.
    """

    request_id: bytes
    content: RequestContent
    headers: Headers
    route: Route
    core: RequestCore
    arrived_at: Seconds
    left: bool = False
    ended: bool = False
    error_answer: HttpResponse | None = None
    scope: anyio.CancelScope | None = None


class CallerGateway:
    """ASGI application for callers' requests."""

    def __init__(
        self,
        state: NodeState,
        protocol: CallerProtocol,
        client: HttpClient,
        log: RequestLog,
        watch: CrashWatch,
        permits: PermitExchange,
    ) -> None:
        self._permits = permits
        self._watch = watch
        self._state = state
        self._protocol = protocol
        self._client = client
        self._log = log
        self._reader = response_reader.ResponseReader(state.directory, protocol, log)
        self._open: set[_Call] = set()

    def end_open(self) -> None:
        """Answer what is under way by what is known of it: this process is about to end.

        A request that is cut off with its task would be answered 500 by the server's library, which
        says neither whether it may have run nor, in a log line, which one it was.
        """
        for call in self._open:
            call.ended = True
            if call.scope is not None:
                call.scope.cancel()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        now = steady_clock()
        headers = dict(scope["headers"])
        routes = self._state.routes
        configuration = self._state.configuration
        if self._state.closing:
            await self._say(send, NOT_RUN, STOP_RETRY_AFTER)
            return
        if routes is None or configuration is None:
            await self._say(send, NOT_RUN, START_RETRY_AFTER)
            return
        path = scope["raw_path"].decode("latin-1").partition("?")[0]
        host = headers.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        route = routes.find(host, path)
        request_id = self._protocol.request_id(headers)
        if route is None or request_id is None:
            self._log.unroutable(host, path, configuration.version, request_id)
            await self._say(send, NO_SUCH_ROUTE if route is None else BAD_REQUEST)
            return
        try:
            body = await _read_body(receive, configuration.limits.body_bytes)
        except CallerLeft:
            return
        except BodyTooLarge:
            await self._say(send, TOO_LARGE)
            return
        call = self._call(scope, headers, route, request_id, body, now)
        try:
            await self._serve(call, receive, send)
        except Exception as error:
            self._log.broken(request_id, error)
            raise

    def _call(
        self,
        scope: Scope,
        headers: dict[bytes, bytes],
        route: Route,
        request_id: bytes,
        body: bytes,
        now: Seconds,
    ) -> _Call:
        time_left = self._protocol.time_left(headers)
        deadline = now + min(time_left or LONGEST_DEADLINE, LONGEST_DEADLINE)
        service = self._state.service(choose_service(route, request_id))
        service.budget.record_request(now)
        position = self._protocol.key_position(headers) if service.keyed else None
        is_client_retry = service.record_wait(route.name, deadline - now)
        if position is not None and not is_client_retry:
            service.key_counts[position] += 1
        content = _content(scope, route.host, body, position)
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
        passed = self._passed_headers(scope["headers"], body)
        return _Call(request_id, content, passed, route, core, now)

    def _passed_headers(self, headers: Headers, body: bytes) -> Headers:
        named = _named_by_connection(headers)
        dropped = CONNECTION_HEADERS | self._protocol.reserved_headers | named
        passed = [
            (name, value)
            for name, value in headers
            if name not in dropped and name != b"content-length"
        ]
        had_body = any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
        if body or had_body:
            passed.append((b"content-length", b"%d" % len(body)))
        return passed

    async def _serve(self, call: _Call, receive: Receive, send: Send) -> None:
        self._state.in_flight += 1
        self._open.add(call)
        try:
            await self._serve_watched(call, receive, send)
        finally:
            self._open.discard(call)
            self._state.in_flight -= 1
            if self._state.stopping:
                self._state.notify()

    async def _serve_watched(self, call: _Call, receive: Receive, send: Send) -> None:
        """Run a request; a repeatable one is cancelled when its caller leaves."""
        result: HttpResponse | Refuse | None = None
        async with anyio.create_task_group() as tasks:
            call.scope = tasks.cancel_scope

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                call.left = True
                if call.route.repeatable:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            result = await self._run(call)
            tasks.cancel_scope.cancel()
        if result is None and call.ended:
            result = call.core.give_up()
        if result is None or call.left:
            self._log.caller_left(call.request_id, call.core, call.arrived_at)
            return
        if isinstance(result, Refuse):
            self._log.refused(call.request_id, call.core, result, call.arrived_at)
            await self._refuse(send, result)
            return
        self._log.answered(call.request_id, call.core, result.status, call.arrived_at)
        await self._pass_on(send, result)

    async def _run(self, call: _Call) -> HttpResponse | Refuse | None:
        core = call.core
        command = self._next_command(core)
        while True:
            if isinstance(command, Refuse):
                return call.error_answer or command
            if call.left:
                return None
            if isinstance(command, Wait):
                await self._state.wait_for_change(command.until - steady_clock())
                command = self._next_command(core)
                continue
            if isinstance(command, RequestPermit):
                answer = await self._permits.request(command.permit_request)
                now = steady_clock()
                command = core.handle_permit(command, answer, now, self._state.retry_sharers(now))
                continue
            result = await self._attempt(call, command)
            if isinstance(result, HttpResponse):
                return result
            phase, wrong_owner = result
            now = steady_clock()
            sharing_nodes = self._state.retry_sharers(now)
            command = core.handle_failure(phase, now, sharing_nodes, wrong_owner)

    def _next_command(self, core: RequestCore) -> Command:
        now = steady_clock()
        return core.next_command(now, self._state.retry_sharers(now))

    async def _attempt(
        self, call: _Call, attempt: Attempt
    ) -> HttpResponse | tuple[FailurePhase, bool]:
        backend = attempt.state.backend
        started = steady_clock()
        added = self._protocol.attempt_headers(backend.name, attempt.until - started)
        request = HttpRequest(
            backend.address,
            call.content.method,
            call.content.target,
            call.headers + added,
            call.content.body,
            # A busy back end resets some new connections; the caller is then told the truth.
            watched=not call.route.repeatable or attempt.ahead >= backend.slots,
        )
        attempt.state.outstanding += 1
        try:
            answer = await self._client.exchange(request, attempt.until)
        except AttemptFailed as error:
            self._note_failed(call, attempt, error)
            self._log.attempt_lost(
                call.request_id, call.content, backend, error.phase, error.problem
            )
            return error.phase, False
        finally:
            attempt.state.outstanding -= 1
        return self._judge(call, attempt, answer, started)

    def _judge(
        self, call: _Call, attempt: Attempt, answer: HttpResponse, started: Seconds
    ) -> HttpResponse | tuple[FailurePhase, bool]:
        """Return an answer that may be passed on, or how the attempt failed."""
        result = self._reader.read(call.request_id, attempt, answer, started)
        if result.phase is None:
            if call.core.guard is not None:
                call.core.guard.record_served(result.received_at)
            took = result.received_at - started
            attempt.state.record_response(
                took, result.load, result.received_at, call.route.name, attempt.ahead
            )
            return answer
        if result.phase is FailurePhase.ERROR_ANSWER:
            call.error_answer = answer
        return result.phase, result.wrong_owner

    def _note_failed(self, call: _Call, attempt: Attempt, error: AttemptFailed) -> None:
        """Take in what a failed attempt says of the back end, and of the request."""
        backend = attempt.state.backend
        now = steady_clock()
        if error.by_other_end and error.phase is FailurePhase.NOT_CONNECTED:
            self._watch.note_refused(backend)
            return
        if error.by_other_end and error.phase not in SURELY_NOT_RUN:
            self._watch.record_lost_request(backend, call.content)
        if now < attempt.until:
            attempt.state.record_failure(now, own_fault=attempt.ahead < backend.slots)

    async def _pass_on(self, send: Send, answer: HttpResponse) -> None:
        dropped = CONNECTION_HEADERS | _named_by_connection(answer.headers)
        headers = [
            (name, value)
            for name, value in answer.headers
            if name not in dropped and name != b"content-length"
        ]
        headers.append((b"content-length", b"%d" % len(answer.body)))
        await self._send(send, answer.status, headers, answer.body)

    async def _refuse(self, send: Send, refuse: Refuse) -> None:
        if refuse.outcome is Outcome.NOT_RUN:
            await self._say(send, NOT_RUN, refuse.retry_after)
            return
        await self._say(send, TIMED_OUT if refuse.reason is RefusalReason.TIMED_OUT else LOST)

    async def _say(self, send: Send, status: int, retry_after: Seconds | None = None) -> None:
        headers = [(b"content-length", b"0")]
        if retry_after is not None:
            headers.append(self._protocol.retry_after(retry_after))
        await self._send(send, status, headers, b"")

    async def _send(self, send: Send, status: int, headers: Headers, body: bytes) -> None:
        if self._state.stopping or self._state.is_isolated(steady_clock()):
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})


def _content(scope: Scope, host: str, body: bytes, position: int | None) -> RequestContent:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    client = scope.get("client")
    caller = client[0] if client else ""
    return RequestContent(scope["method"].encode(), host, target, caller, body, position)


async def _read_body(receive: Receive, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        message: dict[str, Any] = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeft
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            raise BodyTooLarge
        if not message.get("more_body", False):
            return b"".join(parts)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Names that the Connection header declares to concern this connection only."""
    names = [
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    ]
    return frozenset(names)
