"""Short runs of the fault soak with fixed seeds; long runs are manual (docs/DEVELOPERS.md)."""

from __future__ import annotations

import pathlib

import pytest

from tests.soak import series, soak

LEAVING_AND_BACKOFF = (
    series.Kind.LEAVE,
    series.Kind.BACKOFF,
    series.Kind.KILL,
    series.Kind.STOP,
    series.Kind.LIMIT,
)
STORE_RETURNS = (
    series.Kind.RETURN_STORE,
    series.Kind.KILL,
    series.Kind.CONFIGURE,
    series.Kind.DRAIN,
    series.Kind.STOP,
)
PARTITIONS = (
    series.Kind.PARTITION,
    series.Kind.KILL,
    series.Kind.STOP,
    series.Kind.STORE_FAULTS,
    series.Kind.CRASH,
    series.Kind.RETURN_STORE,
)
UNPROVEN_REFUSALS = (
    series.Kind.UNPROVEN_STATUS,
    series.Kind.SURPLUS_RESPONSES,
    series.Kind.BACKOFF,
    series.Kind.KILL,
    series.Kind.STOP,
    series.Kind.PAUSE,
    series.Kind.PARTITION,
)
OTHER_WRITERS = (
    series.Kind.INVALID_ADDRESSES,
    series.Kind.LOSE_RECORD,
    series.Kind.UNREADABLE_ROWS,
    series.Kind.KILL,
    series.Kind.DRAIN,
)
SPOILT_RESPONSES_AND_ROWS = (
    series.Kind.REPEAT_RESPONSES,
    series.Kind.CUT_HEADS,
    series.Kind.UNREADABLE_ROWS,
    series.Kind.DRAIN,
    series.Kind.KILL,
    series.Kind.PARTITION,
)


@pytest.mark.parametrize(
    ("seed", "seconds", "kinds"),
    [
        (1, 12.0, series.PLANNED),
        # SIGHUP reached a node that was still loading modules, and ended it.
        (290008, 20.0, series.KINDS_V1),
        (320001, 20.0, (series.Kind.CRASH, series.Kind.SUSPEND)),
        (
            380001,
            20.0,
            (series.Kind.EVACUATE, series.Kind.RESTART_BACKEND, series.Kind.FOREIGN_ENTRIES),
        ),
        (
            410001,
            20.0,
            (series.Kind.LIMIT, series.Kind.KILL, series.Kind.STOP, series.Kind.RESTART_BACKEND),
        ),
        # The store refused all nodes while back ends restarted cold, so that no node knew of it.
        (420021, 20.0, series.KINDS_V4),
        (460001, 20.0, LEAVING_AND_BACKOFF),
        (520001, 20.0, STORE_RETURNS),
        (610001, 20.0, PARTITIONS),
        (660001, 20.0, UNPROVEN_REFUSALS),
        (720004, 20.0, SPOILT_RESPONSES_AND_ROWS),
        (760001, 20.0, OTHER_WRITERS),
    ],
    ids=[
        "planned",
        "hang-up-at-start",
        "crashes-and-sleep",
        "zones-lives-strangers",
        "limits",
        "store-away-while-cold",
        "leaving-and-backoff",
        "store-returns",
        "partitions",
        "unproven-refusals",
        "spoilt-responses-and-rows",
        "other-writers",
    ],
)
def test_no_promise_is_broken(
    seed: int, seconds: float, kinds: tuple[series.Kind, ...], tmp_path: pathlib.Path
) -> None:
    result = soak.Soak(seed, tmp_path, kinds=kinds).run(seconds)
    assert result.violations == []
    assert result.statuses["200"] > 0
    assert sum(result.steps.values()) > 0
