"""The node's command: ``python3 -m limedeck.node.main --settings FILE``."""

from __future__ import annotations

import sys

import anyio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from limedeck.errors import SettingsError
from limedeck.node.logs import configure_logs
from limedeck.node.reload import SettingsFile
from limedeck.node.server import Node
from limedeck.node.settings import load_node_settings

EXIT_OK = 0
EXIT_SETTINGS = 2


class NodeCommand(Command):
    """Runs one node until it is told to stop by SIGTERM or SIGINT."""

    name = "limedeck-node"
    description = "Runs one limedeck node on a platform's store"
    options = [  # noqa: RUF012
        option("settings", "s", "Settings file (TOML)", flag=False),
        option("check", None, "Check the settings and exit"),
    ]

    def handle(self) -> int:
        """Check the settings, then run."""
        file = self.option("settings")
        if not file:
            self.line_error("limedeck-node: --settings FILE is needed")
            return EXIT_SETTINGS
        try:
            settings = load_node_settings(file)
        except SettingsError as error:
            self.line_error(f"limedeck-node: {error}")
            return EXIT_SETTINGS
        if self.option("check"):
            self.line(f"{file}: settings are good")
            return EXIT_OK
        writer = configure_logs(settings.log.level)
        node = Node(SettingsFile(file, settings), writer)
        anyio.run(node.run, backend_options={"use_uvloop": True})
        return EXIT_OK


def main() -> None:
    """Entry point."""
    application = Application("limedeck-node")
    application.add(NodeCommand())
    application._default_command = "limedeck-node"
    application._single_command = True
    sys.exit(application.run())


if __name__ == "__main__":
    main()
