"""``limedeck config ...``"""

from __future__ import annotations

import time
from dataclasses import dataclass

from cleo.helpers import argument, option

from limedeck.api import operators_pb2 as api
from limedeck.api.peer_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_SUSPECT,
    Backend,
    Service,
)
from limedeck.cli.backends import BACKEND_COLUMNS, backend_row
from limedeck.cli.base import EXIT_FAILED, EXIT_OK, OperatorCommand, common_options
from limedeck.cli.client import OperatorCallFailed, OperatorClient
from limedeck.cli.config_file import load_config_file
from limedeck.cli.services import SERVICE_COLUMNS, service_row
from limedeck.config.objects import complete_service
from limedeck.errors import InvalidObject, InvalidSetting

IN_FORCE_TIMEOUT_SECONDS = 30.0
IN_FORCE_POLL_INTERVAL_SECONDS = 0.2
STATUS_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True)
class PlannedChange:
    """One difference between a file and the configuration in force."""

    sign: str
    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.sign} {self.kind} {self.name}"


@dataclass(frozen=True)
class DesiredConfig:
    """The contents of a configuration file."""

    services: list[Service]
    backends: list[Backend]


def read_desired_config(file: str) -> DesiredConfig:
    """Read a configuration file as messages of the operators' service."""
    content = load_config_file(file)
    try:
        services = [complete_service(item.to_message()) for item in content.services]
    except InvalidObject as error:
        raise InvalidSetting(
            file, f"services.{error.field}", error.problem, "a valid value"
        ) from None
    return DesiredConfig(services, [item.to_message() for item in content.backends])


def plan_changes(desired: DesiredConfig, current: api.GetConfigReply) -> list[PlannedChange]:
    """Compare a file with the configuration in force."""
    current_services = {
        item.service.name: item.service for item in current.objects if item.HasField("service")
    }
    current_backends = {
        item.backend.backend_id: item.backend
        for item in current.objects
        if item.HasField("backend")
    }
    desired_services = {item.name: item for item in desired.services}
    desired_backends = {item.backend_id: item for item in desired.backends}
    for name, backend in desired_backends.items():
        if name in current_backends:
            backend.control_group = current_backends[name].control_group
    return [
        *_compare("service", desired_services, current_services),
        *_compare("backend", desired_backends, current_backends),
    ]


def _compare(
    kind: str,
    desired: dict[str, Service] | dict[str, Backend],
    current: dict[str, Service] | dict[str, Backend],
) -> list[PlannedChange]:
    changes = []
    for name in sorted({*desired, *current}):
        if name not in current:
            changes.append(PlannedChange("+", kind, name))
        elif name not in desired:
            changes.append(PlannedChange("-", kind, name))
        elif desired[name] != current[name]:
            changes.append(PlannedChange("~", kind, name))
    return changes


class ConfigGet(OperatorCommand):
    """Shows the configuration."""

    name = "config get"
    description = "Show the configuration in force at the node"
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        reply = client.get_config()
        if self.wants_json:
            self.print_message(reply)
            return EXIT_OK
        services = [item for item in reply.objects if item.HasField("service")]
        backends = [item for item in reply.objects if item.HasField("backend")]
        self.line(f"revision {reply.revision}")
        self.print_table(SERVICE_COLUMNS, [service_row(item) for item in services])
        self.print_table(BACKEND_COLUMNS, [backend_row(item) for item in backends])
        return EXIT_OK


class ConfigDiff(OperatorCommand):
    """Compares a file with the configuration."""

    name = "config diff"
    description = "Show what applying a file would change"
    arguments = [argument("file", "Configuration file (TOML)")]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        for change in plan_changes(read_desired_config(self.argument("file")), client.get_config()):
            self.line(str(change))
        return EXIT_OK


class ConfigApply(OperatorCommand):
    """Replaces the configuration with the contents of a file."""

    name = "config apply"
    description = "Replace the configuration with the contents of a file"
    arguments = [argument("file", "Configuration file (TOML)")]  # noqa: RUF012
    options = [*common_options(), option("yes", "y", "Do not ask for confirmation")]  # noqa: RUF012

    def run_call(self, client: OperatorClient) -> int:
        desired = read_desired_config(self.argument("file"))
        current = client.get_config()
        changes = plan_changes(desired, current)
        if not changes:
            self.line(f"revision {current.revision} holds this already")
            return EXIT_OK
        for change in changes:
            self.line_error(str(change))
        if not self.option("yes") and not self.confirm("Apply these changes?", False):
            return EXIT_FAILED
        reply = client.apply_config(desired.services, desired.backends, current.revision)
        self.print_change(reply)
        return self._wait_until_in_force(client, reply.revision)

    def _wait_until_in_force(self, client: OperatorClient, revision: int) -> int:
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while True:
            behind = nodes_behind(client, revision)
            if not behind:
                self.line_error(f"revision {revision} is in force everywhere")
                return EXIT_OK
            if time.monotonic() > deadline:
                self.line_error(f"revision {revision} is not in force at {', '.join(behind)}")
                return EXIT_FAILED
            self.line_error(f"waiting for {len(behind)} nodes")
            time.sleep(IN_FORCE_POLL_INTERVAL_SECONDS)


def nodes_behind(client: OperatorClient, revision: int) -> list[str]:
    """Return the ids of live nodes that do not report this revision or a later one."""
    live_statuses = (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT)
    members = [item for item in client.get_status().members if item.status in live_statuses]
    return [
        member.identity.node_id
        for member in members
        if revision_at(member.identity.operator_address) < revision
    ]


def revision_at(address: str) -> int:
    """Return the revision in force at a node; zero if it does not respond."""
    node = OperatorClient(address, STATUS_TIMEOUT_SECONDS)
    try:
        return node.get_status().config_revision
    except OperatorCallFailed:
        return 0
    finally:
        node.close()
