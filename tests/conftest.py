"""Shared test configuration: reproducible Hypothesis examples, and tests known to fail."""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests import known_red

settings.register_profile("limedeck", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("limedeck")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark known red tests as expected failures: they run, but do not fail the run."""
    listed = known_red.load()
    for item in items:
        known = listed.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=str(known), strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the outcome of each known red test."""
    listed = known_red.load()
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in listed:
                terminalreporter.line(f"KNOWN-RED {outcome}: {listed[report.nodeid]}")
