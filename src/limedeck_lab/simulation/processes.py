"""Simulated processes: they run, freeze with everything buffered, die, and start again."""

from __future__ import annotations

from collections.abc import Callable

from limedeck_lab.simulation.kernel import DriftingClock, Kernel
from limedeck_lab.simulation.network import Place


class SimulatedProcess:
    """A process on a machine.

    Parameters
    ----------
    place
        Its machine and zone.
    """

    def __init__(self, kernel: Kernel, place: Place, clock: DriftingClock) -> None:
        self.kernel = kernel
        self.place = place
        self.clock = clock
        self.is_up = False
        self.is_frozen = False
        self.run_number = 0
        self._buffered: list[Callable[[], None]] = []

    @property
    def is_running(self) -> bool:
        """Whether it does anything now."""
        return self.is_up and not self.is_frozen

    def deliver(self, action: Callable[[], None]) -> None:
        """Have something done by the process: now, when it thaws, or never."""
        if not self.is_up:
            return
        if self.is_frozen:
            self._buffered.append(action)
            return
        action()

    def deliver_to_run(self, run_number: int, action: Callable[[], None]) -> None:
        """Have something done, but only by this run of the process."""
        if run_number == self.run_number:
            self.deliver(action)

    def start(self) -> None:
        """Start a new run."""
        self.is_up = True
        self.is_frozen = False
        self.run_number += 1
        self._buffered.clear()

    def kill(self) -> None:
        """End the run; whatever it had is gone."""
        self.is_up = False
        self.is_frozen = False
        self.run_number += 1
        self._buffered.clear()

    def freeze(self) -> None:
        """Stop doing anything; what arrives is buffered."""
        self.is_frozen = self.is_up

    def thaw(self) -> None:
        """Go on as if nothing had happened."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        buffered, self._buffered = self._buffered, []
        for action in buffered:
            # An action may kill or freeze the process again.
            self.deliver(action)
