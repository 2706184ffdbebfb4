"""Statements that back ends make about themselves, and their exchange between nodes.

A statement belongs to one incarnation of a back end and was made at some time between the sending
of a request and the arrival of its response. Nodes receive statements in responses and from other
nodes, possibly late and in any order. Each type of statement defines which of two takes precedence.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar

from limedeck.identity import Seconds

UNLISTED_RETENTION: Seconds = 30.0
"""Retention for statements of unlisted back ends: another node may receive both the entry and the
statement first. Well above the time in which an entry reaches all nodes."""


class Statement(Protocol):
    """A single statement of one back end, with times on the local clock."""

    @property
    def requested_at(self) -> Seconds:
        """When the request was sent whose response made the statement."""

    @property
    def received_at(self) -> Seconds:
        """When the response arrived."""

    @property
    def is_default(self) -> bool:
        """Whether it equals the state of a back end that has made no statement."""

    def replaces(self, known: Self) -> bool:
        """Whether this statement supersedes the known one."""

    def is_equivalent(self, known: Self) -> bool:
        """Whether both state the same, regardless of their times."""


S = TypeVar("S", bound=Statement)


@dataclass(frozen=True, slots=True)
class StatementChanged(Generic[S]):
    """Event for logs: the statement in effect for a back end changed.

    Parameters
    ----------
    former
        The previous statement; None if there was none.
    from_peer
        True if another node sent the statement, False if it came in a response to this node.
    """

    backend_id: str
    former: S | None
    statement: S
    from_peer: bool


@dataclass(frozen=True, slots=True)
class StatementUpdate(Generic[S]):
    """A changed statement, as sent to another node."""

    backend_id: str
    statement: S


@dataclass(frozen=True, slots=True)
class _Known(Generic[S]):
    """A statement with the metadata for its propagation.

    Parameters
    ----------
    version
        Version of the ledger at the last change of content.
    source
        The peer that sent it; None for a response to this node.
    """

    statement: S
    version: int
    source: object


class StatementLedger(Generic[S]):
    """One node's knowledge of one type of statement, and the changes to send to other nodes.

    Parameters
    ----------
    unlisted_retention
        Retention for statements of unlisted back ends, in seconds.

    Attributes
    ----------
    events
        Changes since the host last emptied this list, for its log.
    on_change
        Called when there is a change to send to other nodes.
    """

    def __init__(self, unlisted_retention: Seconds = UNLISTED_RETENTION) -> None:
        self._known: dict[str, _Known[S]] = {}
        self._version = 0
        self._unlisted_retention = unlisted_retention
        self.events: list[StatementChanged[S]] = []
        self.on_change: Callable[[], None] = lambda: None

    def find(self, backend_id: str) -> S | None:
        """Return the statement in effect for a back end; None if there is none."""
        known = self._known.get(backend_id)
        return known.statement if known is not None else None

    def all_statements(self) -> Iterator[tuple[str, S]]:
        """Yield the statements in effect, by back end."""
        for backend_id, known in self._known.items():
            yield backend_id, known.statement

    def record(self, backend_id: str, statement: S, source: object = None) -> None:
        """Record a statement from a response or from another node, unless it is superseded.

        Parameters
        ----------
        source
            The peer that sent it; None for a response to this node.
        """
        known = self._known.get(backend_id)
        if known is None:
            # Avoids an entry for every back end that has made no statement.
            if not statement.is_default:
                self._put(backend_id, None, statement, source)
        elif not statement.replaces(known.statement):
            return
        elif statement.is_equivalent(known.statement):
            self._known[backend_id] = _Known(statement, known.version, known.source)
        else:
            self._put(backend_id, known.statement, statement, source)

    def put(self, backend_id: str, statement: S) -> None:
        """Record a local statement, replacing any known one unconditionally."""
        self._put(backend_id, self.find(backend_id), statement, None)

    def forget(self, backend_id: str) -> None:
        """Drop the statement of a back end whose incarnation has ended."""
        self._known.pop(backend_id, None)

    def drop_unlisted(self, listed: Container[str], now: Seconds) -> None:
        """Drop statements of unlisted back ends that are older than the retention."""
        for backend_id, known in list(self._known.items()):
            is_old = known.statement.received_at < now - self._unlisted_retention
            if is_old and backend_id not in listed:
                del self._known[backend_id]

    def updates_since(
        self, known_version: int, peer: object
    ) -> tuple[list[StatementUpdate[S]], int]:
        """Return the changes after version `known_version`, and the current version.

        Parameters
        ----------
        peer
            Receiver of the changes; those that it sent itself are left out.
        """
        if known_version == self._version:
            return [], known_version
        updates = [
            StatementUpdate(backend_id, known.statement)
            for backend_id, known in self._known.items()
            if known.version > known_version and known.source is not peer
        ]
        return updates, self._version

    def _put(self, backend_id: str, former: S | None, statement: S, source: object) -> None:
        self._version += 1
        self._known[backend_id] = _Known(statement, self._version, source)
        self.events.append(StatementChanged(backend_id, former, statement, source is not None))
        self.on_change()
