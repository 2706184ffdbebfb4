"""The build of a node's folder: the sources of the tree, and libraries for this machine."""

from __future__ import annotations

import os
import shutil
import subprocess
from dataclasses import dataclass
from pathlib import Path

import pytest

from limedeck import build_id

DEPLOY = Path(__file__).parents[2] / "deploy"
PYTHON = """#!/bin/sh
case "$*" in
    *sys.implementation*) echo "$FAKE_PYTHON" ;;
    *"pip install"*) mkdir -p target/deps; echo installed >> installs ;;
esac
"""
UNAME = """#!/bin/sh
echo "$FAKE_MACHINE"
"""


@dataclass
class Checkout:
    """A tree that is built, with stand-ins for the interpreter and the kind of machine."""

    folder: Path
    machine: str = "aarch64"
    python: str = "cpython-311"

    def build(self) -> None:
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        kind = {"FAKE_MACHINE": self.machine, "FAKE_PYTHON": self.python}
        command = ["sh", "deploy/build.sh"]
        subprocess.run(command, cwd=self.folder, env={"PATH": path, **kind}, check=True)

    def sources_id(self) -> str:
        """Return what identifies the sources of the tree."""
        command = ["sh", "deploy/sources_id.sh"]
        result = subprocess.run(command, cwd=self.folder, check=True, capture_output=True)
        return result.stdout.decode().strip()

    @property
    def installs(self) -> int:
        """How often libraries were installed."""
        return len((self.folder / "installs").read_text().splitlines())

    @property
    def requirements(self) -> Path:
        return self.folder / "deploy" / "requirements.txt"

    @property
    def source(self) -> Path:
        return self.folder / "src" / "limedeck" / "module.py"

    @property
    def built(self) -> Path:
        return self.folder / "target" / "deps" / "limedeck" / "module.py"


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    tree = Checkout(tmp_path)
    for folder in ("bin", "deploy", "src/limedeck"):
        (tmp_path / folder).mkdir(parents=True)
    for name, text in (("python3", PYTHON), ("uname", UNAME)):
        (tmp_path / "bin" / name).write_text(text)
        (tmp_path / "bin" / name).chmod(0o755)
    for script in ("build.sh", "sources_id.sh"):
        shutil.copy(DEPLOY / script, tmp_path / "deploy")
    tree.requirements.write_text("anyio==1\n")
    tree.source.write_text("one = 1\n")
    tree.build()
    return tree


def test_unchanged_tree_is_not_built_again(checkout: Checkout) -> None:
    before = checkout.built.stat().st_mtime_ns
    checkout.build()
    assert checkout.installs == 1
    assert checkout.built.stat().st_mtime_ns == before


# Guards against native libraries of another kind of machine, with which no node starts.
@pytest.mark.parametrize(
    ("machine", "python"), [("x86_64", "cpython-311"), ("aarch64", "cpython-312")]
)
def test_folder_of_another_kind_of_machine_is_built_again(
    checkout: Checkout, machine: str, python: str
) -> None:
    checkout.machine, checkout.python = machine, python
    checkout.build()
    assert checkout.installs == 2
    assert checkout.built.exists()


def test_changed_requirements_are_installed_whatever_their_time(checkout: Checkout) -> None:
    checkout.requirements.write_text("anyio==2\n")
    os.utime(checkout.requirements, (0, 0))
    checkout.build()
    assert checkout.installs == 2


def test_changed_and_added_sources_are_in_the_folder(checkout: Checkout) -> None:
    checkout.source.write_text("one = 2\n")
    os.utime(checkout.source, (0, 0))
    added = checkout.source.with_name("added.py")
    added.write_text("")
    checkout.build()
    assert checkout.built.read_text() == "one = 2\n"
    assert checkout.built.with_name("added.py").exists()
    added.unlink()
    checkout.build()
    assert not checkout.built.with_name("added.py").exists()


# Guards against a stale build whose log does not show that it is one.
def test_built_folder_names_the_sources_of_its_tree(checkout: Checkout) -> None:
    file = checkout.built.with_name("BUILD")
    first = build_id.read_build_id(file)
    assert first == checkout.sources_id()
    checkout.source.write_text("one = 2\n")
    assert checkout.sources_id() != first
    checkout.build()
    assert build_id.read_build_id(file) == checkout.sources_id()


@pytest.mark.parametrize("content", [None, b"\xff"], ids=["none", "unreadable"])
def test_tree_that_was_not_built_has_no_id(tmp_path: Path, content: bytes | None) -> None:
    file = tmp_path / "BUILD"
    if content is not None:
        file.write_bytes(content)
    assert build_id.read_build_id(file) == build_id.UNBUILT
