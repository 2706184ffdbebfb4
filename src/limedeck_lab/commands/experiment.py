"""``limedeck-lab experiment ...``"""

from __future__ import annotations

import json

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.ui.table import Rows

from limedeck_lab import experiment_choice, experiment_keys
from limedeck_lab.experiment_balance import run_experiment


class ExperimentBalanceCommand(Command):
    """Compares ways to distribute keys over back ends."""

    name = "experiment balance"
    description = "Compare balance and churn with modulo and consistent hashing on one trace"
    options = [  # noqa: RUF012
        option("backends", None, "Back ends at the start", flag=False, default="14"),
        option("slices", None, "Slices for each back end at the start", flag=False, default="50"),
        option("seed", None, "Seed of keys and loads", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Print one JSON line for each method and phase."""
        results = run_experiment(
            int(self.option("backends")), int(self.option("slices")), int(self.option("seed"))
        )
        for result in results:
            self.line(json.dumps(result.to_dict()))
        return 0


class ExperimentKeysCommand(Command):
    """Measures the latency of keyed requests while keys are balanced."""

    name = "experiment keys"
    description = "Simulate the latency of keyed requests while keys are balanced"
    options = [  # noqa: RUF012
        option("backends", None, "Back ends of the service", flag=False, default="128"),
        option("rate", None, "Requests per second", flag=False, default="771"),
        option("seeds", None, "Runs, with seeds from 1 on", flag=False, default="3"),
    ]

    def handle(self) -> int:
        """Print one JSON line for each seed, and one for the mean."""
        fleet = experiment_keys.KeyedFleet(int(self.option("backends")), float(self.option("rate")))
        results = experiment_keys.run_keys(fleet, range(1, int(self.option("seeds")) + 1))
        for result in [*results, experiment_keys.mean_of(results)]:
            self.line(json.dumps(result.to_dict()))
        return 0


class ExperimentChoiceCommand(Command):
    """Measures how evenly many nodes use the back ends of a service."""

    name = "experiment choice"
    description = "Simulate how evenly many nodes use a service's back ends"
    options = [  # noqa: RUF012
        option("nodes", None, "Nodes", flag=False, default="195"),
        option("backends", None, "Back ends of the service", flag=False, default="61"),
        option("rate", None, "Requests per second of all nodes", flag=False, default="235"),
        option("work", None, "Mean service time in seconds", flag=False, default="0.26"),
        option(
            "telling",
            None,
            "Seconds between two messages of the leader with the sums of all nodes; 0: none",
            flag=False,
            default="0.5",
        ),
        option("choice", None, "product, soonest or random", flag=False, default="product"),
        option("seeds", None, "Runs, with seeds from 1 on", flag=False, default="3"),
        option("json", None, "Print JSON lines only"),
    ]

    def handle(self) -> int:
        """Print a row for each seed, and the mean as one JSON line."""
        fleet = experiment_choice.Fleet(
            nodes=int(self.option("nodes")),
            backends=int(self.option("backends")),
            rate=float(self.option("rate")),
            work=float(self.option("work")),
            telling_interval=float(self.option("telling")) or None,
            choice=experiment_choice.Choice(self.option("choice")),
        )
        results = experiment_choice.run_choice(fleet, range(1, int(self.option("seeds")) + 1))
        if self.option("json"):
            for result in results:
                self.line(json.dumps(result.to_dict()))
        else:
            self._print_table(results)
        self.line(json.dumps(experiment_choice.mean_of(results).to_dict()))
        return 0

    def _print_table(self, results: list[experiment_choice.ChoiceResult]) -> None:
        rows: Rows = [
            [
                str(result.arrivals),
                f"{result.busiest_to_mean:.2f}",
                str(result.turned_away),
                str(result.unused),
                f"{result.p50:.3f}",
                f"{result.p99:.3f}",
            ]
            for result in results
        ]
        table = self.table(rows=rows)
        table.set_headers(["arrivals", "busiest/mean", "turned away", "unused", "p50 s", "p99 s"])
        table.render()
