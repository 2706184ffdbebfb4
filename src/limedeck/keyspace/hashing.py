"""Where a key lies on the key line."""

from __future__ import annotations

import xxhash

KEY_LINE_BITS = 64
KEY_LINE_END = 1 << KEY_LINE_BITS
"""First position after the end of the line."""


def key_position(key: str) -> int:
    """Hash a key to its position on the line, in ``[0, KEY_LINE_END)``."""
    return xxhash.xxh3_64_intdigest(key.encode())


def even_cuts(count: int) -> list[int]:
    """Start positions that cut the line into `count` slices of equal width."""
    return [index * KEY_LINE_END // count for index in range(count)]


def rendezvous_weight(name: str, key: str) -> int:
    """Weight of `name` for `key`: the highest of several names wins (rendezvous hashing)."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
