"""Every group's assignment, as a router knows it."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from limedeck.api.peer_pb2 import GroupVersion, RouteUpdate
from limedeck.config.replica import UpdateOutcome
from limedeck.errors import InvariantViolation
from limedeck.identity import GroupId, Voter
from limedeck.keyspace.slices import Slice, SliceMap, slice_map_from


@dataclass
class GroupRoutes:
    """One group's assignment at one version, and the leader that published it."""

    version: int = 0
    slices: SliceMap = field(default_factory=SliceMap)
    leader: Voter | None = None


@dataclass(frozen=True)
class Route:
    """Where a position of the key line belongs.

    Parameters
    ----------
    version
        Version of the assignment that says so.
    """

    group: GroupId
    version: int
    slice: Slice


class RouteTable:
    """Assignments of all groups, each of which only ever moves forward."""

    def __init__(self) -> None:
        self.groups: dict[GroupId, GroupRoutes] = {}
        self.change_count = 0
        """Raised with every change."""

    def apply(self, update: RouteUpdate) -> UpdateOutcome:
        """Take in a group's assignment unless it is older than what is held."""
        group = GroupId(update.group)
        held = self.groups.get(group) or GroupRoutes()
        if update.version <= held.version:
            return UpdateOutcome.STALE
        if update.previous_version not in (0, held.version):
            return UpdateOutcome.GAP
        if update.previous_version == 0:
            held.slices = slice_map_from(update.change)
        else:
            held.slices.apply(update.change)
        held.version = update.version
        held.leader = Voter.from_message(update.leader)
        self.groups[group] = held
        self.change_count += 1
        return UpdateOutcome.APPLIED

    def locate(self, group: GroupId, position: int) -> Route | None:
        """Find the slice that holds a position; None when the group is not known yet."""
        held = self.groups.get(group)
        if held is None or len(held.slices) == 0:
            return None
        found = held.slices.locate(position)
        if not found.start <= position < found.end:
            raise InvariantViolation("located-slice-holds-key", f"{position:#x} in {found}")
        return Route(group, held.version, found)

    def version(self, group: GroupId) -> int:
        """Version held of a group's assignment, zero for none."""
        held = self.groups.get(group)
        return held.version if held else 0

    def whole(self, group: GroupId) -> RouteUpdate:
        """Write a group's assignment as one update."""
        held = self.groups[group]
        update = RouteUpdate(group=group, version=held.version, change=held.slices.to_change())
        if held.leader is not None:
            update.leader.CopyFrom(held.leader.to_message())
        return update

    def versions(self) -> list[GroupVersion]:
        """Every group's version, in the order of their names."""
        return [
            GroupVersion(group=group, version=held.version)
            for group, held in sorted(self.groups.items())
        ]

    def checksum(self) -> int:
        """Hash over all versions: equal for equal tables."""
        digest = xxhash.xxh3_64()
        for item in self.versions():
            digest.update(f"{item.group}={item.version};".encode())
        return digest.intdigest()

    def remove(self, group: GroupId) -> None:
        """Forget a group whose service is gone."""
        self.groups.pop(group, None)
        self.change_count += 1
