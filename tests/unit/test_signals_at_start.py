"""SIGHUP, which asks for a reload of the settings, while the process is still importing modules.

By default the signal terminates a process: in the fault soak, seed 290008, it ended a node that had
just been started. Ignoring it is safe, as the settings are read later in the start.
"""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

SLOW_MODULE = """
import sys
print("loading", flush=True)
sys.stdin.read()
raise SystemExit(0)
"""
"""Replaces the first large module that is imported; its import lasts until standard input ends."""


def test_sighup_during_imports_does_not_terminate_the_process(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "anyio.py").write_text(SLOW_MODULE)
    process = subprocess.Popen(
        [sys.executable, "-m", "limedeck.node", "--settings", "none.toml"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
    )
    with process:
        assert process.stdout is not None
        assert process.stdout.readline() == b"loading\n"
        process.send_signal(signal.SIGHUP)
        process.communicate()
    assert process.returncode == 0
