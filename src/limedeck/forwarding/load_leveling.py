"""Shares requests among back ends whose load is known with a delay.

Whoever sends everything to the back end that was least loaded some time ago swamps it until the
next report. Shares that level the load by the time of that report do not: see M. Dahlin,
"Interpreting Stale Load Information", ICDCS 1999.
"""

from __future__ import annotations

from collections.abc import Sequence


def levelling_shares(
    loads: Sequence[float], capacities: Sequence[float], arrivals: float
) -> list[float]:
    """Return how many of `arrivals` each back end should get, so that all end equally used.

    Parameters
    ----------
    loads
        Requests that each back end is believed to have.
    capacities
        Requests a second that each can work on; above zero.
    arrivals
        Requests that come before loads are known anew; above zero.
    """
    use = [load / capacity for load, capacity in zip(loads, capacities, strict=True)]
    level = _level(use, loads, capacities, arrivals)
    return [
        max(level * capacity - load, 0.0) for load, capacity in zip(loads, capacities, strict=True)
    ]


def _level(
    use: Sequence[float], loads: Sequence[float], capacities: Sequence[float], arrivals: float
) -> float:
    """Find the use up to which `arrivals` fill the least used back ends."""
    order = sorted(range(len(use)), key=use.__getitem__)
    load_below = 0.0
    capacity_below = 0.0
    level = 0.0
    for rank, index in enumerate(order):
        load_below += loads[index]
        capacity_below += capacities[index]
        level = (arrivals + load_below) / capacity_below
        if rank + 1 < len(order) and level <= use[order[rank + 1]]:
            break
    return level
