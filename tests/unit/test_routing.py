"""Routing decisions: failure table, keys, choice of back ends, decisions for one request."""

import itertools

import pytest

from limedeck.api.peer_pb2 import (
    OWNERSHIP_KEYED,
    OWNERSHIP_SHARED,
    Backend,
    ConfigObject,
    ConfigUpdate,
    RouteUpdate,
    Service,
    SharingRule,
)
from limedeck.config.objects import complete_service
from limedeck.config.replica import ConfigReplica
from limedeck.errors import InvariantViolation, MissingKey, UnknownService
from limedeck.keyspace.slices import change_of
from limedeck.routing.backends import FAILURES_TO_EJECT, BackendStates
from limedeck.routing.outcomes import (
    SURELY_NOT_RUN,
    AttemptHistory,
    Decision,
    FailurePhase,
    Outcome,
    decide,
)
from limedeck.routing.request import (
    MAX_RETRY_TOKENS,
    Attempt,
    RefusalReason,
    Refuse,
    RequestCommand,
    RequestCore,
    RetryBudget,
    RouterView,
    RoutingLimits,
    Wait,
)
from limedeck.routing.route_table import RouteTable
from limedeck.routing.rules import deadline_of, match_request

BOOLEANS = (True, False)
HISTORIES = [
    AttemptHistory(*values) for values in itertools.product(BOOLEANS, BOOLEANS, BOOLEANS, BOOLEANS)
]


@pytest.mark.parametrize("phase", FailurePhase)
@pytest.mark.parametrize("history", HISTORIES, ids=str)
def test_decisions_follow_the_failure_table(phase: FailurePhase, history: AttemptHistory) -> None:
    decision = decide(phase, history)
    surely_not_run = phase in SURELY_NOT_RUN and not history.may_have_run
    if decision is Decision.ANSWER_NOT_RUN:
        assert surely_not_run
    if decision is Decision.RETRY:
        assert history.time_left and history.budget_left
        assert history.repeatable or phase in SURELY_NOT_RUN
    if not (history.time_left and history.budget_left):
        expected = Decision.ANSWER_NOT_RUN if surely_not_run else Decision.ANSWER_UNKNOWN
        assert decision is expected


KEYED = complete_service(
    Service(name="keyed", sharing=SharingRule(ownership=OWNERSHIP_KEYED, key_source="path:2"))
)
SHARED = complete_service(Service(name="shared", sharing=SharingRule(ownership=OWNERSHIP_SHARED)))
BY_HEADER = complete_service(
    Service(
        name="header", sharing=SharingRule(ownership=OWNERSHIP_KEYED, key_source="header:X-Key")
    )
)
BY_QUERY = complete_service(
    Service(name="query", sharing=SharingRule(ownership=OWNERSHIP_KEYED, key_source="query:key"))
)


def backend(name: str, service: str) -> Backend:
    port = 1000 + sum(name.encode())
    return Backend(backend_id=name, service=service, address=f"127.0.0.1:{port}")


def configuration() -> ConfigReplica:
    replica = ConfigReplica()
    services = [ConfigObject(service=item) for item in (KEYED, SHARED, BY_HEADER, BY_QUERY)]
    backends = [
        ConfigObject(backend=backend(f"{service}-{number}", service))
        for service in ("keyed", "shared")
        for number in range(3)
    ]
    replica.apply(ConfigUpdate(revision=1, objects=[*services, *backends]))
    return replica


class Router:
    """A router's state, and requests that are decided with it."""

    def __init__(self, limits: RoutingLimits | None = None) -> None:
        self.routes = RouteTable()
        self.backends = BackendStates()
        self.view = RouterView(
            configuration(), self.routes, self.backends, limits or RoutingLimits()
        )
        self.budget = RetryBudget()

    def route(self, version: int, owner: str) -> None:
        change = change_of([(0, owner)])
        self.routes.apply(RouteUpdate(group="keyed", version=version, change=change))

    def request(self, method: str, path: str, deadline: float = 5.0) -> RequestCore:
        target = match_request(self.view.config, method, path, "", {})
        return RequestCore("id", target, deadline, self.view, self.budget, 0.0)


