"""Simulated processes, which run, freeze while their input is buffered, are killed and restart."""

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
        """Whether it is up and not frozen."""
        return self.is_up and not self.is_frozen

    def deliver(self, action: Callable[[], None]) -> None:
        """Run an action in the process: now, or when it thaws; drop it if the process is not up."""
        if not self.is_up:
            return
        if self.is_frozen:
            self._buffered.append(action)
            return
        action()

    def deliver_to_run(self, run_number: int, action: Callable[[], None]) -> None:
        """Run an action in the process, but only if this run of it has not ended."""
        if run_number == self.run_number:
            self.deliver(action)

    def start(self) -> None:
        """Start a new run."""
        self.is_up = True
        self.is_frozen = False
        self.run_number += 1
        self._buffered.clear()

    def kill(self) -> None:
        """End the run; its state and buffered input are lost."""
        self.is_up = False
        self.is_frozen = False
        self.run_number += 1
        self._buffered.clear()

    def freeze(self) -> None:
        """Suspend the process; its input is buffered."""
        self.is_frozen = self.is_up

    def thaw(self) -> None:
        """Resume the process and deliver its buffered input."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        buffered, self._buffered = self._buffered, []
        for action in buffered:
            # An action may kill or freeze the process again.
            self.deliver(action)
