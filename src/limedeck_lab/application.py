"""The command ``limedeck-lab``."""

from __future__ import annotations

import sys

from cleo.application import Application

from limedeck_lab.commands.bench import BenchControlCommand, BenchRouterCommand
from limedeck_lab.commands.experiment import (
    ExperimentBalanceCommand,
    ExperimentChoiceCommand,
    ExperimentKeysCommand,
)
from limedeck_lab.commands.explain import ExplainCommand
from limedeck_lab.commands.load import DemoCommand, LoadCommand
from limedeck_lab.commands.report import ReportCommand
from limedeck_lab.commands.simulate import SimulateCommand
from limedeck_lab.commands.standins import BackendCommand, PlatformCommand

COMMANDS = (
    PlatformCommand,
    BackendCommand,
    LoadCommand,
    DemoCommand,
    SimulateCommand,
    BenchControlCommand,
    BenchRouterCommand,
    ExperimentBalanceCommand,
    ExperimentChoiceCommand,
    ExperimentKeysCommand,
    ReportCommand,
    ExplainCommand,
)


def build_application() -> Application:
    """Build the command-line application ``limedeck-lab``."""
    application = Application("limedeck-lab", "0.1.0")
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Entry point of ``limedeck-lab``."""
    sys.exit(build_application().run())


if __name__ == "__main__":
    main()
