"""Base of the operators' commands: server, output format, exit codes."""

from __future__ import annotations

from collections.abc import Sequence

import grpc
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from google.protobuf.message import Message

from limedeck.api import operators_pb2 as api
from limedeck.cli.client import OperatorCallFailed, OperatorClient
from limedeck.cli.output import table_lines, to_json
from limedeck.errors import LimedeckError, SettingsError

DEFAULT_SERVER = "127.0.0.1:7300"
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_FOUND = 3
EXIT_CONFLICT = 4
EXIT_NOT_ACCEPTED = 5
EXIT_UNKNOWN = 6
EXIT_CODES = {
    grpc.StatusCode.INVALID_ARGUMENT: EXIT_BAD_INPUT,
    grpc.StatusCode.NOT_FOUND: EXIT_NOT_FOUND,
    grpc.StatusCode.ABORTED: EXIT_CONFLICT,
    grpc.StatusCode.ALREADY_EXISTS: EXIT_CONFLICT,
    grpc.StatusCode.UNAVAILABLE: EXIT_NOT_ACCEPTED,
    grpc.StatusCode.DEADLINE_EXCEEDED: EXIT_UNKNOWN,
}


class BadInput(LimedeckError):
    """An argument or option of a command is invalid."""


def common_options() -> list[Option]:
    """Return the options that all commands take."""
    return [
        option("server", None, "A node's operator address", flag=False, default=DEFAULT_SERVER),
        option("output", "o", "table or json", flag=False, default="table"),
    ]


class OperatorCommand(Command):
    """A command that calls a node."""

    def handle(self) -> int:
        """Run the command; map failures to exit codes."""
        try:
            if self.option("output") not in ("table", "json"):
                raise BadInput(f"--output {self.option('output')}: must be table or json")
            client = OperatorClient(self.option("server"))
            try:
                return self.run_call(client)
            finally:
                client.close()
        except (BadInput, SettingsError) as error:
            self.line_error(f"limedeck: {error}")
            return EXIT_BAD_INPUT
        except OperatorCallFailed as error:
            self._print_failure(error)
            return EXIT_CODES.get(error.code, EXIT_FAILED)

    def run_call(self, client: OperatorClient) -> int:
        """Run the command with a client and return the exit code."""
        raise NotImplementedError

    @property
    def wants_json(self) -> bool:
        """Whether replies are printed as JSON."""
        return bool(self.option("output") == "json")

    def print_message(self, message: Message) -> None:
        """Print one message as JSON."""
        self.line(to_json(message))

    def print_table(self, head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print rows in columns."""
        for line in table_lines(head, rows):
            self.line(line)

    def print_change(self, reply: api.ChangeReply) -> int:
        """Print the reply to a change and return the exit code."""
        if self.wants_json:
            self.print_message(reply)
        else:
            suffix = " (accepted earlier)" if reply.replayed else ""
            self.line(f"accepted as revision {reply.revision}{suffix}")
        return EXIT_OK

    def whole_number(self, name: str, default: int = 0) -> int:
        """Read an option that must be a whole number."""
        value = self.option(name)
        if value is None:
            return default
        if not str(value).isdigit():
            raise BadInput(f"--{name} {value}: must be a whole number")
        return int(value)

    def _print_failure(self, error: OperatorCallFailed) -> None:
        self.line_error(f"limedeck: {error.code.name.lower()}: {error.message}")
        if error.detail.HasField("current"):
            self.line_error(f"limedeck: current: {to_json(error.detail.current)}")
        if error.detail.retry_after_seconds > 0:
            wait = error.detail.retry_after_seconds
            self.line_error(f"limedeck: nothing was changed; try again in {wait:.0f} s")
