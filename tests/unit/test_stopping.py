"""How long a node forwards requests during a graceful shutdown, and when it exits."""

from __future__ import annotations

import pytest

from limedeck.node import settings

UNLISTED_AFTER = 2.0
"""Two failed readiness checks, one per second, after which no new connections arrive."""
RESPONSE_REQUIRED_AFTER = 3.0
"""Responses to requests that are forwarded later than this must arrive before the process exits, in
seconds."""


@pytest.mark.parametrize("grace", [4.5, 6.0, 10.0, 30.0])
def test_last_forwarded_request_has_half_of_the_grace_left(grace: float) -> None:
    """On klvs-gateway-grown scale-2 a request forwarded after 3.5 s of 6 s was cut off."""
    stop = settings.StopSection(grace=grace)
    assert UNLISTED_AFTER < stop.serving_time < RESPONSE_REQUIRED_AFTER
    assert grace / 2 < grace - stop.serving_time


@pytest.mark.parametrize("grace", [4.5, 6.0, 10.0, 30.0])
def test_process_exits_within_its_grace(grace: float) -> None:
    stop = settings.StopSection(grace=grace)
    assert 0.9 * grace < stop.finishing_time < 0.95 * grace
