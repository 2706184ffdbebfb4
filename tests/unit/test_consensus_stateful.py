"""Consensus under random schedules: reordering, loss and duplication, freezes, restarts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from limedeck.keyspace.slices import change_of
from tests.unit.consensus_cluster import ConsensusCluster

NAMES = ["n0", "n1", "n2"]
NODES = st.sampled_from(NAMES)


class ConsensusMachine(RuleBasedStateMachine):
    """Three voters; at most one ever restarts, so that a majority keeps its votes and promises."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = ConsensusCluster(list(NAMES))
        self.cluster.run(1.5)
        self.restarted = ""
        self.proposals = 0
        self.committed: dict[int, bytes] = {}

    @rule(steps=st.integers(1, 12))
    def pass_time(self, steps: int) -> None:
        for _ in range(steps):
            self.cluster.tick()

    @rule(seconds=st.sampled_from([0.2, 0.6, 1.2]))
    def run_well(self, seconds: float) -> None:
        """Advance the time and deliver all messages except to or from cut-off or frozen nodes."""
        self.cluster.run(seconds)

    @precondition(lambda self: self.cluster.in_transit)
    @rule(draw=st.integers(0, 10_000))
    def deliver_any(self, draw: int) -> None:
        self.cluster.deliver(draw % len(self.cluster.in_transit))

    @precondition(lambda self: self.cluster.in_transit)
    @rule(draw=st.integers(0, 10_000))
    def deliver_twice(self, draw: int) -> None:
        self.cluster.deliver(draw % len(self.cluster.in_transit), keep=True)

    @precondition(lambda self: self.cluster.in_transit)
    @rule(draw=st.integers(0, 10_000))
    def lose(self, draw: int) -> None:
        self.cluster.in_transit.pop(draw % len(self.cluster.in_transit))

    @rule()
    def deliver_everything(self) -> None:
        self.cluster.deliver_all()

    @rule(node=NODES)
    def freeze_or_thaw(self, node: str) -> None:
        self.cluster.frozen ^= {node}

    @rule(node=NODES)
    def cut_or_heal(self, node: str) -> None:
        self.cluster.cut ^= {node}

    @precondition(lambda self: not self.restarted)
    @rule(node=NODES)
    def restart(self, node: str) -> None:
        self.restarted = node
        self.cluster.restart(node, 2)

    @rule()
    def propose(self) -> None:
        for core in self.cluster.leaders():
            self.proposals += 1
            change = change_of([(0, f"owner-{self.proposals}")])
            core.propose_assignment(change, self.cluster.now)
            self.cluster.send(core.identity, core._finish("propose"))

    @rule()
    def transfer(self) -> None:
        for core in self.cluster.leaders():
            self.cluster.send(core.identity, core.transfer_leadership(self.cluster.now))

    @invariant()
    def one_leader_at_a_time(self) -> None:
        assert len(self.cluster.leaders()) <= 1

    @invariant()
    def committed_state_agrees(self) -> None:
        for core in self.cluster.cores.values():
            if core.commit_index > 1:
                state = core.slices.to_change().SerializeToString(deterministic=True)
                assert self.committed.setdefault(core.commit_index, state) == state


ConsensusMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, derandomize=True, deadline=None
)
TestConsensus = ConsensusMachine.TestCase
