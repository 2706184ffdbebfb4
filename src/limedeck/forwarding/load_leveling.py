"""Shares requests among back ends whose load is known with a delay.

Sending all requests to the back end that was least loaded at the last report overloads it until the
next one. Shares that level the load by the time of the next report avoid this: see M. Dahlin,
"Interpreting Stale Load Information", ICDCS 1999.
"""

from __future__ import annotations

from collections.abc import Sequence


def levelling_shares(
    loads: Sequence[float], capacities: Sequence[float], arrivals: float
) -> list[float]:
    """Return how many of `arrivals` each back end should get to level their utilization.

    Parameters
    ----------
    loads
        Requests that each back end is expected to have.
    capacities
        Requests a second that each can process; above zero.
    arrivals
        Requests that are expected before loads are updated; above zero.
    """
    utilization = [load / capacity for load, capacity in zip(loads, capacities, strict=True)]
    level = _level(utilization, loads, capacities, arrivals)
    return [
        max(level * capacity - load, 0.0) for load, capacity in zip(loads, capacities, strict=True)
    ]


def _level(
    utilization: Sequence[float],
    loads: Sequence[float],
    capacities: Sequence[float],
    arrivals: float,
) -> float:
    """Find the utilization up to which `arrivals` fill the least utilized back ends."""
    order = sorted(range(len(utilization)), key=utilization.__getitem__)
    load_below = 0.0
    capacity_below = 0.0
    level = 0.0
    for rank, index in enumerate(order):
        load_below += loads[index]
        capacity_below += capacities[index]
        level = (arrivals + load_below) / capacity_below
        if rank + 1 < len(order) and level <= utilization[order[rank + 1]]:
            break
    return level
