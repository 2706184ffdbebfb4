"""The list of known red tests names tests that are there."""

from __future__ import annotations

import pytest

from tests import known_red


def test_lines_are_read() -> None:
    found = known_red.read("a::b | it is slow | issue 1\n\nc::d | x | issue 2\n")
    assert found["a::b"] == known_red.KnownRed("a::b", "it is slow", "issue 1")
    assert list(found) == ["a::b", "c::d"]


@pytest.mark.parametrize(
    "text", ["a::b", "a::b | x", "a::b | | issue 1", "a|b|c|d", "a|b|c\na|b|c"]
)
def test_a_line_that_says_less_is_refused(text: str) -> None:
    with pytest.raises(known_red.BadLine):
        known_red.read(text)


def test_every_listed_test_exists(request: pytest.FixtureRequest) -> None:
    """A line outlives its test or its file's name otherwise."""
    for name in known_red.listed():
        file, _, function = name.partition("::")
        text = (request.config.rootpath / file).read_text()
        assert f"def {function.partition('[')[0]}(" in text
