"""Kills, freezes, planned stops and platform outages of real processes, under load."""

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
    """The keyed service's group in a node's eyes; empty while it does not know it."""
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
    """Wait until every node has committed the full voter set, so that one may be lost."""
    names = sorted(item.node_id for item in cluster.addresses)
    for index in range(len(names)):
        client = cluster.client(index)
        wait_until(lambda client=client: voters_of(client) == names, "three voters")  # type: ignore[misc]
        client.close()


def index_of(cluster: Cluster, node_id: str) -> int:
    return next(n for n, item in enumerate(cluster.addresses) if item.node_id == node_id)


@contextmanager
def steady_load(cluster: Cluster, callers: list[str]) -> Iterator[LoadResult]:
    """Send requests until the context ends; the result is complete after it."""
    done = Event()
    generator = LoadGenerator(callers, concurrency=4)

    def requests() -> Iterator[PlannedRequest]:
        for request in plan_requests(cluster.site, 50_000, seed=7):
            if done.is_set():
                return
            yield request

    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(anyio.run, generator.run, requests(), 60.0)
        try:
            yield generator.result
        finally:
            done.set()
            running.result()
    generator.result.compare_with_executions(cluster.executions())


def assert_faultless(result: LoadResult) -> None:
    assert (result.wrong, result.duplicated, result.not_run_but_ran) == (0, 0, 0)
    assert result.sent == result.whole + result.not_run + result.unknown
    assert result.whole > 0


def strike(cluster: Cluster, node_id: str, how: str) -> None:
    """Take a node away from the others."""
    if how == "cut":
        cluster.cut_off(node_id)
    else:
        number = signal.SIGKILL if how == "kill" else signal.SIGSTOP
        cluster.nodes[node_id].signal(number)


def bring_back(cluster: Cluster, node_id: str, how: str) -> None:
    """Have a frozen or cut-off node go on as if nothing had happened."""
    if how == "cut":
        cluster.network.heal()
    else:
        cluster.nodes[node_id].signal(signal.SIGCONT)


@pytest.mark.parametrize("how", ["kill", "freeze", "cut"])
def test_the_group_goes_on_without_its_leader(own_cluster: Cluster, how: str) -> None:
    wait_for_three_voters(own_cluster)
    old = leader_of(own_cluster.client())
    others = [item for item in own_cluster.addresses if item.node_id != old]
    observer = own_cluster.client(index_of(own_cluster, others[0].node_id))
    version = observer.get_assignment(GROUP).version
    with steady_load(own_cluster, [item.caller for item in others]) as result:
        strike(own_cluster, old, how)
        wait_until(lambda: leader_of(observer) not in ("", old), "another node leads")
        sent = result.sent
        wait_until(lambda: result.sent >= sent + 120, "requests go on")
        if how != "kill":
            bring_back(own_cluster, old, how)
            back = own_cluster.client(index_of(own_cluster, old))
            wait_until(lambda: leader_of(back) not in ("", old), "it follows the new leader")
            back.close()
            sent = result.sent
            wait_until(lambda: result.sent >= sent + 60, "requests go on")
    assert_faultless(result)
    # No owner changed, so no key was unserved: every request has its whole answer.
    assert result.whole == result.sent
    assert observer.get_assignment(GROUP).version > version
    observer.close()


def test_a_lost_back_ends_keys_get_another_owner(own_cluster: Cluster) -> None:
    lost = "parcels-01"
    client = own_cluster.client()
    callers = [item.caller for item in own_cluster.addresses]
    with steady_load(own_cluster, callers) as result:
        own_cluster.set_backend_faults(lost, frozen=True)
        wait_until(
            lambda: lost not in {b.owner for b in client.get_assignment(GROUP).boundaries},
            "the frozen back end's slices have other owners",
        )
        own_cluster.set_backend_faults(lost, frozen=False)
        wait_until(
            lambda: lost in {b.owner for b in client.get_assignment(GROUP).boundaries},
            "the thawed back end has slices again",
        )
    assert_faultless(result)
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
    assert_faultless(result)
    assert result.whole == result.sent, dict(result.reasons)


def test_the_store_is_not_needed_to_serve(own_cluster: Cluster) -> None:
    client = own_cluster.client()
    callers = [item.caller for item in own_cluster.addresses]
    with steady_load(own_cluster, callers) as result:
        own_cluster.set_platform_faults(down=True)
        wait_until(lambda: not client.get_status().store_reachable, "the outage is noticed")
        service = Service(name="late", sharing=SharingRule(ownership=OWNERSHIP_SHARED))
        with pytest.raises(OperatorCallFailed) as caught:
            client.create_service(service)
        assert caught.value.code is grpc.StatusCode.UNAVAILABLE
        assert caught.value.detail.retry_after_seconds > 0
        sent = result.sent
        wait_until(lambda: result.sent >= sent + 120, "requests go on")
        own_cluster.set_platform_faults(down=False)
        wait_until(lambda: client.get_status().store_reachable, "the store is back")
        client.create_service(service)
    assert_faultless(result)
    assert result.whole == result.sent
    client.close()


def test_a_lost_majority_recovers_from_the_table(own_cluster: Cluster) -> None:
    wait_for_three_voters(own_cluster)
    client = own_cluster.client()
    before = {b.start: b.owner for b in client.get_assignment(GROUP).boundaries}
    client.close()
    for addresses in own_cluster.addresses:
        own_cluster.nodes[addresses.node_id].signal(signal.SIGKILL)
    for addresses in own_cluster.addresses:
        own_cluster.start_node(addresses)
    for index in range(len(own_cluster.addresses)):
        again = own_cluster.client(index)
        wait_until(lambda again=again: leader_of(again) != "", "the group leads again")  # type: ignore[misc]
        after = {b.start: b.owner for b in again.get_assignment(GROUP).boundaries}
        assert after == before
        again.close()
