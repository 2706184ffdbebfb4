"""Hashing of keys to positions in the key space."""

from __future__ import annotations

import xxhash

KEYSPACE_BITS = 64
KEYSPACE_END = 1 << KEYSPACE_BITS
"""End of the key space, exclusive."""


def key_position(key: str) -> int:
    """Hash a key to its position in the key space, ``[0, KEYSPACE_END)``."""
    return xxhash.xxh3_64_intdigest(key.encode())


def equal_slice_starts(count: int) -> list[int]:
    """Return the starts of `count` slices of equal width that cover the key space."""
    return [index * KEYSPACE_END // count for index in range(count)]


def rendezvous_weight(name: str, key: str) -> int:
    """Weight of `name` for `key`: the name with the highest one is chosen (rendezvous hashing)."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
