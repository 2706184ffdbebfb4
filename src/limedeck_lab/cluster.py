"""A whole system on loopback in separate processes: platform, back ends and nodes."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx

from limedeck.api.peer_pb2 import Backend
from limedeck.cli.client import OperatorCallFailed, OperatorClient
from limedeck_lab.cuttable_network import CuttableNetwork
from limedeck_lab.processes import (
    ConditionNotMet,
    ManagedProcess,
    ProcessGroup,
    answers,
    free_port_range,
    free_ports,
    wait_until,
)
from limedeck_lab.site import Site

HOST = "127.0.0.1"
NODE_NETWORK = "127.0.1"
READY_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class NodeAddresses:
    """Addresses of one node."""

    node_id: str
    zone: str
    peer: str
    peer_listen: str
    caller: str
    operator: str
    admin: str


class Cluster:
    """The processes of one deployment.

    Parameters
    ----------
    site
        The deployment to run.
    directory
        Directory for settings files and logs of the run.
    overrides
        TOML text that is appended to the settings of each node.
    """

    def __init__(self, site: Site, directory: Path, overrides: str = "") -> None:
        self.site = site
        self.directory = directory
        self.processes = ProcessGroup(directory)
        self.nodes: dict[str, ManagedProcess] = {}
        self.network = CuttableNetwork()
        self.addresses = self._plan_addresses()
        self.backends = self._plan_backends()
        self.platform_url = ""
        self._overrides = overrides

    def _plan_addresses(self) -> list[NodeAddresses]:
        names = [
            (zone, f"{zone}-{number}")
            for zone in self.site.zones
            for number in range(1, self.site.nodes_per_zone + 1)
        ]
        ports = iter(free_ports(5 * len(names)))
        # Each node has an IP address of its own, so that the network can tell who connects.
        return [
            NodeAddresses(
                node_id=node_id,
                zone=zone,
                peer=f"{HOST}:{next(ports)}",
                peer_listen=f"{NODE_NETWORK}.{index + 1}:{next(ports)}",
                caller=f"{HOST}:{next(ports)}",
                operator=f"{HOST}:{next(ports)}",
                admin=f"{HOST}:{next(ports)}",
            )
            for index, (zone, node_id) in enumerate(names)
        ]

    def _plan_backends(self) -> list[Backend]:
        count = sum(service.backends for service in self.site.services)
        self.first_backend_port = free_port_range(count)
        return self.site.backend_objects(HOST, self.first_backend_port)

    # ------------------------------------------------------------------ start

    def start_platform(self, calls_per_second: float = 0.0) -> ManagedProcess:
        """Start the platform stand-in and set its machine list."""
        address = f"{HOST}:{free_ports(1)[0]}"
        self.platform_url = f"http://{address}"
        process = self.processes.start(
            "platform",
            "limedeck_lab.application",
            ["platform", "--address", address, "--rate", str(calls_per_second)],
        )
        wait_until(lambda: answers(f"{self.platform_url}/machines/v1"), "the platform responds")
        self.set_machines([item.node_id for item in self.addresses])
        return process

    def set_machines(self, node_ids: Sequence[str]) -> None:
        """Set the platform's machine list."""
        machines = [
            {"machine_id": item.node_id, "address": item.peer, "zone": item.zone, "state": "live"}
            for item in self.addresses
            if item.node_id in node_ids
        ]
        url = f"{self.platform_url}/lab/v1/machines"
        httpx.put(
            url, json={"machines": machines}, trust_env=False, verify=False
        ).raise_for_status()

    def set_platform_faults(self, **faults: object) -> None:
        """Set the faults of the platform stand-in."""
        url = f"{self.platform_url}/lab/v1/faults"
        _put(url, faults)

    def start_backends(self, name: str = "backends") -> ManagedProcess:
        """Start all back ends in one process."""
        specifications = self.site.specifications(HOST, self.first_backend_port)
        file = self.directory / f"{name}.json"
        file.write_text(json.dumps([vars(item) for item in specifications]))
        process = self.processes.start(
            name, "limedeck_lab.application", ["backend", "--specifications", str(file)]
        )
        last = specifications[-1].address
        wait_until(lambda: answers(f"http://{last}/limedeck/v1/health"), "back ends respond")
        return process

    def start_node(self, addresses: NodeAddresses) -> ManagedProcess:
        """Start one node."""
        file = self.directory / f"{addresses.node_id}.toml"
        file.write_text(self._settings(addresses))
        process = self.processes.start(
            addresses.node_id, "limedeck.daemon.main", ["--settings", str(file)]
        )
        self.nodes[addresses.node_id] = process
        return process

    def start(self) -> None:
        """Start all processes and wait until each node responds."""
        self.start_platform()
        self.start_backends()
        self.network.start({item.peer: item.peer_listen for item in self.addresses})
        for addresses in self.addresses:
            self.start_node(addresses)
        for addresses in self.addresses:
            url = f"http://{addresses.admin}/healthz"
            node = self.nodes[addresses.node_id]
            try:
                wait_until(lambda url=url: answers(url), "nodes respond", READY_TIMEOUT_SECONDS)  # type: ignore[misc]
            except ConditionNotMet as error:
                raise ConditionNotMet(f"{error}: {node.describe()}") from error

    def _settings(self, addresses: NodeAddresses) -> str:
        seeds = json.dumps([item.peer for item in self.addresses])
        return f"""
[node]
id = "{addresses.node_id}"
zone = "{addresses.zone}"
peer_address = "{addresses.peer}"
peer_listen_address = "{addresses.peer_listen}"
caller_address = "{addresses.caller}"
operator_address = "{addresses.operator}"
admin_address = "{addresses.admin}"
seeds = {seeds}

[platform]
table_url = "{self.platform_url}"
object_store_url = "{self.platform_url}"
machine_list_url = "{self.platform_url}"

{self._overrides}
"""

    # ------------------------------------------------------------------ operation

    def client(self, index: int = 0) -> OperatorClient:
        """Connect to a node's operator service."""
        return OperatorClient(self.addresses[index].operator)

    def create_objects(self) -> int:
        """Create all services and back ends one by one; return the last revision."""
        client = self.client()
        for service in self.site.service_objects():
            revision = client.create_service(service).revision
        for backend in self.backends:
            revision = client.add_backend(backend).revision
        client.close()
        return revision

    def create_objects_at_once(self) -> int:
        """Create all services and back ends in one change; return its revision."""
        client = self.client()
        reply = client.apply_config(self.site.service_objects(), self.backends, 0)
        client.close()
        return reply.revision

    def serves_everywhere(self, revision: int) -> bool:
        """Whether every node has the revision and knows an owner for every key."""
        for index in range(len(self.addresses)):
            client = self.client(index)
            serves = self._serves(client, revision)
            client.close()
            if not serves:
                return False
        return True

    def wait_until_serving(self, revision: int) -> None:
        """Wait until every node has the revision and knows an owner for every key."""
        for index in range(len(self.addresses)):
            client = self.client(index)
            wait_until(
                lambda client=client: self._serves(client, revision),  # type: ignore[misc]
                f"node {self.addresses[index].node_id} serves revision {revision}",
                READY_TIMEOUT_SECONDS,
            )
            client.close()

    def _serves(self, client: OperatorClient, revision: int) -> bool:
        try:
            status = client.get_status()
        except OperatorCallFailed:
            return False
        keyed = sum(
            service.control_groups for service in self.site.services if service.ownership == "keyed"
        )
        owned = [
            group for group in status.groups if group.slices and not group.slices_without_owner
        ]
        return status.config_revision >= revision and len(owned) == keyed

    def stop_node(self, node_id: str) -> int:
        """Stop a node gracefully with SIGTERM; return its exit code."""
        process = self.nodes[node_id]
        process.signal(signal.SIGTERM)
        return process.wait()

    def executions(self) -> dict[str, int]:
        """Number of executions of each non-repeatable request, summed over all back ends."""
        totals: dict[str, int] = {}
        for backend in self.backends:
            url = f"http://{backend.address}/lab/v1/executions"
            for request_id, count in httpx.get(url, trust_env=False, verify=False).json().items():
                totals[request_id] = totals.get(request_id, 0) + count
        return totals

    def set_backend_faults(self, backend_id: str, **faults: object) -> None:
        """Set the faults of a back end."""
        address = next(item.address for item in self.backends if item.backend_id == backend_id)
        url = f"http://{address}/lab/v1/faults"
        _put(url, faults)

    def end(self) -> None:
        """End all processes and close the network."""
        self.processes.end_all()
        self.network.stop()

    def cut_off(self, node_id: str) -> None:
        """Cut all connections between a node and the others."""
        (addresses,) = [item for item in self.addresses if item.node_id == node_id]
        self.network.cut(addresses.peer, addresses.peer_listen.rpartition(":")[0])


def _put(url: str, content: dict[str, object] | dict[str, list[dict[str, str]]]) -> None:
    httpx.put(url, json=content, trust_env=False, verify=False).raise_for_status()


@contextmanager
def running_cluster(site: Site, overrides: str = "") -> Iterator[Cluster]:
    """Run a whole system until the context ends."""
    with TemporaryDirectory(prefix="limedeck-") as directory:
        cluster = Cluster(site, Path(directory), overrides)
        try:
            cluster.start()
            yield cluster
        finally:
            cluster.end()
