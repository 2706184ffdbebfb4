"""The simulated network: delays between zones, cuts, loss, duplication and reordering."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from limedeck.identity import Seconds
from limedeck_lab.simulation.kernel import Kernel

LOCAL_DELAY: Seconds = 0.0002
MAX_JITTER: Seconds = 0.0003


@dataclass(frozen=True)
class Place:
    """Where a process runs; cuts apply between machines."""

    machine: str
    zone: str


@dataclass(eq=False)
class Cut:
    """A network cut: messages from one set of machines to another are not delivered.

    Parameters
    ----------
    sources, destinations
        Machines; messages from sources to destinations are cut.
    holds
        Messages are delivered when the cut ends, as if retransmitted; otherwise they are lost.
    """

    sources: frozenset[str]
    destinations: frozenset[str]
    holds: bool
    held: list[Callable[[], None]] = field(default_factory=list)

    def applies(self, source: str, destination: str) -> bool:
        """Whether the cut applies to a message."""
        return source in self.sources and destination in self.destinations


@dataclass
class NetworkFaults:
    """Faults that apply to all messages.

    Parameters
    ----------
    loss, duplication
        Fraction of messages that are lost or duplicated.
    extra_delay, late_share
        The fraction `late_share` of messages is delayed by up to `extra_delay` more, so that
        later messages may overtake them.
    """

    loss: float = 0.0
    duplication: float = 0.0
    extra_delay: Seconds = 0.0
    late_share: float = 1.0


class Network:
    """Delivers messages by calling an action after their delay.

    Parameters
    ----------
    zone_delay
        One-way delay between two zones.
    """

    def __init__(self, kernel: Kernel, zone_delay: Seconds, generator: random.Random) -> None:
        self._kernel = kernel
        self._zone_delay = zone_delay
        self._random = generator
        self.cuts: list[Cut] = []
        self.faults = NetworkFaults()
        self.messages = 0

    def delay(self, source: Place, destination: Place) -> Seconds:
        """Draw the delay of a message."""
        base = LOCAL_DELAY if source.zone == destination.zone else self._zone_delay
        return base + self._random.random() * MAX_JITTER + self._extra_delay()

    def _extra_delay(self) -> Seconds:
        faults = self.faults
        if faults.extra_delay == 0.0 or self._random.random() >= faults.late_share:
            return 0.0
        return self._random.random() * faults.extra_delay

    def send(
        self,
        source: Place,
        destination: Place,
        deliver: Callable[[], None],
        reliable: bool = False,
    ) -> bool:
        """Send a message; return whether it was neither cut nor lost.

        Parameters
        ----------
        reliable
            Sent over a connection, so neither lost nor duplicated; cuts still apply.
        """
        self.messages += 1
        if source.machine == destination.machine:
            self._kernel.after(0.0, deliver)
            return True
        for cut in self.cuts:
            if cut.applies(source.machine, destination.machine):
                if cut.holds:
                    cut.held.append(deliver)
                return False
        if not reliable and self.faults.loss and self._random.random() < self.faults.loss:
            return False
        self._kernel.after(self.delay(source, destination), deliver)
        duplication = 0.0 if reliable else self.faults.duplication
        if duplication and self._random.random() < duplication:
            self._kernel.after(self.delay(source, destination) * 3, deliver)
        return True

    def is_cut(self, source: str, destination: str) -> bool:
        """Whether messages from one machine to another are cut now."""
        return any(cut.applies(source, destination) for cut in self.cuts)

    def heal(self, cut: Cut) -> None:
        """End a cut and deliver the messages that it holds."""
        if cut not in self.cuts:
            return
        self.cuts.remove(cut)
        for deliver in cut.held:
            self._kernel.after(self._random.random() * 0.01, deliver)
        cut.held.clear()
