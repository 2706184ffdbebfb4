"""The HTTP interface for callers with stand-in back ends: outcomes and executions of requests."""

import json
import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field

import httpx
import pytest

from limedeck_lab.cluster import Cluster
from limedeck_lab.processes import wait_until

CLIENT = httpx.Client(timeout=30.0, trust_env=False, verify=False)
FILING = ["filing-00", "filing-01"]


def url(cluster: Cluster, path: str, index: int = 0) -> str:
    return f"http://{cluster.addresses[index].caller}{path}"


def send(
    cluster: Cluster, method: str, path: str, request_id: str = "", **more: object
) -> httpx.Response:
    headers = {"limedeck-request-id": request_id} if request_id else {}
    headers.update(more.pop("headers", {}))  # type: ignore[call-overload]
    content = more.pop("content", None)
    return CLIENT.request(
        method,
        url(cluster, path),
        headers=headers,
        content=content,  # type: ignore[arg-type]
    )


@contextmanager
def faults(cluster: Cluster, backends: list[str], **settings: object) -> Iterator[None]:
    """Enable faults of back ends until the block ends."""
    try:
        for name in backends:
            cluster.set_backend_faults(name, **settings)
        yield
    finally:
        for name in backends:
            cluster.set_backend_faults(name)


def test_keyed_request_is_sent_to_the_owner(shared_cluster: Cluster) -> None:
    client = shared_cluster.client()
    for number in range(20):
        owner = client.locate("parcels", f"key-{number}").owner.backend_id
        for index in range(len(shared_cluster.addresses)):
            response = CLIENT.get(url(shared_cluster, f"/parcels/p/key-{number}", index))
            assert response.headers["limedeck-outcome"] == "whole"
            assert response.json()["backend"] == owner
    client.close()


@dataclass(frozen=True)
class BadRequest:
    name: str
    method: str
    path: str
    status: int
    reason: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


BAD_REQUESTS = [
    BadRequest("unknown service", "GET", "/nothing/x", 404, "unknown-service"),
    BadRequest("missing key", "GET", "/parcels/p", 400, "missing-key"),
    BadRequest("body too large", "POST", "/filing/r", 413, "body-too-large", body=b"x" * (2 << 20)),
    BadRequest(
        "bad deadline", "GET", "/filing/r", 400, "invalid-deadline", {"limedeck-deadline-ms": "x"}
    ),
    BadRequest(
        "long request id",
        "GET",
        "/filing/r",
        400,
        "invalid-request-id",
        {"limedeck-request-id": "x" * 200},
    ),
]


@pytest.mark.parametrize("case", BAD_REQUESTS, ids=lambda case: case.name)
def test_bad_requests_get_typed_problem_responses(
    shared_cluster: Cluster, case: BadRequest
) -> None:
    response = send(
        shared_cluster, case.method, case.path, headers=dict(case.headers), content=case.body
    )
    assert response.status_code == case.status
    assert response.headers["content-type"] == "application/problem+json"
    assert response.headers["limedeck-outcome"] == "not-run"
    assert response.headers["limedeck-reason"] == case.reason
    assert response.json()["type"] == f"urn:limedeck:problem:{case.reason}"


def test_headers_above_the_limit_are_refused(shared_cluster: Cluster) -> None:
    response = send(shared_cluster, "GET", "/filing/r", headers={"x-large": "x" * 100_000})
    assert response.status_code in (400, 431)


def test_request_with_truncated_body_is_never_run(shared_cluster: Cluster) -> None:
    host, _, port = shared_cluster.addresses[0].caller.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            b"POST /filing/r HTTP/1.1\r\nhost: x\r\nlimedeck-request-id: cut-short\r\n"
            b"content-length: 100\r\n\r\nhalf"
        )
    send(shared_cluster, "POST", "/filing/r", "after-cut-short")
    assert "cut-short" not in shared_cluster.executions()


@dataclass(frozen=True)
class FaultCase:
    """A fault of all back ends of the service, with the expected outcome of a request."""

    name: str
    method: str
    settings: dict[str, object]
    outcome: str
    status: int
    executions: int
    deadline_ms: int = 1_000


FAULT_CASES = [
    FaultCase("cut before run, once only", "POST", {"cut_before": True}, "unknown", 502, 0),
    FaultCase("cut after run, once only", "POST", {"cut_after": True}, "unknown", 502, 1),
    FaultCase("truncated response, once only", "POST", {"half_answer": True}, "unknown", 502, 1),
    FaultCase("late response, once only", "POST", {"answer_delay_seconds": 3}, "unknown", 504, 1),
    FaultCase("shed, once only", "POST", {"shed_all": True}, "not-run", 503, 0),
    FaultCase("shed, repeatable", "GET", {"shed_all": True}, "not-run", 503, 0),
    FaultCase("truncated response, repeatable", "GET", {"half_answer": True}, "unknown", 502, 0),
    FaultCase("frozen past the deadline", "POST", {"frozen": True}, "unknown", 504, 0),
    FaultCase("false health status, once only", "POST", {"health": "broken"}, "whole", 200, 1),
]


@pytest.mark.parametrize("case", FAULT_CASES, ids=lambda case: case.name)
def test_faults_of_back_ends(shared_cluster: Cluster, case: FaultCase) -> None:
    request_id = case.name.replace(" ", "-").replace(",", "")
    with faults(shared_cluster, FILING, **case.settings):
        response = send(
            shared_cluster,
            case.method,
            "/filing/r",
            request_id,
            headers={"limedeck-deadline-ms": str(case.deadline_ms)},
        )
    assert response.headers["limedeck-outcome"] == case.outcome
    if case.outcome != "whole":
        assert "retry-after" in response.headers
    wait_until(
        lambda: shared_cluster.executions().get(request_id, 0) == case.executions,
        f"{case.name}: run {case.executions} times",
    )
    if case.name not in ("shed, once only", "shed, repeatable"):
        assert response.status_code == case.status


