"""Sends attempts to back ends, and records what they show about which of them are reached."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.clock import steady_clock
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.protocol import CallerProtocol, Headers
from limedeck.http_client import UNACKNOWLEDGED, HttpClient, HttpRequest, HttpResponse
from limedeck.identity import Seconds
from limedeck.model import Backend
from limedeck.node.reachability_monitor import ReachabilityMonitor
from limedeck.routing.outcomes import SURELY_NOT_RUN, AttemptFailed, FailurePhase

RECENT_CONTACT: Seconds = 0.1
"""A reset is not taken for a sign of a broken link if another back end has responded since then."""


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """One attempt of a request, without the headers that depend on when it is sent.

    Parameters
    ----------
    watched
        See `HttpRequest`.
    """

    backend: Backend
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    watched: bool


class BackendPaths:
    """The ways on which this node reaches back ends."""

    def __init__(
        self,
        directory: BackendDirectory,
        protocol: CallerProtocol,
        client: HttpClient,
        monitor: ReachabilityMonitor,
    ) -> None:
        self._reachability = directory.reachability
        self._protocol = protocol
        self._client = client
        self._monitor = monitor
        self._waiting: dict[object, Seconds] = {}
        monitor.oldest_request = self._oldest_request

    async def exchange(self, request: BackendRequest, until: Seconds) -> HttpResponse:
        """Send a request to its back end, and wait for the complete response.

        Raises
        ------
        AttemptFailed
            There is no complete response by `until` (on this node's clock).
        """
        waiting = object()
        self._waiting[waiting] = steady_clock()
        try:
            response = await self._client.exchange(self._encode(request, until), until)
        except AttemptFailed as error:
            if self._may_be_broken_link(error):
                self._monitor.suspect(request.backend.backend_id)
            raise
        finally:
            del self._waiting[waiting]
        self._reachability.record_response(steady_clock())
        return response

    def _encode(self, request: BackendRequest, until: Seconds) -> HttpRequest:
        backend = request.backend
        added = self._protocol.attempt_headers(backend.name, until - steady_clock())
        return HttpRequest(
            backend.address,
            request.method,
            request.target,
            request.headers + added,
            request.body,
            request.watched,
        )

    def _may_be_broken_link(self, error: AttemptFailed) -> bool:
        if error.phase is FailurePhase.NOT_CONNECTED or error.problem == UNACKNOWLEDGED:
            return True
        is_reset = error.by_other_end and error.phase not in SURELY_NOT_RUN
        return is_reset and not self._reachability.had_contact_since(
            steady_clock() - RECENT_CONTACT
        )

    def _oldest_request(self) -> Seconds | None:
        return min(self._waiting.values(), default=None)
