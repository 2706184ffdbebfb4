"""What happens during a soak: series of one kind of step each, which overlap."""

from __future__ import annotations

import dataclasses
import enum
import random

STEPS = (2, 6)
GAP_SECONDS = (0.2, 1.2)
OVERLAP = (0.1, 0.7)
"""Part of a series after which the next one begins."""


class Kind(enum.Enum):
    """One kind of step."""

    STOP = "stop"
    HANG_UP = "hang-up"
    CONFIGURE = "configure"
    DRAIN = "drain"
    KILL = "kill"
    PAUSE = "pause"
    SPOIL = "spoil"
    RESET = "reset"
    SILENCE = "silence"
    STORE_FAULTS = "store-faults"
    FORGET = "forget"
    CRASH = "crash"
    SUSPEND = "suspend"
    EVACUATE = "evacuate"
    REBORN = "reborn"
    STRANGE = "strange"
    LIMIT = "limit"
    LEAVE = "leave"
    REST = "rest"


OF_FOURTH_SEEDS = tuple(kind for kind in Kind if kind not in (Kind.LEAVE, Kind.REST))
"""Kinds for seeds recorded before `LEAVE` and `REST` were added: 420001 and later."""
OF_THIRD_SEEDS = tuple(kind for kind in OF_FOURTH_SEEDS if kind is not Kind.LIMIT)
"""What seeds draw from that were recorded before back ends named limits: 380001 and later ones."""
OF_SECOND_SEEDS = tuple(
    kind for kind in OF_THIRD_SEEDS if kind not in (Kind.EVACUATE, Kind.REBORN, Kind.STRANGE)
)
"""What seeds draw from that were recorded before zones were evacuated: 320201 and later ones."""
OF_FIRST_SEEDS = tuple(kind for kind in OF_SECOND_SEEDS if kind not in (Kind.CRASH, Kind.SUSPEND))
"""What seeds draw from that were recorded before requests ended back ends and machines slept."""
PLANNED = (Kind.STOP, Kind.HANG_UP, Kind.CONFIGURE, Kind.DRAIN)
"""What operators do; no request may be lost by it."""


@dataclasses.dataclass(frozen=True)
class Series:
    """Steps of one kind, one after the other.

    Parameters
    ----------
    start
        Seconds from the begin of the soak.
    gap
        Seconds between the end of one step and the begin of the next.
    """

    kind: Kind
    start: float
    steps: int
    gap: float
    seed: int

    @property
    def shortest(self) -> float:
        """Seconds that it takes at least."""
        return self.steps * self.gap


def plan(seed: int, seconds: float, kinds: tuple[Kind, ...]) -> list[Series]:
    """Draw series that begin within so many seconds, each before the one before it is over."""
    source = random.Random(seed)
    planned: list[Series] = []
    start = 0.0
    while start < seconds:
        gap = source.uniform(*GAP_SECONDS)
        drawn = Series(
            source.choice(kinds), start, source.randint(*STEPS), gap, source.getrandbits(32)
        )
        planned.append(drawn)
        start += drawn.shortest * source.uniform(*OVERLAP)
    return planned
