"""Metrics of one daemon."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

REQUEST_BUCKETS = (0.001, 0.002, 0.004, 0.009, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class Telemetry:
    """All metrics, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "limedeck_requests",
            "Callers' requests by service, outcome and reason",
            ["service", "outcome", "reason"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "limedeck_request_seconds",
            "Time from a request's headers to the end of its answer",
            ["service"],
            buckets=REQUEST_BUCKETS,
            registry=self.registry,
        )
        self.attempts = Counter(
            "limedeck_attempts",
            "Attempts at back ends by service and result",
            ["service", "result"],
            registry=self.registry,
        )
        self.running = Gauge(
            "limedeck_attempts_running", "Attempts under way", registry=self.registry
        )
        self.waiting = Gauge(
            "limedeck_waiting_requests",
            "Requests that wait for an owner or for capacity",
            ["service"],
            registry=self.registry,
        )
        self.peer_messages = Counter(
            "limedeck_peer_messages",
            "Messages between nodes by direction and kind",
            ["direction", "kind"],
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            "limedeck_peer_bytes",
            "Bytes of messages between nodes by direction",
            ["direction"],
            registry=self.registry,
        )
        self.lease_exchanges = Counter(
            "limedeck_lease_exchanges",
            "Lease exchanges with back ends by result",
            ["result"],
            registry=self.registry,
        )
        self.lease_bytes = Counter(
            "limedeck_lease_bytes",
            "Bytes of lease exchanges, HTTP headers included, by direction",
            ["direction"],
            registry=self.registry,
        )
        self.config_revision = Gauge(
            "limedeck_config_revision", "Configuration in force", registry=self.registry
        )
        self.route_version = Gauge(
            "limedeck_route_version",
            "Version of each group's assignment",
            ["group"],
            registry=self.registry,
        )
        self.leads = Gauge(
            "limedeck_leads_group",
            "1 for each control group that this node leads",
            ["group"],
            registry=self.registry,
        )
