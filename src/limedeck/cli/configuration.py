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
from limedeck.cli.backends import BACKEND_HEAD, backend_row
from limedeck.cli.base import EXIT_FAILED, EXIT_OK, OperatorCommand, common_options
from limedeck.cli.client import OperatorCallFailed, OperatorClient
from limedeck.cli.config_file import load_config_file
from limedeck.cli.services import SERVICE_HEAD, service_row
from limedeck.config.objects import complete_service
from limedeck.errors import InvalidObject, InvalidSetting

IN_FORCE_PATIENCE = 30.0
IN_FORCE_POLL = 0.2
STATUS_TIMEOUT = 2.0


@dataclass(frozen=True)
class PlannedChange:
    """One line of the difference between a file and the configuration in force."""

    sign: str
    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.sign} {self.kind} {self.name}"


@dataclass(frozen=True)
class WantedConfig:
    """What a configuration file asks for."""

    services: list[Service]
    backends: list[Backend]


def read_wanted(file: str) -> WantedConfig:
    """Read a configuration file as the operators' calls take it."""
    content = load_config_file(file)
    try:
        services = [complete_service(item.to_message()) for item in content.services]
    except InvalidObject as error:
        raise InvalidSetting(
            file, f"services.{error.field}", error.problem, "a good value"
        ) from None
    return WantedConfig(services, [item.to_message() for item in content.backends])


def plan_changes(wanted: WantedConfig, held: api.GetConfigReply) -> list[PlannedChange]:
    """Compare a file with the configuration in force."""
    held_services = {
        item.service.name: item.service for item in held.objects if item.HasField("service")
    }
    held_backends = {
        item.backend.backend_id: item.backend for item in held.objects if item.HasField("backend")
    }
    wanted_services = {item.name: item for item in wanted.services}
    wanted_backends = {item.backend_id: item for item in wanted.backends}
    for name, backend in wanted_backends.items():
        if name in held_backends:
            backend.control_group = held_backends[name].control_group
    return [
        *_compare("service", wanted_services, held_services),
        *_compare("backend", wanted_backends, held_backends),
    ]


def _compare(
    kind: str,
    wanted: dict[str, Service] | dict[str, Backend],
    held: dict[str, Service] | dict[str, Backend],
) -> list[PlannedChange]:
    changes = []
    for name in sorted({*wanted, *held}):
        if name not in held:
            changes.append(PlannedChange("+", kind, name))
        elif name not in wanted:
            changes.append(PlannedChange("-", kind, name))
        elif wanted[name] != held[name]:
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
        self.print_table(SERVICE_HEAD, [service_row(item) for item in services])
        self.print_table(BACKEND_HEAD, [backend_row(item) for item in backends])
        return EXIT_OK


class ConfigDiff(OperatorCommand):
    """Compares a file with the configuration."""

    name = "config diff"
    description = "Show what applying a file would change"
    arguments = [argument("file", "Configuration file (TOML)")]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        for change in plan_changes(read_wanted(self.argument("file")), client.get_config()):
            self.line(str(change))
        return EXIT_OK


class ConfigApply(OperatorCommand):
    """Makes the configuration hold what a file says."""

    name = "config apply"
    description = "Make the configuration hold just what a file says"
    arguments = [argument("file", "Configuration file (TOML)")]  # noqa: RUF012
    options = [*common_options(), option("yes", "y", "Do not ask")]  # noqa: RUF012

    def run_call(self, client: OperatorClient) -> int:
        wanted = read_wanted(self.argument("file"))
        held = client.get_config()
        changes = plan_changes(wanted, held)
        if not changes:
            self.line(f"revision {held.revision} holds this already")
            return EXIT_OK
        for change in changes:
            self.line_error(str(change))
        if not self.option("yes") and not self.confirm("Apply these changes?", False):
            return EXIT_FAILED
        reply = client.apply_config(wanted.services, wanted.backends, held.revision)
        self.print_change(reply)
        return self._wait_until_in_force(client, reply.revision)

    def _wait_until_in_force(self, client: OperatorClient, revision: int) -> int:
        give_up_at = time.monotonic() + IN_FORCE_PATIENCE
        while True:
            behind = nodes_behind(client, revision)
            if not behind:
                self.line_error(f"revision {revision} is in force everywhere")
                return EXIT_OK
            if time.monotonic() > give_up_at:
                self.line_error(f"revision {revision} is not in force at {', '.join(behind)}")
                return EXIT_FAILED
            self.line_error(f"waiting for {len(behind)} nodes")
            time.sleep(IN_FORCE_POLL)


def nodes_behind(client: OperatorClient, revision: int) -> list[str]:
    """Live nodes that do not report at least this revision."""
    usable = (MEMBER_STATUS_ALIVE, MEMBER_STATUS_SUSPECT)
    members = [item for item in client.get_status().members if item.status in usable]
    return [
        member.identity.node_id
        for member in members
        if revision_at(member.identity.operator_address) < revision
    ]


def revision_at(address: str) -> int:
    """Revision in force at a node, zero when it does not answer."""
    node = OperatorClient(address, STATUS_TIMEOUT)
    try:
        return node.get_status().config_revision
    except OperatorCallFailed:
        return 0
    finally:
        node.close()
