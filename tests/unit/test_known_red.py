"""Parsing of KNOWN-RED.txt, and that it lists only tests that exist."""

from __future__ import annotations

import pytest

from tests import known_red


def test_lines_are_parsed() -> None:
    found = known_red.parse("a::b | it is slow | issue 1\n\nc::d | x | issue 2\n")
    assert found["a::b"] == known_red.KnownRed("a::b", "it is slow", "issue 1")
    assert list(found) == ["a::b", "c::d"]


@pytest.mark.parametrize(
    "text", ["a::b", "a::b | x", "a::b | | issue 1", "a|b|c|d", "a|b|c\na|b|c"]
)
def test_malformed_line_or_duplicate_is_rejected(text: str) -> None:
    with pytest.raises(known_red.BadLine):
        known_red.parse(text)


def test_every_listed_test_exists(request: pytest.FixtureRequest) -> None:
    """Guards against lines that remain after their test or its file was renamed or removed."""
    for name in known_red.load():
        file, _, function = name.partition("::")
        text = (request.config.rootpath / file).read_text()
        assert f"def {function.partition('[')[0]}(" in text
