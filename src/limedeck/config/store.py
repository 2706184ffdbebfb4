"""The configuration in the platform's table: accepted once, settled when an answer is lost.

Rows: ``config/head`` holds the configuration's revision; ``config/object/...`` one object each;
``config/change/R`` what revision R changed; ``config/request/ID`` the revision that a request id
became, or that it is void. Every change writes all of these in one transaction that is
conditional on the head's row and on the request's row being absent.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from limedeck.api.operators_pb2 import ChangeReply
from limedeck.api.peer_pb2 import ConfigObject, ConfigUpdate
from limedeck.config.objects import ObjectKey, object_key
from limedeck.errors import (
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
    InvalidObject,
    PlatformError,
    PlatformRateLimited,
    PlatformUnavailable,
    TransactionConflict,
)
from limedeck.store.table import ABSENT, Condition, Row, TransactionalTable, Write

HEAD_KEY = "config/head"
OBJECT_PREFIX = "config/object/"
CHANGE_PREFIX = "config/change/"
REQUEST_PREFIX = "config/request/"
LONGEST_DELTA = 64
"""A reader further behind than this many revisions reads the whole configuration."""
DELTAS_KEPT = 4 * LONGEST_DELTA
ATTEMPTS = 8
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE = 0.2
RETRY_AFTER = 2.0
LONGEST_REQUEST_ID = 128
VOID = b"void"
"""Value of a request row that rules out that the request is ever accepted."""


@dataclass(frozen=True)
class ConfigState:
    """The whole configuration as the table holds it."""

    revision: int
    objects: dict[ObjectKey, ConfigObject]


@dataclass(frozen=True)
class AcceptedChange:
    """A change that is committed.

    Parameters
    ----------
    update
        What it changed; None when an earlier call had it accepted.
    """

    reply: ChangeReply
    update: ConfigUpdate | None


Planner = Callable[[ConfigState], Sequence[ConfigObject]]
"""Given the configuration, returns the objects to write or raises a `ConfigError`."""


class ConfigStore:
    """Reads and changes the configuration in the table."""

    def __init__(self, table: TransactionalTable) -> None:
        self._table = table

    async def poll(self, known_revision: int) -> ConfigUpdate | None:
        """Read what is newer than a revision, or None when nothing is."""
        rows = await self._table.read([HEAD_KEY])
        head = _head_revision(rows.get(HEAD_KEY))
        if head <= known_revision:
            return None
        if known_revision > 0 and head - known_revision <= LONGEST_DELTA:
            return await self._read_delta(known_revision, head)
        state, _ = await self._read_state()
        return ConfigUpdate(revision=state.revision, objects=state.objects.values())

    async def change(self, request_id: str, plan: Planner) -> AcceptedChange:
        """Have a change accepted exactly once.

        Parameters
        ----------
        request_id
            Identifies the change; calling again with the same id changes nothing more.
        plan
            Called with the present configuration, again after every lost race.

        Raises
        ------
        ConfigError
            What `plan` raises; `ChangeNotAccepted` when the store cannot be reached or asked in
            time; `ChangeOutcomeUnknown` when it cannot be settled whether the store took it.
        """
        if not 0 < len(request_id) <= LONGEST_REQUEST_ID:
            raise InvalidObject(
                "header.request_id", f"must be 1 to {LONGEST_REQUEST_ID} characters"
            )
        for _ in range(ATTEMPTS):
            try:
                accepted = await self._attempt(request_id, plan)
            except PlatformRateLimited as error:
                raise ChangeNotAccepted("the store is rate-limited", error.retry_after) from error
            except PlatformError as error:
                raise ChangeNotAccepted(str(error), RETRY_AFTER) from error
            if accepted is not None:
                return accepted
        raise ChangeNotAccepted("too many changes at the same time", RETRY_AFTER)

    async def _attempt(self, request_id: str, plan: Planner) -> AcceptedChange | None:
        earlier = await self._earlier_reply(request_id)
        if earlier is not None:
            return AcceptedChange(earlier, None)
        state, head_row = await self._read_state()
        objects = list(plan(state))
        if not objects:
            return AcceptedChange(ChangeReply(revision=state.revision), None)
        update = _number_change(state, objects)
        conditions, writes = _transaction(request_id, head_row, update)
        try:
            await self._table.transact(conditions, writes)
        except TransactionConflict:
            return None
        except PlatformUnavailable:
            return await self._settle(request_id, update)
        return AcceptedChange(ChangeReply(revision=update.revision), update)

    async def _settle(self, request_id: str, update: ConfigUpdate) -> AcceptedChange | None:
        """Find out whether a transaction without an answer took effect, and rule it out if not."""
        key = REQUEST_PREFIX + request_id
        for _ in range(SETTLE_ATTEMPTS):
            try:
                await self._table.transact([Condition(key, ABSENT)], [Write(key, VOID)])
            except TransactionConflict:
                return await self._settled_by_row(request_id, update)
            except PlatformError:
                await anyio.sleep(SETTLE_PAUSE)
                continue
            raise ChangeNotAccepted("the store did not answer in time", RETRY_AFTER)
        raise ChangeOutcomeUnknown(request_id)

    async def _settled_by_row(self, request_id: str, update: ConfigUpdate) -> AcceptedChange | None:
        try:
            reply = await self._earlier_reply(request_id)
        except PlatformError as error:
            raise ChangeOutcomeUnknown(request_id) from error
        if reply is None or reply.revision != update.revision:
            return None if reply is None else AcceptedChange(reply, None)
        return AcceptedChange(ChangeReply(revision=update.revision), update)

    async def _earlier_reply(self, request_id: str) -> ChangeReply | None:
        key = REQUEST_PREFIX + request_id
        row = (await self._table.read([key])).get(key)
        if row is None:
            return None
        if row.value == VOID:
            raise ChangeNotAccepted("an earlier call with this request id failed", 0.0)
        return ChangeReply(revision=int(row.value), replayed=True)

    async def _read_state(self) -> tuple[ConfigState, Row | None]:
        rows = await self._table.read_prefix(OBJECT_PREFIX, [HEAD_KEY])
        by_key = {row.key: row for row in rows}
        items = [
            ConfigObject.FromString(row.value) for row in rows if row.key.startswith(OBJECT_PREFIX)
        ]
        head_row = by_key.get(HEAD_KEY)
        objects = {object_key(item): item for item in items}
        return ConfigState(_head_revision(head_row), objects), head_row

    async def _read_delta(self, known_revision: int, head: int) -> ConfigUpdate:
        keys = [_change_key(revision) for revision in range(known_revision + 1, head + 1)]
        rows = await self._table.read(keys)
        merged: dict[ObjectKey, ConfigObject] = {}
        for key in keys:
            for item in ConfigUpdate.FromString(rows[key].value).objects:
                merged[object_key(item)] = item
        return ConfigUpdate(
            revision=head, previous_revision=known_revision, objects=merged.values()
        )


def _number_change(state: ConfigState, objects: Sequence[ConfigObject]) -> ConfigUpdate:
    revision = state.revision + 1
    for item in objects:
        item.revision = revision
    return ConfigUpdate(revision=revision, previous_revision=state.revision, objects=objects)


def _transaction(
    request_id: str, head_row: Row | None, update: ConfigUpdate
) -> tuple[list[Condition], list[Write]]:
    request_key = REQUEST_PREFIX + request_id
    conditions = [
        Condition(HEAD_KEY, head_row.revision if head_row else ABSENT),
        Condition(request_key, ABSENT),
    ]
    number = str(update.revision).encode()
    writes = [
        Write(HEAD_KEY, number),
        Write(request_key, number),
        Write(_change_key(update.revision), update.SerializeToString()),
        Write(_change_key(update.revision - DELTAS_KEPT), None),
    ]
    for item in update.objects:
        value = None if item.deleted else item.SerializeToString()
        writes.append(Write(f"{OBJECT_PREFIX}{object_key(item)}", value))
    return conditions, writes


def _change_key(revision: int) -> str:
    return f"{CHANGE_PREFIX}{max(revision, 0):012d}"


def _head_revision(row: Row | None) -> int:
    return int(row.value) if row else 0
