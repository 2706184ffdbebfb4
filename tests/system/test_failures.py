"""Kills, freezes, planned stops and platform outages under load, with separate processes."""

import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from threading import Event

import anyio
import grpc
import pytest

from limedeck.api.operators_pb2 import GroupStatus
from limedeck.api.peer_pb2 import OWNERSHIP_SHARED, Service, SharingRule
from limedeck.cli.client import OperatorCallFailed, OperatorClient
from limedeck_lab.cluster import Cluster
from limedeck_lab.load import LoadGenerator, LoadResult, PlannedRequest, plan_requests
from limedeck_lab.processes import wait_until

GROUP = "parcels"


def group_of(client: OperatorClient) -> GroupStatus:
    """Return the status of the keyed service's group at a node; empty while the node has none."""
    try:
        groups = client.get_status().groups
    except OperatorCallFailed:
        return GroupStatus()
    return next((item for item in groups if item.group == GROUP), GroupStatus())


def leader_of(client: OperatorClient) -> str:
    return group_of(client).leader_node


def voters_of(client: OperatorClient) -> list[str]:
    return list(group_of(client).voter_nodes)


def wait_for_three_voters(cluster: Cluster) -> None:
    """Wait until every node has committed the full voter set, so that one may fail."""
    names = sorted(item.node_id for item in cluster.addresses)
    for index in range(len(names)):
        client = cluster.client(index)
        wait_until(lambda client=client: voters_of(client) == names, "three voters")  # type: ignore[misc]
        client.close()


def index_of(cluster: Cluster, node_id: str) -> int:
    return next(n for n, item in enumerate(cluster.addresses) if item.node_id == node_id)


@contextmanager
def steady_load(cluster: Cluster, callers: list[str]) -> Iterator[LoadResult]:
    """Send requests until the block ends; the result is complete after that."""
    ended = Event()
    generator = LoadGenerator(callers, concurrency=4)

    def requests() -> Iterator[PlannedRequest]:
        for request in plan_requests(cluster.site, 50_000, seed=7):
            if ended.is_set():
                return
            yield request

    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(anyio.run, generator.run, requests(), 60.0)
        try:
            yield generator.result
        finally:
            ended.set()
            running.result()
    generator.result.compare_with_executions(cluster.executions())


def assert_no_violations(result: LoadResult) -> None:
    assert (result.wrong, result.duplicated, result.not_run_but_ran) == (0, 0, 0)
    assert result.sent == result.whole + result.not_run + result.unknown
    assert result.whole > 0


def fail_node(cluster: Cluster, node_id: str, fault: str) -> None:
    """Kill, freeze or cut off a node."""
    if fault == "cut":
        cluster.cut_off(node_id)
    else:
        number = signal.SIGKILL if fault == "kill" else signal.SIGSTOP
        cluster.nodes[node_id].signal(number)


def recover_node(cluster: Cluster, node_id: str, fault: str) -> None:
    """Resume a frozen node, or reconnect one that was cut off."""
    if fault == "cut":
        cluster.network.heal()
    else:
        cluster.nodes[node_id].signal(signal.SIGCONT)


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_the_group_goes_on_without_its_leader(own_cluster: Cluster, fault: str) -> None:
    wait_for_three_voters(own_cluster)
    old = leader_of(own_cluster.client())
    others = [item for item in own_cluster.addresses if item.node_id != old]
    observer = own_cluster.client(index_of(own_cluster, others[0].node_id))
    version = observer.get_assignment(GROUP).version
    with steady_load(own_cluster, [item.caller for item in others]) as result:
        fail_node(own_cluster, old, fault)
        wait_until(lambda: leader_of(observer) not in ("", old), "another node leads")
        sent = result.sent
        wait_until(lambda: result.sent >= sent + 120, "requests go on")
        if fault != "kill":
            recover_node(own_cluster, old, fault)
            returned = own_cluster.client(index_of(own_cluster, old))
            wait_until(lambda: leader_of(returned) not in ("", old), "it follows the new leader")
            returned.close()
            sent = result.sent
            wait_until(lambda: result.sent >= sent + 60, "requests go on")
    assert_no_violations(result)
    # No owner changed, so every key was served: every request has its complete response.
    assert result.whole == result.sent
    assert observer.get_assignment(GROUP).version > version
    observer.close()


def test_keys_of_a_frozen_back_end_get_another_owner(own_cluster: Cluster) -> None:
    frozen_backend = "parcels-01"
    client = own_cluster.client()
    callers = [item.caller for item in own_cluster.addresses]
    with steady_load(own_cluster, callers) as result:
        own_cluster.set_backend_faults(frozen_backend, frozen=True)
        wait_until(
            lambda: (
                frozen_backend not in {b.owner for b in client.get_assignment(GROUP).boundaries}
            ),
            "the slices of the frozen back end have other owners",
        )
        own_cluster.set_backend_faults(frozen_backend, frozen=False)
        wait_until(
            lambda: frozen_backend in {b.owner for b in client.get_assignment(GROUP).boundaries},
            "the resumed back end has slices again",
        )
    assert_no_violations(result)
    client.close()


def test_planned_stops_of_every_node_in_turn_cut_nothing(own_cluster: Cluster) -> None:
    callers = [item.caller for item in own_cluster.addresses]
    with steady_load(own_cluster, callers) as result:
        for addresses in own_cluster.addresses:
            assert own_cluster.stop_node(addresses.node_id) == 0
            own_cluster.start_node(addresses)
            index = index_of(own_cluster, addresses.node_id)
            client = own_cluster.client(index)
            wait_until(lambda client=client: leader_of(client) != "", "the node is back")  # type: ignore[misc]
            client.close()
            wait_for_three_voters(own_cluster)
    assert_no_violations(result)
    assert result.whole == result.sent, dict(result.reasons)


def test_requests_are_served_without_the_store(own_cluster: Cluster) -> None:
    client = own_cluster.client()
    callers = [item.caller for item in own_cluster.addresses]
    with steady_load(own_cluster, callers) as result:
        own_cluster.set_platform_faults(down=True)
        wait_until(lambda: not client.get_status().store_reachable, "the node reports the outage")
        service = Service(name="late", sharing=SharingRule(ownership=OWNERSHIP_SHARED))
        with pytest.raises(OperatorCallFailed) as failure:
            client.create_service(service)
        assert failure.value.code is grpc.StatusCode.UNAVAILABLE
        assert failure.value.detail.retry_after_seconds > 0
        sent = result.sent
        wait_until(lambda: result.sent >= sent + 120, "requests go on")
        own_cluster.set_platform_faults(down=False)
        wait_until(lambda: client.get_status().store_reachable, "the store is back")
        client.create_service(service)
    assert_no_violations(result)
    assert result.whole == result.sent
    client.close()


def test_group_recovers_from_the_table_after_a_lost_majority(own_cluster: Cluster) -> None:
    wait_for_three_voters(own_cluster)
    client = own_cluster.client()
    before = {b.start: b.owner for b in client.get_assignment(GROUP).boundaries}
    client.close()
    for addresses in own_cluster.addresses:
        own_cluster.nodes[addresses.node_id].signal(signal.SIGKILL)
    for addresses in own_cluster.addresses:
        own_cluster.start_node(addresses)
    for index in range(len(own_cluster.addresses)):
        node = own_cluster.client(index)
        wait_until(lambda node=node: leader_of(node) != "", "the group has a leader again")  # type: ignore[misc]
        after = {b.start: b.owner for b in node.get_assignment(GROUP).boundaries}
        assert after == before
        node.close()
