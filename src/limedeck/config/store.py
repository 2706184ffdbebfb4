"""The configuration in the platform's table, changed exactly once per request id.

Rows: ``config/head`` holds the configuration's revision; ``config/object/...`` one object each;
``config/change/R`` the objects that revision R changed; ``config/request/ID`` the revision that the
request with this id created, or a marker that the request is void. Each change writes all of these
in one transaction, on the conditions that the head's row is unchanged and the request's row absent.
If the response to the transaction is lost, the request's row tells whether it took effect.
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
MAX_DELTA_REVISIONS = 64
"""Readers that are more revisions behind read a snapshot instead of the changes."""
RETAINED_CHANGES = 4 * MAX_DELTA_REVISIONS
MAX_CHANGE_ATTEMPTS = 8
MAX_RESOLVE_ATTEMPTS = 5
RESOLVE_RETRY_DELAY_SECONDS = 0.2
RETRY_AFTER_SECONDS = 2.0
MAX_REQUEST_ID_LENGTH = 128
VOID = b"void"
"""Value of a request's row that prevents the request from ever being accepted."""


@dataclass(frozen=True)
class ConfigState:
    """A snapshot of the configuration in the table."""

    revision: int
    objects: dict[ObjectKey, ConfigObject]


@dataclass(frozen=True)
class AcceptedChange:
    """A change that was accepted.

    Parameters
    ----------
    update
        The changed objects; None if nothing had to change or a previous call was accepted.
    """

    reply: ChangeReply
    update: ConfigUpdate | None


Planner = Callable[[ConfigState], Sequence[ConfigObject]]
"""Returns the objects to write, given the current configuration, or raises a `ConfigError`."""


class ConfigStore:
    """Reads and changes the configuration in the table."""

    def __init__(self, table: TransactionalTable) -> None:
        self._table = table

    async def poll(self, known_revision: int) -> ConfigUpdate | None:
        """Return the changes since a revision, or a snapshot; None if there are none."""
        rows = await self._table.read([HEAD_KEY])
        head = _head_revision(rows.get(HEAD_KEY))
        if head <= known_revision:
            return None
        if known_revision > 0 and head - known_revision <= MAX_DELTA_REVISIONS:
            return await self._read_delta(known_revision, head)
        state, _ = await self._read_state()
        return ConfigUpdate(revision=state.revision, objects=state.objects.values())

    async def change(self, request_id: str, plan: Planner) -> AcceptedChange:
        """Apply a change exactly once.

        Parameters
        ----------
        request_id
            Identifies the change; once it is accepted, calls with the same id change nothing.
        plan
            Called with the current configuration, and again if a concurrent change came first.

        Raises
        ------
        ConfigError
            Whatever `plan` raises; `ChangeNotAccepted` if the store is unreachable, limits the
            rate of calls, or too many changes are concurrent; `ChangeOutcomeUnknown` if it cannot
            be determined whether the change took effect.
        """
        if not 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH:
            raise InvalidObject(
                "header.request_id", f"must have 1 to {MAX_REQUEST_ID_LENGTH} characters"
            )
        for _ in range(MAX_CHANGE_ATTEMPTS):
            try:
                accepted = await self._attempt(request_id, plan)
            except PlatformRateLimited as error:
                raise ChangeNotAccepted("the store is rate-limited", error.retry_after) from error
            except PlatformError as error:
                raise ChangeNotAccepted(str(error), RETRY_AFTER_SECONDS) from error
            if accepted is not None:
                return accepted
        raise ChangeNotAccepted("too many concurrent changes", RETRY_AFTER_SECONDS)

    async def _attempt(self, request_id: str, plan: Planner) -> AcceptedChange | None:
        previous = await self._previous_reply(request_id)
        if previous is not None:
            return AcceptedChange(previous, None)
        state, head_row = await self._read_state()
        objects = list(plan(state))
        if not objects:
            return AcceptedChange(ChangeReply(revision=state.revision), None)
        update = _assign_revision(state, objects)
        conditions, writes = _build_transaction(request_id, head_row, update)
        try:
            await self._table.transact(conditions, writes)
        except TransactionConflict:
            return None
        except PlatformUnavailable:
            return await self._resolve_outcome(request_id, update)
        return AcceptedChange(ChangeReply(revision=update.revision), update)

    async def _resolve_outcome(
        self, request_id: str, update: ConfigUpdate
    ) -> AcceptedChange | None:
        """Determine whether a transaction took effect; void the request if it did not."""
        key = REQUEST_PREFIX + request_id
        for _ in range(MAX_RESOLVE_ATTEMPTS):
            try:
                await self._table.transact([Condition(key, ABSENT)], [Write(key, VOID)])
            except TransactionConflict:
                return await self._outcome_by_request_row(request_id, update)
            except PlatformError:
                await anyio.sleep(RESOLVE_RETRY_DELAY_SECONDS)
                continue
            raise ChangeNotAccepted("the store did not respond in time", RETRY_AFTER_SECONDS)
        raise ChangeOutcomeUnknown(request_id)

    async def _outcome_by_request_row(
        self, request_id: str, update: ConfigUpdate
    ) -> AcceptedChange | None:
        try:
            reply = await self._previous_reply(request_id)
        except PlatformError as error:
            raise ChangeOutcomeUnknown(request_id) from error
        if reply is None or reply.revision != update.revision:
            return None if reply is None else AcceptedChange(reply, None)
        return AcceptedChange(ChangeReply(revision=update.revision), update)

    async def _previous_reply(self, request_id: str) -> ChangeReply | None:
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


def _assign_revision(state: ConfigState, objects: Sequence[ConfigObject]) -> ConfigUpdate:
    revision = state.revision + 1
    for item in objects:
        item.revision = revision
    return ConfigUpdate(revision=revision, previous_revision=state.revision, objects=objects)


def _build_transaction(
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
        Write(_change_key(update.revision - RETAINED_CHANGES), None),
    ]
    for item in update.objects:
        value = None if item.deleted else item.SerializeToString()
        writes.append(Write(f"{OBJECT_PREFIX}{object_key(item)}", value))
    return conditions, writes


def _change_key(revision: int) -> str:
    return f"{CHANGE_PREFIX}{max(revision, 0):012d}"


def _head_revision(row: Row | None) -> int:
    return int(row.value) if row else 0
