"""``limedeck backend ...``"""

from __future__ import annotations

from cleo.helpers import argument, option

from limedeck.api.peer_pb2 import Backend, ConfigObject
from limedeck.cli.base import BadInput, OperatorCommand, common_options
from limedeck.cli.client import OperatorClient

BACKEND_COLUMNS = ("ID", "SERVICE", "ADDRESS", "ZONE", "GROUP", "STATE", "REVISION")


def backend_row(item: ConfigObject) -> tuple[object, ...]:
    """Return a back end as a row of a table."""
    backend = item.backend
    state = "draining" if backend.draining else "in use"
    return (
        backend.backend_id,
        backend.service,
        backend.address,
        backend.zone or "-",
        backend.control_group,
        state,
        item.revision,
    )


class BackendAdd(OperatorCommand):
    """Adds a back end."""

    name = "backend add"
    description = "Add a back end to a service"
    arguments = [  # noqa: RUF012
        argument("id", "Id of the back end"),
        argument("service", "Name of its service"),
        argument("address", "IP address and port"),
    ]
    options = [*common_options(), option("zone", None, "Its zone", flag=False, default="")]  # noqa: RUF012

    def run_call(self, client: OperatorClient) -> int:
        backend = Backend(
            backend_id=self.argument("id"),
            service=self.argument("service"),
            address=self.argument("address"),
            zone=self.option("zone"),
        )
        return self.print_change(client.add_backend(backend))


class BackendDrain(OperatorCommand):
    """Drains a back end."""

    name = "backend drain"
    description = "Drain a back end: it gives up its keys and receives no new work"
    arguments = [argument("id", "Id of the back end")]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        backend_id = self.argument("id")
        return self.print_change(
            client.drain_backend(backend_id, find_revision(client, backend_id))
        )


class BackendRemove(OperatorCommand):
    """Removes a back end."""

    name = "backend remove"
    description = "Remove a back end"
    arguments = [argument("id", "Id of the back end")]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        backend_id = self.argument("id")
        return self.print_change(
            client.remove_backend(backend_id, find_revision(client, backend_id))
        )


class BackendList(OperatorCommand):
    """Lists back ends."""

    name = "backend list"
    description = "List back ends"
    arguments = [argument("service", "Service to list; all if not given", optional=True)]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        reply = client.list_backends(self.argument("service") or "")
        if self.wants_json:
            self.print_message(reply)
        else:
            self.print_table(BACKEND_COLUMNS, [backend_row(item) for item in reply.objects])
        return 0


def find_revision(client: OperatorClient, backend_id: str) -> int:
    """Return the revision of a back end at the node."""
    for item in client.list_backends().objects:
        if item.backend.backend_id == backend_id:
            return item.revision
    raise BadInput(f"no back end is named {backend_id}")
