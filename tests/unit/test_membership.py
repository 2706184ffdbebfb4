"""Membership and dissemination among simulated nodes with immediate message delivery."""

from limedeck.api.peer_pb2 import (
    MEMBER_STATUS_ALIVE,
    MEMBER_STATUS_DEAD,
    MEMBER_STATUS_LEAVING,
    ConfigUpdate,
    PeerMessage,
    RouteUpdate,
)
from limedeck.config.replica import ConfigReplica
from limedeck.control.dissemination import Deliver, DisseminationCore, zone_relays
from limedeck.control.membership import MembershipCommand, MembershipCore, SendPing
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.identity import GroupId, Incarnation, NodeId, Voter
from limedeck.keyspace.slices import change_of
from limedeck.routing.route_table import RouteTable

TIMING = ControlTiming()
LIMITS = ControlLimits()


def node(name: str, incarnation: int = 1, zone: str = "z0") -> Voter:
    return Voter(NodeId(name), Incarnation(incarnation), f"{name}:1", zone)


class MembershipCluster:
    """Membership cores whose messages are delivered at once."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.unreachable: set[str] = set()
        names = [f"n{index}" for index in range(count)]
        self.cores = {f"{name}:1": self._core(node(name)) for name in names}

    def _core(self, identity: Voter) -> MembershipCore:
        return MembershipCore(identity, ["n0:1", "n1:1"], TIMING, LIMITS, self.now)

    def restart(self, name: str, incarnation: int) -> None:
        self.cores[f"{name}:1"] = self._core(node(name, incarnation))

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):
            self.now += 0.1
            for address, core in self.cores.items():
                if address not in self.unreachable:
                    self._execute(core, core.handle_tick(self.now))

    def _execute(self, sender: MembershipCore, commands: list[MembershipCommand]) -> None:
        for command in commands:
            target = self.cores.get(command.address)
            if target is None or command.address in self.unreachable:
                continue
            if isinstance(command, SendPing):
                self._execute(target, target.handle_ping(sender.identity, command.ping, self.now))
            else:
                target.handle_ack(sender.identity, command.ack, self.now)

    def status(self, observer: str, name: str) -> int:
        return self.cores[f"{observer}:1"].members[NodeId(name)].status


def test_all_nodes_discover_each_other() -> None:
    members = MembershipCluster(6)
    members.run(10)
    assert all(len(core.live_nodes()) == 6 for core in members.cores.values())


def test_an_unresponsive_node_is_declared_dead_on_every_node() -> None:
    members = MembershipCluster(5)
    members.run(10)
    members.unreachable = {"n4:1"}
    members.run(20)
    assert all(members.status(f"n{index}", "n4") == MEMBER_STATUS_DEAD for index in range(4))


def test_a_node_declared_dead_refutes_it_once_it_is_reachable_again() -> None:
    members = MembershipCluster(4)
    members.run(10)
    members.unreachable = {"n3:1"}
    members.run(20)
    members.unreachable = set()
    members.run(30)
    assert all(members.status(f"n{index}", "n3") == MEMBER_STATUS_ALIVE for index in range(4))


def test_a_restarted_node_replaces_its_earlier_incarnation() -> None:
    members = MembershipCluster(4)
    members.run(10)
    members.restart("n2", 2)
    members.run(10)
    known = {core.runs()[NodeId("n2")].incarnation for core in members.cores.values()}
    assert known == {2}


def test_a_leaving_node_is_reported_as_leaving() -> None:
    members = MembershipCluster(4)
    members.run(10)
    leaving = members.cores["n1:1"]
    members._execute(leaving, leaving.leave(members.now))
    assert members.status("n0", "n1") == MEMBER_STATUS_LEAVING
    assert leaving.identity not in members.cores["n0:1"].live_nodes()


GROUP = GroupId("group")


class DisseminationCluster:
    """Dissemination cores; messages are delivered at once, or lost if a node is unreachable."""

    def __init__(self, zones: int, per_zone: int) -> None:
        self.now = 0.0
        self.unreachable_ids: set[str] = set()
        self.messages = 0
        nodes = tuple(
            node(f"z{zone}-{number}", zone=f"z{zone}")
            for zone in range(zones)
            for number in range(per_zone)
        )
        self.nodes = nodes
        self.cores = {item: self._core(item) for item in nodes}

    def _core(self, identity: Voter) -> DisseminationCore:
        core = DisseminationCore(identity, TIMING, LIMITS, RouteTable(), ConfigReplica(), self.now)
        core.set_nodes(self.nodes, self.nodes)
        return core

    def deliver(self, sender: Voter, deliveries: list[Deliver]) -> None:
        for delivery in deliveries:
            self.messages += 1
            if (
                delivery.target.node_id in self.unreachable_ids
                or sender.node_id in self.unreachable_ids
            ):
                continue
            target = self.cores[delivery.target]
            self.deliver(delivery.target, self._handle(target, sender, delivery.message))

    def _handle(
        self, core: DisseminationCore, sender: Voter, message: PeerMessage
    ) -> list[Deliver]:
        if message.HasField("route_update"):
            return core.handle_route_update(sender, message.route_update)
        if message.HasField("config_update"):
            return core.handle_config_update(sender, message.config_update)
        return core.handle_digest(sender, message.sync_digest)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.5)):
            self.now += 0.5
            for identity, core in self.cores.items():
                self.deliver(identity, core.handle_tick(self.now))

    def publish(self, version: int, previous: int, owner: str) -> None:
        update = RouteUpdate(
            group=GROUP,
            version=version,
            previous_version=previous,
            change=change_of([(0, owner)]),
            leader=self.nodes[0].to_message(),
        )
        self.deliver(self.nodes[0], self.cores[self.nodes[0]].publish_routes(update))

    def versions(self) -> set[int]:
        return {core.routes.version(GROUP) for core in self.cores.values()}


def test_an_assignment_reaches_all_nodes_through_relays() -> None:
    cluster = DisseminationCluster(zones=6, per_zone=10)
    cluster.publish(1, 0, "a")
    assert cluster.versions() == {1}
    relays = 6 * LIMITS.relays_per_zone
    assert cluster.messages <= relays + relays * 10


def test_a_node_that_missed_a_delta_catches_up() -> None:
    cluster = DisseminationCluster(zones=2, per_zone=4)
    cluster.publish(1, 0, "a")
    cluster.unreachable_ids = {"z1-3"}
    cluster.publish(2, 1, "b")
    cluster.unreachable_ids = set()
    cluster.publish(3, 2, "c")
    cluster.run(4)
    assert cluster.versions() == {3}


def test_an_unreachable_zone_catches_up_once_it_is_reachable_again() -> None:
    cluster = DisseminationCluster(zones=3, per_zone=4)
    cluster.unreachable_ids = {item.node_id for item in cluster.nodes if item.zone == "z2"}
    cluster.publish(1, 0, "a")
    cluster.deliver(
        cluster.nodes[0],
        cluster.cores[cluster.nodes[0]].publish_config(ConfigUpdate(revision=5)),
    )
    assert cluster.versions() == {0, 1}
    cluster.unreachable_ids = set()
    cluster.run(10)
    assert cluster.versions() == {1}
    assert {core.config.revision for core in cluster.cores.values()} == {5}


def test_a_leaving_node_alone_in_its_zone_still_gets_updates() -> None:
    cluster = DisseminationCluster(zones=3, per_zone=1)
    leaving = cluster.nodes[2]
    staying = cluster.nodes[:2]
    for core in cluster.cores.values():
        core.set_nodes(staying, cluster.nodes)
    cluster.publish(1, 0, "a")
    assert cluster.cores[leaving].routes.version(GROUP) == 1
    cluster.unreachable_ids = {leaving.node_id}
    cluster.publish(2, 1, "b")
    cluster.unreachable_ids = set()
    cluster.run(3)
    assert cluster.cores[leaving].routes.version(GROUP) == 2


def test_a_lower_version_is_never_applied() -> None:
    cluster = DisseminationCluster(zones=1, per_zone=2)
    cluster.publish(5, 0, "new")
    late = RouteUpdate(group=GROUP, version=4, change=change_of([(0, "old")]))
    core = cluster.cores[cluster.nodes[1]]
    core.handle_route_update(cluster.nodes[0], late)
    found = core.routes.locate(GROUP, 7)
    assert found is not None and found.slice.owner == "new"


def test_relays_do_not_depend_on_the_order_of_nodes() -> None:
    nodes = [node(f"n{index}", zone="z0") for index in range(9)]
    expected = zone_relays(nodes, "z0", 2)
    assert zone_relays(nodes[::-1], "z0", 2) == expected
