"""How long a node that is stopped as planned passes requests on, and when it ends."""

from __future__ import annotations

import pytest

from limedeck.node import settings

OUT_OF_THE_LIST = 2.0
"""Two failed readiness checks, one a second, after which no new connections come."""
MUST_BE_WHOLE_AFTER = 3.0
"""What is passed on later than this must be answered before the process ends, in seconds."""


@pytest.mark.parametrize("grace", [4.5, 6.0, 10.0, 30.0])
def test_what_is_passed_on_last_has_half_of_the_grace_left(grace: float) -> None:
    """Found on klvs-gateway-grown scale-2: one passed on after 3.5 s of 6 s was cut off."""
    stop = settings.StopSection(grace=grace)
    assert OUT_OF_THE_LIST < stop.serving_time < MUST_BE_WHOLE_AFTER
    assert grace / 2 < grace - stop.serving_time


@pytest.mark.parametrize("grace", [4.5, 6.0, 10.0, 30.0])
def test_a_process_ends_by_itself_within_its_grace(grace: float) -> None:
    stop = settings.StopSection(grace=grace)
    assert 0.9 * grace < stop.finishing_time < 0.95 * grace
