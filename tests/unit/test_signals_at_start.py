"""A signal that tells of changed settings while the process is still loading its modules.

Found by the fault soak, seed 290008: a node that had just been started got one, and was gone: by
default the signal ends a process. Its settings are read later in the start anyway.
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
"""Stands where the first large module is loaded from; it is loaded until its input ends."""


def test_a_hang_up_while_modules_are_loaded_does_not_end_the_process(
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
