"""Makes attempts through other nodes."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from limedeck.clock import steady_clock
from limedeck.forwarding.intermediaries import Intermediaries, Intermediary
from limedeck.forwarding.protocol import Headers
from limedeck.http_client import HttpClient, HttpRequest, HttpResponse
from limedeck.identity import Seconds
from limedeck.node import intermediary_messages as messages
from limedeck.node.logs import RateLimit, get_logger
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

MAX_TRIED = 4
"""Nodes that are asked for one attempt: half of those that the leader names."""
MAX_FAILED_CONNECTIONS = 2
"""Intermediaries that must try to connect to a back end in vain before it counts as failed."""
PROBE_TARGET = b"/"
LOGGED_PER_SECOND = 20
"""Lines about attempts that failed at other nodes, at most."""
NO_INTERMEDIARY = "no other node reaches it"
"""Problem of an attempt for which there was no intermediary."""


def always() -> bool:
    """Return True: a request whose caller is not known to have left is wanted."""
    return True


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is to be sent to the back end, and the attempt that it is part of.

    Parameters
    ----------
    is_wanted
        Whether the caller still waits for the response; otherwise no further node is asked.
    """

    attempt: messages.ForwardedAttempt
    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    is_wanted: Callable[[], bool] = always


class IntermediaryClient:
    """The attempts that one node makes through others."""

    def __init__(self, intermediaries: Intermediaries, client: HttpClient) -> None:
        self._intermediaries = intermediaries
        self._client = client
        self._log = get_logger("intermediary")
        self._log_limit = RateLimit(LOGGED_PER_SECOND)

    async def exchange(self, request: ForwardedRequest, until: Seconds) -> HttpResponse:
        """Have another node make an attempt, and return the back end's response.

        Raises
        ------
        AttemptFailed
            There is no complete response by `until` (on this node's clock). The phase tells whether
            the request may have run, also if the connection to the other node was lost.
        """
        backend_id = request.attempt.backend_id
        tried: set[str] = set()
        failures: list[AttemptFailed] = []
        while (
            len(tried) < MAX_TRIED
            and len(failures) < MAX_FAILED_CONNECTIONS
            and request.is_wanted()
        ):
            chosen = self._choose(request, tried)
            if chosen is None:
                break
            tried.add(chosen.address)
            try:
                response = await self._exchange_through(chosen, request, until)
            except messages.IntermediaryUnable:
                self._record_failed(chosen, request, messages.AttemptResult.UNABLE.value)
                if steady_clock() >= until:
                    break
                self._intermediaries.avoid(chosen.address, steady_clock())
                continue
            except AttemptFailed as error:
                self._record_failed(chosen, request, str(error))
                if error.phase is not FailurePhase.NOT_CONNECTED:
                    raise
                self._intermediaries.record_unreached(chosen.address, backend_id, steady_clock())
                if error.problem != messages.UNREACHED:
                    failures.append(error)
                continue
            self._intermediaries.record_served_backend(backend_id)
            return response
        if not failures:
            self._intermediaries.record_none_able(steady_clock())
            raise AttemptFailed(FailurePhase.NOT_CONNECTED, NO_INTERMEDIARY)
        if request.is_wanted():
            self._intermediaries.record_failed_backend(backend_id, steady_clock())
        raise failures[0]

    def _record_failed(self, chosen: Intermediary, request: ForwardedRequest, problem: str) -> None:
        if request.attempt.kind is messages.AttemptKind.REQUEST and self._log_limit.allows():
            self._log.info(
                "forwarded_attempt_failed",
                request=request.request_id.decode("latin-1"),
                backend=request.attempt.backend_id,
                intermediary=chosen.address,
                problem=problem,
            )

    async def probe(self, backend_id: str, until: Seconds) -> None:
        """Have another node connect to a back end.

        Raises
        ------
        AttemptFailed
            No other node has connected to it by `until` (on this node's clock).
        """
        attempt = messages.ForwardedAttempt(
            backend_id, until - steady_clock(), messages.AttemptKind.PROBE
        )
        request = ForwardedRequest(attempt, backend_id.encode(), b"GET", PROBE_TARGET, [])
        await self.exchange(request, until)

    def _choose(self, request: ForwardedRequest, tried: Collection[str]) -> Intermediary | None:
        backend_id = request.attempt.backend_id
        return self._intermediaries.choose(backend_id, request.request_id, tried, steady_clock())

    async def _exchange_through(
        self, chosen: Intermediary, request: ForwardedRequest, until: Seconds
    ) -> HttpResponse:
        headers = messages.without_attempt_headers(request.headers)
        is_probe = request.attempt.kind is messages.AttemptKind.PROBE
        sent = HttpRequest(
            chosen.address,
            request.method,
            request.target,
            headers + messages.attempt_headers(request.attempt, request.request_id),
            request.body,
            b"" if is_probe else request.request_id,
        )
        self._intermediaries.record_sent(chosen.address)
        try:
            response = await self._client.exchange(sent, until)
        except AttemptFailed as error:
            if error.phase is FailurePhase.NOT_CONNECTED:
                raise messages.IntermediaryUnable from error
            # The other node was lost, not the back end.
            raise AttemptFailed(error.phase, error.problem) from error
        finally:
            self._intermediaries.record_ended(chosen.address)
        return messages.read_result(response, request.request_id)
