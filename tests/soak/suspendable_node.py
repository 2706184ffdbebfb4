"""A node on a machine that can be suspended: ``python -m tests.soak.suspendable_node FILE ...``.

The file holds the total number of seconds for which the machine was suspended. The process is
stopped during a suspension. Its monotonic clock, which the timers of its event loop use, leaves out
these seconds; the clock that counts suspended time is not changed.
"""

from __future__ import annotations

import importlib
import mmap
import pathlib
import signal
import struct
import sys
import time
from typing import Any

SECONDS_FORMAT = struct.Struct("d")


class SuspendedTime:
    """The total suspended time in a file, written by the test and read by the node's process."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def create(self) -> None:
        """Create the file with a total of zero."""
        self.path.write_bytes(SECONDS_FORMAT.pack(0.0))

    def add(self, seconds: float) -> None:
        """Add the duration of a suspension, before the machine's processes are continued."""
        with self.path.open("r+b") as file:
            (known,) = SECONDS_FORMAT.unpack(file.read(SECONDS_FORMAT.size))
            file.seek(0)
            file.write(SECONDS_FORMAT.pack(known + seconds))

    def map_file(self) -> mmap.mmap:
        """Return a memory map of the file, which shows later changes."""
        with self.path.open("rb") as file:
            return mmap.mmap(file.fileno(), SECONDS_FORMAT.size, access=mmap.ACCESS_READ)


def _stop_timers_while_suspended(suspended: mmap.mmap) -> None:
    anyio: Any = importlib.import_module("anyio")
    real, run = time.monotonic, anyio.run

    def monotonic() -> float:
        (seconds,) = SECONDS_FORMAT.unpack(suspended[:])
        return real() - float(seconds)

    def run_on_default_loop(function: Any, *arguments: Any, **_: Any) -> Any:
        # Omits the options, which choose a faster event loop: it does not use time.monotonic.
        return run(function, *arguments)

    time.monotonic = monotonic
    anyio.run = run_on_default_loop


def main() -> None:
    """Entry point."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    file = pathlib.Path(sys.argv.pop(1))
    _stop_timers_while_suspended(SuspendedTime(file).map_file())
    importlib.import_module("limedeck.node.__main__").start()


if __name__ == "__main__":
    main()
