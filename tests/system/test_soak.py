"""Short, seeded runs of the fault soak; long ones are started by hand (docs/DEVELOPERS.md)."""

from __future__ import annotations

import pathlib

import pytest

from tests.soak import series, soak

LEAVING_AND_BACKOFF = (
    series.Kind.LEAVE,
    series.Kind.REST,
    series.Kind.KILL,
    series.Kind.STOP,
    series.Kind.LIMIT,
)


@pytest.mark.parametrize(
    ("seed", "seconds", "kinds"),
    [
        (1, 12.0, series.PLANNED),
        # A node that was still starting was told of changed settings, and was gone.
        (290008, 20.0, series.OF_FIRST_SEEDS),
        (320001, 20.0, (series.Kind.CRASH, series.Kind.SUSPEND)),
        (380001, 20.0, (series.Kind.EVACUATE, series.Kind.REBORN, series.Kind.STRANGE)),
        (410001, 20.0, (series.Kind.LIMIT, series.Kind.KILL, series.Kind.STOP, series.Kind.REBORN)),
        # The store refused all nodes while back ends came back cold: nobody heard of it.
        (420021, 20.0, series.OF_FOURTH_SEEDS),
        (460001, 20.0, LEAVING_AND_BACKOFF),
    ],
    ids=[
        "planned",
        "hang-up-at-start",
        "crashes-and-sleep",
        "zones-lives-strangers",
        "limits",
        "store-away-while-cold",
        "leaving-and-backoff",
    ],
)
def test_no_promise_is_broken(
    seed: int, seconds: float, kinds: tuple[series.Kind, ...], tmp_path: pathlib.Path
) -> None:
    result = soak.Soak(seed, tmp_path, kinds=kinds).run(seconds)
    assert result.violations == []
    assert result.statuses["200"] > 0
    assert sum(result.steps.values()) > 0
