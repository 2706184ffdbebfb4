"""A settings file that has changed: what is taken up at once, and what waits for a restart."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec

from limedeck import errors
from limedeck.node import logs, settings

if TYPE_CHECKING:
    from collections.abc import Callable


LIVE_SECTIONS = ("retries", "stop", "log")
"""Sections that a running process takes up; the others say where it listens and who it is."""


class SettingsFile:
    """The settings in force, and the file that they come from.

    Parameters
    ----------
    in_force
        As they were read from the file at the start.
    """

    def __init__(self, path: str, in_force: settings.NodeSettings) -> None:
        self.in_force = in_force
        self.on_change: Callable[[settings.NodeSettings], None] = lambda changed: None
        self._path = path
        self._stamp = self._read_stamp()
        self._log = logs.get_logger("settings")

    def reload_if_changed(self) -> None:
        """Take the file up if it is not the one that was read last."""
        if self._read_stamp() != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Take the file up; one that cannot be used leaves the settings in force as they are."""
        self._stamp = self._read_stamp()
        try:
            found = settings.load_node_settings(self._path)
        except errors.SettingsError as exc:
            self._log.error("settings_refused", problem=str(exc))
            return
        changed = _differing(self.in_force, found)
        live = {name: getattr(found, name) for name in changed if name in LIVE_SECTIONS}
        self.in_force = msgspec.structs.replace(self.in_force, **live)
        waiting = [name for name in changed if name not in live]
        self._log.info("reloaded", taken_up=sorted(live), waiting_for_restart=waiting)
        if live:
            self.on_change(self.in_force)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size


def _differing(one: settings.NodeSettings, other: settings.NodeSettings) -> list[str]:
    names = [field.name for field in msgspec.structs.fields(one)]
    return [name for name in names if getattr(one, name) != getattr(other, name)]
