"""A node on a machine that can be suspended: ``python -m tests.soak.suspendable_node FILE ...``.

The file holds the seconds that the machine was suspended so far. The process is stopped meanwhile,
and its monotonic clock, which its event loop's timers follow, does not count them; the clock that
counts suspended time is the real one.
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

NUMBER = struct.Struct("d")


class SuspendedTime:
    """The number in the file, for the process that reads it and for the one that writes it."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def create(self) -> None:
        """Begin with a machine that was never suspended."""
        self.path.write_bytes(NUMBER.pack(0.0))

    def add(self, seconds: float) -> None:
        """The machine was suspended for so long; its processes still stand."""
        with self.path.open("r+b") as file:
            (known,) = NUMBER.unpack(file.read(NUMBER.size))
            file.seek(0)
            file.write(NUMBER.pack(known + seconds))

    def mapped(self) -> mmap.mmap:
        """Return the file's bytes, which change with it."""
        with self.path.open("rb") as file:
            return mmap.mmap(file.fileno(), NUMBER.size, access=mmap.ACCESS_READ)


def _stop_timers_while_suspended(suspended: mmap.mmap) -> None:
    anyio: Any = importlib.import_module("anyio")
    real, run = time.monotonic, anyio.run

    def monotonic() -> float:
        (seconds,) = NUMBER.unpack(suspended[:])
        return real() - float(seconds)

    def run_by_it(function: Any, *arguments: Any, **_: Any) -> Any:
        # The faster event loop has a clock of its own.
        return run(function, *arguments)

    time.monotonic = monotonic
    anyio.run = run_by_it


def main() -> None:
    """Entry point."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    file = pathlib.Path(sys.argv.pop(1))
    _stop_timers_while_suspended(SuspendedTime(file).mapped())
    importlib.import_module("limedeck.node.__main__").start()


if __name__ == "__main__":
    main()
