"""``limedeck-lab report``"""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

EXIT_OK = 0
EXIT_BAD_INPUT = 2


class ReportCommand(Command):
    """Draws plots from the records of other commands."""

    name = "report"
    description = "Draw plots from the JSON lines of simulate, bench control, experiment balance"
    arguments = [argument("records", "Files of JSON lines", multiple=True)]  # noqa: RUF012
    options = [option("to", None, "Directory", flag=False, default="docs/plots")]  # noqa: RUF012

    def handle(self) -> int:
        """Draw the plots and print the names of the files written."""
        # Imported here, as the plotting library is an extra that no other command needs.
        from limedeck_lab.report import UnreadableRecord, read_records, write_plots

        try:
            records = read_records(self.argument("records"))
        except (OSError, UnreadableRecord) as error:
            self.line_error(f"limedeck-lab report: {error}")
            return EXIT_BAD_INPUT
        for file in write_plots(records, Path(self.option("to"))):
            self.line(str(file))
        return EXIT_OK
