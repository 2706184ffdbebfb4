"""Back ends in simulated time, which hold keys by fenced grants that expire."""

from __future__ import annotations

from dataclasses import dataclass, field

from limedeck.identity import Seconds
from limedeck.ownership.orders import Grant, Release

SLOW_CLOCK = 1.02
"""Factor by which grants last longer at a back end, whose clock may be slow."""


@dataclass
class SimulatedBackend:
    """One incarnation of a back end.

    Parameters
    ----------
    held_until
        When its grant ends, by key; in simulated time.
    late
        Keys that it holds by a grant that was delivered late.
    instance
        The name to which orders are addressed; a later incarnation may have the same name.
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
        """Whether it serves requests for any key."""
        return self.up and any(until > now for until in self.held_until)

    def grant(self, order: Grant, now: Seconds, late: bool) -> bool:
        """Accept a grant, or refuse it because of a higher fence."""
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
        """Release keys."""
        for key in range(order.first, order.last + 1):
            if order.fence >= self.fences[key]:
                self.fences[key] = order.fence
                self.held_until[key] = 0.0

    def holds(self, key: int, now: Seconds, include_late: bool = False) -> bool:
        """Whether it would run a request for the key, by a grant that was not delivered late.

        Parameters
        ----------
        include_late
            Whether a grant that was delivered late counts too.
        """
        is_late = key in self.late and not include_late
        return self.up and self.held_until[key] > now and not is_late
