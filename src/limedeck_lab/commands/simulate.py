"""``limedeck-lab simulate``"""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor

from cleo.commands.command import Command
from cleo.helpers import option

from limedeck_lab.simulation.faults import ALL_FAULTS, FAULTS
from limedeck_lab.simulation.sabotage import PATCHES
from limedeck_lab.simulation.world import RunPlan, RunReport, World
from limedeck_lab.site import load_site

EXIT_OK = 0
EXIT_VIOLATED = 1
EXIT_BAD_INPUT = 2
SECONDS_PER_MINUTE = 60


def run_plan(plan: RunPlan) -> RunReport:
    """Run one plan, in this process."""
    return World(plan).run()


class SimulateCommand(Command):
    """Runs the product's cores under faults on simulated time."""

    name = "simulate"
    description = "Run a site under faults on simulated time"
    options = [  # noqa: RUF012
        option("site", None, "kostanay, nordeste, or a site file", flag=False, default="kostanay"),
        option("seed", None, "First seed", flag=False, default="1"),
        option("runs", None, "How many seeds", flag=False, default="1"),
        option("workers", None, "Runs at the same time", flag=False, default="1"),
        option("minutes", None, "Simulated minutes of each run", flag=False, default="10"),
        option("faults", None, "Names with commas, all, or none", flag=False, default="all"),
        option("interval", None, "Mean seconds between faults", flag=False, default="8"),
        option("rate", None, "Callers' requests a second", flag=False, default="20"),
        option("scale", None, "Fraction of the site's size", flag=False, default="1"),
        option("cost", None, "Count messages, bytes and processor time of control"),
        option("sabotage", None, f"Break a rule: {', '.join(PATCHES)}", flag=False, default=""),
        option("json", None, "Print one JSON line for each run and one for all"),
    ]

    def handle(self) -> int:
        """Run every seed; fail if any run was violated."""
        faults = self._faults()
        sabotage = self.option("sabotage")
        if faults is None or (sabotage and sabotage not in PATCHES):
            known = f"faults: {', '.join(ALL_FAULTS)}; sabotages: {', '.join(PATCHES)}"
            self.line_error(f"limedeck-lab simulate: unknown name; {known}")
            return EXIT_BAD_INPUT
        name = self.option("site")
        site = load_site(name if name.endswith(".toml") else f"examples/{name}.toml")
        if float(self.option("scale")) != 1:
            site = site.scaled(float(self.option("scale")))
        first = int(self.option("seed"))
        plans = [
            RunPlan(
                site=site,
                seed=seed,
                seconds=float(self.option("minutes")) * SECONDS_PER_MINUTE,
                faults=faults,
                fault_interval=float(self.option("interval")),
                request_rate=float(self.option("rate")),
                sabotage=sabotage,
                measures_cost=bool(self.option("cost")),
            )
            for seed in range(first, first + int(self.option("runs")))
        ]
        return self._run_all(plans)

    def _faults(self) -> list[str] | None:
        text = self.option("faults")
        if text == "all":
            return list(FAULTS)
        names = [name for name in text.split(",") if name not in ("", "none")]
        return names if all(name in ALL_FAULTS for name in names) else None

    def _run_all(self, plans: list[RunPlan]) -> int:
        workers = int(self.option("workers"))
        reports: list[RunReport] = []
        if workers > 1:
            with ProcessPoolExecutor(workers) as pool:
                for report in pool.map(run_plan, plans):
                    self._print(report)
                    reports.append(report)
        else:
            for plan in plans:
                report = run_plan(plan)
                self._print(report)
                reports.append(report)
        if len(reports) > 1:
            self.line(json.dumps(summarise(reports)))
        return EXIT_VIOLATED if any(report.violations for report in reports) else EXIT_OK

    def _print(self, report: RunReport) -> None:
        if report.violations:
            for line in report.history:
                self.line_error(f"{line.at:10.4f}  {line.what}")
        if self.option("json"):
            self.line(json.dumps(report.to_dict()))


def summarise(reports: list[RunReport]) -> dict[str, object]:
    """Add up the reports of several seeds."""
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
