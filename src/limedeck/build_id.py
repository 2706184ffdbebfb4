"""Identifies the sources that a process was built from, so that a stale build shows in its log."""

from __future__ import annotations

from pathlib import Path

UNBUILT = "unbuilt"
"""Id of a process that runs from its source tree."""
BUILD_FILE = Path(__file__).with_name("BUILD")
"""Written by `deploy/build.sh`; `deploy/sources_id.sh` prints the id of a tree."""


def read_build_id(file: Path = BUILD_FILE) -> str:
    """Return the id of the sources; `UNBUILT` if they were not built."""
    try:
        return file.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        return UNBUILT
