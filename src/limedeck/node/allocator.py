"""Has the C library return the memory of large messages to the system."""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3
"""Parameter of `mallopt` (malloc.h of the GNU C library)."""
LARGE_BLOCK_BYTES = 131_072
"""Blocks of this size and more are mapped one by one: the library's initial value."""


def map_large_blocks() -> bool:
    """Keep the size from which on blocks are mapped one by one; return whether that succeeded.

    By default the library raises this size to that of the largest block that was ever freed. Later
    messages of that size then come from the heap, which small blocks between them keep from
    shrinking, and the process takes several times what it holds.
    """
    try:
        return bool(ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
    except (AttributeError, OSError):
        return False
