"""Tests that fail for a real fault which is not mended yet: KNOWN-RED.txt at the root.

Each line names a test, the cause and the issue, separated by ``|``. These tests run all the same;
CI passes over just their failures and prints them.
"""

from __future__ import annotations

import dataclasses
import pathlib

FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = 3


class BadLine(ValueError):
    """A line of the file cannot be read."""


@dataclasses.dataclass(frozen=True)
class KnownRed:
    """One line."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} ({self.issue})"


def read(text: str) -> dict[str, KnownRed]:
    """Read the lines, by the id of their test.

    Raises
    ------
    BadLine
        A line has not just a test, a cause and an issue.
    """
    found: dict[str, KnownRed] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != FIELDS or not all(parts) or parts[0] in found:
            raise BadLine(line)
        found[parts[0]] = KnownRed(*parts)
    return found


def listed() -> dict[str, KnownRed]:
    """What the file lists; nothing if there is none."""
    return read(FILE.read_text()) if FILE.exists() else {}
