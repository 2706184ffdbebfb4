"""Sends a leader's grants and releases to back ends, and feeds their answers back to its core."""

from __future__ import annotations

from limedeck.clock import steady_clock
from limedeck.forwarding.backends import BackendDirectory, Endpoint
from limedeck.forwarding.leaving import LeavingStatement
from limedeck.http_client import HttpClient, HttpRequest, HttpResponse
from limedeck.identity import Seconds
from limedeck.node.logs import get_logger
from limedeck.node.telemetry import Telemetry
from limedeck.ownership.orders import Grant, OrderProtocol, Release
from limedeck.ownership.service import ServiceOwnership
from limedeck.routing.outcomes import AttemptFailed

RELEASE_TIMEOUT: Seconds = 1.0
"""A release is answered when the requests that run on its keys have ended."""
UNKNOWN_ADDRESS = "0.0.0.0:0"
"""Of a recorded owner that was never listed while this process ran; no order reaches it."""


class OrderSender:
    """Carries out `SendGrant` and `SendRelease` for every service that this node leads.

    Parameters
    ----------
    directory
        Tells where back ends are.
    timeout
        A grant without an answer for so long, in seconds, counts as lost.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        orders: OrderProtocol,
        client: HttpClient,
        timeout: Seconds,
        telemetry: Telemetry,
    ) -> None:
        self._directory = directory
        self._orders = orders
        self._client = client
        self._timeout = timeout
        self._telemetry = telemetry
        self._log = get_logger("control")

    async def send_grant(self, name: str, core: ServiceOwnership, order: Grant) -> None:
        """Send a grant, and tell the core what came of it."""
        sent_at = steady_clock()
        request = self._order_request(order.backend_id, order)
        try:
            answer = await self._client.exchange(request, sent_at + self._timeout)
        except AttemptFailed as error:
            self._note_lost(name, core, order, str(error))
            return
        done = self._orders.is_done(answer.status)
        fenced_off = self._orders.is_fenced_off(answer.status)
        if done or fenced_off:
            self._note_leaving(order.backend_id, answer, sent_at)
        self._telemetry.orders.labels("grant", str(answer.status)).inc()
        if not done:
            self._log.warning("grant_refused", service=name, status=answer.status, **_told(order))
        core.handle_grant_answer(order, done, fenced_off, sent_at, steady_clock())

    async def send_release(self, name: str, core: ServiceOwnership, order: Release) -> None:
        """Send a release, and tell the core what came of it."""
        sent_at = steady_clock()
        request = self._order_request(order.backend_id, order)
        try:
            answer = await self._client.exchange(request, sent_at + RELEASE_TIMEOUT)
        except AttemptFailed as error:
            self._note_lost(name, core, order, str(error))
            return
        done = self._orders.is_done(answer.status)
        if done:
            self._note_leaving(order.backend_id, answer, sent_at)
        self._telemetry.orders.labels("release", str(answer.status)).inc()
        handover = self._orders.handover(answer.headers)
        self._log.info(
            "released", service=name, status=answer.status, handover=bool(handover), **_told(order)
        )
        core.handle_release_answer(order, done, handover, steady_clock())

    def _note_leaving(self, backend_id: str, answer: HttpResponse, sent_at: Seconds) -> None:
        """Record a leaving announcement; an idle owner makes it only in answers to orders."""
        if self._orders.is_leaving(answer.headers):
            statement = LeavingStatement(True, sent_at, steady_clock())
            self._directory.leaving.record(backend_id, statement)

    def _note_lost(
        self, name: str, core: ServiceOwnership, order: Grant | Release, problem: str
    ) -> None:
        kind = "grant" if isinstance(order, Grant) else "release"
        self._telemetry.orders.labels(kind, "lost").inc()
        self._log.info("order_lost", service=name, kind=kind, problem=problem, **_told(order))
        core.handle_order_lost(order, steady_clock())

    def _order_request(self, backend_id: str, order: Grant | Release) -> HttpRequest:
        contact = self._directory.last_endpoint(backend_id) or Endpoint(UNKNOWN_ADDRESS, backend_id)
        address = contact.address
        if isinstance(order, Grant):
            written = self._orders.grant(order, contact.instance)
        else:
            written = self._orders.release(order, contact.instance)
        headers = [
            (b"host", address.encode()),
            *written.headers,
            (b"content-length", b"%d" % len(written.body)),
        ]
        return HttpRequest(address, b"POST", written.path, headers, written.body)


def _told(order: Grant | Release) -> dict[str, object]:
    return {
        "backend": order.backend_id,
        "first": order.first,
        "last": order.last,
        "fence": order.fence,
    }