def attempt(command: RequestCommand) -> str:
    assert isinstance(command, Attempt)
    return command.backend.backend_id


def test_a_keyed_request_goes_to_the_owner() -> None:
    router = Router()
    router.route(1, "keyed-1")
    assert attempt(router.request("GET", "/keyed/parcels/7").next_command(0.0)) == "keyed-1"


def test_a_request_without_an_owner_waits_and_is_then_not_run() -> None:
    router = Router()
    core = router.request("GET", "/keyed/parcels/7", deadline=60.0)
    assert isinstance(core.next_command(0.0), Wait)
    refused = core.next_command(router.view.limits.longest_wait)
    assert refused == Refuse(Outcome.NOT_RUN, RefusalReason.NO_OWNER, 1.0)


def test_a_not_owner_refusal_leads_to_the_new_owner_without_using_the_retry_budget() -> None:
    router = Router()
    router.route(1, "keyed-0")
    core = router.request("POST", "/keyed/parcels/7")
    core.next_command(0.0)
    assert isinstance(core.handle_failure(FailurePhase.REFUSED, 0.1, not_owner=True), Wait)
    router.route(2, "keyed-2")
    assert attempt(core.next_command(0.11)) == "keyed-2"


def test_the_same_owner_is_tried_again_after_a_delay() -> None:
    router = Router()
    router.route(1, "keyed-0")
    core = router.request("GET", "/keyed/parcels/7")
    core.next_command(0.0)
    command = core.handle_failure(FailurePhase.REFUSED, 0.1, not_owner=True)
    assert isinstance(command, Wait)
    assert attempt(core.next_command(command.until)) == "keyed-0"


FAILED_ATTEMPT_CASES = [
    ("GET", FailurePhase.NOT_CONNECTED, None),
    ("GET", FailurePhase.AWAITING, None),
    ("GET", FailurePhase.RECEIVING, None),
    ("POST", FailurePhase.NOT_CONNECTED, None),
    ("POST", FailurePhase.NOT_SENT, None),
    ("POST", FailurePhase.REFUSED, None),
    ("POST", FailurePhase.SENDING, Outcome.UNKNOWN),
    ("POST", FailurePhase.AWAITING, Outcome.UNKNOWN),
    ("POST", FailurePhase.RECEIVING, Outcome.UNKNOWN),
]


@pytest.mark.parametrize(("method", "phase", "outcome"), FAILED_ATTEMPT_CASES)
def test_what_follows_a_failed_attempt(
    method: str, phase: FailurePhase, outcome: Outcome | None
) -> None:
    core = Router().request(method, "/shared/x")
    first = attempt(core.next_command(0.0))
    command = core.handle_failure(phase, 0.1)
    if outcome is None:
        assert attempt(command) != first
    else:
        assert isinstance(command, Refuse) and command.outcome is outcome


def test_a_request_that_may_have_run_is_never_reported_as_not_run() -> None:
    core = Router().request("GET", "/shared/x", deadline=1.0)
    core.next_command(0.0)
    core.handle_failure(FailurePhase.AWAITING, 0.1)
    refused = core.handle_failure(FailurePhase.NOT_CONNECTED, 0.999)
    assert isinstance(refused, Refuse) and refused.outcome is Outcome.UNKNOWN


def test_retries_stay_within_the_budget_when_every_back_end_refuses() -> None:
    router = Router()
    requests, attempts = 1_000, 0
    for _ in range(requests):
        router.budget.record_request(0.0)
        core = router.request("GET", "/shared/x")
        command = core.next_command(0.0)
        while isinstance(command, Attempt):
            attempts += 1
            command = core.handle_failure(FailurePhase.REFUSED, 0.0)
        assert isinstance(command, Refuse | Wait)
    assert attempts <= 1.1 * requests + MAX_RETRY_TOKENS


