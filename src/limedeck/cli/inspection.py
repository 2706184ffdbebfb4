"""``limedeck assignment ...``, ``limedeck locate`` and ``limedeck status``"""

from __future__ import annotations

from collections import Counter

from cleo.helpers import argument

from limedeck.api import operators_pb2 as api
from limedeck.api.peer_pb2 import MemberStatus
from limedeck.cli.base import OperatorCommand, common_options
from limedeck.cli.client import OperatorClient
from limedeck.cli.configuration import revision_at
from limedeck.keyspace.hashing import KEYSPACE_END

STATUS_PREFIX = "MEMBER_STATUS_"


class AssignmentCommand(OperatorCommand):
    """A command that prints assignments."""

    def print_assignment(self, assignment: api.Assignment) -> None:
        """Print the share of the key space that each back end owns."""
        if self.wants_json:
            self.print_message(assignment)
            return
        slices: Counter[str] = Counter()
        shares: Counter[str] = Counter()
        following = [*(item.start for item in assignment.boundaries[1:]), 0]
        for boundary, next_start in zip(assignment.boundaries, following, strict=True):
            # Each control group has slices of the whole key space, ordered by start. A start that
            # is not greater than the previous one begins the next group.
            end = next_start if next_start > boundary.start else KEYSPACE_END
            slices[boundary.owner] += 1
            shares[boundary.owner] += end - boundary.start
        total = sum(shares.values()) or 1
        self.line(f"version {assignment.version}")
        self.print_table(
            ("OWNER", "SLICES", "SHARE"),
            [
                (owner or "(none)", slices[owner], f"{shares[owner] / total:.3%}")
                for owner in sorted(slices)
            ],
        )


class AssignmentGet(AssignmentCommand):
    """Shows the owners of a service's keys."""

    name = "assignment get"
    description = "Show how a service's keys are assigned"
    arguments = [argument("service", "Name of the service")]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        self.print_assignment(client.get_assignment(self.argument("service")))
        return 0


class AssignmentWatch(AssignmentCommand):
    """Shows the owners of a service's keys, again after each change."""

    name = "assignment watch"
    description = "Show how a service's keys are assigned, again after each change"
    arguments = [argument("service", "Name of the service")]  # noqa: RUF012
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        for assignment in client.watch_assignment(self.argument("service")):
            self.print_assignment(assignment)
        return 0


class Locate(OperatorCommand):
    """Finds a key's owner."""

    name = "locate"
    description = "Show which back end owns a key"
    arguments = [  # noqa: RUF012
        argument("service", "Name of the service"),
        argument("key", "The key"),
    ]
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        reply = client.locate(self.argument("service"), self.argument("key"))
        if self.wants_json:
            self.print_message(reply)
            return 0
        end = reply.range.end or KEYSPACE_END
        self.print_table(
            ("OWNER", "ADDRESS", "GROUP", "VERSION", "POSITION", "SLICE"),
            [
                (
                    reply.owner.backend_id or "(none)",
                    reply.owner.address or "-",
                    reply.group,
                    reply.version,
                    f"{reply.position:016x}",
                    f"{reply.range.start:016x}-{end - 1:016x}",
                )
            ],
        )
        return 0


class Status(OperatorCommand):
    """Shows the node's view of the system."""

    name = "status"
    description = "Show nodes, control groups and the state of the store"
    options = common_options()

    def run_call(self, client: OperatorClient) -> int:
        reply = client.get_status()
        if self.wants_json:
            self.print_message(reply)
            return 0
        store = "reachable" if reply.store_reachable else "not reachable"
        self.line(f"node {reply.node.node_id}, revision {reply.config_revision}, store {store}")
        self.print_table(
            ("NODE", "ZONE", "STATUS", "REVISION", "PEER ADDRESS"),
            [
                (
                    member.identity.node_id,
                    member.identity.zone,
                    MemberStatus.Name(member.status).removeprefix(STATUS_PREFIX).lower(),
                    revision_at(member.identity.operator_address) or "-",
                    member.identity.peer_address,
                )
                for member in reply.members
            ],
        )
        self.print_table(
            ("GROUP", "LEADER", "VOTERS", "VERSION", "SLICES", "WITHOUT OWNER"),
            [
                (
                    group.group,
                    group.leader_node or "(none)",
                    ",".join(group.voter_nodes) or "-",
                    group.route_version,
                    group.slices,
                    group.slices_without_owner,
                )
                for group in reply.groups
            ],
        )
        return 0
