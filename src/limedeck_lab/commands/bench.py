"""``limedeck-lab bench ...``"""

from __future__ import annotations

import json

from cleo.commands.command import Command
from cleo.helpers import option

from limedeck_lab.bench_control import SERIES, measure_size, series_values, slopes
from limedeck_lab.bench_router import measure_paths


class BenchControlCommand(Command):
    """Measures the cost of control in real daemons."""

    name = "bench control"
    description = "Measure the cost of control in real daemons on loopback, and its slopes"
    options = [  # noqa: RUF012
        option("series", None, f"Any of {', '.join(SERIES)}", flag=False, multiple=True),
    ]

    def handle(self) -> int:
        """Print one JSON line for each size and one with the slopes for each series."""
        names = self.option("series") or list(SERIES)
        for name in names:
            if name not in SERIES:
                self.line_error(f"limedeck-lab bench control: no series {name}")
                return 2
            costs = []
            for size in SERIES[name]:
                costs.append(measure_size(size))
                self.line(json.dumps({"series": name, **costs[-1].to_dict()}))
            values = series_values(name, SERIES[name])
            self.line(json.dumps({"series": name, "slopes": slopes(costs, values)}))
        return 0


class BenchRouterCommand(Command):
    """Measures one router process against direct requests to the stand-in."""

    name = "bench router"
    description = "Measure one router process against direct requests to the stand-in"

    def handle(self) -> int:
        """Print one JSON line for each path."""
        for result in measure_paths():
            self.line(json.dumps(result.to_dict()))
        return 0
