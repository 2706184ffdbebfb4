"""``limedeck node ...``: what one node believes."""

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

DEFAULT_NODE = "127.0.0.1:9000"


def node_options() -> list[Option]:
    """Options that every question to a node takes."""
    return [
        option("node", None, "Where the node answers readiness", flag=False, default=DEFAULT_NODE),
        option("output", "o", "table or json", flag=False, default="table"),
    ]


@dataclass(frozen=True)
class Answer:
    """What a node answered, and the same as lines for people."""

    view: msgspec.Struct
    lines: list[str]


class NodeCommand(Command):
    """A question to one node."""

    def handle(self) -> int:
        """Ask, print, and turn failures into exit codes."""
        output = self.option("output")
        if output not in ("table", "json"):
            self.line_error(f"limedeck: --output {output}: must be table or json")
            return EXIT_BAD_INPUT
        client = NodeClient(self.option("node"))
        try:
            answer = self.put_question(client)
        except NotFoundAtNode as error:
            self.line_error(f"limedeck: {error}")
            return EXIT_NOT_FOUND
        except NodeUnreachable as error:
            self.line_error(f"limedeck: {error}")
            return EXIT_FAILED
        finally:
            client.close()
        as_json = msgspec.json.encode(answer.view).decode()
        for line in [as_json] if output == "json" else answer.lines:
            self.line(line)
        return EXIT_OK

    def put_question(self, client: NodeClient) -> Answer:
        """Ask the node."""
        raise NotImplementedError


class NodeStatus(NodeCommand):
    """Shows a node's view of the system."""

    name = "node status"
    description = "Show who leads and why, services, and back ends, as one node believes"
    options = node_options()

    def put_question(self, client: NodeClient) -> Answer:
        view = client.status()
        lines = [
            f"node {view.node} in {view.zone}, {_condition(view)}, "
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
        return Answer(view, lines)


class NodeAssignment(NodeCommand):
    """Shows by which owners a node routes."""

    name = "node assignment"
    description = "Show the owners of a service's keys, as one node routes by them"
    arguments = [argument("service", "Name of the service")]  # noqa: RUF012
    options = node_options()

    def put_question(self, client: NodeClient) -> Answer:
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
        return Answer(view, [f"version {view.version}", *table])


class NodeLocate(NodeCommand):
    """Shows where a node sends requests for a key."""

    name = "node locate"
    description = "Show where one node sends requests for a key"
    arguments = [  # noqa: RUF012
        argument("service", "Name of the service"),
        argument("position", "Position of the key"),
    ]
    options = node_options()

    def put_question(self, client: NodeClient) -> Answer:
        view = client.locate(self.argument("service"), self.argument("position"))
        found = view.range
        line = f"key {view.position} of {view.service}, in {found.first} to {found.last}: "
        if view.owner is None:
            owner = f"{found.owner}, not listed" if found.owner else "no owner"
            return Answer(view, [line + owner])
        return Answer(view, [line + found.owner, *_backend_lines([view.owner])])


def _condition(view: StatusView) -> str:
    if view.stopping:
        return "stopping"
    if view.isolated:
        return "isolated: it has heard no sound leader"
    return "ready" if view.ready else "not ready"


def _leader_line(view: StatusView) -> str:
    leader = view.leader
    if leader is None:
        return "leader unknown"
    why = f", because the one before was: {leader.why}" if leader.why else ""
    line = f"leader {leader.node}, term {leader.term}, for {leader.known_for:.1f} s at least{why}"
    return line + ("" if view.leads else _heard(leader))


def _heard(leader: LeaderView) -> str:
    doubt = f", suspected: {leader.suspicion}" if leader.suspicion else ""
    return f"; heard {leader.heard_ago:.1f} s ago{doubt}"


def _backend_lines(backends: list[BackendView]) -> list[str]:
    return table_lines(
        ("BACK END", "SERVICE", "ZONE", "ADDRESS", "CONDITIONS", "BOUND", "LOAD"),
        [
            (
                item.backend,
                item.service,
                item.zone,
                item.address,
                ",".join(item.conditions) or "-",
                "-" if item.bound is None else f"{item.bound:g}/s",
                f"{item.load:g}",
            )
            for item in backends
        ],
    )
