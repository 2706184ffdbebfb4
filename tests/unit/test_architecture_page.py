"""The page that says where each decision is made names modules that are there."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path

import pytest

PAGE = Path("docs/design/architecture.md")
PACKAGES = ("forwarding", "node", "ownership", "platform", "routing", "store")
PACKAGE = "|".join(PACKAGES)
NAME = re.compile(rf"`((?:{PACKAGE})\.[a-z_]+|http_client|http_codec)`")
WITHOUT_DECISIONS = {"__init__", "__main__"}


def ways() -> str:
    """What the page says of the product that runs; the first build's part comes after it."""
    return PAGE.read_text().split("# The first build")[0]


def named() -> set[str]:
    return set(NAME.findall(ways()))


@pytest.mark.parametrize("module", sorted(named()))
def test_a_module_that_is_named_is_there(module: str) -> None:
    assert importlib.util.find_spec(f"limedeck.{module}") is not None


def test_every_module_that_decides_about_keys_is_on_the_page() -> None:
    modules = {file.stem for file in Path("src/limedeck/ownership").glob("*.py")}
    shown = {name.removeprefix("ownership.") for name in named() if name.startswith("ownership.")}
    # Types, and permits' lending, which the request's way names by what it lends.
    not_decisions = WITHOUT_DECISIONS | {
        "commands",
        "orders",
        "ranges",
        "range_map",
        "leader_permits",
    }
    assert modules - not_decisions == shown
