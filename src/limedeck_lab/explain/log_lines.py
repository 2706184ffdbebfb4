"""Log lines of several nodes, ordered by time."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from limedeck.errors import LimedeckError
from limedeck.identity import Seconds


@dataclass
class UnreadableLogs(LimedeckError):
    """No logs could be read."""

    problem: str

    def __str__(self) -> str:
        return self.problem


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Parameters
    ----------
    at
        Time from the log collector, or else from the node's own monotonic clock. Lines of several
        machines are in order only if these clocks agree.
    """

    at: Seconds
    node: str
    event: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Return a field; None if the line does not have it."""
        return self.fields.get(name)

    def holds_key(self, service: str, key: int) -> bool:
        """Whether the line is about a range of this service that contains the key."""
        first, last = self.get("first"), self.get("last")
        if self.get("service") != service or first is None or last is None:
            return False
        return bool(first <= key <= last)


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Read the log lines of files, and of all files below directories.

    Raises
    ------
    UnreadableLogs
        A path does not exist, or no file has a log line.
    """
    lines: list[LogLine] = []
    for path in paths:
        if not path.exists():
            raise UnreadableLogs(f"{path} does not exist")
        for file in sorted(path.rglob("*")) if path.is_dir() else [path]:
            if file.is_file():
                lines += _read_file(file)
    if not lines:
        raise UnreadableLogs("these files contain no log lines of a node")
    return sorted(lines, key=lambda line: line.at)


def _read_file(file: Path) -> Iterator[LogLine]:
    """Yield the lines of one file; a node's first line names the node."""
    node = file.stem
    with file.open(encoding="utf-8", errors="replace") as content:
        for text in content:
            line = _parse_line(text.strip(), node)
            if line is None:
                continue
            if line.event == "started" and line.node == node:
                node = str(line.get("node") or node)
                line = replace(line, node=node)
            yield line


def _parse_line(text: str, node: str) -> LogLine | None:
    """Parse a line as a node writes it, or with a time and a node's name in front."""
    head, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        words = head.split()
        at = float(words[0] if words else fields["clock"])
        event = str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(at, words[1] if len(words) > 1 else node, event, fields)
