"""Back ends in simulated time: they hold keys by fenced grants that run out."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedeck.identity import Seconds
from limedeck.ownership.orders import Grant, Release

SLOW_CLOCK = 1.02
"""A back end's clock may be so much slower; its grants run longer by that."""


@dataclass
class SimulatedBackend:
    """One life of a back end.

    Parameters
    ----------
    held_until
        By key; counted in true time.
    late
        Keys that it holds by a grant that was taken late.
    instance
        The name by which orders are addressed; a later life may have it again.
    """

    backend_id: str
    positions: int
    up: bool = True
    listed: bool = True
    draining: bool = False
    reachable: bool = True
    fences: list[int] = field(default_factory=list)
    held_until: list[Seconds] = field(default_factory=list)
    late: set[int] = field(default_factory=set)
    instance: str = ""

    def __post_init__(self) -> None:
        self.instance = self.instance or self.backend_id
        self.fences = [0] * self.positions
        self.held_until = [0.0] * self.positions

    def serves(self, now: Seconds) -> bool:
        """Whether it answers requests for any key."""
        return self.up and any(until > now for until in self.held_until)

    def grant(self, order: Grant, now: Seconds, late: bool) -> bool:
        """Take a grant, or refuse it because of a higher fence."""
        keys = range(order.first, order.last + 1)
        if any(self.fences[key] > order.fence for key in keys):
            return False
        for key in keys:
            self.fences[key] = order.fence
            self.held_until[key] = now + order.duration * SLOW_CLOCK
            self.late.discard(key)
            if late:
                self.late.add(key)
        return True

    def release(self, order: Release) -> None:
        """Give keys up."""
        for key in range(order.first, order.last + 1):
            if order.fence >= self.fences[key]:
                self.fences[key] = order.fence
                self.held_until[key] = 0.0

    def holds(self, key: int, now: Seconds, or_late: bool = False) -> bool:
        """Whether it would run a request for the key, by a grant that was not taken late.

        Parameters
        ----------
        or_late
            A grant that was taken late counts too.
        """
        is_late = key in self.late and not or_late
        return self.up and self.held_until[key] > now and not is_late
