"""Tests that fail because of a known, open fault, listed in KNOWN-RED.txt at the root.

Each line names a test, the cause and the issue, separated by ``|``. These tests still run; CI
ignores only their failures, and prints them.
"""

from __future__ import annotations

import dataclasses
import pathlib

KNOWN_RED_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELD_COUNT = 3


class BadLine(ValueError):
    """A line of the file is malformed."""


@dataclasses.dataclass(frozen=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} ({self.issue})"


def parse(text: str) -> dict[str, KnownRed]:
    """Parse the lines, by the id of their test.

    Raises
    ------
    BadLine
        A line does not consist of a test, a cause and an issue, or lists a test twice.
    """
    found: dict[str, KnownRed] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != FIELD_COUNT or not all(parts) or parts[0] in found:
            raise BadLine(line)
        found[parts[0]] = KnownRed(*parts)
    return found


def load() -> dict[str, KnownRed]:
    """Return the listed tests; none if there is no file."""
    return parse(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else {}
