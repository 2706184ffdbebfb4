"""Membership and dissemination among simulated nodes, without faults of the cores' own making."""

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


class Members:
    """Membership cores whose messages arrive at once."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.down: set[str] = set()
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
                if address not in self.down:
                    self._carry_out(core, core.handle_tick(self.now))

    def _carry_out(self, sender: MembershipCore, commands: list[MembershipCommand]) -> None:
        for command in commands:
            target = self.cores.get(command.address)
            if target is None or command.address in self.down:
                continue
            if isinstance(command, SendPing):
                self._carry_out(target, target.handle_ping(sender.identity, command.ping, self.now))
            else:
                target.handle_ack(sender.identity, command.ack, self.now)

    def status(self, observer: str, name: str) -> int:
        return self.cores[f"{observer}:1"].members[NodeId(name)].status


def test_all_nodes_find_each_other() -> None:
    members = Members(6)
    members.run(10)
    assert all(len(core.live_nodes()) == 6 for core in members.cores.values())


def test_a_silent_node_is_taken_for_dead_everywhere() -> None:
    members = Members(5)
    members.run(10)
    members.down = {"n4:1"}
    members.run(20)
    assert all(members.status(f"n{index}", "n4") == MEMBER_STATUS_DEAD for index in range(4))


def test_a_node_taken_for_dead_refutes_it_when_it_is_reached_again() -> None:
    members = Members(4)
    members.run(10)
    members.down = {"n3:1"}
    members.run(20)
    members.down = set()
    members.run(30)
    assert all(members.status(f"n{index}", "n3") == MEMBER_STATUS_ALIVE for index in range(4))


def test_a_restarted_node_replaces_its_earlier_run() -> None:
    members = Members(4)
    members.run(10)
    members.restart("n2", 2)
    members.run(10)
    known = {core.runs()[NodeId("n2")].incarnation for core in members.cores.values()}
    assert known == {2}


def test_a_leaving_node_is_known_to_leave() -> None:
    members = Members(4)
    members.run(10)
    leaving = members.cores["n1:1"]
    members._carry_out(leaving, leaving.leave(members.now))
    assert members.status("n0", "n1") == MEMBER_STATUS_LEAVING
    assert leaving.identity not in members.cores["n0:1"].live_nodes()


GROUP = GroupId("group")


class Spread:
    """Dissemination cores whose messages arrive at once, or are lost."""

    def __init__(self, zones: int, per_zone: int) -> None:
        self.now = 0.0
        self.lost: set[str] = set()
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

    def carry(self, sender: Voter, deliveries: list[Deliver]) -> None:
        for delivery in deliveries:
            self.messages += 1
            if delivery.target.node_id in self.lost or sender.node_id in self.lost:
                continue
            target = self.cores[delivery.target]
            self.carry(delivery.target, self._handle(target, sender, delivery.message))

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
                self.carry(identity, core.handle_tick(self.now))

    def publish(self, version: int, previous: int, owner: str) -> None:
        update = RouteUpdate(
            group=GROUP,
            version=version,
            previous_version=previous,
            change=change_of([(0, owner)]),
            leader=self.nodes[0].to_message(),
        )
        self.carry(self.nodes[0], self.cores[self.nodes[0]].publish_routes(update))

    def versions(self) -> set[int]:
        return {core.routes.version(GROUP) for core in self.cores.values()}


def test_an_assignment_reaches_all_nodes_through_relays() -> None:
    spread = Spread(zones=6, per_zone=10)
    spread.publish(1, 0, "a")
    assert spread.versions() == {1}
    relays = 6 * LIMITS.relays_per_zone
    assert spread.messages <= relays + relays * 10


def test_a_node_that_missed_a_delta_is_repaired_with_the_whole() -> None:
    spread = Spread(zones=2, per_zone=4)
    spread.publish(1, 0, "a")
    spread.lost = {"z1-3"}
    spread.publish(2, 1, "b")
    spread.lost = set()
    spread.publish(3, 2, "c")
    spread.run(4)
    assert spread.versions() == {3}


def test_a_cut_off_zone_catches_up_when_it_is_reached_again() -> None:
    spread = Spread(zones=3, per_zone=4)
    spread.lost = {item.node_id for item in spread.nodes if item.zone == "z2"}
    spread.publish(1, 0, "a")
    spread.carry(
        spread.nodes[0],
        spread.cores[spread.nodes[0]].publish_config(ConfigUpdate(revision=5)),
    )
    assert spread.versions() == {0, 1}
    spread.lost = set()
    spread.run(10)
    assert spread.versions() == {1}
    assert {core.config.revision for core in spread.cores.values()} == {5}


def test_a_leaving_node_alone_in_its_zone_still_gets_updates() -> None:
    spread = Spread(zones=3, per_zone=1)
    leaving = spread.nodes[2]
    staying = spread.nodes[:2]
    for core in spread.cores.values():
        core.set_nodes(staying, spread.nodes)
    spread.publish(1, 0, "a")
    assert spread.cores[leaving].routes.version(GROUP) == 1
    spread.lost = {leaving.node_id}
    spread.publish(2, 1, "b")
    spread.lost = set()
    spread.run(3)
    assert spread.cores[leaving].routes.version(GROUP) == 2


def test_a_lower_version_is_never_taken_up() -> None:
    spread = Spread(zones=1, per_zone=2)
    spread.publish(5, 0, "new")
    late = RouteUpdate(group=GROUP, version=4, change=change_of([(0, "old")]))
    core = spread.cores[spread.nodes[1]]
    core.handle_route_update(spread.nodes[0], late)
    found = core.routes.locate(GROUP, 7)
    assert found is not None and found.slice.owner == "new"


def test_every_node_names_the_same_relays() -> None:
    nodes = [node(f"n{index}", zone="z0") for index in range(9)]
    wanted = zone_relays(nodes, "z0", 2)
    assert zone_relays(nodes[::-1], "z0", 2) == wanted
