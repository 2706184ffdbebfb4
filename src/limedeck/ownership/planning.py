"""Which back end should own which keys."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """Give the keys from `first` to `last`, both inside, to another back end."""

    first: int
    last: int
    target: str


def first_assignment(backend_ids: Sequence[str], positions: int) -> list[tuple[int, int, str]]:
    """Cut all keys into one range of equal size for each back end."""
    count = len(backend_ids)
    edges = [positions * index // count for index in range(count + 1)] if count else []
    return [
        (edges[index], edges[index + 1] - 1, backend_id)
        for index, backend_id in enumerate(backend_ids)
    ]


def least_loaded(loads: Mapping[str, float]) -> str:
    """Return the back end with the least load; the first by name among equals."""
    return min(loads, key=lambda backend_id: (loads[backend_id], backend_id))
