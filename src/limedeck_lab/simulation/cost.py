"""What control costs the nodes of a simulated site: messages, bytes, processor time, state."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass

from limedeck.identity import Seconds
from limedeck_lab.simulation.nodes import SimulatedNode, Traffic
from limedeck_lab.statistics import percentile


@dataclass(frozen=True)
class Distribution:
    """Distribution of a value over nodes."""

    mean: float
    median: float
    highest: float


@dataclass(frozen=True)
class ControlCost:
    """Cost of control per second.

    Parameters
    ----------
    bytes_per_second
        Sent and received by a node, lease exchanges with their HTTP headers included.
    core_share
        Processor time that a node's control core takes, as a fraction of one core; sockets and
        encoding are not included.
    messages_per_second, message_bytes_per_second
        Over all nodes, by kind.
    groups_led, groups_voted
        Control groups that a node leads, or votes in.
    slices_held
        Slices in a node's route table.
    """

    nodes: int
    bytes_per_second: Distribution
    core_share: Distribution
    messages_per_second: dict[str, float]
    message_bytes_per_second: dict[str, float]
    groups_led: Distribution
    groups_voted: Distribution
    slices_held: Distribution

    def to_dict(self) -> dict[str, object]:
        """Return the cost as one JSON record."""
        return asdict(self)


def control_cost(traffic: Traffic, nodes: Sequence[SimulatedNode], seconds: Seconds) -> ControlCost:
    """Compute the cost from the traffic counted over `seconds` of simulated time."""
    names = [node.node_id for node in nodes]
    return ControlCost(
        nodes=len(names),
        bytes_per_second=_distribution([traffic.node_bytes[name] / seconds for name in names]),
        core_share=_distribution([traffic.node_seconds[name] / seconds for name in names]),
        messages_per_second=_rates(traffic.messages, seconds),
        message_bytes_per_second=_rates(traffic.sent_bytes, seconds),
        groups_led=_distribution([_groups_led(node) for node in nodes]),
        groups_voted=_distribution([_groups_voted(node) for node in nodes]),
        slices_held=_distribution([_slices_held(node) for node in nodes]),
    )


def _rates(counts: dict[str, int], seconds: Seconds) -> dict[str, float]:
    return {kind: round(count / seconds, 2) for kind, count in sorted(counts.items())}


def _distribution(values: Sequence[float]) -> Distribution:
    ordered = sorted(values)
    return Distribution(sum(ordered) / len(ordered), percentile(ordered, 0.5), ordered[-1])


def _groups_led(node: SimulatedNode) -> int:
    return sum(core.consensus.is_leader for core in node.core.groups.values())


def _groups_voted(node: SimulatedNode) -> int:
    identity = node.core.identity
    return sum(identity in core.consensus.voters for core in node.core.groups.values())


def _slices_held(node: SimulatedNode) -> int:
    return sum(len(held.slices) for held in node.core.routes.groups.values())
