"""Owners that name how much they take: keys move off them until what is left fits."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from limedeck.ownership.commands import OwnerChange
from limedeck.ownership.ranges import OwnerChangeCause
from limedeck.ownership.service import ServiceOwnership
from tests.unit.test_service_ownership import TIMING, Play, backend

NAMES = ("a", "b", "c", "d")
KEYS = 4096
RATE = 52.0
"""Requests a second of all keys, spread evenly: 13 for each owner."""
STEP = 0.25


class LimitedPlay(Play):
    """Requests come for all keys; some owners name limits."""

    def __init__(self) -> None:
        core = ServiceOwnership("service", KEYS, 1, None, 0, TIMING, 0.0)
        core.set_backends([backend(name) for name in NAMES], 0.0)
        for name in NAMES:
            core.set_service_time(name, 0.08)
        super().__init__(core)
        self.luck = random.Random(3)
        self.changes: list[OwnerChange] = []

    def serve(self, until: float, limits: Callable[[float], dict[str, float]]) -> None:
        while self.now < until:
            count = round(RATE * STEP)
            keys = Counter(self.luck.randrange(KEYS) for _ in range(count))
            self.core.record_requests(keys.items(), self.now)
            self.core.set_limits(limits(self.now), self.now)
            self.run(self.now + STEP)
            self.changes += self.core.changes
            self.core.changes.clear()

    def share(self, name: str) -> float:
        """Requests a second for the keys of an owner."""
        keys = sum(item.last - item.first + 1 for item in self.core.ranges if item.owner == name)
        return RATE * keys / KEYS

    def moves_since(self, count: int) -> list[OwnerChange]:
        return [item for item in self.changes[count:] if item.cause is OwnerChangeCause.BALANCE]


def test_keys_move_off_a_limited_owner_until_what_is_left_fits() -> None:
    play = LimitedPlay()
    play.serve(10.0, lambda now: {})
    assert play.share("a") > 8.0
    play.serve(20.0, lambda now: {"a": 4.2})
    assert 0.5 <= play.share("a") <= 4.2 * 1.1
    assert max(play.share(name) for name in "bcd") <= 25.0


def test_keys_do_not_move_back_and_forth_with_a_limit_that_wavers() -> None:
    play = LimitedPlay()
    play.serve(20.0, lambda now: {"a": 4.2})
    before = len(play.changes)
    play.serve(60.0, lambda now: {"a": 4.2} if now % 4 < 2 else {"a": 40.0} if now % 4 < 3 else {})
    assert play.share("a") <= 4.2 * 1.2
    assert len(play.moves_since(before)) <= 6


def test_an_owner_that_needs_no_limit_any_more_gets_keys_again() -> None:
    play = LimitedPlay()
    play.serve(20.0, lambda now: {"a": 4.2})
    play.serve(50.0, lambda now: {})
    assert play.share("a") >= 8.0


def test_where_all_owners_are_limited_keys_stay_spread() -> None:
    play = LimitedPlay()
    play.serve(10.0, lambda now: {})
    before = len(play.changes)
    play.serve(40.0, lambda now: dict.fromkeys(NAMES, 3.2))
    assert min(play.share(name) for name in NAMES) >= 8.0
    assert len(play.moves_since(before)) <= 8


def test_an_owner_that_takes_nothing_keeps_hardly_any_load() -> None:
    play = LimitedPlay()
    play.serve(10.0, lambda now: {})
    play.serve(25.0, lambda now: {"a": 0.0})
    assert play.share("a") <= 2.0
