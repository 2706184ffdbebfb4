"""The node's command line: options, exit codes, and what it imports."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from limedeck.node import main


def test_missing_option_exits_with_the_code_for_settings(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(SystemExit) as caught:
        main.run_command([])
    assert caught.value.code == main.EXIT_SETTINGS
    assert "--settings" in capsys.readouterr().err


def test_unreadable_settings_are_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main.run_command(["--settings", str(tmp_path / "none")]) == main.EXIT_SETTINGS
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith("limedeck-node: ")


@pytest.mark.parametrize("unused", ["cleo", "grpc", "httpcore", "httpx", "pydantic"])
def test_node_does_not_import_unused_libraries(unused: str) -> None:
    """After a power failure hundreds of nodes start at once, each with half of a core."""
    code = f"import sys, limedeck.node.main; sys.exit({unused!r} in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
