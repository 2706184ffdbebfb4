"""A router's copy of the assignments of all groups."""

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
    """The slice that holds a position of the key space.

    Parameters
    ----------
    version
        Version of the group's assignment.
    """

    group: GroupId
    version: int
    slice: Slice


class RouteTable:
    """Assignments of all groups; the version of each only increases."""

    def __init__(self) -> None:
        self.groups: dict[GroupId, GroupRoutes] = {}
        self.change_count = 0
        """Incremented with every change of the table."""

    def apply(self, update: RouteUpdate) -> UpdateOutcome:
        """Apply an update of a group's assignment unless it is stale or leaves a gap."""
        group = GroupId(update.group)
        current = self.groups.get(group) or GroupRoutes()
        if update.version <= current.version:
            return UpdateOutcome.STALE
        if update.previous_version not in (0, current.version):
            return UpdateOutcome.GAP
        if update.previous_version == 0:
            current.slices = slice_map_from(update.change)
        else:
            current.slices.apply(update.change)
        current.version = update.version
        current.leader = Voter.from_message(update.leader)
        self.groups[group] = current
        self.change_count += 1
        return UpdateOutcome.APPLIED

    def locate(self, group: GroupId, position: int) -> Route | None:
        """Return the slice that holds a position; None if the group has no assignment yet."""
        current = self.groups.get(group)
        if current is None or len(current.slices) == 0:
            return None
        found = current.slices.locate(position)
        if not found.start <= position < found.end:
            raise InvariantViolation("located-slice-holds-key", f"{position:#x} in {found}")
        return Route(group, current.version, found)

    def version(self, group: GroupId) -> int:
        """Return the version of a group's assignment; zero if there is none."""
        current = self.groups.get(group)
        return current.version if current else 0

    def whole(self, group: GroupId) -> RouteUpdate:
        """Return a snapshot of a group's assignment as an update."""
        current = self.groups[group]
        update = RouteUpdate(
            group=group, version=current.version, change=current.slices.to_change()
        )
        if current.leader is not None:
            update.leader.CopyFrom(current.leader.to_message())
        return update

    def versions(self) -> list[GroupVersion]:
        """Return the versions of all groups, sorted by name."""
        return [
            GroupVersion(group=group, version=current.version)
            for group, current in sorted(self.groups.items())
        ]

    def checksum(self) -> int:
        """Return a hash of the versions of all groups, which is equal for equal tables."""
        digest = xxhash.xxh3_64()
        for item in self.versions():
            digest.update(f"{item.group}={item.version};".encode())
        return digest.intdigest()

    def remove(self, group: GroupId) -> None:
        """Drop the assignment of a group whose service was removed."""
        self.groups.pop(group, None)
        self.change_count += 1
