"""Tests of owners that state rate limits: they give up keys until the rest fits the limit."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from limedeck.ownership.commands import OwnerChange
from limedeck.ownership.ranges import OwnerChangeCause
from limedeck.ownership.service import ServiceOwnership
from tests.unit.test_service_ownership import TIMING, CoreDriver, backend

NAMES = ("a", "b", "c", "d")
KEYS = 4096
RATE = 52.0
"""Requests per second of all keys, distributed evenly: 13 for each owner."""
STEP = 0.25


class LimitedCoreDriver(CoreDriver):
    """Drives a core with requests for all keys, while some owners state limits."""

    def __init__(self) -> None:
        core = ServiceOwnership("service", KEYS, 1, None, 0, TIMING, 0.0)
        core.set_backends([backend(name) for name in NAMES], 0.0)
        for name in NAMES:
            core.set_service_time(name, 0.08)
        super().__init__(core)
        self.rng = random.Random(3)
        self.changes: list[OwnerChange] = []

    def serve(self, until: float, limits: Callable[[float], dict[str, float]]) -> None:
        while self.now < until:
            count = round(RATE * STEP)
            keys = Counter(self.rng.randrange(KEYS) for _ in range(count))
            self.core.record_requests(keys.items(), self.now)
            self.core.set_limits(limits(self.now), self.now)
            self.run(self.now + STEP)
            self.changes += self.core.changes
            self.core.changes.clear()

    def share(self, name: str) -> float:
        """Return the requests per second for the keys of an owner."""
        keys = sum(item.last - item.first + 1 for item in self.core.ranges if item.owner == name)
        return RATE * keys / KEYS

    def moves_since(self, count: int) -> list[OwnerChange]:
        return [item for item in self.changes[count:] if item.cause is OwnerChangeCause.BALANCE]


def test_limited_owner_gives_up_keys_until_its_load_fits() -> None:
    driver = LimitedCoreDriver()
    driver.serve(10.0, lambda now: {})
    assert driver.share("a") > 8.0
    driver.serve(20.0, lambda now: {"a": 4.2})
    assert 0.5 <= driver.share("a") <= 4.2 * 1.1
    assert max(driver.share(name) for name in "bcd") <= 25.0


def test_varying_limit_does_not_move_keys_back_and_forth() -> None:
    driver = LimitedCoreDriver()
    driver.serve(20.0, lambda now: {"a": 4.2})
    before = len(driver.changes)
    driver.serve(
        60.0, lambda now: {"a": 4.2} if now % 4 < 2 else {"a": 40.0} if now % 4 < 3 else {}
    )
    assert driver.share("a") <= 4.2 * 1.2
    assert len(driver.moves_since(before)) <= 6


def test_owner_gets_keys_again_after_its_limit_ended() -> None:
    driver = LimitedCoreDriver()
    driver.serve(20.0, lambda now: {"a": 4.2})
    driver.serve(50.0, lambda now: {})
    assert driver.share("a") >= 8.0


def test_keys_stay_distributed_if_all_owners_are_limited() -> None:
    driver = LimitedCoreDriver()
    driver.serve(10.0, lambda now: {})
    before = len(driver.changes)
    driver.serve(40.0, lambda now: dict.fromkeys(NAMES, 3.2))
    assert min(driver.share(name) for name in NAMES) >= 8.0
    assert len(driver.moves_since(before)) <= 8


def test_owner_with_a_limit_of_zero_keeps_little_load() -> None:
    driver = LimitedCoreDriver()
    driver.serve(10.0, lambda now: {})
    driver.serve(25.0, lambda now: {"a": 0.0})
    assert driver.share("a") <= 2.0
