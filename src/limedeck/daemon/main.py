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
    "id": "Id of this node, the same as the id of its machine",
    "zone": "Zone of this node",
    "peer-address": "Address at which other nodes reach this node",
    "caller-address": "Address at which callers reach this node",
    "operator-address": "Address at which operators reach this node",
    "admin-address": "Address of the metrics and health endpoints",
}


class DaemonCommand(Command):
    """Runs one node until SIGTERM or SIGINT stops it."""

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
            self.line_error("limedeckd: --settings FILE is required")
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
        """Load the settings; print the errors and return None when they are invalid."""
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
