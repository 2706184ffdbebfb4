"""The operators' command ``limedeck``."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand

from limedeck.cli.backends import BackendAdd, BackendDrain, BackendList, BackendRemove
from limedeck.cli.configuration import ConfigApply, ConfigDiff, ConfigGet
from limedeck.cli.inspection import AssignmentGet, AssignmentWatch, Locate, Status
from limedeck.cli.nodes import NodeAssignment, NodeLocate, NodeStatus
from limedeck.cli.services import (
    ServiceCreate,
    ServiceDelete,
    ServiceGet,
    ServiceList,
    ServiceUpdate,
)

VERSION = "0.1.0"
COMMANDS = (
    CompletionsCommand,
    ServiceCreate,
    ServiceUpdate,
    ServiceDelete,
    ServiceGet,
    ServiceList,
    BackendAdd,
    BackendDrain,
    BackendRemove,
    BackendList,
    ConfigGet,
    ConfigDiff,
    ConfigApply,
    AssignmentGet,
    AssignmentWatch,
    Locate,
    Status,
    NodeStatus,
    NodeAssignment,
    NodeLocate,
)


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("limedeck", VERSION)
    application.auto_exits(False)
    application.catch_exceptions(True)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the command line."""
    sys.exit(build_application().run())


if __name__ == "__main__":
    main()
