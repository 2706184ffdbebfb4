"""The node's command: ``python3 -m limedeck.node --settings FILE``.

Its two options are parsed by the standard library: importing cleo and its dependencies would take a
sixteenth of a node's start-up time, and hundreds of nodes may start at once (docs/LIBRARIES.md).
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

import anyio

from limedeck.errors import SettingsError
from limedeck.node import allocator
from limedeck.node.logs import configure_logs
from limedeck.node.reload import SettingsFile
from limedeck.node.server import Node
from limedeck.node.settings import load_node_settings

PROGRAM = "limedeck-node"
EXIT_OK = 0
EXIT_SETTINGS = 2


def run_command(arguments: Sequence[str]) -> int:
    """Validate the settings, then run a node until SIGTERM or SIGINT stops it."""
    options = _parser().parse_args(arguments)
    try:
        settings = load_node_settings(options.settings)
    except SettingsError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: settings are good")
        return EXIT_OK
    if settings.node.memory_mb:
        allocator.map_large_blocks()
    writer = configure_logs(settings.log.level)
    node = Node(SettingsFile(options.settings, settings), writer)
    anyio.run(node.run, backend_options={"use_uvloop": True})
    return EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(PROGRAM, description="Runs one limedeck node")
    parser.add_argument("-s", "--settings", required=True, help="settings file (TOML)")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


def main() -> None:
    """Run the command and exit with its exit code."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
