"""Simulated time: callbacks after delays, and clocks that drift."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import simpy

from limedeck.identity import Seconds


class Kernel:
    """Simulated real time."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()
        self.events = 0

    @property
    def now(self) -> Seconds:
        """Seconds since the start of the run."""
        return float(self._environment.now)

    def after(self, delay: Seconds, action: Callable[[], None]) -> None:
        """Call an action after a delay."""

        def run(_: simpy.Event) -> None:
            self.events += 1
            action()

        self._environment.timeout(max(delay, 0.0)).callbacks.append(run)

    def run_until(self, end: Seconds) -> None:
        """Advance simulated time to `end`."""
        self._environment.run(until=end)


@dataclass(frozen=True)
class DriftingClock:
    """A machine's clock, which runs at its own rate.

    Parameters
    ----------
    offset
        Reading at the start of the run.
    rate
        Seconds that it counts per second of real time.
    """

    kernel: Kernel
    offset: Seconds
    rate: float

    def read(self) -> Seconds:
        """Read the clock."""
        return self.offset + self.kernel.now * self.rate

    def real_span(self, span: Seconds) -> Seconds:
        """Return the real time that passes while the clock counts `span`."""
        return span / self.rate
