"""The metrics of one node."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
DEPTH_BUCKETS = (2, 3, 5, 8, 16, 32, 64)


class Telemetry:
    """The metrics of one node; the number of label values does not grow with keys or requests."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self.registry = registry
        self.requests = Counter(
            "limedeck_requests", "Requests by outcome", ["service", "outcome"], registry=registry
        )
        self.request_seconds = Histogram(
            "limedeck_request_seconds",
            "Time from a request to its answer",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.attempts = Counter(
            "limedeck_failed_attempts",
            "Attempts without an answer to pass on, by where they failed",
            ["service", "phase"],
            registry=registry,
        )
        self.refusals = Counter(
            "limedeck_refusals",
            "Refused requests by what shows that they did not run; none: they may have run",
            ["evidence"],
            registry=registry,
        )
        self.unmatched_responses = Counter(
            "limedeck_unmatched_responses",
            "Responses of back ends that do not name the request sent on their connection last",
            registry=registry,
        )
        self.backend_crashes = Counter(
            "limedeck_backend_crashes",
            "Back ends that ended while they were at work on requests, as this node knows",
            registry=registry,
        )
        self.quarantines = Counter(
            "limedeck_quarantines",
            "Quarantines of requests that end back ends, by whether they began or ended",
            ["change"],
            registry=registry,
        )
        self.quarantined = Gauge(
            "limedeck_quarantined_requests",
            "Requests that are refused because they end back ends, or on probation",
            registry=registry,
        )
        self.suspended_seconds = Counter(
            "limedeck_suspended_seconds",
            "Time that the machine was suspended while this node ran",
            registry=registry,
        )
        self.unreadable_values = Counter(
            "limedeck_strange_words",
            "What others wrote that cannot be read, by what it should be",
            ["kind"],
            registry=registry,
        )
        self.evacuated = Gauge(
            "limedeck_evacuated_zones", "Zones whose back ends get nothing", registry=registry
        )
        self.cold = Gauge(
            "limedeck_cold_back_ends",
            "Back ends that get nothing because they are cold, as far as this node knows",
            registry=registry,
        )
        self.limited = Gauge(
            "limedeck_limited_back_ends",
            "Back ends that name how much they take, as far as this node knows",
            ["service"],
            registry=registry,
        )
        self.leaving = Gauge(
            "limedeck_leaving_back_ends",
            "Back ends that have said in answers that they leave, as far as this node knows",
            ["service"],
            registry=registry,
        )
        self.backing_off = Gauge(
            "limedeck_resting_back_ends",
            "Back ends that have asked this node for rest",
            ["service"],
            registry=registry,
        )
        self.waiting = Gauge(
            "limedeck_waiting_requests",
            "Requests of this node that wait for a back end to have room, by whether they are late",
            ["service", "late"],
            registry=registry,
        )
        self.partitioned = Gauge(
            "limedeck_partitioned", "1 while this node reaches no back end", registry=registry
        )
        self.unreached = Gauge(
            "limedeck_unreached_back_ends",
            "Back ends that this node does not reach while it reaches others",
            registry=registry,
        )
        self.forwarded_attempts = Counter(
            "limedeck_forwarded_attempts",
            "Attempts through another node, and those made for other nodes, by how they ended",
            ["direction", "result"],
            registry=registry,
        )
        self.pipelined_depth = Histogram(
            "limedeck_pipelined_depth",
            "Unanswered requests of a connection when one more was received behind them, with it",
            buckets=DEPTH_BUCKETS,
            registry=registry,
        )
        self.waiting_response_bytes = Gauge(
            "limedeck_waiting_response_bytes",
            "Bytes of responses that wait until earlier requests of their connections are answered",
            registry=registry,
        )
        self.broken_connections = Counter(
            "limedeck_broken_caller_connections",
            "Connections of callers that were closed because of a bound or of malformed input",
            ["cause"],
            registry=registry,
        )
        self.orders = Counter(
            "limedeck_orders", "Grants and releases", ["kind", "result"], registry=registry
        )
        self.owner_changes = Counter(
            "limedeck_owner_changes", "Ranges that changed owner", ["cause"], registry=registry
        )
        self.store_era = Gauge(
            "limedeck_store_era",
            "Times that the store has returned from a copy, as far as this node knows",
            registry=registry,
        )
        self.store_calls = Counter(
            "limedeck_store_calls",
            "Calls to the store",
            ["kind", "table", "result"],
            registry=registry,
        )
        self.held_bytes = Gauge(
            "limedeck_held_bytes",
            "Bytes held in memory for callers, back ends and other nodes",
            ["purpose"],
            registry=registry,
        )
        self.broken_off = Counter(
            "limedeck_broken_off",
            "Readers, responses and requests that were given up for their memory",
            ["purpose", "cause"],
            registry=registry,
        )
        self.leads = Gauge("limedeck_leads", "1 while this node leads", registry=registry)
        self.term = Gauge("limedeck_term", "Newest term known", registry=registry)
        self.configuration = Gauge(
            "limedeck_configuration_version", "Version in force", registry=registry
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
