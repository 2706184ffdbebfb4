"""``limedeck-lab simulate``"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

from cleo.commands.command import Command
from cleo.helpers import option

from limedeck.errors import LimedeckError
from limedeck_lab.ownership import runs
from limedeck_lab.ownership.faults import FAULTS as OWNER_FAULTS
from limedeck_lab.ownership.faults import FAULTS_RUN_ALONE
from limedeck_lab.ownership.sabotage import SABOTAGES
from limedeck_lab.simulation.faults import ALL_FAULTS, FAULTS
from limedeck_lab.simulation.sabotage import PATCHES
from limedeck_lab.simulation.world import RunPlan, RunReport, World
from limedeck_lab.site import Site, load_site

EXIT_OK = 0
EXIT_VIOLATED = 1
EXIT_BAD_INPUT = 2
SECONDS_PER_MINUTE = 60
OWNERS = "owners"
VOTERS = "voters"
VOTERS_ONLY_OPTIONS = ("cost", "rate", "interval")
"""Options that only the simulation of the first build has."""
Plan = TypeVar("Plan")
Report = TypeVar("Report")


class BadOption(LimedeckError):
    """An option that cannot be used."""


def run_plan(plan: RunPlan) -> RunReport:
    """Run one plan of the simulation of the first build in this process."""
    return World(plan).run()


class SimulateCommand(Command):
    """Runs the product's cores under faults on simulated time."""

    name = "simulate"
    description = "Run a site under faults on simulated time"
    options = [  # noqa: RUF012
        option("core", None, f"{OWNERS}, or {VOTERS} (first build)", flag=False, default=OWNERS),
        option("site", None, "kostanay, nordeste, or a site file", flag=False, default="kostanay"),
        option("seed", None, "First seed", flag=False, default="1"),
        option("runs", None, "Number of seeds", flag=False, default="1"),
        option("workers", None, "Runs at the same time", flag=False, default="1"),
        option("minutes", None, "Simulated minutes of each run", flag=False, default="10"),
        option(
            "faults", None, "Names separated by commas, all, or none", flag=False, default="all"
        ),
        option("interval", None, "Mean seconds between faults (voters: 8)", flag=False),
        option("rate", None, "Callers' requests per second (voters: 20)", flag=False),
        option("scale", None, "Fraction of the site's size", flag=False, default="1"),
        option("cost", None, "Count messages, bytes and processor time of control (voters)"),
        option("sabotage", None, "Rule to break; an unknown name lists the known ones", flag=False),
        option("json", None, "Print one JSON line for each run and one for all"),
    ]

    def handle(self) -> int:
        """Run every seed; fail if any run violated an invariant."""
        try:
            if self.option("core") == OWNERS:
                return self._run_owners()
            if self.option("core") == VOTERS:
                return self._run_voters()
            raise BadOption(f"--core {self.option('core')}: must be {OWNERS} or {VOTERS}")
        except (BadOption, ValueError) as error:
            self.line_error(f"limedeck-lab simulate: {error}")
            return EXIT_BAD_INPUT

    # ------------------------------------------------------------------ the product's control

    def _run_owners(self) -> int:
        for name in VOTERS_ONLY_OPTIONS:
            if self.option(name):
                raise BadOption(f"--{name} is an option of --core {VOTERS} only")
        faults = self._faults(OWNER_FAULTS, (*OWNER_FAULTS, *FAULTS_RUN_ALONE))
        sabotage = self._sabotage(SABOTAGES)
        nodes, backends = _site_size(self._site())
        seconds = float(self.option("minutes")) * SECONDS_PER_MINUTE
        plans = [
            runs.RunPlan(seed, seconds, faults, nodes, backends, sabotage) for seed in self._seeds()
        ]
        reports = []
        for report in self._run_plans(runs.run_plan, plans):
            for violation in report.violations:
                self.line_error(f"seed {report.plan.seed}: {violation}")
            self._print_json(report.as_dict())
            reports.append(report)
        if len(reports) > 1:
            self.line(json.dumps(runs.summary(reports)))
        return EXIT_VIOLATED if any(report.violations for report in reports) else EXIT_OK

    # ------------------------------------------------------------------ the first build

    def _run_voters(self) -> int:
        faults = self._faults(tuple(FAULTS), tuple(ALL_FAULTS))
        sabotage = self._sabotage(PATCHES)
        site = self._site()
        plans = [
            RunPlan(
                site=site,
                seed=seed,
                seconds=float(self.option("minutes")) * SECONDS_PER_MINUTE,
                faults=list(faults),
                fault_interval=float(self.option("interval") or 8),
                request_rate=float(self.option("rate") or 20),
                sabotage=sabotage,
                measures_cost=bool(self.option("cost")),
            )
            for seed in self._seeds()
        ]
        reports = []
        for report in self._run_plans(run_plan, plans):
            if report.violations:
                for line in report.history:
                    self.line_error(f"{line.at:10.4f}  {line.text}")
            self._print_json(report.to_dict())
            reports.append(report)
        if len(reports) > 1:
            self.line(json.dumps(summarise(reports)))
        return EXIT_VIOLATED if any(report.violations for report in reports) else EXIT_OK

    # ------------------------------------------------------------------ options

    def _faults(self, defaults: tuple[str, ...], known: tuple[str, ...]) -> tuple[str, ...]:
        text = self.option("faults")
        if text == "all":
            return defaults
        names = tuple(name for name in text.split(",") if name not in ("", "none"))
        unknown = [name for name in names if name not in known]
        if unknown:
            raise BadOption(f"unknown faults {', '.join(unknown)}; known: {', '.join(known)}")
        return names

    def _sabotage(self, known: Iterable[str]) -> str:
        name: str = self.option("sabotage") or ""
        if name and name not in known:
            raise BadOption(f"unknown sabotage {name}; known: {', '.join(known)}")
        return name

    def _site(self) -> Site:
        name = self.option("site")
        site = load_site(name if name.endswith(".toml") else f"examples/{name}.toml")
        scale = float(self.option("scale"))
        return site if scale == 1 else site.scaled(scale)

    def _seeds(self) -> range:
        first = int(self.option("seed"))
        return range(first, first + int(self.option("runs")))

    def _run_plans(self, run: Callable[[Plan], Report], plans: list[Plan]) -> Iterator[Report]:
        workers = int(self.option("workers"))
        if workers == 1:
            yield from map(run, plans)
            return
        with ProcessPoolExecutor(workers) as pool:
            yield from pool.map(run, plans)

    def _print_json(self, report: dict[str, object]) -> None:
        if self.option("json"):
            self.line(json.dumps(report))


