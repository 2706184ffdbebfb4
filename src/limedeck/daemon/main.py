"""The daemon's command: ``limedeckd --settings FILE``."""

from __future__ import annotations

import sys

import anyio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from limedeck.config.settings import DaemonSettings, load_settings
from limedeck.daemon.logs import configure_logs
from limedeck.daemon.server import Daemon
from limedeck.errors import SettingsError

EXIT_OK = 0
EXIT_SETTINGS = 2
OVERRIDES = {
    "id": "Id of this node, the same as its machine's",
    "zone": "Zone this node is in",
    "peer-address": "Where other nodes reach it",
    "caller-address": "Where callers reach it",
    "operator-address": "Where operators reach it",
    "admin-address": "Where metrics and health are answered",
}


class DaemonCommand(Command):
    """Runs one node until it is told to stop by SIGTERM or SIGINT."""

    name = "limedeckd"
    description = "Runs one limedeck node"
    options = [  # noqa: RUF012
        option("settings", "s", "Settings file (TOML)", flag=False),
        option("check", None, "Check the settings and exit"),
        *(option(name, None, text, flag=False) for name, text in OVERRIDES.items()),
    ]

    def handle(self) -> int:
        """Check the settings, then run."""
        file = self.option("settings")
        if not file:
            self.line_error("limedeckd: --settings FILE is needed")
            return EXIT_SETTINGS
        settings = self._load(file)
        if settings is None:
            return EXIT_SETTINGS
        if self.option("check"):
            self.line(f"{file}: settings are good")
            return EXIT_OK
        run_daemon(settings)
        return EXIT_OK

    def _load(self, file: str) -> DaemonSettings | None:
        """Read the settings; say what is wrong and return None when they cannot be used."""
        settings = None
        try:
            settings = load_settings(file, self._overrides())
        except* SettingsError as group:
            for error in group.exceptions:
                self.line_error(f"limedeckd: {error}")
        return settings

    def _overrides(self) -> dict[str, str]:
        given = {name.replace("-", "_"): self.option(name) for name in OVERRIDES}
        return {name: value for name, value in given.items() if value}


def run_daemon(settings: DaemonSettings) -> None:
    """Run a node with these settings until it has stopped."""
    configure_logs(settings.log)
    anyio.run(Daemon(settings).run, backend_options={"use_uvloop": True})


def main() -> None:
    """Entry point."""
    application = Application("limedeckd")
    application.add(DaemonCommand())
    application._default_command = "limedeckd"
    application._single_command = True
    sys.exit(application.run())


if __name__ == "__main__":
    main()
