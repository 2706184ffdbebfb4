"""``limedeck-lab experiment ...``"""

from __future__ import annotations

import json

from cleo.commands.command import Command
from cleo.helpers import option

from limedeck_lab.experiment_balance import run_experiment


class ExperimentBalanceCommand(Command):
    """Compares ways to share keys."""

    name = "experiment balance"
    description = "Compare balance and churn with modulo and consistent hashing on one trace"
    options = [  # noqa: RUF012
        option("backends", None, "At the start", flag=False, default="14"),
        option("slices", None, "Slices for each back end at the start", flag=False, default="50"),
        option("seed", None, "Of keys and loads", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Print one JSON line for each way and phase."""
        results = run_experiment(
            int(self.option("backends")), int(self.option("slices")), int(self.option("seed"))
        )
        for result in results:
            self.line(json.dumps(result.to_dict()))
        return 0
