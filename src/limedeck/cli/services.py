"""``limedeck service ...``"""

from __future__ import annotations

from cleo.helpers import argument, option
from cleo.io.inputs.option import Option

from limedeck.api.peer_pb2 import (
    OWNERSHIP_KEYED,
    ConfigObject,
    Ownership,
    Service,
    ServiceLimits,
    SharingRule,
)
from limedeck.cli.base import BadInput, OperatorCommand, common_options
from limedeck.cli.client import OperatorClient
from limedeck.cli.config_file import OWNERSHIPS


def service_options() -> list[Option]:
    """Return the options that describe a service."""
    return [
        option("ownership", None, "keyed or shared", flag=False, default="keyed"),
        option("key-source", None, "path:N, header:NAME or query:NAME", flag=False, default=""),
        option("slices-per-backend", None, "Initial slices per back end", flag=False),
        option("control-groups", None, "Control groups that share the keys", flag=False),
        option("backend-slots", None, "Concurrent requests per back end", flag=False),
        option("backend-connections", None, "Connections per back end", flag=False),
        option("default-deadline-ms", None, "Deadline of requests without one", flag=False),
        option("maximum-body-bytes", None, "Largest request body", flag=False),
        option("repeatable", None, "Methods that may be repeated", flag=False, multiple=True),
    ]


def service_row(item: ConfigObject) -> tuple[object, ...]:
    """Return a service as a row of a table."""
    service = item.service
    keyed = service.sharing.ownership == OWNERSHIP_KEYED
    return (
        service.name,
        "keyed" if keyed else "shared",
        service.sharing.key_source or "-",
        service.limits.backend_slots,
        service.limits.backend_connections,
        ",".join(service.repeatable_methods),
        item.revision,
    )


SERVICE_COLUMNS = ("NAME", "OWNERSHIP", "KEY", "SLOTS", "CONNECTIONS", "REPEATABLE", "REVISION")


class ServiceCommand(OperatorCommand):
    """A command that describes a service by options."""

    def read_service(self) -> Service:
        """Build the service from the command line."""
        ownership: Ownership.ValueType | None = OWNERSHIPS.get(self.option("ownership"))
        if ownership is None:
            raise BadInput(f"--ownership {self.option('ownership')}: must be keyed or shared")
        return Service(
            name=self.argument("name"),
            sharing=SharingRule(
                ownership=ownership,
                key_source=self.option("key-source"),
                slices_per_backend=self.whole_number("slices-per-backend"),
                control_groups=self.whole_number("control-groups"),
            ),
            limits=ServiceLimits(
                backend_slots=self.whole_number("backend-slots"),
                backend_connections=self.whole_number("backend-connections"),
                default_deadline_ms=self.whole_number("default-deadline-ms"),
                maximum_body_bytes=self.whole_number("maximum-body-bytes"),
            ),
            repeatable_methods=self.option("repeatable"),
        )


class ServiceCreate(ServiceCommand):
    """Creates a service."""

    name = "service create"
    description = "Create a service"
    arguments = [argument("name", "Name of the service")]  # noqa: RUF012
    options = [*common_options(), *service_options()]  # noqa: RUF012

    def run_call(self, client: OperatorClient) -> int:
        return self.print_change(client.create_service(self.read_service()))


class ServiceUpdate(ServiceCommand):
    """Replaces a service."""

    name = "service update"
    description = "Replace a service; options that are not given get their defaults"
    arguments = [argument("name", "Name of the service")]  # noqa: RUF012
    options = [  # noqa: RUF012
        *common_options(),
        *service_options(),
        option("base-revision", None, "Revision that the change is based on", flag=False),
    ]

    def run_call(self, client: OperatorClient) -> int:
        base = self.whole_number("base-revision") or find_revision(client, self.argument("name"))
        return self.print_change(client.update_service(self.read_service(), base))


class ServiceDelete(OperatorCommand):
    """Deletes a service."""

    name = "service delete"
    description = "Delete a service that has no back ends"
    arguments = [argument("name", "Name of the service")]  # noqa: RUF012
    options = [  # noqa: RUF012
        *common_options(),
        option("base-revision", None, "Revision that the change is based on", flag=False),
    ]

    def run_call(self, client: OperatorClient) -> int:
        name = self.argument("name")
        base = self.whole_number("base-revision") or find_revision(client, name)
        return self.print_change(client.delete_service(name, base))


class ServiceGet(OperatorCommand):
    """Shows a service."""

    name = "service get"
    description = "Show a service"
    arguments = [argument("name", "Name of the service")]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        item = client.get_service(self.argument("name"))
        if self.wants_json:
            self.print_message(item)
        else:
            self.print_table(SERVICE_COLUMNS, [service_row(item)])
        return 0


class ServiceList(OperatorCommand):
    """Lists services."""

    name = "service list"
    description = "List services"
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        reply = client.list_services()
        if self.wants_json:
            self.print_message(reply)
        else:
            self.print_table(SERVICE_COLUMNS, [service_row(item) for item in reply.objects])
        return 0


def find_revision(client: OperatorClient, name: str) -> int:
    """Return the revision of a service at the node."""
    return client.get_service(name).revision
