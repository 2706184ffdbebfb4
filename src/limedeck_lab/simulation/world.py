"""A complete simulated deployment and one run of it."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from limedeck.api.peer_pb2 import ConfigObject, ConfigUpdate
from limedeck.config.changes import apply_config
from limedeck.config.objects import ObjectKey, object_key
from limedeck.config.replica import ConfigReplica
from limedeck.config.store import ConfigState
from limedeck.control.events import ConfigReceived, ControlEvent
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.errors import InvariantViolation
from limedeck.identity import GroupId, NodeId, Seconds, keyed_group
from limedeck.measures import max_over_mean
from limedeck.routing.outcomes import Outcome
from limedeck_lab.simulation.backends import BackendSize, SimulatedBackend
from limedeck_lab.simulation.callers import SimulatedCallers
from limedeck_lab.simulation.cost import ControlCost, control_cost
from limedeck_lab.simulation.faults import FAULT_FREE_START, FaultSchedule
from limedeck_lab.simulation.kernel import DriftingClock, Kernel
from limedeck_lab.simulation.monitor import HistoryLine, Monitor, RunViolated
from limedeck_lab.simulation.network import Network, Place
from limedeck_lab.simulation.nodes import NodeEnvironment, SimulatedNode
from limedeck_lab.simulation.platform import SimulatedPlatform
from limedeck_lab.simulation.processes import SimulatedProcess
from limedeck_lab.simulation.sabotage import apply_sabotage, rules_under
from limedeck_lab.site import Site

QUEUE_LIMIT = 64
FIRST_PORT = 20_000
CALLERS_STOP_BEFORE_END: Seconds = 20.0
"""Callers stop this long before the end, so that each request has an outcome by then."""
MAX_UNSERVED_AT_END: Seconds = 5.0
"""Ranges may be unserved for at most this long when the run ends."""
COST_SETTLING_TIME: Seconds = 5.0
"""Time that the site gets to settle after `FAULT_FREE_START` before its cost is counted."""


@dataclass(frozen=True)
class RunPlan:
    """What to simulate.

    Parameters
    ----------
    seconds
        Simulated time.
    faults
        Names of the faults to draw from.
    fault_interval
        Mean time between two faults.
    request_rate
        Callers' requests per second.
    sabotage
        Name of the sabotage that breaks a rule of the product; empty for none.
    measures_cost
        Whether to count messages, bytes and processor time of control once the site is up.
    """

    site: Site
    seed: int
    seconds: Seconds
    faults: Sequence[str] = ()
    fault_interval: Seconds = 8.0
    request_rate: float = 20.0
    sabotage: str = ""
    measures_cost: bool = False
    timing: ControlTiming = field(default_factory=ControlTiming)
    limits: ControlLimits = field(default_factory=ControlLimits)


@dataclass
class RunReport:
    """Results of a run."""

    plan: RunPlan
    violations: list[str]
    history: list[HistoryLine]
    requests: dict[str, int]
    reasons: dict[str, int]
    imbalance: dict[str, float]
    churn: dict[str, float]
    unavailable: dict[str, object]
    events: int
    wall_seconds: float
    cost: ControlCost | None = None

    def to_dict(self) -> dict[str, object]:
        """Return the report as one JSON record."""
        record: dict[str, object] = {
            "site": self.plan.site.name,
            "seed": self.plan.seed,
            "simulated_seconds": self.plan.seconds,
            "faults": list(self.plan.faults),
            "sabotage": self.plan.sabotage,
            "violations": self.violations,
            "requests": self.requests,
            "reasons": self.reasons,
            "imbalance": self.imbalance,
            "churn": self.churn,
            "unavailable_seconds": self.unavailable,
            "events_per_second": round(self.events / max(self.wall_seconds, 1e-9)),
            "simulated_per_second": round(self.plan.seconds / max(self.wall_seconds, 1e-9), 1),
        }
        if self.cost is not None:
            record["control_cost"] = self.cost.to_dict()
        return record


class World:
    """All processes of a deployment on simulated time."""

    def __init__(self, plan: RunPlan) -> None:
        self.plan = plan
        self.site = plan.site
        self.kernel = Kernel()
        self._random = random.Random(f"{plan.site.name}/{plan.seed}")
        self.network = Network(
            self.kernel, plan.site.zone_delay_ms / 1000, self._generator("network")
        )
        self.platform = SimulatedPlatform(self.kernel, self._generator("platform"), 10.0)
        self.environment = NodeEnvironment(
            self.kernel, self.network, self.platform, plan.timing, plan.limits
        )
        groups = {
            keyed_group(service.name, index, service.control_groups): service.name
            for service in plan.site.services
            if service.ownership == "keyed"
            for index in range(service.control_groups)
        }
        self.monitor = Monitor(self.kernel, groups)
        self.environment.observer = self.monitor
        self.environment.config_source = self._config_newer_than
        self.environment.keeps_voter_identity = plan.sabotage == "forgotten-promise"
        self._config = ConfigReplica()
        self.nodes = self._build_nodes()
        self.backends = self._build_backends()
        self.monitor.nodes = self.nodes
        self.monitor.set_backends(self._backends_by_group())
        self.callers = SimulatedCallers(
            self.kernel,
            self.network,
            plan.site,
            self.nodes,
            {item.place.machine: item for item in self.backends},
            plan.request_rate,
            self._generator("callers"),
        )

    # ------------------------------------------------------------------ building

    def _generator(self, name: str) -> random.Random:
        return random.Random(f"{self.plan.site.name}/{self.plan.seed}/{name}")

    def _clock(self) -> DriftingClock:
        drift = self.plan.timing.clock_drift
        rate = 1.0 + self._random.uniform(-drift, drift)
        return DriftingClock(self.kernel, self._random.uniform(0.0, 1e6), rate)

    def _build_nodes(self) -> list[SimulatedNode]:
        nodes = []
        for zone in self.site.zones:
            for number in range(1, self.site.nodes_per_zone + 1):
                name = f"{zone}-{number}"
                place = Place(name, zone)
                nodes.append(SimulatedNode(self.environment, NodeId(name), place, self._clock()))
        return nodes

    def _build_backends(self) -> list[SimulatedBackend]:
        services = {item.name: item for item in self.site.services}
        rules = rules_under(self.plan.sabotage)
        backends = []
        for configured in self.site.backend_objects("127.0.0.1", FIRST_PORT):
            service = services[configured.service]
            backend = SimulatedBackend(
                self.kernel,
                configured,
                service.ownership == "keyed",
                BackendSize(service.slots, QUEUE_LIMIT, service.service_ms / 1000),
                self._clock(),
                self._generator(configured.backend_id),
                self.monitor,
                rules,
            )
            backends.append(backend)
            self.environment.backends_by_address[configured.address] = backend
        return backends

    def _backends_by_group(self) -> dict[GroupId, list[SimulatedBackend]]:
        """Return keyed back ends by the control group that the configuration assigns them to."""
        counts = {item.name: item.control_groups for item in self.site.services}
        by_id = {item.place.machine: item for item in self.backends}
        found: dict[GroupId, list[SimulatedBackend]] = {}
        for item in self._site_objects():
            if item.HasField("backend") and by_id[item.backend.backend_id].keyed:
                service = item.backend.service
                group = keyed_group(service, item.backend.control_group, counts[service])
                found.setdefault(group, []).append(by_id[item.backend.backend_id])
                by_id[item.backend.backend_id].group = group
        return found

    # ------------------------------------------------------------------ configuration

    def _site_objects(self) -> list[ConfigObject]:
        configured = [item.configured for item in self.backends]
        planner = apply_config(self.site.service_objects(), configured, 0)
        return list(planner(ConfigState(0, {})))

    def _apply_site_config(self) -> None:
        self._commit(self._site_objects())

    def _commit(self, objects: list[ConfigObject]) -> None:
        revision = self._config.revision + 1
        for item in objects:
            item.revision = revision
        update = ConfigUpdate(
            revision=revision, previous_revision=self._config.revision, objects=objects
        )
        self._config.apply(update)
        for node in self.nodes:
            if node.is_running:
                node.receive_config(ConfigReceived(update))
                break

    def _config_newer_than(self, revision: int) -> ControlEvent | None:
        if self._config.revision <= revision:
            return None
        return ConfigReceived(self._config.whole())

    def set_draining(self, backend_id: str, draining: bool) -> None:
        """Change a back end's configuration, as operators do."""
        held = self._config.objects.get(ObjectKey("backend", backend_id))
        if held is None or self.platform.faults.down:
            return
        changed = ConfigObject()
        changed.CopyFrom(held)
        changed.backend.draining = draining
        assert object_key(changed).name == backend_id
        self._commit([changed])

    # ------------------------------------------------------------------ processes

    def processes(self) -> Iterable[SimulatedProcess]:
        """Return all nodes and back ends."""
        return (*self.nodes, *self.backends)

    def seconds_left(self) -> Seconds:
        """Simulated time until the end of the run."""
        return self.plan.seconds - self.kernel.now

    def leader(self) -> SimulatedNode | None:
        """Return the first node that leads a group now."""
        for node in self.nodes:
            if not node.is_running:
                continue
            now = node.clock.read()
            if any(core.may_grant(now) for core in node.core.groups.values()):
                return node
        return None

    def start_process(self, process: SimulatedProcess) -> None:
        """Start a process; add a node's machine to the platform's list."""
        if isinstance(process, SimulatedNode):
            self.platform.list_machine(process.node_id, process.address)
        process.start()

    def unlist_unless_restarted(self, process: SimulatedProcess) -> None:
        """Remove a killed node's machine from the platform's list after its lag."""
        if isinstance(process, SimulatedNode):
            self.platform.unlist_later(process.node_id, lambda: not process.is_up)

    # ------------------------------------------------------------------ running

    def run(self) -> RunReport:
        """Run the plan; stop at the first violation."""
        started = time.perf_counter()
        with apply_sabotage(self.plan.sabotage):
            try:
                self._run()
            except RunViolated:
                pass
            except InvariantViolation as error:
                self._report_violation(error)
        return self._report(time.perf_counter() - started)

    def _start_cost_count(self) -> None:
        traffic = self.environment.traffic
        traffic.is_counted = True
        self.kernel.after(COST_SETTLING_TIME, traffic.clear)

    def _cost(self) -> ControlCost | None:
        if not self.plan.measures_cost:
            return None
        seconds = self.plan.seconds - FAULT_FREE_START - COST_SETTLING_TIME
        return control_cost(self.environment.traffic, self.nodes, seconds)

    def _report_violation(self, error: InvariantViolation) -> None:
        try:
            self.monitor.report_product_violation(error, "product")
        except RunViolated:
            return

    def _run(self) -> None:
        end = self.plan.seconds
        for process in self.processes():
            delay = self._random.uniform(0.0, 1.0)
            self.kernel.after(delay, lambda process=process: self.start_process(process))  # type: ignore[misc]
        self.kernel.after(2.0, self._apply_site_config)
        self.kernel.after(2.0, self.monitor.observe)
        self.kernel.after(FAULT_FREE_START / 2, self.callers.begin)
        if self.plan.measures_cost:
            self.kernel.after(FAULT_FREE_START, self._start_cost_count)
        FaultSchedule(
            self, self.plan.faults, self.plan.fault_interval, end, self._generator("faults")
        ).begin()
        self.kernel.after(end - CALLERS_STOP_BEFORE_END, self._stop_callers)
        self.kernel.run_until(end)
        self._check_end()

    def _stop_callers(self) -> None:
        self.callers.stopped = True

    def _check_end(self) -> None:
        """Check that all keys are served after the faults, and that callers' outcomes were true."""
        for group, observed in self.monitor.groups.items():
            for part, since in observed.unavailable.open_since.items():
                if self.kernel.now - since > MAX_UNSERVED_AT_END:
                    detail = f"{group} {part[0]:#x} since {since:.1f} s"
                    self.monitor.report_violation("served-again", detail, "end of run")
            if not observed.was_assigned:
                self.monitor.report_violation(
                    "served-again", f"{group} was never served", "end of run"
                )
        executions: dict[str, int] = {}
        for backend in self.backends:
            for request_id, count in backend.executions.items():
                executions[request_id] = executions.get(request_id, 0) + count
        for record in self.callers.records.values():
            self._check_record(record.request_id, record.outcome, executions)

    def _check_record(
        self, request_id: str, outcome: Outcome | None, executions: dict[str, int]
    ) -> None:
        count = executions.get(request_id, 0)
        record = self.callers.records[request_id]
        unrepeatable = self.callers.is_unrepeatable(record)
        if outcome is None:
            self.monitor.report_violation("every-request-ends", request_id, "end of run")
        if outcome is Outcome.NOT_RUN and count > 0:
            self.monitor.report_violation("not-run-means-not-run", request_id, record.reason)
        if outcome is Outcome.WHOLE and unrepeatable and count != 1:
            self.monitor.report_violation(
                "whole-means-run-once", f"{request_id}: {count}", "end of run"
            )
        if unrepeatable and count > 1:
            self.monitor.report_violation("unrepeatable-runs-once", request_id, "end of run")

    def _load_imbalance(self) -> float:
        """Return the highest load over the mean load of back ends, for the worst keyed service."""
        loads: dict[str, list[float]] = {}
        for item in self.backends:
            if item.keyed:
                load = self.monitor.load_by_backend.get(item.place.machine, 0)
                loads.setdefault(item.configured.service, []).append(load)
        return max((max_over_mean(values) for values in loads.values()), default=1.0)

    def _report(self, wall_seconds: float) -> RunReport:
        groups = self.monitor.groups
        totals = {group: observed.unavailable.total for group, observed in groups.items()}
        worst = {group: observed.unavailable.worst for group, observed in groups.items()}
        counts = self.callers.counts
        return RunReport(
            plan=self.plan,
            violations=self.monitor.violations,
            history=list(self.monitor.history),
            requests={
                "sent": counts.sent,
                "whole": counts.whole,
                "not_run": counts.not_run,
                "unknown": counts.unknown,
                "wrong": 0,
                "duplicated": sum("runs-once" in item for item in self.monitor.violations),
            },
            reasons=dict(counts.reasons),
            imbalance={
                "load": self._load_imbalance(),
                "share": max(
                    (self.monitor.keyspace_imbalance(group) for group in groups), default=1
                ),
            },
            churn={group: observed.churn for group, observed in groups.items()},
            unavailable={
                "worst": max(worst.values(), default=0.0),
                "total": sum(totals.values()),
                "by_fault": dict(sorted(self.monitor.worst_by_fault.items())),
            },
            events=self.kernel.events,
            wall_seconds=wall_seconds,
            cost=self._cost(),
        )
