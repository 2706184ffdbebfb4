"""Versions of the store: the era, then the number of a transaction within it.

A store that returns from a copy has lost its newest transactions and gives out their numbers again.
Each return begins a new era. One integer holds both, so that versions of different eras are in
order wherever they are compared, stored or sent.
"""

from __future__ import annotations

from typing import TypeAlias

StoreVersion: TypeAlias = int
"""Era and number in one integer; without eras it is the number."""
NUMBER_BITS = 48
"""Bits for the number of a transaction: at 1,000 transactions a second they last 8,900 years."""
ERA_BITS = 11
MAX_ERA = (1 << ERA_BITS) - 1
"""Highest era: with a return from a copy each day, it is reached after 5.6 years."""


def store_version(era: int, number: int) -> StoreVersion:
    """Return the version of a transaction."""
    return era << NUMBER_BITS | number


def era_of(version: StoreVersion) -> int:
    """Return the era of a version."""
    return version >> NUMBER_BITS


def number_of(version: StoreVersion) -> int:
    """Return the number that the store itself uses for a version."""
    return version & ((1 << NUMBER_BITS) - 1)


def start_of(era: int) -> StoreVersion:
    """Return a version before all transactions of an era: that of a row which does not exist."""
    return store_version(era, 0)
