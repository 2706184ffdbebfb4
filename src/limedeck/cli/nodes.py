"""``limedeck node ...``: one node's view of the system."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option

from limedeck.cli.base import EXIT_BAD_INPUT, EXIT_FAILED, EXIT_NOT_FOUND, EXIT_OK
from limedeck.cli.node_client import NodeClient, NodeUnreachable, NotFoundAtNode
from limedeck.cli.output import table_lines
from limedeck.views import BackendView, LeaderView, StatusView

DEFAULT_NODE_ADDRESS = "127.0.0.1:9000"


def node_options() -> list[Option]:
    """Return the options that all ``node`` commands take."""
    return [
        option(
            "node", None, "A node's readiness address", flag=False, default=DEFAULT_NODE_ADDRESS
        ),
        option("output", "o", "table or json", flag=False, default="table"),
    ]


@dataclass(frozen=True)
class NodeResponse:
    """A node's response, and its text output."""

    view: msgspec.Struct
    lines: list[str]


class NodeCommand(Command):
    """A command that queries one node."""

    def handle(self) -> int:
        """Query the node and print the result; map failures to exit codes."""
        output = self.option("output")
        if output not in ("table", "json"):
            self.line_error(f"limedeck: --output {output}: must be table or json")
            return EXIT_BAD_INPUT
        client = NodeClient(self.option("node"))
        try:
            response = self.query(client)
        except NotFoundAtNode as error:
            self.line_error(f"limedeck: {error}")
            return EXIT_NOT_FOUND
        except NodeUnreachable as error:
            self.line_error(f"limedeck: {error}")
            return EXIT_FAILED
        finally:
            client.close()
        as_json = msgspec.json.encode(response.view).decode()
        for line in [as_json] if output == "json" else response.lines:
            self.line(line)
        return EXIT_OK

    def query(self, client: NodeClient) -> NodeResponse:
        """Query the node."""
        raise NotImplementedError


class NodeStatus(NodeCommand):
    """Shows a node's view of the system."""

    name = "node status"
    description = "Show who leads and why, services, and back ends, as one node sees them"
    options = node_options()

    def query(self, client: NodeClient) -> NodeResponse:
        view = client.status()
        lines = [
            f"node {view.node} in {view.zone}, {_node_state(view)}, "
            f"configuration {view.configuration}, {view.nodes or 'unknown number of'} nodes",
            _leader_line(view),
            *table_lines(
                ("SERVICE", "KEYED", "VERSION", "RANGES", "WITHOUT OWNER"),
                [
                    (item.service, item.keyed, item.version, item.ranges, item.ranges_without_owner)
                    for item in view.services
                ],
            ),
            *_backend_lines(view.backends),
        ]
        return NodeResponse(view, lines)


class NodeAssignment(NodeCommand):
    """Shows the owners that a node uses for routing."""

    name = "node assignment"
    description = "Show the owners of a service's keys that one node uses for routing"
    arguments = [argument("service", "Name of the service")]  # noqa: RUF012
    options = node_options()

    def query(self, client: NodeClient) -> NodeResponse:
        view = client.assignment(self.argument("service"))
        ranges: Counter[str] = Counter(item.owner for item in view.ranges)
        keys: Counter[str] = Counter()
        for item in view.ranges:
            keys[item.owner] += item.last - item.first + 1
        total = sum(keys.values()) or 1
        rows = [
            (owner or "(none)", ranges[owner], f"{keys[owner] / total:.3%}")
            for owner in sorted(ranges)
        ]
        table = table_lines(("OWNER", "RANGES", "SHARE"), rows)
        return NodeResponse(view, [f"version {view.version}", *table])


class NodeLocate(NodeCommand):
    """Shows where a node sends requests for a key."""

    name = "node locate"
    description = "Show where one node sends requests for a key"
    arguments = [  # noqa: RUF012
        argument("service", "Name of the service"),
        argument("position", "Position of the key"),
    ]
    options = node_options()

    def query(self, client: NodeClient) -> NodeResponse:
        view = client.locate(self.argument("service"), self.argument("position"))
        key_range = view.range
        line = f"key {view.position} of {view.service}, in {key_range.first} to {key_range.last}: "
        if view.owner is None:
            owner = f"{key_range.owner}, not listed" if key_range.owner else "no owner"
            return NodeResponse(view, [line + owner])
        return NodeResponse(view, [line + key_range.owner, *_backend_lines([view.owner])])


def _node_state(view: StatusView) -> str:
    if view.stopping:
        return "stopping"
    if view.isolated:
        return "isolated: it has not heard from a valid leader"
    if view.partitioned:
        return "partitioned: it reaches no back end"
    return "ready" if view.ready else "not ready"


def _leader_line(view: StatusView) -> str:
    leader = view.leader
    if leader is None:
        return "leader unknown"
    why = f", because the one before was: {leader.why}" if leader.why else ""
    line = f"leader {leader.node}, term {leader.term}, for {leader.known_for:.1f} s at least{why}"
    return line + ("" if view.leads else _contact_text(leader))


def _contact_text(leader: LeaderView) -> str:
    suspicion = f", suspected: {leader.suspicion}" if leader.suspicion else ""
    return f"; heard {leader.heard_ago:.1f} s ago{suspicion}"


def _backend_lines(backends: list[BackendView]) -> list[str]:
    return table_lines(
        (
            "BACK END",
            "SERVICE",
            "ZONE",
            "ADDRESS",
            "CONDITIONS",
            "BOUND",
            "LOAD",
            "TIME",
            "SLOWNESS",
            "SHARE",
        ),
        [
            (
                item.backend,
                item.service,
                item.zone,
                item.address,
                ",".join(item.conditions) or "-",
                "-" if item.bound is None else f"{item.bound:g}/s",
                f"{item.load:g}",
                "-" if item.service_time is None else f"{item.service_time:g} s",
                f"{item.slowness:g}",
                "-" if item.share is None else f"{item.share:.1%}",
            )
            for item in backends
        ],
    )
