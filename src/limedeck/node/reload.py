"""Reloads a changed settings file: some sections apply at once, others after a restart."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec

from limedeck import errors
from limedeck.node import logs, settings

if TYPE_CHECKING:
    from collections.abc import Callable


RELOADABLE_SECTIONS = ("retries", "stop", "log")
"""Sections that a running process applies. The others, such as its identity and addresses, need a
restart."""


class SettingsFile:
    """The settings in force and the file that they were read from.

    Parameters
    ----------
    in_force
        The settings that were read from the file at the start.
    """

    def __init__(self, path: str, in_force: settings.NodeSettings) -> None:
        self.in_force = in_force
        self.on_change: Callable[[settings.NodeSettings], None] = lambda changed: None
        self._path = path
        self._stamp = self._read_stamp()
        # The file may have changed since `in_force` was read from it.
        self._loaded_stamp: tuple[int, int] | None = None
        self._log = logs.get_logger("settings")

    def reload_if_changed(self) -> None:
        """Reload the file if it has changed since it was last read."""
        if self._read_stamp() != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Reload the file unless it is the one that was loaded last.

        If it is invalid, the settings in force are kept.
        """
        self._stamp = self._read_stamp()
        if self._stamp is not None and self._stamp == self._loaded_stamp:
            # The periodic check may have reloaded the file just before a signal requests it.
            self._log.info("settings_unchanged")
            return
        try:
            loaded = settings.load_node_settings(self._path)
        except errors.SettingsError as exc:
            self._log.error("settings_refused", problem=str(exc))
            self._loaded_stamp = None
            return
        self._loaded_stamp = self._stamp
        changed = _changed_sections(self.in_force, loaded)
        applied = {name: getattr(loaded, name) for name in changed if name in RELOADABLE_SECTIONS}
        self.in_force = msgspec.structs.replace(self.in_force, **applied)
        waiting = [name for name in changed if name not in applied]
        self._log.info("reloaded", taken_up=sorted(applied), waiting_for_restart=waiting)
        if applied:
            self.on_change(self.in_force)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size


def _changed_sections(current: settings.NodeSettings, loaded: settings.NodeSettings) -> list[str]:
    names = [field.name for field in msgspec.structs.fields(current)]
    return [name for name in names if getattr(current, name) != getattr(loaded, name)]
