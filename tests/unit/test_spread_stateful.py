"""Membership and dissemination under drawn losses and restarts: all agree once these are over."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limedeck.api.peer_pb2 import ConfigUpdate
from limedeck.identity import NodeId
from tests.unit.test_membership import GROUP, Members, Spread

COUNT = 5
NAMES = st.sampled_from([f"n{index}" for index in range(COUNT)])
HEALING_SECONDS = 60.0


class MembershipMachine(RuleBasedStateMachine):
    """Five nodes that go out of reach and start again."""

    def __init__(self) -> None:
        super().__init__()
        self.members = Members(COUNT)
        self.members.run(8.0)
        self.runs = {f"n{index}": 1 for index in range(COUNT)}

    @rule(name=NAMES)
    def toggle_reach(self, name: str) -> None:
        self.members.down ^= {f"{name}:1"}

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.runs[name] += 1
        self.members.restart(name, self.runs[name])

    @rule(seconds=st.sampled_from([0.5, 3.0, 10.0]))
    def run(self, seconds: float) -> None:
        self.members.run(seconds)

    @invariant()
    def no_run_is_known_before_it_started(self) -> None:
        for core in self.members.cores.values():
            for node_id, identity in core.runs().items():
                assert identity.incarnation <= self.runs[node_id]

    def teardown(self) -> None:
        """Once everyone is reached again, all know all in their latest run."""
        self.members.down = set()
        self.members.run(HEALING_SECONDS)
        for core in self.members.cores.values():
            alive = {node.node_id: node.incarnation for node in core.live_nodes()}
            assert alive == {NodeId(name): run for name, run in self.runs.items()}


class SpreadMachine(RuleBasedStateMachine):
    """Two zones of three nodes; updates are published while nodes are out of reach."""

    def __init__(self) -> None:
        super().__init__()
        self.spread = Spread(zones=2, per_zone=3)
        self.version = 0
        self.revision = 0

    @rule(index=st.integers(0, 5))
    def toggle_reach(self, index: int) -> None:
        self.spread.lost ^= {self.spread.nodes[index].node_id}

    @rule()
    def publish_routes(self) -> None:
        self.version += 1
        self.spread.publish(self.version, self.version - 1, f"owner-{self.version}")

    @rule()
    def publish_config(self) -> None:
        self.revision += 1
        update = ConfigUpdate(revision=self.revision, previous_revision=self.revision - 1)
        origin = self.spread.nodes[0]
        self.spread.carry(origin, self.spread.cores[origin].publish_config(update))

    @rule(seconds=st.sampled_from([0.5, 2.0]))
    def run(self, seconds: float) -> None:
        self.spread.run(seconds)

    @invariant()
    def nobody_is_ahead(self) -> None:
        assert max(self.spread.versions()) <= self.version

    def teardown(self) -> None:
        """Once everyone is reached again, all hold the latest of both."""
        self.spread.lost = set()
        self.spread.run(12.0)
        assert self.spread.versions() == {self.version}
        revisions = {core.config.revision for core in self.spread.cores.values()}
        assert revisions == {self.revision}
        owners = {
            found.slice.owner
            for core in self.spread.cores.values()
            if (found := core.routes.locate(GROUP, 1)) is not None
        }
        assert len(owners) <= 1


MembershipMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=12, derandomize=True, deadline=None
)
SpreadMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=15, derandomize=True, deadline=None
)
TestMembership = MembershipMachine.TestCase
TestSpread = SpreadMachine.TestCase
