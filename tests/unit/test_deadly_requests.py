"""Requests that crash back ends whoever sends them.

Guards against recognising a request only by a fingerprint that includes its caller's address.
Look-ups of one kind then failed within seconds of each other, and one back end after another was
lost, although nodes refuse requests that are known to crash back ends: callers at 21 addresses
requested the same target, and each of them lost a back end. Each loss counted against a request of
its own, so that none was lost three times and none was refused. In all five crashes that nodes saw,
one target was among the lost requests, under 22 fingerprints of which one occurred twice.
"""

from __future__ import annotations

import itertools

import pytest
from hypothesis import settings, stateful, strategies

from limedeck import clock, http_client
from limedeck.forwarding import budget, crashes, quarantine, request_content, request_guard
from limedeck.model import Backend
from limedeck.node import crash_watch, state, telemetry
from tests.unit import backend_access

BODY = b"{}"
MAX_WIDENINGS = 2
"""From one caller to all requests with the same content, and from these to all for the target."""


class CrashScenario:
    """One node, back ends that crash, and the requests that were lost in the crashes."""

    def __init__(self) -> None:
        allowance = budget.RetryAllowance(0.2, 30.0, 10.0)
        self.node = state.NodeState("z1", "n", allowance)
        client = http_client.HttpClient()
        self.watch = crash_watch.CrashWatch(
            self.node, backend_access.paths_of(self.node, client), telemetry.Telemetry()
        )
        self.now = clock.steady_clock()
        self._names = (f"b{number}" for number in itertools.count())

    def crash(self, *lost: request_content.RequestContent, back_end: str = "") -> None:
        """Crash a back end with these requests in flight; a second later the crash is evaluated."""
        name = back_end or next(self._names)
        backend = Backend(name, "s", "127.0.0.1:1", "z1", 3)
        for request in lost:
            self.watch.record_lost_request(backend, request)
        self.node.quarantine.record_process_exit(name, self.now)
        self.advance(1.0)

    def advance(self, seconds: float) -> None:
        """Let time pass, and evaluate the crashes."""
        self.now += seconds
        self.node.quarantine.handle_tick(self.now)

    def serve(self, request: request_content.RequestContent) -> None:
        """Record that a back end responded to this request."""
        request_guard.RequestGuard(self.node.quarantine, request).record_served(self.now)

    def refuses(self, request: request_content.RequestContent) -> bool:
        """Return whether the node refuses this request now."""
        guard = request_guard.RequestGuard(self.node.quarantine, request)
        return guard.refused_for(self.now) is not None


@pytest.fixture
def scenario(monkeypatch: pytest.MonkeyPatch) -> CrashScenario:
    crash_scenario = CrashScenario()
    monkeypatch.setattr(crash_watch, "steady_clock", lambda: crash_scenario.now)
    return crash_scenario


def request_by(
    caller: int, target: bytes = b"/x", body: bytes = BODY
) -> request_content.RequestContent:
    return request_content.RequestContent(b"POST", "h", target, f"10.0.0.{caller}", body)


def test_a_request_that_crashes_back_ends_whoever_sends_it_is_refused_for_all(
    scenario: CrashScenario,
) -> None:
    for caller in range(3):
        assert not scenario.refuses(request_by(99))
        scenario.crash(request_by(caller), request_by(50 + caller, b"/other%d" % caller))
    assert scenario.refuses(request_by(99))
    assert not scenario.refuses(request_by(51, b"/other1"))
    assert not scenario.refuses(request_by(1, b"/x", b"another body"))


def test_a_back_end_that_crashes_again_under_its_id_counts_again(scenario: CrashScenario) -> None:
    for _ in range(3):
        scenario.crash(request_by(1), back_end="b")
        scenario.advance(4.0)
    assert scenario.refuses(request_by(1))


def test_a_request_that_one_caller_sent_is_refused_for_that_caller_alone(
    scenario: CrashScenario,
) -> None:
    """Other callers' requests with this content are served: they may be harmless."""
    for _ in range(3):
        scenario.crash(request_by(1))
    assert scenario.refuses(request_by(1))
    assert not scenario.refuses(request_by(2))


def test_a_crash_by_a_second_caller_shows_that_the_first_is_not_the_cause(
    scenario: CrashScenario,
) -> None:
    """One more crash suffices, rather than three for each caller."""
    for _ in range(3):
        scenario.crash(request_by(1))
    scenario.crash(request_by(2))
    assert scenario.refuses(request_by(3))
    assert not scenario.refuses(request_by(3, b"/x", b"another body"))


def test_a_response_to_another_caller_leaves_the_narrow_fingerprint(
    scenario: CrashScenario,
) -> None:
    for _ in range(3):
        scenario.crash(request_by(1))
        scenario.serve(request_by(2))
    assert scenario.refuses(request_by(1))
    scenario.crash(request_by(2), request_by(1))
    assert not scenario.refuses(request_by(2))


def test_a_target_whose_bodies_differ_each_time_is_refused(scenario: CrashScenario) -> None:
    for number in range(3):
        scenario.crash(request_by(number, b"/x", b"body %d" % number))
    assert scenario.refuses(request_by(9, b"/x", b"another body"))
    assert not scenario.refuses(request_by(9, b"/y", b"another body"))


def test_a_target_that_is_served_is_not_refused_for_one_body(scenario: CrashScenario) -> None:
    """Many bodies are sent to one path; one of them crashes back ends, whoever sends it."""
    for number in range(3):
        scenario.crash(request_by(number), request_by(20 + number, b"/x", b"body %d" % number))
        scenario.serve(request_by(40, b"/x", b"good"))
    assert scenario.refuses(request_by(9))
    assert not scenario.refuses(request_by(9, b"/x", b"body 1"))
    assert not scenario.refuses(request_by(9, b"/x", b"another body"))


