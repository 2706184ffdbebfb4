"""The schedule of a soak: overlapping series, each of steps of one kind."""

from __future__ import annotations

import dataclasses
import enum
import random

STEPS_PER_SERIES = (2, 6)
GAP_SECONDS = (0.2, 1.2)
NEXT_START_FRACTION = (0.1, 0.7)
"""Fraction of a series' minimum duration after which the next series begins."""


class Kind(enum.Enum):
    """One kind of step."""

    STOP = "stop"
    HANG_UP = "hang-up"
    CONFIGURE = "configure"
    DRAIN = "drain"
    KILL = "kill"
    PAUSE = "pause"
    DEGRADE_CONNECTIONS = "spoil"
    RESET = "reset"
    SILENCE = "silence"
    STORE_FAULTS = "store-faults"
    DROP_STORE_HISTORY = "forget"
    CRASH = "crash"
    SUSPEND = "suspend"
    EVACUATE = "evacuate"
    RESTART_BACKEND = "reborn"
    FOREIGN_ENTRIES = "strange"
    LIMIT = "limit"
    LEAVE = "leave"
    BACKOFF = "rest"
    RETURN_STORE = "store-returns"
    PARTITION = "partition"
    UNPROVEN_STATUS = "unproven-status"
    SURPLUS_RESPONSES = "surplus"
    REPEAT_RESPONSES = "repeat-responses"
    CUT_HEADS = "cut-heads"
    UNREADABLE_ROWS = "unreadable"
    INVALID_ADDRESSES = "addresses"
    LOSE_RECORD = "lost-record"


KINDS_V9 = tuple(kind for kind in Kind if kind not in (Kind.INVALID_ADDRESSES, Kind.LOSE_RECORD))
"""Kinds for seeds recorded before `INVALID_ADDRESSES` and `LOSE_RECORD` were added.

These are 720001 and later.
"""
KINDS_V8 = tuple(
    kind
    for kind in KINDS_V9
    if kind not in (Kind.REPEAT_RESPONSES, Kind.CUT_HEADS, Kind.UNREADABLE_ROWS)
)
"""Kinds for seeds recorded before `REPEAT_RESPONSES`, `CUT_HEADS` and `UNREADABLE_ROWS` were added.

These are 660001 and later.
"""
KINDS_V7 = tuple(
    kind for kind in KINDS_V8 if kind not in (Kind.UNPROVEN_STATUS, Kind.SURPLUS_RESPONSES)
)
"""Kinds for seeds recorded before `UNPROVEN_STATUS` and `SURPLUS_RESPONSES` were added.

These are 610001 and later.
"""
KINDS_V6 = tuple(kind for kind in KINDS_V7 if kind is not Kind.PARTITION)
"""Kinds for seeds recorded before `PARTITION` was added: 520001 and later."""
KINDS_V5 = tuple(kind for kind in KINDS_V6 if kind is not Kind.RETURN_STORE)
"""Kinds for seeds recorded before `RETURN_STORE` was added: 440001 and later."""
KINDS_V4 = tuple(kind for kind in KINDS_V5 if kind not in (Kind.LEAVE, Kind.BACKOFF))
"""Kinds for seeds recorded before `LEAVE` and `BACKOFF` were added: 420001 and later."""
KINDS_V3 = tuple(kind for kind in KINDS_V4 if kind is not Kind.LIMIT)
"""Kinds for seeds recorded before `LIMIT` was added: 380001 and later."""
KINDS_V2 = tuple(
    kind
    for kind in KINDS_V3
    if kind not in (Kind.EVACUATE, Kind.RESTART_BACKEND, Kind.FOREIGN_ENTRIES)
)
"""Kinds for seeds recorded before `EVACUATE`, `RESTART_BACKEND` and `FOREIGN_ENTRIES` were added.

These are 320201 and later.
"""
KINDS_V1 = tuple(kind for kind in KINDS_V2 if kind not in (Kind.CRASH, Kind.SUSPEND))
"""Kinds for seeds recorded before `CRASH` and `SUSPEND` were added."""
PLANNED = (Kind.STOP, Kind.HANG_UP, Kind.CONFIGURE, Kind.DRAIN)
"""Operations of an operator, which must not lose any request."""


@dataclasses.dataclass(frozen=True)
class Series:
    """Consecutive steps of one kind.

    Parameters
    ----------
    start
        Seconds from the beginning of the soak.
    gap
        Seconds between the end of one step and the beginning of the next.
    """

    kind: Kind
    start: float
    steps: int
    gap: float
    seed: int

    @property
    def min_duration(self) -> float:
        """Minimum duration in seconds: the sum of its gaps."""
        return self.steps * self.gap


def plan(seed: int, seconds: float, kinds: tuple[Kind, ...]) -> list[Series]:
    """Draw series that begin within a duration; each begins before the previous one has ended."""
    source = random.Random(seed)
    planned: list[Series] = []
    start = 0.0
    while start < seconds:
        gap = source.uniform(*GAP_SECONDS)
        drawn = Series(
            source.choice(kinds),
            start,
            source.randint(*STEPS_PER_SERIES),
            gap,
            source.getrandbits(32),
        )
        planned.append(drawn)
        start += drawn.min_duration * source.uniform(*NEXT_START_FRACTION)
    return planned
