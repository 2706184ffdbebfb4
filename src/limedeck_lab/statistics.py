"""Statistics of measured values."""

from __future__ import annotations

from collections.abc import Sequence


def percentile(ordered: Sequence[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies; zero without values.

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
