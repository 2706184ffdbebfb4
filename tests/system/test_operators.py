"""The operators' gRPC interface and the command line, with node processes."""

import json
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import grpc
import pytest
from cleo.testers.application_tester import ApplicationTester
from grpc_health.v1 import health_pb2, health_pb2_grpc
from grpc_reflection.v1alpha.proto_reflection_descriptor_database import (
    ProtoReflectionDescriptorDatabase,
)

from limedeck.api import operators_pb2 as api
from limedeck.api.peer_pb2 import OWNERSHIP_SHARED, Backend, Service, SharingRule
from limedeck.cli.application import build_application
from limedeck.cli.client import OperatorCallFailed, OperatorClient
from limedeck_lab.cluster import Cluster
from limedeck_lab.processes import wait_until

METHODS = "/limedeck.api.Operators/"


def shared_service(name: str) -> Service:
    return Service(name=name, sharing=SharingRule(ownership=OWNERSHIP_SHARED))


def status_code(error: pytest.ExceptionInfo[OperatorCallFailed]) -> grpc.StatusCode:
    return error.value.code


def limedeck(cluster: Cluster, command: str) -> ApplicationTester:
    tester = ApplicationTester(build_application())
    tester.execute(f"{command} --server {cluster.addresses[0].operator}")
    return tester


def test_create_read_change_and_delete(shared_cluster: Cluster) -> None:
    client = shared_cluster.client()
    created = client.create_service(shared_service("extra"))
    assert client.get_service("extra").revision == created.revision
    changed = client.update_service(shared_service("extra"), created.revision)
    assert changed.revision > created.revision
    client.delete_service("extra", changed.revision)
    with pytest.raises(OperatorCallFailed) as caught:
        client.get_service("extra")
    assert status_code(caught) is grpc.StatusCode.NOT_FOUND
    client.close()


def test_second_create_of_the_same_name_is_a_typed_conflict(shared_cluster: Cluster) -> None:
    client = shared_cluster.client()
    with pytest.raises(OperatorCallFailed) as caught:
        client.create_service(shared_service("filing"))
    assert status_code(caught) is grpc.StatusCode.ALREADY_EXISTS
    assert caught.value.detail.kind == api.ErrorDetail.KIND_CONFLICT
    assert caught.value.detail.current.service.name == "filing"
    client.close()


def test_repeated_request_id_returns_the_same_revision(shared_cluster: Cluster) -> None:
    client = shared_cluster.client()
    first = client.create_service(shared_service("repeated"), "my-request")
    other = shared_cluster.client(1)
    replayed_result = other.create_service(shared_service("repeated"), "my-request")
    assert (replayed_result.revision, replayed_result.replayed) == (first.revision, True)
    client.delete_service("repeated", first.revision)
    client.close()
    other.close()


def test_one_of_concurrent_updates_at_different_nodes_succeeds(shared_cluster: Cluster) -> None:
    clients = [shared_cluster.client(index) for index in range(3)]
    base = clients[0].create_service(shared_service("raced")).revision

    def change(client: OperatorClient) -> grpc.StatusCode | None:
        try:
            client.update_service(shared_service("raced"), base)
        except OperatorCallFailed as error:
            return error.code
        return None

    with ThreadPoolExecutor(3) as pool:
        codes = list(pool.map(change, clients))
    assert Counter(codes) == {grpc.StatusCode.ABORTED: 2, None: 1}
    wait_until(
        lambda: len({client.get_service("raced").revision for client in clients}) == 1,
        "one revision is in force everywhere",
    )
    clients[0].delete_service("raced", clients[0].get_service("raced").revision)
    for client in clients:
        client.close()


INVALID = [
    ("name", lambda client: client.create_service(shared_service("Not Good"))),
    ("sharing.ownership", lambda client: client.create_service(Service(name="x"))),
    (
        "address",
        lambda client: client.add_backend(
            Backend(backend_id="x", service="filing", address="localhost:1")
        ),
    ),
    ("header.request_id", lambda client: client.create_service(shared_service("x"), "r" * 200)),
]


@pytest.mark.parametrize(("field", "call"), INVALID, ids=[item[0] for item in INVALID])
def test_error_names_the_invalid_field(shared_cluster: Cluster, field: str, call: object) -> None:
    client = shared_cluster.client()
    with pytest.raises(OperatorCallFailed) as caught:
        call(client)  # type: ignore[operator]
    assert status_code(caught) is grpc.StatusCode.INVALID_ARGUMENT
    assert caught.value.detail.field == field
    client.close()


