"""HTTP endpoints for monitoring: metrics, health and readiness."""

from __future__ import annotations

from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from limedeck.daemon.control_host import ControlHost
from limedeck.daemon.telemetry import Telemetry
from limedeck.node.asgi import Receive, Scope, Send


class AdminApplication:
    """ASGI application for ``/metrics``, ``/healthz`` and ``/readyz``.

    ``/healthz`` returns 200 while the process runs; ``/readyz`` returns 200 when the node has a
    configuration and is not stopping.
    """

    def __init__(self, host: ControlHost, telemetry: Telemetry) -> None:
        self._host = host
        self._telemetry = telemetry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        status, content_type, body = self._respond(scope)
        headers: list[tuple[bytes, bytes]] = [
            (b"content-type", content_type.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        start: dict[str, Any] = {"type": "http.response.start", "status": status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def _respond(self, scope: Scope) -> tuple[int, str, bytes]:
        path = scope["path"]
        if path == "/metrics":
            self._update_leadership_gauge()
            return 200, CONTENT_TYPE_LATEST, generate_latest(self._telemetry.registry)
        if path == "/healthz":
            return 200, "text/plain", b"ok\n"
        if path == "/readyz":
            return self._readiness()
        return 404, "text/plain", b"not found\n"

    def _readiness(self) -> tuple[int, str, bytes]:
        if self._host.core.leaving:
            return 503, "text/plain", b"leaving\n"
        if self._host.core.config.revision == 0:
            return 503, "text/plain", b"no configuration\n"
        return 200, "text/plain", b"ready\n"

    def _update_leadership_gauge(self) -> None:
        for group, core in self._host.core.groups.items():
            self._telemetry.leads.labels(group).set(int(core.consensus.is_leader))
