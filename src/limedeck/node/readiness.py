"""Serves the readiness check, the metrics and the inspection of a node."""

from __future__ import annotations

from limedeck.clock import steady_clock
from limedeck.node.asgi import Application, Receive, Scope, Send
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry

READY = 200
NOT_READY = 503
METRICS_PATH = "/metrics"
INSPECTION_PREFIX = "/limedeck/"


class ReadinessApplication:
    """ASGI application: metrics, inspection, and the readiness check on any other path."""

    def __init__(self, state: NodeState, telemetry: Telemetry, inspection: Application) -> None:
        self._state = state
        self._telemetry = telemetry
        self._inspection = inspection

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request."""
        if scope["type"] != "http":
            return
        if scope["path"] == METRICS_PATH:
            await _respond(send, READY, self._telemetry.exposition())
        elif scope["path"].startswith(INSPECTION_PREFIX):
            await self._inspection(scope, receive, send)
        else:
            await _respond(send, READY if self._state.is_ready(steady_clock()) else NOT_READY, b"")


async def _respond(send: Send, status: int, body: bytes) -> None:
    headers = [(b"content-length", b"%d" % len(body)), (b"content-type", b"text/plain")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