def test_a_failure_without_an_attempt_in_flight_violates_an_invariant() -> None:
    core = Router().request("POST", "/shared/x")
    with pytest.raises(InvariantViolation):
        core.handle_failure(FailurePhase.AWAITING, 0.1)


def test_an_expired_deadline_is_refused_at_once() -> None:
    refused = Router().request("GET", "/shared/x", deadline=1.0).next_command(1.0)
    assert isinstance(refused, Refuse)
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, RefusalReason.DEADLINE_EXCEEDED)


KEY_CASES = [
    ("/keyed/parcels/7", "", {}, "keyed"),
    ("/header/x", "", {"x-key": "7"}, "header"),
    ("/query/x", "a=1&key=7", {}, "query"),
    ("/keyed/parcels/%37", "", {}, "keyed"),
]


@pytest.mark.parametrize(("path", "query", "headers", "group"), KEY_CASES)
def test_keys_are_read_from_where_the_sharing_rule_says(
    path: str, query: str, headers: dict[str, str], group: str
) -> None:
    place = match_request(configuration(), "GET", path, query, headers).place
    assert place is not None
    assert place.group == group
    assert place == match_request(configuration(), "GET", path, query, headers).place
    other = match_request(configuration(), "GET", "/keyed/parcels/7", "", {}).place
    assert other is not None and other.position == place.position


@pytest.mark.parametrize("path", ["/keyed", "/keyed/", "/keyed/parcels/", "/header/x", "/query/x"])
def test_a_missing_key_is_an_error(path: str) -> None:
    with pytest.raises(MissingKey):
        match_request(configuration(), "GET", path, "", {})


@pytest.mark.parametrize("path", ["/", "", "/unknown/x"])
def test_an_unknown_service_is_an_error(path: str) -> None:
    with pytest.raises(UnknownService):
        match_request(configuration(), "GET", path, "", {})


@pytest.mark.parametrize("header", ["0", "-5", "soon", "1.5"])
def test_a_bad_deadline_is_an_error(header: str) -> None:
    with pytest.raises(ValueError, match=r".+"):
        deadline_of(KEYED, header, 0.0)


def test_only_get_and_head_are_repeatable_unless_configured() -> None:
    for method, repeatable in (("GET", True), ("HEAD", True), ("POST", False), ("PUT", False)):
        assert match_request(configuration(), method, "/shared/x", "", {}).repeatable is repeatable


def test_the_least_loaded_back_end_is_chosen() -> None:
    states = BackendStates()
    backends = configuration().backends_of("shared")
    for item in backends[:2]:
        states.state(item.backend_id).outstanding = 3
    chosen = states.choose(SHARED, backends, (), "id", 0.0)
    assert chosen is not None and chosen.backend_id == "shared-2"


def test_an_ejected_back_end_is_chosen_only_if_no_other_is_left() -> None:
    states = BackendStates()
    backends = configuration().backends_of("shared")
    for _ in range(FAILURES_TO_EJECT):
        states.state("shared-0").record_failure(0.0)
    chosen = {states.choose(SHARED, backends, (), f"id-{n}", 0.1).backend_id for n in range(50)}  # type: ignore[union-attr]
    assert chosen == {"shared-1", "shared-2"}
    only = states.choose(SHARED, backends[:1], (), "id", 0.1)
    assert only is not None and only.backend_id == "shared-0"


def test_connections_are_divided_among_routers() -> None:
    states = BackendStates(router_count=40)
    assert states.connection_share(SHARED) == 2
    states.router_count = 1_000
    assert states.connection_share(SHARED) == 1
    states.state("shared-0").outstanding = 1
    assert not states.has_room(SHARED, "shared-0")


def test_draining_back_ends_get_no_new_requests() -> None:
    backends = configuration().backends_of("shared")
    for item in backends:
        item.draining = True
    assert BackendStates().choose(SHARED, backends, (), "id", 0.0) is None
