"""What control costs the nodes of a simulated site: messages, bytes, processor time, state."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass

from limedeck.identity import Seconds
from limedeck_lab.simulation.nodes import SimulatedNode, Traffic
from limedeck_lab.statistics import percentile


@dataclass(frozen=True)
class Spread:
    """How a value is spread over nodes."""

    mean: float
    median: float
    highest: float


@dataclass(frozen=True)
class ControlCost:
    """Cost of control, a second.

    Parameters
    ----------
    bytes_per_second
        Sent and received by a node, lease exchanges with their HTTP headers included.
    core_share
        Processor time that a node's control core takes, as a fraction of one core; sockets and
        encoding come on top.
    messages_per_second, message_bytes_per_second
        Over all nodes, by kind.
    groups_led, groups_voted
        Control groups that a node leads, or votes in.
    slices_held
        Slices in a node's route table.
    """

    nodes: int
    bytes_per_second: Spread
    core_share: Spread
    messages_per_second: dict[str, float]
    message_bytes_per_second: dict[str, float]
    groups_led: Spread
    groups_voted: Spread
    slices_held: Spread

    def to_dict(self) -> dict[str, object]:
        """The cost as one JSON record."""
        return asdict(self)


def control_cost(traffic: Traffic, nodes: Sequence[SimulatedNode], seconds: Seconds) -> ControlCost:
    """Work out the cost from what was counted over so many simulated seconds."""
    names = [node.node_id for node in nodes]
    return ControlCost(
        nodes=len(names),
        bytes_per_second=_spread([traffic.node_bytes[name] / seconds for name in names]),
        core_share=_spread([traffic.node_seconds[name] / seconds for name in names]),
        messages_per_second=_rates(traffic.messages, seconds),
        message_bytes_per_second=_rates(traffic.sent_bytes, seconds),
        groups_led=_spread([_led(node) for node in nodes]),
        groups_voted=_spread([_voted(node) for node in nodes]),
        slices_held=_spread([_slices(node) for node in nodes]),
    )


def _rates(counts: dict[str, int], seconds: Seconds) -> dict[str, float]:
    return {kind: round(count / seconds, 2) for kind, count in sorted(counts.items())}


def _spread(values: Sequence[float]) -> Spread:
    ordered = sorted(values)
    return Spread(sum(ordered) / len(ordered), percentile(ordered, 0.5), ordered[-1])


def _led(node: SimulatedNode) -> int:
    return sum(core.consensus.is_leader for core in node.core.groups.values())


def _voted(node: SimulatedNode) -> int:
    identity = node.core.identity
    return sum(identity in core.consensus.voters for core in node.core.groups.values())


def _slices(node: SimulatedNode) -> int:
    return sum(len(held.slices) for held in node.core.routes.groups.values())
