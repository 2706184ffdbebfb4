"""Outputs of `ServiceOwnership`: commands to carry out, and owner changes for logs and metrics."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.api.control_pb2 import AssignmentRecord
from limedeck.ownership.orders import Grant, Release
from limedeck.ownership.ranges import OwnerChangeCause
from limedeck.versions import StoreVersion


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Command: send a grant; its response is handed back with the same order."""

    order: Grant


@dataclass(frozen=True, slots=True)
class SendRelease:
    """Command: send a release; its response is handed back with the same order."""

    order: Release


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Command: write the owners, if the row has this version and the term is still current."""

    record: AssignmentRecord
    row_version: StoreVersion


OwnershipCommand = SendGrant | SendRelease | WriteRecord


@dataclass(frozen=True, slots=True)
class OwnerChange:
    """Change of a range's owner, for logs and metrics."""

    first: int
    last: int
    former: str
    owner: str
    cause: OwnerChangeCause