def fill_retry_budget(cluster: Cluster) -> None:
    """Refill the retry budget that earlier tests have used up, by successful requests."""
    for _ in range(100):
        assert send(cluster, "GET", "/filing/r").status_code == 200


def test_repeatable_request_succeeds_though_one_of_two_back_ends_truncates_responses(
    shared_cluster: Cluster,
) -> None:
    fill_retry_budget(shared_cluster)
    with faults(shared_cluster, FILING[:1], half_answer=True):
        for number in range(10):
            response = send(shared_cluster, "GET", f"/filing/r/{number}")
            assert response.headers["limedeck-outcome"] == "whole"
            assert response.json()["backend"] == FILING[1]


def test_shed_request_that_may_run_once_goes_to_the_other_back_end(
    shared_cluster: Cluster,
) -> None:
    fill_retry_budget(shared_cluster)
    with faults(shared_cluster, FILING[:1], shed_all=True):
        for number in range(10):
            response = send(shared_cluster, "POST", "/filing/r", f"shed-{number}")
            assert response.headers["limedeck-outcome"] == "whole"
    ran = shared_cluster.executions()
    assert all(ran[f"shed-{number}"] == 1 for number in range(10))


def test_false_load_report_fails_no_request(shared_cluster: Cluster) -> None:
    page = f"http://{shared_cluster.backends[-1].address}/limedeck/v1/load"
    with faults(shared_cluster, FILING, reported_in_flight=1_000):
        assert CLIENT.get(page).json() == {"in_flight": 1_000}
        for number in range(10):
            response = send(shared_cluster, "POST", "/filing/r", f"lying-load-{number}")
            assert response.headers["limedeck-outcome"] == "whole"
    assert CLIENT.get(page).json() == {"in_flight": 0}


def test_concurrent_requests_with_the_same_id_run_once(shared_cluster: Cluster) -> None:
    with faults(shared_cluster, FILING, answer_delay_seconds=0.5), ThreadPoolExecutor(4) as pool:
        responses = list(
            pool.map(lambda _: send(shared_cluster, "POST", "/filing/r", "twice"), range(4))
        )
    assert {response.status_code for response in responses} == {200}
    assert {response.json()["request_id"] for response in responses} == {"twice"}
    assert shared_cluster.executions()["twice"] == 1


def test_late_response_never_reaches_another_request(shared_cluster: Cluster) -> None:
    with faults(shared_cluster, FILING, answer_delay_seconds=0.6):
        late = send(
            shared_cluster, "POST", "/filing/late", "late", headers={"limedeck-deadline-ms": "200"}
        )
    assert late.headers["limedeck-outcome"] == "unknown"
    for number in range(20):
        response = send(shared_cluster, "GET", f"/filing/n/{number}", f"next-{number}")
        assert response.json()["path"] == f"/n/{number}"
        assert response.json()["request_id"] == f"next-{number}"


def test_request_is_canceled_when_its_caller_disconnects(shared_cluster: Cluster) -> None:
    request = b"POST /filing/r HTTP/1.1\r\nhost: x\r\nlimedeck-request-id: gone\r\n\r\n"
    host, _, port = shared_cluster.addresses[0].caller.rpartition(":")
    with faults(shared_cluster, FILING, frozen=True):
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(request.replace(b"\r\n\r\n", b"\r\ncontent-length: 0\r\n\r\n"))
            wait_until(lambda: attempts_in_flight(shared_cluster) > 0, "an attempt is running")
        wait_until(lambda: attempts_in_flight(shared_cluster) == 0, "the attempt has ended")
    send(shared_cluster, "POST", "/filing/r", "after-gone")
    assert "gone" not in shared_cluster.executions()


def attempts_in_flight(cluster: Cluster) -> float:
    text = CLIENT.get(f"http://{cluster.addresses[0].admin}/metrics").text
    line = next(item for item in text.splitlines() if item.startswith("limedeck_attempts_running "))
    return float(line.rpartition(" ")[2])


def test_a_put_on_a_broken_reused_connection_is_not_sent_again(shared_cluster: Cluster) -> None:
    """The HTTP client library retries PUT and DELETE by default."""
    for number in range(4):
        send(shared_cluster, "PUT", "/filing/r", f"warm-{number}")
    with faults(shared_cluster, FILING, cut_after=True):
        response = send(shared_cluster, "PUT", "/filing/r", "put-once")
    assert response.headers["limedeck-outcome"] == "unknown"
    assert shared_cluster.executions()["put-once"] == 1


def test_large_response_is_streamed_completely(shared_cluster: Cluster) -> None:
    response = send(shared_cluster, "GET", "/filing/r?bytes=3000000")
    assert len(response.content) > 3_000_000
    assert json.loads(response.content)["method"] == "GET"


def test_truncated_large_response_never_looks_complete(shared_cluster: Cluster) -> None:
    with (
        faults(shared_cluster, FILING, half_answer=True),
        pytest.raises(httpx.RemoteProtocolError),
    ):
        send(shared_cluster, "GET", "/filing/r?bytes=3000000")


def test_metrics_and_health_are_served(shared_cluster: Cluster) -> None:
    admin = f"http://{shared_cluster.addresses[0].admin}"
    assert CLIENT.get(f"{admin}/healthz").status_code == 200
    assert CLIENT.get(f"{admin}/readyz").status_code == 200
    metrics = CLIENT.get(f"{admin}/metrics").text
    assert 'limedeck_requests_total{outcome="whole",reason="",service="filing"}' in metrics