def test_two_crashing_requests_at_once_are_both_refused(scenario: CrashScenario) -> None:
    for number in range(3):
        scenario.crash(request_by(number, b"/x"), request_by(number, b"/good%d" % number))
        scenario.crash(request_by(number, b"/y"))
    assert scenario.refuses(request_by(9, b"/x"))
    assert scenario.refuses(request_by(9, b"/y"))
    assert not scenario.refuses(request_by(1, b"/good1"))


def test_the_most_requested_target_is_not_blamed_for_a_loss_of_power(
    scenario: CrashScenario,
) -> None:
    """Ten back ends exit within a few milliseconds, and the service has no back end left."""
    for number in range(10):
        lost = [request_by(20 * number + caller, b"/hot") for caller in range(20)]
        backend = Backend(f"b{number}", "s", "127.0.0.1:1", "z1", 3)
        for request in lost:
            scenario.watch.record_lost_request(backend, request)
        scenario.now += 0.002
        scenario.node.quarantine.record_process_exit(backend.backend_id, scenario.now)
    guard = request_guard.RequestGuard(scenario.node.quarantine, request_by(9, b"/hot"))
    assert guard.blocked_until(scenario.now) is None
    scenario.advance(1.0)
    assert not scenario.refuses(request_by(9, b"/hot"))


class LedgerOfManyCallers(stateful.RuleBasedStateMachine):
    """Crashes, responses and time in any order, with one request that crashes what runs it.

    The machine first draws whether all requests for its target crash back ends, all requests with
    its content, or only those of one caller.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = quarantine.QuarantineLedger("n")
        self.now = 100.0
        self.crash_count = 0
        self.names = (f"b{number}" for number in itertools.count())

    @stateful.initialize(width=strategies.sampled_from(["target", "content", "caller"]))
    def draw(self, width: str) -> None:
        self.width = width

    def deadly(self, caller: int, body: int) -> request_content.RequestContent:
        match self.width:
            case "target":
                return request_by(caller, b"/deadly", b"%d" % body)
            case "content":
                return request_by(caller, b"/deadly")
            case _:
                return request_by(1, b"/deadly")

    def is_deadly(self, request: request_content.RequestContent) -> bool:
        return request.target == b"/deadly" and (
            self.width == "target"
            or (request.body == BODY and (self.width == "content" or request.caller == "10.0.0.1"))
        )

    def refused(self, request: request_content.RequestContent) -> bool:
        guard = request_guard.RequestGuard(self.ledger, request)
        return guard.refused_for(self.now) is not None

    @stateful.rule(
        caller=strategies.integers(1, 5),
        body=strategies.integers(1, 5),
        beside=strategies.lists(
            strategies.tuples(strategies.integers(1, 5), strategies.integers(1, 8)), max_size=12
        ),
    )
    def send_deadly(self, caller: int, body: int, beside: list[tuple[int, int]]) -> None:
        """Send it unless it is refused; what runs beside it is lost, and is retried."""
        request = self.deadly(caller, body)
        others = [request_by(who, b"/good%d" % what) for who, what in beside]
        if self.refused(request):
            return
        name = next(self.names)
        for item in (request, *others):
            self.ledger.record_lost_request(name, item.fingerprints, self.now)
        self.ledger.record_process_exit(name, self.now)
        self.crash_count += 1
        self.now += 0.5
        for item in others:
            request_guard.RequestGuard(self.ledger, item).record_served(self.now)
        self.now += 0.5
        self.ledger.handle_tick(self.now)

    @stateful.rule(caller=strategies.integers(2, 6), body=strategies.integers(1, 5))
    def serve_other_requests_for_the_target(self, caller: int, body: int) -> None:
        """Serve other requests for the target, unless all requests for it crash back ends."""
        request = request_by(caller, b"/deadly", b"other %d" % body)
        if not self.is_deadly(request) and not self.refused(request):
            request_guard.RequestGuard(self.ledger, request).record_served(self.now)
        self.now += 0.2

    @stateful.invariant()
    def other_requests_are_not_refused(self) -> None:
        for what in range(1, 9):
            assert not self.refused(request_by(1, b"/good%d" % what))

    @stateful.invariant()
    def few_back_ends_crash(self) -> None:
        """Three crash, and one more each time that the known fingerprint proves too narrow."""
        assert self.crash_count <= crashes.MIN_CRASHES + MAX_WIDENINGS


TestLedgerOfManyCallers = LedgerOfManyCallers.TestCase
TestLedgerOfManyCallers.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


def test_many_crashes_are_evaluated_without_reading_all_for_each_fingerprint() -> None:
    """256 crashes with 32 losses each: 24,000 fingerprints; counts how often losses are read."""
    evidence = crashes.CrashEvidence()
    reads = 0

    class CountedFingerprints(request_content.RequestFingerprints):
        @property
        def from_narrowest(self) -> tuple[int, int, int]:
            nonlocal reads
            reads += 1
            return super().from_narrowest

    for end in range(crashes.MAX_CRASHES):
        lost = [
            CountedFingerprints(*(3 * (40 * end + item) + width for width in range(3)))
            for item in range(32)
        ]
        evidence.record_crash(f"b{end}", lost, end * 10.0)
    reads = 0
    assert evidence.fingerprints_to_quarantine((), 1e9) == []
    assert reads <= 2 * crashes.MAX_CRASHES * crashes.MAX_LOST_PER_CRASH
    assert evidence.unevaluated_since(0, 0.0) < 0.0
    evidence.drop_before(1e9)
    assert not evidence.is_suspect(0)
    assert len(evidence) == 0
