"""Attempts through another node: which one, what is passed on, and what a lost one means."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest

from limedeck import clock, http_client
from limedeck.api import control_pb2
from limedeck.errors import PeerProtocolError
from limedeck.forwarding import budget
from limedeck.forwarding.intermediaries import (
    AVOIDANCE_TIME,
    FAILED_BACKEND_TIME,
    NONE_ABLE_TIME,
    Intermediaries,
    Intermediary,
)
from limedeck.forwarding.protocol import Headers
from limedeck.forwarding.reachability_events import ProbeOutcome
from limedeck.model import Backend, Configuration
from limedeck.node import (
    fleet_intermediaries,
    http_server,
    intermediary_client,
    intermediary_server,
    reachability_monitor,
    request_log,
    response_reader,
    settings,
    state,
    telemetry,
)
from limedeck.node import intermediary_messages as messages
from limedeck.platform import headers
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

pytestmark = pytest.mark.anyio
NEAR = [Intermediary(f"10.0.0.{number}:1", "z1") for number in range(3)]
FAR = [Intermediary(f"10.0.1.{number}:1", "z2") for number in range(3)]
BODY = b"\x00booking\r\n"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def request_ids(count: int) -> list[bytes]:
    return [b"%d" % number for number in range(count)]


# ---------------------------------------------------------------------- which node


def test_intermediaries_of_the_own_zone_come_first_and_share_the_load() -> None:
    known = Intermediaries("z1")
    known.set_known([*FAR, *NEAR])
    chosen = {known.choose("b", item, (), 0.0) for item in request_ids(60)}
    assert chosen == set(NEAR)


def test_other_zones_serve_a_zone_whose_nodes_are_all_unusable() -> None:
    known = Intermediaries("z1")
    known.set_known([*FAR, *NEAR])
    for item in NEAR:
        known.avoid(item.address, 0.0)
    assert {known.choose("b", item, (), 0.1) for item in request_ids(60)} == set(FAR)
    assert known.choose("b", b"1", (), AVOIDANCE_TIME) in NEAR


def test_busy_intermediary_gets_less() -> None:
    known = Intermediaries("z1")
    known.set_known(NEAR[:2])
    for _ in range(5):
        known.record_sent(NEAR[0].address)
    chosen = [known.choose("b", item, (), 0.0) for item in request_ids(50)]
    assert chosen.count(NEAR[1]) == 50
    for _ in range(5):
        known.record_ended(NEAR[0].address)
    assert NEAR[0] in {known.choose("b", item, (), 0.0) for item in request_ids(50)}


def test_no_intermediary_is_left_if_all_were_tried() -> None:
    known = Intermediaries("z1")
    known.set_known(NEAR)
    assert known.choose("b", b"1", [item.address for item in NEAR], 0.0) is None
    assert known.has_any(0.0)
    for item in NEAR:
        known.avoid(item.address, 0.0)
    assert not known.has_any(0.1)


def test_node_that_found_no_intermediary_asks_none_for_a_while() -> None:
    known = Intermediaries("z1")
    known.set_known(NEAR)
    for number, item in enumerate(NEAR):
        known.avoid(item.address, 10.0 + 0.1 * number)
    found_none_at = 10.0 + AVOIDANCE_TIME - 0.05
    known.record_none_able(found_none_at)
    assert not known.has_any(found_none_at + 0.1)
    assert known.has_any(found_none_at + NONE_ABLE_TIME)


def test_node_with_an_intermediary_left_may_ask_it_at_once() -> None:
    known = Intermediaries("z1")
    known.set_known(NEAR)
    known.avoid(NEAR[0].address, 10.0)
    known.record_none_able(10.1)
    assert known.has_any(10.1)


def test_intermediary_that_does_not_reach_a_back_end_is_used_for_others() -> None:
    known = Intermediaries("z1")
    known.set_known(NEAR[:2])
    known.record_unreached(NEAR[0].address, "b", 0.0)
    assert {known.choose("b", item, (), 0.1) for item in request_ids(40)} == {NEAR[1]}
    assert {known.choose("c", item, (), 0.1) for item in request_ids(40)} == set(NEAR[:2])


def test_back_end_that_others_do_not_reach_counts_as_failed_for_a_while() -> None:
    known = Intermediaries("z1")
    known.record_failed_backend("b", 1.0)
    assert known.is_backend_failed("b", 1.0 + FAILED_BACKEND_TIME / 2)
    assert not known.is_backend_failed("b", 1.0 + FAILED_BACKEND_TIME)
    known.record_failed_backend("b", 3.0)
    known.record_served_backend("b")
    assert not known.is_backend_failed("b", 3.1)


@pytest.mark.parametrize("count", [3, 11, 195])
def test_leader_names_only_nodes_that_reach_back_ends(count: int) -> None:
    fleet = fleet_intermediaries.FleetIntermediaries("node-0")
    fleet.set_own(Intermediary("10.0.0.0:1", "z0"))
    for number in range(1, count):
        report = control_pb2.Report(
            node_id=f"node-{number}",
            zone=f"z{number % 3}",
            intermediary_address=f"10.0.0.{number}:1",
            partitioned=number >= count // 3,
        )
        fleet.record_report(report)
    fleet.record_own_partition(True)
    assert fleet.count_reaching() == count // 3 - 1
    reaching = {f"10.0.0.{number}:1" for number in range(1, count // 3)}
    for number in range(count):
        chosen = {item.address for item in fleet.choose_for(f"node-{number}", "z1")}
        assert chosen <= reaching - {f"10.0.0.{number}:1"}
        assert len(chosen) <= fleet_intermediaries.MAX_SENT
    fleet.forget("node-1")
    assert "10.0.0.1:1" not in {item.address for item in fleet.choose_for("node-9", "z1")}


# ---------------------------------------------------------------------- messages


@pytest.mark.parametrize(
    "attempt",
    [
        messages.ForwardedAttempt("b", 1.5, repeatable=True, watched=False),
        messages.ForwardedAttempt("b", 0.001, repeatable=False, watched=True),
        messages.ForwardedAttempt("b@5", 2.0, messages.AttemptKind.PROBE),
    ],
)
def test_description_of_an_attempt_is_read_as_it_was_written(
    attempt: messages.ForwardedAttempt,
) -> None:
    assert messages.read_attempt(messages.attempt_headers(attempt, b"id")) == attempt


@pytest.mark.parametrize(
    "found",
    [
        [],
        [(messages.BACKEND, b"b")],
        [(messages.BACKEND, b"b"), (messages.KIND, b"other"), (messages.TIME_LEFT, b"5")],
        [(messages.BACKEND, b""), (messages.KIND, b"request"), (messages.TIME_LEFT, b"5")],
        [(messages.BACKEND, b"b"), (messages.KIND, b"request"), (messages.TIME_LEFT, b"-5")],
        [(messages.BACKEND, b"b"), (messages.KIND, b"request"), (messages.TIME_LEFT, b"9" * 50)],
        [(messages.BACKEND, b"\xff"), (messages.KIND, b"request"), (messages.TIME_LEFT, b"5")],
    ],
)
def test_invalid_descriptions_are_rejected(found: Headers) -> None:
    with pytest.raises(PeerProtocolError):
        messages.read_attempt(found)


NAMED = (messages.REQUEST, b"id")
STATED_PHASES = frozenset({FailurePhase.REFUSED})
"""Phases that need the back end's response; another node's word for it is not enough."""


@pytest.mark.parametrize("phase", sorted(set(FailurePhase) - STATED_PHASES, key=str))
def test_failed_attempt_tells_whether_the_request_may_have_run(phase: FailurePhase) -> None:
    sent = AttemptFailed(phase, "reset", by_other_end=True)
    found = [*messages.result_headers(messages.AttemptResult.FAILED, sent), NAMED]
    with pytest.raises(AttemptFailed) as caught:
        messages.read_result(http_client.HttpResponse(502, found, b""), b"id")
    assert caught.value == sent


@pytest.mark.parametrize("phase", sorted(STATED_PHASES, key=str))
def test_other_node_cannot_state_for_a_back_end_that_a_request_did_not_run(
    phase: FailurePhase,
) -> None:
    sent = AttemptFailed(phase, "status 503")
    found = [*messages.result_headers(messages.AttemptResult.FAILED, sent), NAMED]
    with pytest.raises(AttemptFailed) as caught:
        messages.read_result(http_client.HttpResponse(502, found, b""), b"id")
    assert caught.value.phase is FailurePhase.AWAITING


@pytest.mark.parametrize("named", [[], [(messages.REQUEST, b"other")]])
@pytest.mark.parametrize("result", [messages.AttemptResult.UNABLE, messages.AttemptResult.FAILED])
def test_result_of_another_request_does_not_show_that_this_one_was_not_sent(
    result: messages.AttemptResult, named: Headers
) -> None:
    unsent = AttemptFailed(FailurePhase.NOT_CONNECTED, "refused")
    found = [*messages.result_headers(result, unsent), *named]
    with pytest.raises(AttemptFailed) as caught:
        messages.read_result(http_client.HttpResponse(502, found, b""), b"id")
    assert caught.value.phase is FailurePhase.AWAITING


@pytest.mark.parametrize(
    "found",
    [[], [(messages.RESULT, b"other")], [(messages.RESULT, b"failed"), (messages.PHASE, b"x")]],
)
def test_unreadable_result_leaves_open_whether_the_request_ran(found: Headers) -> None:
    with pytest.raises(AttemptFailed) as caught:
        messages.read_result(http_client.HttpResponse(200, [*found, NAMED], b""), b"id")
    assert caught.value.phase is FailurePhase.AWAITING


# ---------------------------------------------------------------------- over connections


class BackendStandIn:
    """Responds with what it received, or closes the connection."""

    def __init__(self) -> None:
        self.received: list[tuple[str, bytes, Headers, bytes]] = []
        self.cancelled = 0
        self.delay = 0.0
        self.closes = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        body = (await receive())["body"]
        self.received.append((scope["method"], scope["raw_path"], scope["headers"], body))
        with anyio.move_on_after(self.delay):
            while (await receive())["type"] != "http.disconnect":
                pass
            self.cancelled += 1
            return
        sent = [
            (headers.REQUEST_ID, b"id"),
            (headers.SIGNATURE, b"signed"),
            (headers.LEAVING, b"1"),
            (b"x-twice", b"one"),
            (b"x-twice", b"two"),
            (b"content-length", b"%d" % len(BODY)),
        ]
        await send({"type": "http.response.start", "status": 201, "headers": sent})
        if self.closes:
            await send({"type": "http.response.body", "body": BODY[:3], "more_body": True})
            raise ConnectionError
        await send({"type": "http.response.body", "body": BODY})


class Setting:
    """A node that makes attempts for others, and its back end."""

    def __init__(self, address: str) -> None:
        self.node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
        self.node.set_configuration(Configuration(1))
        self.node.directory.put(Backend("b", "s", address, "z1", 2), 0.0)
        counted = telemetry.Telemetry()
        log = request_log.RequestLog(settings.LogSection(), counted)
        protocol = headers.PlatformProtocol()
        client = http_client.HttpClient()
        self.server = intermediary_server.IntermediaryServer(
            self.node,
            protocol,
            client,
            response_reader.ResponseReader(self.node.directory, protocol, log),
            reachability_monitor.ReachabilityMonitor(self.node, client, counted),
            counted,
        )
        self.backend = BackendStandIn()
        self.known = Intermediaries("z1")
        self.client = intermediary_client.IntermediaryClient(self.known, http_client.HttpClient())

    async def exchange(
        self, repeatable: bool = True, seconds: float = 2.0
    ) -> http_client.HttpResponse:
        request = intermediary_client.ForwardedRequest(
            messages.ForwardedAttempt("b", seconds, repeatable=repeatable),
            b"id",
            b"PUT",
            b"/a%2Fb/c?d=e",
            [
                (b"host", b"h.example"),
                (headers.REQUEST_ID, b"id"),
                (b"limedeck-attempt-result", b"response"),
                (b"content-length", b"%d" % len(BODY)),
            ],
            BODY,
        )
        return await self.client.exchange(request, clock.steady_clock() + seconds)


def listening() -> socket.socket:
    found = socket.socket()
    found.bind(("127.0.0.1", 0))
    found.listen()
    found.setblocking(False)
    return found


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[Setting]:
    backend_socket, server_socket = listening(), listening()
    host, port = backend_socket.getsockname()
    setting = Setting(f"{host}:{port}")
    host, port = server_socket.getsockname()
    setting.known.set_known([Intermediary(f"{host}:{port}", "z1")])
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(http_server.serve, setting.backend, backend_socket, stop, 0.1)
        tasks.start_soon(http_server.serve, setting.server, server_socket, stop, 0.1)
        yield setting
        stop.set()


async def test_request_and_response_pass_through_unchanged() -> None:
    async with running() as setting:
        response = await setting.exchange()
    (received,) = setting.backend.received
    assert received[:2] == ("PUT", b"/a%2Fb/c")
    assert received[3] == BODY
    assert not [name for name, _ in received[2] if name.startswith(messages.PREFIX)]
    assert (response.status, response.body) == (201, BODY)
    assert (headers.SIGNATURE, b"signed") in response.headers
    assert [value for name, value in response.headers if name == b"x-twice"] == [b"one", b"two"]
    assert not [name for name, _ in response.headers if name.startswith(messages.PREFIX)]


async def test_intermediary_learns_what_the_back_end_states() -> None:
    async with running() as setting:
        await setting.exchange()
    assert setting.node.directory.leaving.leaving_since("b") is not None


async def test_partitioned_node_makes_no_attempt_for_others() -> None:
    async with running() as setting:
        found = setting.node.directory.reachability
        found.suspect("b")
        for backend_id in found.next_probes({"b": "s"}, None, 1.0):
            found.handle_probe(backend_id, ProbeOutcome.UNREACHED, 1.0)
        with pytest.raises(AttemptFailed) as caught:
            await setting.exchange()
        assert caught.value.phase is FailurePhase.NOT_CONNECTED
        assert not setting.known.has_any(clock.steady_clock())
    assert setting.backend.received == []


@pytest.mark.parametrize("reason", ["stopping", "busy", "unlisted"])
async def test_node_that_cannot_help_says_so_before_anything_runs(
    reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running() as setting:
        if reason == "stopping":
            setting.node.stopping = True
        elif reason == "busy":
            monkeypatch.setattr(intermediary_server, "MAX_CONCURRENT_ATTEMPTS", 0)
        else:
            setting.node.directory.remove("b")
        with pytest.raises(AttemptFailed) as caught:
            await setting.exchange()
        assert caught.value.phase is FailurePhase.NOT_CONNECTED
    assert setting.backend.received == []


async def test_lost_response_of_the_back_end_may_have_run() -> None:
    async with running() as setting:
        setting.backend.closes = True
        with pytest.raises(AttemptFailed) as caught:
            await setting.exchange()
    assert caught.value.phase is FailurePhase.RECEIVING
    assert caught.value.by_other_end


@pytest.mark.parametrize("repeatable", [True, False])
async def test_only_a_repeatable_attempt_is_cancelled_when_its_node_goes_away(
    repeatable: bool,
) -> None:
    async with running() as setting:
        setting.backend.delay = 0.6
        with anyio.move_on_after(0.2):
            await setting.exchange(repeatable)
        await anyio.sleep(0.8)
    assert len(setting.backend.received) == 1
    assert setting.backend.cancelled == int(repeatable)


async def test_node_that_does_not_listen_is_passed_over() -> None:
    async with running() as setting:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            lost = Intermediary(f"127.0.0.1:{closed.getsockname()[1]}", "z1")
        setting.known.set_known([lost, *setting.known.known])
        for _ in range(6):
            assert (await setting.exchange()).status == 201
