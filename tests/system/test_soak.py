"""Short, seeded runs of the fault soak; long ones are started by hand (docs/DEVELOPERS.md)."""

from __future__ import annotations

import pathlib

import pytest

from tests.soak import series, soak

SEED = 1
SECONDS = 12.0


@pytest.mark.parametrize("kinds", [series.PLANNED, tuple(series.Kind)], ids=["planned", "all"])
def test_no_promise_is_broken(kinds: tuple[series.Kind, ...], tmp_path: pathlib.Path) -> None:
    result = soak.Soak(SEED, tmp_path, kinds=kinds).run(SECONDS)
    assert result.violations == []
    assert result.statuses["200"] > 0
    assert sum(result.steps.values()) > 0
