"""Consensus cores connected by a network that the test controls."""

from dataclasses import dataclass, field

from limedeck.api.peer_pb2 import GroupMessage, GroupSnapshot
from limedeck.control.consensus import ConsensusCore
from limedeck.control.consensus_state import OutgoingMessage, voter_set
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import GroupId, Incarnation, NodeId, Voter

GROUP = GroupId("group")
TIMING = ControlTiming()
LIMITS = ControlLimits(log_entries_kept=4)
STEP = 0.05


def voter(name: str, incarnation: int = 1) -> Voter:
    return Voter(NodeId(name), Incarnation(incarnation), f"{name}:1", name)


@dataclass(frozen=True)
class Envelope:
    sender: Voter
    target: Voter
    message: GroupMessage


@dataclass
class ConsensusCluster:
    """Cores that are voters of one group from the start."""

    names: list[str]
    now: float = 0.0
    cores: dict[Voter, ConsensusCore] = field(default_factory=dict)
    in_transit: list[Envelope] = field(default_factory=list)
    cut: set[str] = field(default_factory=set)
    frozen: set[str] = field(default_factory=set)
    receive_blocked: set[str] = field(default_factory=set)
    """Nodes that can send but receive nothing."""

    def __post_init__(self) -> None:
        voters = [voter(name) for name in self.names]
        for identity in voters:
            core = ConsensusCore(GROUP, identity, TIMING, LIMITS, self.now)
            core._install_snapshot(
                GroupSnapshot(last_index=1, last_term=0, voters=voter_set(voters))
            )
            self.cores[identity] = core

    def core(self, name: str) -> ConsensusCore:
        """The core of the latest run of a node."""
        found = [item for item in self.cores if item.node_id == name]
        return self.cores[max(found, key=lambda item: item.incarnation)]

    def restart(self, name: str, incarnation: int) -> ConsensusCore:
        """Replace a node by a later run, which starts without state."""
        old = self.core(name).identity
        del self.cores[old]
        identity = voter(name, incarnation)
        self.cores[identity] = ConsensusCore(GROUP, identity, TIMING, LIMITS, self.now)
        return self.cores[identity]

    def send(self, sender: Voter, outgoing: list[OutgoingMessage]) -> None:
        """Put a core's messages in transit."""
        self.in_transit += [Envelope(sender, item.target, item.message) for item in outgoing]

    def deliver(self, index: int = 0, keep: bool = False) -> None:
        """Deliver one message, or drop it if it cannot get from the sender to the target."""
        envelope = self.in_transit[index] if keep else self.in_transit.pop(index)
        core = self.cores.get(envelope.target)
        ends = {envelope.sender.node_id, envelope.target.node_id}
        if core is None or ends & (self.cut | self.frozen):
            return
        if envelope.target.node_id in self.receive_blocked:
            return
        self.send(core.identity, core.handle_message(envelope.sender, envelope.message, self.now))

    def deliver_all(self) -> None:
        """Deliver until nothing is in transit."""
        while self.in_transit:
            self.deliver()

    def tick(self) -> None:
        """Advance the time by one step and tick every core that is not frozen."""
        self.now += STEP
        for identity, core in list(self.cores.items()):
            if identity.node_id not in self.frozen:
                self.send(identity, core.handle_tick(self.now))

    def run(self, seconds: float) -> None:
        """Advance the time, delivering every message at once."""
        for _ in range(int(seconds / STEP)):
            self.tick()
            self.deliver_all()

    def leaders(self) -> list[ConsensusCore]:
        """Cores that hold the leadership lease now."""
        return [core for core in self.cores.values() if core.holds_leadership(self.now)]

    def leader(self) -> ConsensusCore:
        """The one leader."""
        (leader,) = self.leaders()
        return leader
