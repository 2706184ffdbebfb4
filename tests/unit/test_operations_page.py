"""The operators' page lists every event that a node logs, with its fields, and no other.

On-call reads the page in an incident: an event that it does not list is looked for in the code, and
one that nothing writes any more is waited for in vain.
"""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

SOURCES = Path("src/limedeck/node")
PAGE = Path("docs/OPERATIONS-NODE.md")
LEVELS = {"debug", "info", "warning", "error", "critical"}
HEADING = "## Log lines"
NAME = re.compile(r"`([a-z_]+)`")
COMMON = {"request", "service", "route", "key", "owners", "attempts", "took"}
"""Of the lines that end a request; the page names them once."""


def calls(tree: ast.AST) -> Iterator[ast.Call]:
    """Calls that write a line: of a logger's method, with the event's name first."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            owner = node.func.value
            is_log = isinstance(owner, ast.Attribute) and owner.attr in ("_log", "log")
            if (node.func.attr in LEVELS and is_log) or (
                node.func.attr == "_line" and isinstance(owner, ast.Name)
            ):
                yield node


def logged() -> dict[str, set[str]]:
    """Events with the fields that are named where they are written."""
    found: dict[str, set[str]] = defaultdict(set)
    for file in sorted(SOURCES.glob("*.py")):
        for call in calls(ast.parse(file.read_text())):
            event = call.args[0]
            if isinstance(event, ast.Constant) and isinstance(event.value, str):
                found[event.value] |= {item.arg for item in call.keywords if item.arg}
    return found


def listed() -> dict[str, set[str]]:
    """Events of the page's table; a row that begins with "the same" is of the event before."""
    found: dict[str, set[str]] = defaultdict(set)
    rows = PAGE.read_text().split(HEADING)[1].split("\n## ")[0].splitlines()
    events: list[str] = []
    for row in rows:
        cells = [cell.strip() for cell in row.split("|")[1:]]
        if len(cells) < 3 or cells[0] in ("event", "---"):
            continue
        events = NAME.findall(cells[0]) if not cells[0].startswith("the same") else events
        for event in events:
            found[event] |= set(NAME.findall(" ".join(cells[1:])))
            found[event] |= COMMON if "the same" in cells[1] else set()
    return found


def test_the_scan_sees_what_there_is() -> None:
    events = logged()
    assert len(events) > 40
    assert {"given_up", "elected", "back_end_cold", "row_refused"} <= events.keys()


@pytest.mark.parametrize("event", sorted(logged()))
def test_an_event_is_on_the_page_with_its_fields(event: str) -> None:
    page = listed()
    assert event in page
    assert logged()[event] - page[event] - COMMON == set()


@pytest.mark.parametrize("event", sorted(listed()))
def test_what_is_on_the_page_is_written_somewhere(event: str) -> None:
    assert event in logged()