def raw_call(cluster: Cluster, content: bytes) -> grpc.StatusCode:
    with grpc.insecure_channel(cluster.addresses[0].operator) as channel:
        method: Callable[..., bytes] = channel.unary_unary(f"{METHODS}CreateService")
        with pytest.raises(grpc.RpcError) as caught:
            method(content, timeout=10)
    error: grpc.Call = caught.value  # type: ignore[assignment]
    return error.code()


def test_an_unreadable_message_is_refused(shared_cluster: Cluster) -> None:
    assert raw_call(shared_cluster, b"\xff\xff\xff") is grpc.StatusCode.INVALID_ARGUMENT


def test_an_oversized_message_is_refused(shared_cluster: Cluster) -> None:
    large = api.CreateServiceRequest(service=Service(name="x" * (5 << 20))).SerializeToString()
    assert raw_call(shared_cluster, large) is grpc.StatusCode.RESOURCE_EXHAUSTED


def test_unknown_fields_are_ignored(shared_cluster: Cluster) -> None:
    unknown = b"\xf8\x3f\x01"
    with grpc.insecure_channel(shared_cluster.addresses[0].operator) as channel:
        method: Callable[..., bytes] = channel.unary_unary(f"{METHODS}GetStatus")
        reply = api.GetStatusReply.FromString(method(unknown, timeout=10))
    assert reply.config_revision > 0


def test_health_and_reflection_are_served(shared_cluster: Cluster) -> None:
    with grpc.insecure_channel(shared_cluster.addresses[0].operator) as channel:
        health = health_pb2_grpc.HealthStub(channel)
        request = health_pb2.HealthCheckRequest(service="limedeck.api.Operators")
        assert health.Check(request).status == health_pb2.HealthCheckResponse.SERVING
        services = ProtoReflectionDescriptorDatabase(channel).get_services()
    assert "limedeck.api.Operators" in services


def test_watch_sends_the_current_assignment_first(shared_cluster: Cluster) -> None:
    client = shared_cluster.client()
    first = next(client.watch_assignment("parcels"))
    assert {item.owner for item in first.boundaries} == {f"parcels-{n:02d}" for n in range(3)}
    client.close()


GOOD_COMMANDS = [
    ("status", "GROUP"),
    ("status --output json", '"config_revision"'),
    ("service list", "parcels"),
    ("service list -o json", '"revision"'),
    ("service get filing", "shared"),
    ("backend list", "filing-01"),
    ("backend list parcels -o json", '"parcels-00"'),
    ("config get", "revision"),
    ("config get -o json", '"objects"'),
    ("assignment get parcels", "SHARE"),
    ("assignment get parcels -o json", '"boundaries"'),
    ("locate parcels 17", "OWNER"),
    ("locate parcels 17 -o json", '"owner"'),
]


@pytest.mark.parametrize(("command", "text"), GOOD_COMMANDS)
def test_commands_succeed_and_print_output(
    shared_cluster: Cluster, command: str, text: str
) -> None:
    tester = limedeck(shared_cluster, command)
    assert tester.status_code == 0
    output = tester.io.fetch_output()
    assert text in output
    if "json" in command or "-o" in command:
        json.loads(output)


BAD_COMMANDS = [
    ("service get nothing", 3),
    ("locate nothing 1", 3),
    ("assignment get filing", 2),
    ("service create filing --ownership shared", 4),
    ("service create x --ownership odd", 2),
    ("service create x --ownership keyed --backend-slots many", 2),
    ("backend add b nothing 127.0.0.1:1", 3),
    ("backend add b filing nowhere", 2),
    ("backend drain nothing", 2),
    ("service list --output yaml", 2),
    ("config apply /does/not/exist.toml --yes", 2),
    ("service update filing --ownership shared --base-revision 1", 4),
]


@pytest.mark.parametrize(("command", "code"), BAD_COMMANDS)
def test_failing_commands_have_their_exit_codes(
    shared_cluster: Cluster, command: str, code: int
) -> None:
    tester = ApplicationTester(build_application())
    tester.execute(
        f"{command} --server {shared_cluster.addresses[0].operator}", supports_utf8=False
    )
    assert tester.status_code == code


def test_unreachable_node_has_its_own_exit_code() -> None:
    tester = ApplicationTester(build_application())
    tester.execute("status --server 127.0.0.1:1")
    assert tester.status_code == 5