def _site_size(site: Site) -> tuple[int, int]:
    """Return the numbers of nodes, and of back ends of the largest keyed service."""
    keyed = [item.backends for item in site.services if item.ownership == "keyed"]
    if not keyed:
        raise BadOption("the site has no keyed service")
    return site.nodes_per_zone * len(site.zones), max(keyed)


def summarise(reports: list[RunReport]) -> dict[str, object]:
    """Summarise the reports of several seeds of the simulation of the first build."""
    by_fault: dict[str, float] = {}
    requests: dict[str, int] = {}
    for report in reports:
        found = report.unavailable["by_fault"]
        assert isinstance(found, dict)
        for name, worst in found.items():
            by_fault[name] = max(by_fault.get(name, 0.0), worst)
        for name, count in report.requests.items():
            requests[name] = requests.get(name, 0) + count
    return {
        "runs": len(reports),
        "violated_seeds": [report.plan.seed for report in reports if report.violations],
        "requests": requests,
        "worst_unavailable_seconds": max(
            float(str(report.unavailable["worst"])) for report in reports
        ),
        "worst_by_fault": dict(sorted(by_fault.items())),
        "simulated_seconds": sum(report.plan.seconds for report in reports),
        "wall_seconds_of_runs": round(sum(report.wall_seconds for report in reports), 1),
    }
