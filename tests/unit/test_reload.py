"""Reloading a settings file while a node runs."""

from __future__ import annotations

import pathlib

import pytest

from limedeck.node import reload, settings
from limedeck.ownership import timing

TEXT = """
[node]
id = "n"
zone = "z"
ip = "127.0.0.1"
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
first_peer_port = 3
[store]
address = "127.0.0.1:4"
[retries]
ratio = 0.2
slack = 60
window = 10
[stop]
grace = 4
"""


@pytest.fixture
def path(tmp_path: pathlib.Path) -> pathlib.Path:
    file = tmp_path / "settings.toml"
    file.write_text(TEXT)
    return file


def open_file(path: pathlib.Path) -> tuple[reload.SettingsFile, list[settings.NodeSettings]]:
    file = reload.SettingsFile(str(path), settings.load_node_settings(str(path)))
    applied: list[settings.NodeSettings] = []
    file.on_change = applied.append
    return file, applied


def test_reloadable_sections_are_applied(path: pathlib.Path) -> None:
    file, applied = open_file(path)
    path.write_text(TEXT.replace("slack = 60", "slack = 700").replace("grace = 4", "grace = 9"))
    file.reload_if_changed()
    assert [(item.retries.slack, item.stop.grace) for item in applied] == [(700, 9)]
    file.reload_if_changed()
    assert len(applied) == 1


def test_changed_listen_address_is_not_applied_without_a_restart(path: pathlib.Path) -> None:
    file, applied = open_file(path)
    path.write_text(TEXT.replace("127.0.0.1:1", "127.0.0.1:9999"))
    file.reload()
    assert applied == []
    assert file.in_force.node.callers == "127.0.0.1:1"


@pytest.mark.parametrize("text", ["", "no toml", TEXT.replace("ratio = 0.2", 'ratio = "x"')])
def test_invalid_file_changes_nothing(path: pathlib.Path, text: str) -> None:
    file, applied = open_file(path)
    path.write_text(text)
    file.reload_if_changed()
    path.unlink()
    file.reload_if_changed()
    assert applied == []
    assert file.in_force.retries.slack == 60


@pytest.mark.parametrize(("longest", "lease"), [(10.0, 2.0), (2.0, 2.0), (1.0, 1.0), (0.4, 0.4)])
def test_lease_is_not_longer_than_back_ends_accept(longest: float, lease: float) -> None:
    """The limit was once read and not used; back ends refuse a longer lease."""
    found = timing.timing_for_longest_lease(longest)
    assert found.lease == lease
    assert found.renewal_interval <= found.lease / 4


def reload_events(capsys: pytest.CaptureFixture[str]) -> list[str]:
    names = ("reloaded", "settings_unchanged", "settings_refused")
    lines = capsys.readouterr().out.splitlines()
    return [name for line in lines for name in names if name in line]


def test_a_file_that_was_just_reloaded_is_not_reloaded_again_by_the_signal(
    path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file, applied = open_file(path)
    path.write_text(TEXT.replace("slack = 60", "slack = 600").replace('"z"', '"y"'))
    file.reload_if_changed()
    file.reload()
    assert reload_events(capsys) == ["reloaded", "settings_unchanged"]
    assert len(applied) == 1


def test_an_invalid_file_is_refused_again_on_each_signal(
    path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file, _ = open_file(path)
    path.write_text("node = [")
    file.reload_if_changed()
    file.reload()
    assert reload_events(capsys) == ["settings_refused", "settings_refused"]
    path.write_text(TEXT)
    file.reload()
    assert reload_events(capsys) == ["reloaded"]


def test_a_file_that_changed_while_the_node_started_is_reloaded_by_the_signal(
    path: pathlib.Path,
) -> None:
    in_force = settings.load_node_settings(str(path))
    path.write_text(TEXT.replace("slack = 60", "slack = 600"))
    file = reload.SettingsFile(str(path), in_force)
    file.reload()
    assert file.in_force.retries.slack == 600
