"""What a node believes of the limits that back ends in need have named.

A back end that can bear less than usual names, in its answers, how many requests a second it takes
from all nodes together. It holds for as long as its answers say so: one that names none lifts it.
Nodes hear of it from their own answers and from each other, in any order.

A limit is believed until an answer changes it or the back end's life ends, however old it is. No
time ends it: after that time all nodes would send at once what the back end could not bear. It
costs callers little if it was lifted long ago unheard, since the first request shows that.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass

from limedeck.identity import Seconds

UNLISTED_LIFE: Seconds = 30.0
"""A limit of a back end that is not listed is remembered for so long: another node may have heard
of both its entry and its limit first. Far above the time in which all nodes hear of an entry."""


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What one answer told, on the clock of whoever holds this.

    The back end said it at some time between the two.

    Parameters
    ----------
    rate
        Requests a second that it takes from all nodes together; None: it names no limit.
    asked_at
        When the request was sent to it.
    heard_at
        When its answer came.
    """

    rate: float | None
    asked_at: Seconds
    heard_at: Seconds

    def replaces(self, known: LimitStatement) -> bool:
        """Whether this is to be believed rather than what is known.

        Of two that may have been said in either order the stricter one is: an answer that was on
        its way for long must not bring a former limit back, or lift one that was named meanwhile.
        A request that is sent after the last word of the old limit came brings the new one.
        """
        if self.asked_at >= known.heard_at:
            return True
        if known.asked_at >= self.heard_at:
            return False
        return _strictness(self.rate) <= _strictness(known.rate)


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """Event for logs: another limit is believed of a back end.

    Parameters
    ----------
    told
        By another node; else an answer to this one told it.
    """

    backend_id: str
    former: float | None
    statement: LimitStatement
    told: bool


@dataclass(frozen=True, slots=True)
class LimitNews:
    """What another node is told."""

    backend_id: str
    statement: LimitStatement


@dataclass(frozen=True, slots=True)
class _Known:
    """A statement, and what others need to know of it.

    Parameters
    ----------
    version
        Of the ledger when the rate changed.
    source
        Who told it; None for an answer to this node.
    """

    statement: LimitStatement
    version: int
    source: object


class LimitLedger:
    """One node's knowledge of limits, and what it has to tell others of them.

    Attributes
    ----------
    events
        What happened since the host last emptied this list, for its log.
    on_change
        Called when there is something new to tell others.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._version = 0
        self.events: list[LimitChanged] = []
        self.on_change: Callable[[], None] = lambda: None

    def rate(self, backend_id: str) -> float | None:
        """Return how many requests a second a back end takes; None if it names no limit."""
        known = self._known.get(backend_id)
        return known.statement.rate if known is not None else None

    def limited(self) -> dict[str, float]:
        """Return all limits that are in force, by back end."""
        return {
            backend_id: known.statement.rate
            for backend_id, known in self._known.items()
            if known.statement.rate is not None
        }

    def take(self, backend_id: str, statement: LimitStatement, source: object = None) -> None:
        """Take in what an answer told, or what another node tells.

        Parameters
        ----------
        source
            Who told it; None for an answer to this node.
        """
        known = self._known.get(backend_id)
        if known is None:
            # Most answers name no limit, of back ends that never named one.
            if statement.rate is not None:
                self._put(backend_id, None, statement, source)
        elif not statement.replaces(known.statement):
            return
        elif statement.rate == known.statement.rate:
            self._known[backend_id] = _Known(statement, known.version, known.source)
        else:
            self._put(backend_id, known.statement.rate, statement, source)

    def forget(self, backend_id: str) -> None:
        """A back end's life has ended, and its limit with it."""
        self._known.pop(backend_id, None)

    def drop_unlisted(self, listed: Container[str], now: Seconds) -> None:
        """Forget old limits of back ends that are not listed: their lives have ended."""
        for backend_id, known in list(self._known.items()):
            is_old = known.statement.heard_at < now - UNLISTED_LIFE
            if is_old and backend_id not in listed:
                del self._known[backend_id]

    def news_since(self, told: int, peer: object) -> tuple[list[LimitNews], int]:
        """Return what changed after a version, and up to which version that is.

        Parameters
        ----------
        peer
            It needs no news that came from itself.
        """
        if told == self._version:
            return [], told
        news = [
            LimitNews(backend_id, known.statement)
            for backend_id, known in self._known.items()
            if known.version > told and known.source is not peer
        ]
        return news, self._version

    def _put(
        self, backend_id: str, former: float | None, statement: LimitStatement, source: object
    ) -> None:
        self._version += 1
        self._known[backend_id] = _Known(statement, self._version, source)
        self.events.append(LimitChanged(backend_id, former, statement, source is not None))
        self.on_change()


def _strictness(rate: float | None) -> float:
    return float("inf") if rate is None else rate
