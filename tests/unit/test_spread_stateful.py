"""Membership and dissemination under generated faults: all nodes agree once the faults end."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limedeck.api.peer_pb2 import ConfigUpdate
from limedeck.identity import NodeId
from tests.unit.test_membership import GROUP, DisseminationCluster, MembershipCluster

NODE_COUNT = 5
NAMES = st.sampled_from([f"n{index}" for index in range(NODE_COUNT)])
HEALING_SECONDS = 60.0


class MembershipMachine(RuleBasedStateMachine):
    """Five nodes that become unreachable and restart."""

    def __init__(self) -> None:
        super().__init__()
        self.members = MembershipCluster(NODE_COUNT)
        self.members.run(8.0)
        self.incarnations = {f"n{index}": 1 for index in range(NODE_COUNT)}

    @rule(name=NAMES)
    def toggle_reachability(self, name: str) -> None:
        self.members.unreachable ^= {f"{name}:1"}

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.incarnations[name] += 1
        self.members.restart(name, self.incarnations[name])

    @rule(seconds=st.sampled_from([0.5, 3.0, 10.0]))
    def run(self, seconds: float) -> None:
        self.members.run(seconds)

    @invariant()
    def no_incarnation_is_known_before_it_started(self) -> None:
        for core in self.members.cores.values():
            for node_id, identity in core.runs().items():
                assert identity.incarnation <= self.incarnations[node_id]

    def teardown(self) -> None:
        """Once all nodes are reachable, each knows the latest incarnation of every node."""
        self.members.unreachable = set()
        self.members.run(HEALING_SECONDS)
        for core in self.members.cores.values():
            alive = {node.node_id: node.incarnation for node in core.live_nodes()}
            assert alive == {
                NodeId(name): incarnation for name, incarnation in self.incarnations.items()
            }


class DisseminationMachine(RuleBasedStateMachine):
    """Two zones of three nodes; updates are published while nodes are unreachable."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = DisseminationCluster(zones=2, per_zone=3)
        self.version = 0
        self.revision = 0

    @rule(index=st.integers(0, 5))
    def toggle_reachability(self, index: int) -> None:
        self.cluster.unreachable_ids ^= {self.cluster.nodes[index].node_id}

    @rule()
    def publish_routes(self) -> None:
        self.version += 1
        self.cluster.publish(self.version, self.version - 1, f"owner-{self.version}")

    @rule()
    def publish_config(self) -> None:
        self.revision += 1
        update = ConfigUpdate(revision=self.revision, previous_revision=self.revision - 1)
        origin = self.cluster.nodes[0]
        self.cluster.deliver(origin, self.cluster.cores[origin].publish_config(update))

    @rule(seconds=st.sampled_from([0.5, 2.0]))
    def run(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @invariant()
    def no_node_is_ahead(self) -> None:
        assert max(self.cluster.versions()) <= self.version

    def teardown(self) -> None:
        """Once all nodes are reachable, all have the latest routes and configuration."""
        self.cluster.unreachable_ids = set()
        self.cluster.run(12.0)
        assert self.cluster.versions() == {self.version}
        revisions = {core.config.revision for core in self.cluster.cores.values()}
        assert revisions == {self.revision}
        owners = {
            found.slice.owner
            for core in self.cluster.cores.values()
            if (found := core.routes.locate(GROUP, 1)) is not None
        }
        assert len(owners) <= 1


MembershipMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=12, derandomize=True, deadline=None
)
DisseminationMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=15, derandomize=True, deadline=None
)
TestMembership = MembershipMachine.TestCase
TestDissemination = DisseminationMachine.TestCase
