"""Leases under generated schedules: successive leaders, two back ends, arbitrary delivery.

The leaders apply the product's rules through `LeaseTable` only. The state machine decides when
messages are delivered, how far time advances, and when leaders change and back ends restart. The
clocks of the back ends differ in offset and in rate.
"""

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from limedeck.api.backend_pb2 import LeaseReply
from limedeck.control.leases import LeaseExchange, LeaseTable
from limedeck.control.timing import ControlTiming
from limedeck.identity import BackendId, Fence, GroupId, Incarnation
from limedeck.keyspace.slices import Slice
from limedeck_lab.standins.backend import StandInBackend

TIMING = ControlTiming()
NAMES = [BackendId("a"), BackendId("b")]
SLICE_START = 0
BACKENDS = st.sampled_from(NAMES)


@dataclass(frozen=True)
class PendingReply:
    backend_id: BackendId
    term: int
    fence: Fence
    reply: LeaseReply


class OwnershipMachine(RuleBasedStateMachine):
    """One slice that leaders move between two back ends."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.offsets = {NAMES[0]: 1_000.0, NAMES[1]: 5.0}
        self.rates = {NAMES[0]: 1 + TIMING.clock_drift, NAMES[1]: 1 - TIMING.clock_drift}
        self.backends = {name: self.start_backend(name, 1) for name in NAMES}
        self.owner = NAMES[0]
        self.moving_to: BackendId | None = None
        self.term = 0
        self.requests: list[LeaseExchange] = []
        self.replies: list[PendingReply] = []
        self.elect()

    def start_backend(self, name: BackendId, incarnation: int) -> StandInBackend:
        return StandInBackend(name, Incarnation(incarnation), 2, 8, True)

    def clock(self, name: BackendId) -> float:
        return self.offsets[name] + self.now * self.rates[name]

    def elect(self) -> None:
        """Start another leader, which takes over only the committed owner of the slice."""
        self.term += 1
        self.moving_to = None
        self.table = LeaseTable(GroupId("group"), self.term, TIMING, self.now)
        self.table.track({name: f"{name}:1" for name in NAMES})

    @rule(span=st.sampled_from([0.01, 0.1, 0.5, 1.0, 2.0]))
    def pass_time(self, span: float) -> None:
        self.now += span

    @rule()
    def change_leader(self) -> None:
        self.elect()

    def send(self, name: BackendId) -> None:
        """Send the next request; it replaces one that is still in transit."""
        lease = self.table.lease(name)
        assert lease is not None
        owns = self.owner == name and self.moving_to is None
        owned = (Slice(SLICE_START, 1 << 64, name),) if owns else ()
        self.requests.append(self.table.start_exchange(lease, owned, (), self.now))

    @rule(count=st.integers(1, 2))
    def grant_to_owner(self, count: int) -> None:
        """Complete exchanges with the owner and leave one more request in transit."""
        self.exchange(self.owner, count, True)

    @rule(name=BACKENDS, count=st.integers(1, 2), leave_one_in_transit=st.booleans())
    def exchange(self, name: BackendId, count: int, leave_one_in_transit: bool) -> None:
        """Complete exchanges at once; optionally leave one more request in transit."""
        for _ in range(count):
            self.send(name)
            exchange = self.requests.pop()
            reply = self.backends[name].handle_lease(exchange.request, self.clock(name))
            self.table.handle_reply(name, exchange.fence, reply, self.now)
        if leave_one_in_transit:
            self.send(name)

    @precondition(lambda self: self.requests)
    @rule(draw=st.integers(0, 1000), keep=st.booleans())
    def deliver_request(self, draw: int, keep: bool) -> None:
        """Deliver any request in transit, possibly repeatedly or very late."""
        index = draw % len(self.requests)
        exchange = self.requests[index] if keep else self.requests.pop(index)
        name = exchange.backend_id
        reply = self.backends[name].handle_lease(exchange.request, self.clock(name))
        self.replies.append(PendingReply(name, exchange.fence.term, exchange.fence, reply))

    @precondition(lambda self: self.replies)
    @rule(draw=st.integers(0, 1000))
    def deliver_reply(self, draw: int) -> None:
        pending = self.replies.pop(draw % len(self.replies))
        incarnation = self.backends[pending.backend_id].incarnation
        # The connection to an earlier incarnation is closed, so its replies never arrive.
        if pending.term == self.term and pending.reply.incarnation == incarnation:
            self.table.handle_reply(pending.backend_id, pending.fence, pending.reply, self.now)

    @rule()
    def lose_all_messages_in_transit(self) -> None:
        self.requests.clear()
        self.replies.clear()

    @rule(name=BACKENDS)
    def restart_backend(self, name: BackendId) -> None:
        self.backends[name] = self.start_backend(name, self.backends[name].incarnation + 1)

    @rule()
    def start_move(self) -> None:
        other = NAMES[1] if self.owner == NAMES[0] else NAMES[0]
        self.moving_to = self.moving_to or other

    @rule(reaches_owner=st.booleans(), wait=st.sampled_from([0.0, 2.0]))
    def move_at_once(self, reaches_owner: bool, wait: float) -> None:
        """Advance a move as far as possible: release or lapse, then new owner, then grant."""
        self.start_move()
        self.now += wait
        if reaches_owner:
            self.exchange(self.owner, 1, False)
        self.finish_move()
        if self.moving_to is None:
            self.exchange(self.owner, 2, False)

    @precondition(lambda self: self.moving_to is not None)
    @rule()
    def finish_move(self) -> None:
        """Commit the new owner if the old one has released the slice or its lease has lapsed."""
        lease = self.table.lease(self.owner)
        assert lease is not None and self.moving_to is not None
        lapsed = self.table.has_lapsed(self.owner, self.now)
        if lapsed or lease.has_released(SLICE_START):
            self.owner = self.moving_to
            self.moving_to = None

    @invariant()
    def one_back_end_serves(self) -> None:
        serving = [
            name
            for name, backend in self.backends.items()
            if backend.owns(SLICE_START, self.clock(name))
        ]
        assert len(serving) <= 1


OwnershipMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=30, derandomize=True, deadline=None
)
TestOwnership = OwnershipMachine.TestCase
