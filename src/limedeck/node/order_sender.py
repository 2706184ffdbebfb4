"""Sends a leader's grants and releases to back ends, and passes their responses to its core."""

from __future__ import annotations

import dataclasses

from limedeck import http_client
from limedeck.clock import steady_clock
from limedeck.forwarding.backends import BackendDirectory, Endpoint
from limedeck.forwarding.leaving import LeavingStatement
from limedeck.http_client import HttpClient, HttpRequest, HttpResponse
from limedeck.identity import Seconds
from limedeck.node.logs import get_logger
from limedeck.node.reachability_monitor import ReachabilityMonitor
from limedeck.node.telemetry import Telemetry
from limedeck.ownership.orders import Grant, OrderProtocol, Release
from limedeck.ownership.service import ServiceOwnership
from limedeck.routing.outcomes import AttemptFailed

RELEASE_TIMEOUT: Seconds = 1.0
"""A back end responds to a release once the requests that run on its keys have ended."""
UNKNOWN_ADDRESS = "0.0.0.0:0"
"""Address of a recorded owner that was never listed while this process ran; no order reaches it."""


class OrderSender:
    """Carries out `SendGrant` and `SendRelease` for every service that this node leads.

    Parameters
    ----------
    directory
        Provides the endpoints of back ends.
    timeout
        A grant without a response within this time, in seconds, counts as lost.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        orders: OrderProtocol,
        client: HttpClient,
        timeout: Seconds,
        telemetry: Telemetry,
        monitor: ReachabilityMonitor,
    ) -> None:
        self._monitor = monitor
        self._directory = directory
        self._orders = orders
        self._client = client
        self._timeout = timeout
        self._telemetry = telemetry
        self._log = get_logger("control")

    async def send_grant(self, name: str, core: ServiceOwnership, order: Grant) -> None:
        """Send a grant, and pass the result to the core."""
        sent_at = steady_clock()
        request = self._order_request(order.backend_id, order)
        try:
            response = await self._client.exchange(request, sent_at + self._timeout)
        except AttemptFailed as error:
            self._record_lost_order(name, core, order, str(error))
            return
        self._monitor.record_response(order.backend_id)
        done = self._orders.is_done(response.status)
        fenced_off = self._orders.is_fenced_off(response.status)
        if done or fenced_off:
            self._record_leaving(order.backend_id, response, sent_at)
        self._telemetry.orders.labels("grant", str(response.status)).inc()
        if not done:
            self._log.warning(
                "grant_refused", service=name, status=response.status, **_log_fields(order)
            )
        core.handle_grant_response(order, done, fenced_off, sent_at, steady_clock())

    async def send_release(self, name: str, core: ServiceOwnership, order: Release) -> None:
        """Send a release, and pass the result to the core."""
        sent_at = steady_clock()
        try:
            response = await self._exchange_release(order, sent_at + RELEASE_TIMEOUT)
        except AttemptFailed as error:
            self._record_lost_order(name, core, order, str(error))
            return
        done = self._orders.is_done(response.status)
        if done:
            self._record_leaving(order.backend_id, response, sent_at)
        self._telemetry.orders.labels("release", str(response.status)).inc()
        handover = self._orders.handover(response.headers)
        self._log.info(
            "released",
            service=name,
            status=response.status,
            handover=bool(handover),
            **_log_fields(order),
        )
        core.handle_release_response(order, done, handover, steady_clock())

    async def _exchange_release(self, order: Release, until: Seconds) -> HttpResponse:
        """Send a release; return a response that belongs to it and to no other order.

        A back end may respond to a grant twice, and the second response would report a release as
        carried out whose keys are still in use.

        Raises
        ------
        AttemptFailed
            There is no such response by `until` (on this node's clock).
        """
        request = self._order_request(order.backend_id, order)
        # The response to this release may come twice as well, so no order follows it.
        shared = dataclasses.replace(
            request,
            is_answered_by=self._may_answer_release,
            keeps_connection=http_client.no_response,
        )
        try:
            return await self._client.exchange(shared, until)
        except AttemptFailed as error:
            if error.problem != http_client.FOREIGN_RESPONSE:
                raise
        self._telemetry.unmatched_responses.inc()
        self._log.info("release_repeated", **_log_fields(order))
        alone = dataclasses.replace(request, has_own_connection=True)
        return await self._client.exchange(alone, until)

    def _may_answer_release(self, response: HttpResponse) -> bool:
        is_done = self._orders.is_done(response.status)
        return not is_done or self._orders.is_release_response(response.status, response.headers)

    def _record_leaving(self, backend_id: str, response: HttpResponse, sent_at: Seconds) -> None:
        """Record a leaving announcement; an idle owner makes it only in responses to orders."""
        if self._orders.is_leaving(response.headers):
            statement = LeavingStatement(True, sent_at, steady_clock())
            self._directory.leaving.record(backend_id, statement)

    def _record_lost_order(
        self, name: str, core: ServiceOwnership, order: Grant | Release, problem: str
    ) -> None:
        kind = "grant" if isinstance(order, Grant) else "release"
        self._telemetry.orders.labels(kind, "lost").inc()
        self._log.info("order_lost", service=name, kind=kind, problem=problem, **_log_fields(order))
        self._monitor.record_failed_exchange(order.backend_id)
        core.handle_order_lost(order, steady_clock())

    def _order_request(self, backend_id: str, order: Grant | Release) -> HttpRequest:
        endpoint = self._directory.last_endpoint(backend_id) or Endpoint(
            UNKNOWN_ADDRESS, backend_id
        )
        address = endpoint.address
        if isinstance(order, Grant):
            encoded = self._orders.grant(order, endpoint.instance)
        else:
            encoded = self._orders.release(order, endpoint.instance)
        headers = [
            (b"host", address.encode()),
            *encoded.headers,
            (b"content-length", b"%d" % len(encoded.body)),
        ]
        return HttpRequest(
            address,
            b"POST",
            encoded.path,
            headers,
            encoded.body,
            keeps_connection=lambda response: self._orders.is_done(response.status),
        )


def _log_fields(order: Grant | Release) -> dict[str, object]:
    return {
        "backend": order.backend_id,
        "first": order.first,
        "last": order.last,
        "fence": order.fence,
    }
