"""What the owners' core tells its host: commands, and changes for logs and measures."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.api.control_pb2 import AssignmentRecord
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.ranges import OwnerChangeCause


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Command: send a grant; the answer comes back with the same order."""

    order: Grant


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Command: send a release; the answer comes back with the same order."""

    order: Release


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Command: write the owners if the row still has this version and the term still stands."""

    record: AssignmentRecord
    row_version: int


OwnershipCommand = SendGrant | SendRelease | WriteRecord


@dataclass(frozen=True, slots=True)
class OwnerChange:
    """A range has a new owner, for logs and measures."""

    first: int
    last: int
    former: str
    owner: str
    cause: OwnerChangeCause
