"""One request under random failures: it runs at most once unless it is repeatable.

It is reported as not run only if no back end has run it.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from limedeck.routing.outcomes import SURELY_NOT_RUN, FailurePhase, Outcome
from limedeck.routing.request import Attempt, Refuse, RequestCommand, RequestCore, Wait
from tests.unit.test_routing import Router

METHODS = st.sampled_from(["GET", "POST"])
PATHS = st.sampled_from(["/keyed/p/1", "/shared/x"])
OWNERS = st.sampled_from(["keyed-0", "keyed-1", "keyed-2"])


class RequestMachine(RuleBasedStateMachine):
    """Drives one request core, with back ends that may or may not run what they receive."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.version = 1
        self.router = Router()
        self.router.route(1, "keyed-0")
        self.executions = 0
        self.command: RequestCommand | None = None
        self.core: RequestCore | None = None
        self.method = "GET"

    @precondition(lambda self: self.core is None)
    @rule(
        method=st.sampled_from(["GET", "POST"]), path=st.sampled_from(["/keyed/p/1", "/shared/x"])
    )
    def begin(self, method: str, path: str) -> None:
        self.method = method
        self.core = self.router.request(method, path, deadline=3.0)
        self.command = self.core.next_command(self.now)

    @rule(span=st.sampled_from([0.01, 0.2, 1.0]))
    def pass_time(self, span: float) -> None:
        self.now += span

    @rule(owner=OWNERS)
    def move_slice(self, owner: str) -> None:
        self.version += 1
        self.router.route(self.version, owner)

    @precondition(lambda self: isinstance(self.command, Wait))
    @rule()
    def wake(self) -> None:
        assert self.core is not None
        self.command = self.core.next_command(self.now)

    @precondition(lambda self: isinstance(self.command, Attempt))
    @rule(phase=st.sampled_from(list(FailurePhase)), ran=st.booleans(), not_owner=st.booleans())
    def fail(self, phase: FailurePhase, ran: bool, not_owner: bool) -> None:
        """Fail the attempt; if the back end may have run the request, `ran` says whether it did."""
        assert self.core is not None
        if phase not in SURELY_NOT_RUN and ran:
            self.executions += 1
        refused = phase is FailurePhase.REFUSED and not_owner
        self.command = self.core.handle_failure(phase, self.now, refused)

    @invariant()
    def reported_outcome_is_true(self) -> None:
        if self.method == "POST":
            assert self.executions <= 1
        if isinstance(self.command, Refuse):
            if self.command.outcome is Outcome.NOT_RUN:
                assert self.executions == 0
            assert self.command.retry_after > 0

    @invariant()
    def an_unrepeatable_request_that_ran_is_refused(self) -> None:
        if self.method == "POST" and self.executions:
            assert isinstance(self.command, Refuse)


RequestMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
TestRequest = RequestMachine.TestCase
