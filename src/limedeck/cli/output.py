"""Formatting of output as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

WriteLine = Callable[[str], Any]


def to_json(message: Message) -> str:
    """Return a message as one line of JSON; unset fields are left out."""
    return json.dumps(MessageToDict(message, preserving_proto_field_name=True), sort_keys=True)


def table_lines(head: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return the lines of a table, each column as wide as its widest cell."""
    cells = [list(head), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
