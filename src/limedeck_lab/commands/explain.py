"""``limedeck-lab explain``"""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from limedeck_lab.explain.log_lines import UnreadableLogs, read_logs
from limedeck_lab.explain.stories import NothingFound, StoryLine, story_of_key, story_of_request

EXIT_OK = 0
EXIT_BAD_INPUT = 2
EXIT_NOT_FOUND = 3
NO_BOUND = float("inf")


class ExplainCommand(Command):
    """Shows the history of a request or of a key from nodes' logs."""

    name = "explain"
    description = "Show what happened to a request, or to a key, from the logs of nodes"
    arguments = [  # noqa: RUF012
        argument("subject", "A request's id, or SERVICE:KEY with a key's position"),
        argument("logs", "Files, or directories of files", multiple=True),
    ]
    options = [  # noqa: RUF012
        option("since", None, "For a key: from this time on", flag=False),
        option("until", None, "For a key: up to this time", flag=False),
    ]

    def handle(self) -> int:
        """Read the logs and print the history."""
        try:
            since = self._time("since", -NO_BOUND)
            until = self._time("until", NO_BOUND)
            lines = read_logs(Path(path) for path in self.argument("logs"))
        except (UnreadableLogs, ValueError, OSError) as error:
            self.line_error(f"limedeck-lab explain: {error}")
            return EXIT_BAD_INPUT
        try:
            service, separator, key = self.argument("subject").rpartition(":")
            if separator and key.isdecimal():
                story = story_of_key(lines, service, int(key), since, until)
            else:
                story = story_of_request(lines, self.argument("subject"))
        except NothingFound as error:
            self.line_error(f"limedeck-lab explain: {error}")
            return EXIT_NOT_FOUND
        self._print(story)
        return EXIT_OK

    def _time(self, name: str, default: float) -> float:
        value = self.option(name)
        return default if value is None else float(value)

    def _print(self, story: list[StoryLine]) -> None:
        for line in story:
            self.io.output.write_line(line.shown(), type=Type.RAW)
