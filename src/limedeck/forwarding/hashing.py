"""A hash for choices that should be spread evenly over nodes and requests."""

from __future__ import annotations

import xxhash


def hash_fraction(text: bytes) -> float:
    """Return the hash of a text as a number from 0, included, to 1, excluded."""
    return xxhash.xxh32_intdigest(text) / float(1 << 32)
