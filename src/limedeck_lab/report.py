"""Plots from the JSON records that simulations, benches and experiments print."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from limedeck.errors import LimedeckError

WIDTH_INCHES = 8.0
HEIGHT_INCHES = 4.5
DOTS_PER_INCH = 110
CONTROL_BUDGETS = {"bytes_per_second": 23_000.0, "core_share": 0.038}
"""Limits of one node's control costs, by the key in the records."""
MAX_UNSERVED_SECONDS = 3.0

Record = dict[str, Any]


class UnreadableRecord(LimedeckError):
    """A line of a record file starts a JSON object but is not valid JSON."""


@dataclass
class Records:
    """Records of all kinds.

    Parameters
    ----------
    runs
        Of ``limedeck-lab simulate``, one for each run.
    sizes
        Of ``limedeck-lab bench control``, one for each size.
    phases
        Of ``limedeck-lab experiment balance``, one for each strategy and phase.
    """

    runs: list[Record] = field(default_factory=list)
    sizes: list[Record] = field(default_factory=list)
    phases: list[Record] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Add a record to those of its kind; records of other kinds are ignored."""
        if "unavailable_seconds" in record:
            self.runs.append(record)
        elif "size" in record:
            self.sizes.append(record)
        elif "imbalance_settled" in record:
            self.phases.append(record)


def read_records(files: Sequence[str]) -> Records:
    """Read record files; lines that do not start with ``{`` are skipped.

    Raises
    ------
    UnreadableRecord
        A line is not valid JSON; the message names the file and the line's number.
    """
    records = Records()
    for file in files:
        lines = Path(file).read_text(encoding="utf-8").splitlines()
        for number, line in enumerate(lines, start=1):
            if not line.startswith("{"):
                continue
            try:
                records.add(json.loads(line))
            except json.JSONDecodeError as error:
                raise UnreadableRecord(f"{file}:{number}: {error}") from error
    return records


def write_plots(records: Records, directory: Path) -> list[Path]:
    """Write the plots for which there are records; return their files."""
    directory.mkdir(parents=True, exist_ok=True)
    written = []
    if records.runs:
        figure, axes = _new_figure()
        _draw_unavailable(axes, records.runs)
        written.append(_save(figure, directory / "unavailable.png"))
    if records.phases:
        figure, axes = _new_figure()
        _draw_balance(axes, records.phases)
        written.append(_save(figure, directory / "balance.png"))
    for series in sorted({record["series"] for record in records.sizes}):
        figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
        _draw_costs(figure, [item for item in records.sizes if item["series"] == series], series)
        written.append(_save(figure, directory / f"cost-by-{series}.png"))
    return written


def _new_figure() -> tuple[Figure, Axes]:
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    return figure, figure.add_subplot()


def _save(figure: Figure, file: Path) -> Path:
    figure.tight_layout()
    figure.savefig(file, dpi=DOTS_PER_INCH, metadata={"Software": None})
    return file


def _draw_unavailable(axes: Axes, runs: Sequence[Record]) -> None:
    worst: dict[str, float] = {}
    for run in runs:
        for fault, seconds in run["unavailable_seconds"]["by_fault"].items():
            worst[fault] = max(worst.get(fault, 0.0), seconds)
    names = sorted(worst, key=lambda name: worst[name])
    axes.barh(names, [worst[name] for name in names], color="#4a7f2c")
    axes.axvline(MAX_UNSERVED_SECONDS, color="black", linestyle="--", label="3 s allowed")
    axes.set_xlabel("longest time a key was unserved (s)")
    axes.set_title(f"Unserved time by the fault before it, {len(runs)} runs")
    axes.legend()


def _draw_balance(axes: Axes, phases: Sequence[Record]) -> None:
    strategies = list(dict.fromkeys(item["way"] for item in phases))
    names = list(dict.fromkeys(item["phase"] for item in phases))
    width = 0.8 / len(strategies)
    for index, strategy in enumerate(strategies):
        values = {
            item["phase"]: item["imbalance_settled"] for item in phases if item["way"] == strategy
        }
        positions = [position + index * width for position in range(len(names))]
        axes.bar(positions, [values[name] for name in names], width, label=strategy)
    floors = {item["phase"]: item["floor"] for item in phases}
    centres = [position + 0.4 - width / 2 for position in range(len(names))]
    axes.scatter(centres, [floors[name] for name in names], color="black", label="floor", zorder=3)
    axes.set_xticks(centres, names)
    axes.set_ylim(0.9)
    axes.set_ylabel("highest over mean load, settled")
    axes.set_title("Imbalance from 30 s after the change on")
    axes.legend()


def _draw_costs(figure: Figure, sizes: Sequence[Record], series: str) -> None:
    names = {"nodes": "nodes", "backends": "back ends", "slices": "slices for each back end"}
    key = "slices_per_backend" if series == "slices" else series
    positions = [item["size"][key] for item in sizes]
    for index, (cost, label) in enumerate(
        (("bytes_per_second", "bytes a second"), ("core_share", "part of a core"))
    ):
        axes = figure.add_subplot(1, 2, index + 1)
        for role in ("follower", "leader"):
            axes.plot(positions, [item[role][cost] for item in sizes], marker="o", label=role)
        axes.axhline(CONTROL_BUDGETS[cost], color="black", linestyle="--", label="budget")
        axes.set_xlabel(names.get(series, series))
        axes.set_ylabel(label)
        axes.set_ylim(0)
        axes.legend()
    figure.suptitle(f"Control of one node by {names.get(series, series)}")
