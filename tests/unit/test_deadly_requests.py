"""A request that ends back ends whoever sends it.

What users saw: look-ups of one kind failed in the seconds after each other, and one back end
after the other was gone, though nodes know requests that end back ends and refuse them. In order:
callers at 21 addresses asked for the same target; each of them lost a back end, and each loss was
booked on a request of its own, since the caller's address was a part of what a request is known
by; none was lost three times, so none was ever refused. The cause: one sign, and a narrow one,
for what a request is known by. The evidence: in all five ends that nodes saw, one target was
among what was lost, under 22 fingerprints of which one came twice.
"""

from __future__ import annotations

import itertools

import pytest
from hypothesis import settings, stateful, strategies

from limedeck import clock, http_client
from limedeck.forwarding import budget, crashes, quarantine, request_content, request_guard
from limedeck.model import Backend
from limedeck.node import crash_watch, state, telemetry

BODY = b"{}"
MOST_WIDENINGS = 2
"""From a caller to all who ask the same, and from that to all who ask for the target."""


class Story:
    """One node, back ends that end, and the requests that were lost in it."""

    def __init__(self) -> None:
        allowance = budget.RetryAllowance(0.2, 30.0, 10.0)
        self.node = state.NodeState("z1", "n", allowance)
        client = http_client.HttpClient()
        self.watch = crash_watch.CrashWatch(self.node, client, telemetry.Telemetry())
        self.now = clock.steady_clock()
        self._names = (f"b{number}" for number in itertools.count())

    def end(self, *lost: request_content.RequestContent, back_end: str = "") -> None:
        """A back end ends with these requests under way; a second later all is judged."""
        name = back_end or next(self._names)
        backend = Backend(name, "s", "127.0.0.1:1", "z1", 3)
        for asked in lost:
            self.watch.record_lost_request(backend, asked)
        self.node.quarantine.record_process_exit(name, self.now)
        self.pass_time(1.0)

    def pass_time(self, seconds: float) -> None:
        """Let time pass, and judge."""
        self.now += seconds
        self.node.quarantine.handle_tick(self.now)

    def serve(self, asked: request_content.RequestContent) -> None:
        """A back end has answered this request."""
        request_guard.RequestGuard(self.node.quarantine, asked).record_served(self.now)

    def refuses(self, asked: request_content.RequestContent) -> bool:
        """Whether the node refuses this request now."""
        guard = request_guard.RequestGuard(self.node.quarantine, asked)
        return guard.refused_for(self.now) is not None


@pytest.fixture
def story(monkeypatch: pytest.MonkeyPatch) -> Story:
    told = Story()
    monkeypatch.setattr(crash_watch, "steady_clock", lambda: told.now)
    return told


def asked_by(
    caller: int, target: bytes = b"/x", body: bytes = BODY
) -> request_content.RequestContent:
    return request_content.RequestContent(b"POST", "h", target, f"10.0.0.{caller}", body)


def test_what_ends_back_ends_whoever_sends_it_is_refused_to_all(story: Story) -> None:
    for caller in range(3):
        assert not story.refuses(asked_by(99))
        story.end(asked_by(caller), asked_by(50 + caller, b"/other%d" % caller))
    assert story.refuses(asked_by(99))
    assert not story.refuses(asked_by(51, b"/other1"))
    assert not story.refuses(asked_by(1, b"/x", b"another body"))


def test_a_back_end_that_ends_again_under_its_id_counts_again(story: Story) -> None:
    for _ in range(3):
        story.end(asked_by(1), back_end="b")
        story.pass_time(4.0)
    assert story.refuses(asked_by(1))


def test_what_one_caller_sends_is_refused_to_that_caller_alone(story: Story) -> None:
    """Others who ask for the very same are served, before they are known not to end back ends."""
    for _ in range(3):
        story.end(asked_by(1))
    assert story.refuses(asked_by(1))
    assert not story.refuses(asked_by(2))


def test_a_second_caller_shows_that_it_is_not_the_first_one(story: Story) -> None:
    """One more end, and not three for each caller."""
    for _ in range(3):
        story.end(asked_by(1))
    story.end(asked_by(2))
    assert story.refuses(asked_by(3))
    assert not story.refuses(asked_by(3, b"/x", b"another body"))


def test_another_callers_answer_leaves_the_narrow_sign(story: Story) -> None:
    for _ in range(3):
        story.end(asked_by(1))
        story.serve(asked_by(2))
    assert story.refuses(asked_by(1))
    story.end(asked_by(2), asked_by(1))
    assert not story.refuses(asked_by(2))


def test_a_target_whose_bodies_differ_each_time_is_refused(story: Story) -> None:
    for number in range(3):
        story.end(asked_by(number, b"/x", b"body %d" % number))
    assert story.refuses(asked_by(9, b"/x", b"another body"))
    assert not story.refuses(asked_by(9, b"/y", b"another body"))


def test_a_target_that_is_served_is_not_refused_for_one_body(story: Story) -> None:
    """Bodies are sent by many to one path: one of them ends back ends, whoever sends it."""
    for number in range(3):
        story.end(asked_by(number), asked_by(20 + number, b"/x", b"body %d" % number))
        story.serve(asked_by(40, b"/x", b"good"))
    assert story.refuses(asked_by(9))
    assert not story.refuses(asked_by(9, b"/x", b"body 1"))
    assert not story.refuses(asked_by(9, b"/x", b"another body"))


