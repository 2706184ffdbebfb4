"""Small statistics over measured values."""

from __future__ import annotations

from collections.abc import Sequence


def percentile(ordered: Sequence[float], fraction: float) -> float:
    """Value below which this fraction of ordered values lies; zero for none.

    Parameters
    ----------
    ordered
        Values in ascending order.
    fraction
        In ``[0, 1]``.
    """
    if not ordered:
        return 0.0
    index = min(int(fraction * len(ordered)), len(ordered) - 1)
    return ordered[index]
