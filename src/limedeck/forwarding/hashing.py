"""A hash that spreads decisions of many nodes and requests evenly."""

from __future__ import annotations

import xxhash


def hash_fraction(text: bytes) -> float:
    """A number from 0 to 1 that differs from text to text."""
    return xxhash.xxh32_intdigest(text) / float(1 << 32)