def test_two_at_once_are_both_refused(story: Story) -> None:
    for number in range(3):
        story.end(asked_by(number, b"/x"), asked_by(number, b"/good%d" % number))
        story.end(asked_by(number, b"/y"))
    assert story.refuses(asked_by(9, b"/x"))
    assert story.refuses(asked_by(9, b"/y"))
    assert not story.refuses(asked_by(1, b"/good1"))


def test_the_most_wanted_target_is_not_blamed_for_a_loss_of_power(story: Story) -> None:
    """Ten back ends end within a few milliseconds, and no back end of the service is left."""
    for number in range(10):
        lost = [asked_by(20 * number + caller, b"/hot") for caller in range(20)]
        backend = Backend(f"b{number}", "s", "127.0.0.1:1", "z1", 3)
        for asked in lost:
            story.watch.record_lost_request(backend, asked)
        story.now += 0.002
        story.node.quarantine.record_process_exit(backend.backend_id, story.now)
    guard = request_guard.RequestGuard(story.node.quarantine, asked_by(9, b"/hot"))
    assert guard.blocked_until(story.now) is None
    story.pass_time(1.0)
    assert not story.refuses(asked_by(9, b"/hot"))


class LedgerOfManyCallers(stateful.RuleBasedStateMachine):
    """Ends, answers and time in any order, with one request that ends what runs it.

    It is shared by all callers, by all of its content, or sent by one caller; what it is shared by
    is what the machine draws first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = quarantine.QuarantineLedger("n")
        self.now = 100.0
        self.ends = 0
        self.names = (f"b{number}" for number in itertools.count())

    @stateful.initialize(width=strategies.sampled_from(["target", "content", "caller"]))
    def draw(self, width: str) -> None:
        self.width = width

    def deadly(self, caller: int, body: int) -> request_content.RequestContent:
        match self.width:
            case "target":
                return asked_by(caller, b"/deadly", b"%d" % body)
            case "content":
                return asked_by(caller, b"/deadly")
            case _:
                return asked_by(1, b"/deadly")

    def is_deadly(self, asked: request_content.RequestContent) -> bool:
        return asked.target == b"/deadly" and (
            self.width == "target"
            or (asked.body == BODY and (self.width == "content" or asked.caller == "10.0.0.1"))
        )

    def refused(self, asked: request_content.RequestContent) -> bool:
        guard = request_guard.RequestGuard(self.ledger, asked)
        return guard.refused_for(self.now) is not None

    @stateful.rule(
        caller=strategies.integers(1, 5),
        body=strategies.integers(1, 5),
        beside=strategies.lists(
            strategies.tuples(strategies.integers(1, 5), strategies.integers(1, 8)), max_size=12
        ),
    )
    def send_deadly(self, caller: int, body: int, beside: list[tuple[int, int]]) -> None:
        """It is sent unless it is refused; what runs beside it is lost, and comes again."""
        asked = self.deadly(caller, body)
        innocents = [asked_by(who, b"/good%d" % what) for who, what in beside]
        if self.refused(asked):
            return
        name = next(self.names)
        for item in (asked, *innocents):
            self.ledger.record_lost_request(name, item.fingerprints, self.now)
        self.ledger.record_process_exit(name, self.now)
        self.ends += 1
        self.now += 0.5
        for item in innocents:
            request_guard.RequestGuard(self.ledger, item).record_served(self.now)
        self.now += 0.5
        self.ledger.handle_tick(self.now)

    @stateful.rule(caller=strategies.integers(2, 6), body=strategies.integers(1, 5))
    def serve_others_at_the_target(self, caller: int, body: int) -> None:
        """Others are served at the target, if it is not the target itself that ends back ends."""
        asked = asked_by(caller, b"/deadly", b"other %d" % body)
        if not self.is_deadly(asked) and not self.refused(asked):
            request_guard.RequestGuard(self.ledger, asked).record_served(self.now)
        self.now += 0.2

    @stateful.invariant()
    def innocents_are_not_refused(self) -> None:
        for what in range(1, 9):
            assert not self.refused(asked_by(1, b"/good%d" % what))

    @stateful.invariant()
    def few_back_ends_end(self) -> None:
        """Three, and one more each time that it shows itself to be known too narrowly."""
        assert self.ends <= crashes.MIN_CRASHES + MOST_WIDENINGS


TestLedgerOfManyCallers = LedgerOfManyCallers.TestCase
TestLedgerOfManyCallers.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


def test_a_flood_of_ends_is_judged_without_reading_all_of_it_for_each_sign() -> None:
    """256 ends with 32 losses each: 24,000 signs; what is counted is how often losses are read."""
    evidence = crashes.CrashEvidence()
    reads = 0

    class CountedSigns(request_content.RequestFingerprints):
        @property
        def from_narrowest(self) -> tuple[int, int, int]:
            nonlocal reads
            reads += 1
            return super().from_narrowest

    for end in range(crashes.MAX_CRASHES):
        lost = [
            CountedSigns(*(3 * (40 * end + item) + width for width in range(3)))
            for item in range(32)
        ]
        evidence.record_crash(f"b{end}", lost, end * 10.0)
    reads = 0
    assert evidence.fingerprints_to_quarantine((), 1e9) == []
    assert reads <= 2 * crashes.MAX_CRASHES * crashes.MOST_SUSPECTS
    assert evidence.unjudged_since(0, 0.0) < 0.0
    evidence.drop_before(1e9)
    assert not evidence.is_suspect(0)
    assert len(evidence) == 0
