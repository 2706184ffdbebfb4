"""Hashing of keys to positions in the key space."""

from __future__ import annotations

import xxhash

KEY_LINE_BITS = 64
KEY_LINE_END = 1 << KEY_LINE_BITS
"""End of the key space, exclusive."""


def key_position(key: str) -> int:
    """Hash a key to its position in the key space, ``[0, KEY_LINE_END)``."""
    return xxhash.xxh3_64_intdigest(key.encode())


def equal_slice_starts(count: int) -> list[int]:
    """Return the starts of `count` slices of equal width that cover the key space."""
    return [index * KEY_LINE_END // count for index in range(count)]


def rendezvous_weight(name: str, key: str) -> int:
    """Weight of `name` for `key`: the name with the highest one is chosen (rendezvous hashing)."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
