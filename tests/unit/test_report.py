"""Plots drawn from records."""

import json
from pathlib import Path

import pytest

from limedeck_lab.report import UnreadableRecord, read_records, write_plots

RUN = {"unavailable_seconds": {"by_fault": {"kill-backend": 1.9, "none": 0.01}}}
PHASE = {"way": "modulo", "phase": "join", "imbalance_settled": 1.5, "floor": 1.0}
COST = {"bytes_per_second": 1.0, "core_share": 0.01}
SIZE = {"series": "nodes", "size": {"nodes": 3}, "follower": COST, "leader": COST}


def test_each_kind_of_record_is_plotted(tmp_path: Path) -> None:
    file = tmp_path / "records.txt"
    lines = ["== a command", *(json.dumps(item) for item in (RUN, PHASE, SIZE, {"runs": 4}))]
    file.write_text("\n".join(lines))
    written = write_plots(read_records([str(file)]), tmp_path / "plots")
    assert [item.name for item in written] == [
        "unavailable.png",
        "balance.png",
        "cost-by-nodes.png",
    ]
    assert all(item.read_bytes().startswith(b"\x89PNG") for item in written)


def test_error_for_an_invalid_record_names_file_and_line(tmp_path: Path) -> None:
    file = tmp_path / "records.txt"
    file.write_text('{"runs": 4}\n{"runs":\n')
    with pytest.raises(UnreadableRecord, match=r"records\.txt:2"):
        read_records([str(file)])
