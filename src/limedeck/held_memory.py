"""Decides what a process holds in memory for others, within a bound, and who is broken off.

A pure object: sizes and the node's clock go in, commands come out.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from limedeck.identity import Seconds

MEGABYTE = 1_000_000
USABLE_SHARE = 0.7
"""Part of the machine's memory that the process may fill; the rest is for the allocator's gaps, for
copies while a message is assembled, and for what the kernel counts as the process's."""
PROCESS_BASE = 64 * MEGABYTE
"""Bytes of a process at rest that knows a configuration, owners and back ends."""
LEAST_LIMIT = 16 * MEGABYTE
"""Bytes that are held at least, however small the machine: less than one large response would
refuse what a node is for."""
REFUSAL_SHARE = 0.85
"""Part of the bound from which on new requests are refused: the rest is for the responses to the
requests that were admitted before."""
LARGE_RESPONSE_SHARE = 0.7
"""Part of the bound up to which large responses are expected: below `REFUSAL_SHARE`, so that
requests for small responses are not refused because of those for large ones."""
JUDGED_AFTER: Seconds = 0.25
"""Age from which on the speed of a reader is known well enough: several round trips."""
PROMPT_READ: Seconds = 5.0
"""A reader that needs more time than this for what remains is slow. Callers' deadlines are a few
seconds, so one that needs longer gains least from what is held for it."""
UNREAD_TIMEOUT: Seconds = 60.0
"""Time within which a reader must take something: the time after which a connection without a
request is closed. Responses that are ready are delivered late, too, as long as they are read. It
is no shorter, since the buffers below the process move in steps of up to 64 KB, which a reader of
2,000 bytes a second takes half a minute to empty. No back end waits for a reader: its response is
received completely before the first byte is written to the caller."""


class Purpose(enum.Enum):
    """What memory is held for: a label of metrics.

    REQUESTS
        Bodies of requests that are being received, sent, or kept for a retry.
    RECEIVED
        Responses that are being received.
    UNREAD
        Responses that their callers have not read yet.
    OTHER_NODES
        Requests of other nodes, and responses to them.
    CONNECTIONS
        What each connection takes by itself.
    """

    REQUESTS = "requests"
    RECEIVED = "received"
    UNREAD = "unread"
    OTHER_NODES = "other-nodes"
    CONNECTIONS = "connections"


class BreakOffCause(enum.Enum):
    """Why a holder is broken off: a field of log lines and a label of metrics."""

    SLOW_READER = "slow-reader"
    UNREAD = "unread"
    MEMORY_EXHAUSTED = "memory-exhausted"


SHARES: Mapping[Purpose, float] = {
    Purpose.REQUESTS: 0.3,
    Purpose.RECEIVED: 0.4,
    Purpose.UNREAD: 0.4,
    Purpose.OTHER_NODES: 0.3,
}
"""Parts of the bound by purpose. They exceed one together: not all purposes need memory at a time.
Connections have the whole bound, as idle ones harm nobody below it."""


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Bounds of what is held, in bytes; None: no bound.

    Parameters
    ----------
    total
        Bound of the sum.
    by_purpose
        Bounds of single purposes.
    """

    total: int | None = None
    by_purpose: Mapping[Purpose, int] = field(default_factory=dict)


def limits_for_machine(memory: int, largest_received: int) -> MemoryLimits:
    """Return the limits for a machine's memory in bytes.

    Parameters
    ----------
    largest_received
        Upper bound for responses being received, whatever the machine's memory.
    """
    total = max(int(memory * USABLE_SHARE) - PROCESS_BASE, LEAST_LIMIT)
    by_purpose = {purpose: int(total * share) for purpose, share in SHARES.items()}
    by_purpose[Purpose.RECEIVED] = min(by_purpose[Purpose.RECEIVED], largest_received)
    return MemoryLimits(total, by_purpose)


@dataclass(slots=True, eq=False)
class Holder:
    """One thing that memory is held for.

    Parameters
    ----------
    size
        Bytes that are held now; set by the account alone.
    opened_at, progressed_at
        When it was opened, and when its reader last took something, on the node's clock.
    taken
        Bytes that its reader has taken.
    is_open
        Whether it still counts.
    is_needed
        Whether it is never broken off: a request that may be at a back end, or a response that is
        about to be written.
    """

    purpose: Purpose
    opened_at: Seconds
    progressed_at: Seconds
    size: int = 0
    taken: int = 0
    is_open: bool = True
    is_needed: bool = False

    def age(self, now: Seconds) -> Seconds:
        """Time since it was opened."""
        return max(now - self.opened_at, 0.0)

    def speed(self, now: Seconds) -> float:
        """Bytes per second that its reader has taken on average.

        What the kernel's buffers took counts too, so that a new reader is judged leniently.
        """
        age = self.age(now)
        return self.taken / age if age > 0.0 else 0.0

    def is_slow(self, now: Seconds) -> bool:
        """Whether its reader will need more than `PROMPT_READ` for what remains."""
        return self.age(now) >= JUDGED_AFTER and self.size > self.speed(now) * PROMPT_READ


@dataclass(frozen=True, slots=True)
class BreakOff:
    """Command: give up what a holder stands for; its bytes no longer count.

    Parameters
    ----------
    size, age, idle
        Bytes that were held, their age, and the time since their reader last took something.
    """

    holder: Holder
    cause: BreakOffCause
    size: int
    age: Seconds
    idle: Seconds


class MemoryAccount:
    """What a process holds, by purpose.

    Responses that nobody reads are given up before those that are still needed: above the share of
    `Purpose.UNREAD` the slowest readers are broken off; above the bound these, then readers whose
    speed is not known yet, then the largest that is being received. A reader that is not slow is
    broken off only if nothing else is left.

    Attributes
    ----------
    totals, total
        Bytes held by purpose, and together.
    promised
        Expected bytes of responses to requests in flight; they are not held yet.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        self.totals = dict.fromkeys(Purpose, 0)
        self.total = 0
        self.promised = 0
        self._holders: dict[Purpose, dict[Holder, None]] = {purpose: {} for purpose in Purpose}

    def open(self, purpose: Purpose, now: Seconds) -> Holder:
        """Add a holder that holds nothing yet."""
        holder = Holder(purpose, now, now)
        self._holders[purpose][holder] = None
        return holder

    def close(self, holder: Holder) -> None:
        """Remove a holder and its bytes; no effect if it is closed."""
        if not holder.is_open:
            return
        holder.is_open = False
        del self._holders[holder.purpose][holder]
        self._count(holder, 0)

    def resize(self, holder: Holder, size: int, now: Seconds) -> list[BreakOff]:
        """Record how much a holder holds now, and return who is broken off for it."""
        if not holder.is_open:
            return []
        grows = size > holder.size
        self._count(holder, size)
        return self._relieve(holder.purpose, now) if grows else []

    def record(self, holder: Holder, size: int, now: Seconds) -> None:
        """Record how much a holder holds now; nothing is decided.

        Parameters
        ----------
        size
            Bytes that counted elsewhere before, or that are left after a reader took some.
        """
        if not holder.is_open:
            return
        if size < holder.size:
            holder.taken += holder.size - size
            holder.progressed_at = now
        self._count(holder, size)

    def readers(self) -> list[Holder]:
        """Return the holders of responses that wait for their readers."""
        return list(self._holders[Purpose.UNREAD])

    def check_readers(self, now: Seconds) -> list[BreakOff]:
        """Return the readers that are broken off as time has passed."""
        expired = [
            self._break_off(holder, BreakOffCause.UNREAD, now)
            for holder in self.readers()
            if now - holder.progressed_at >= UNREAD_TIMEOUT
        ]
        return expired + self._relieve(Purpose.UNREAD, now)

    def exceeds(self, purpose: Purpose, growth: int = 0) -> bool:
        """Whether so much more would exceed the purpose's share or the bound."""
        share = self.limits.by_purpose.get(purpose)
        exceeds_share = share is not None and self.totals[purpose] + growth > share
        return exceeds_share or self._exceeds_total(growth)

    def has_room(self, purpose: Purpose, size: int = 0) -> bool:
        """Whether something new of this size may be held."""
        share = self.limits.by_purpose.get(purpose)
        if share is not None and self.totals[purpose] + size > share:
            return False
        total = self.limits.total
        return total is None or self.total + size <= total * REFUSAL_SHARE

    def has_room_for_response(self, size: int) -> bool:
        """Whether one more response of this size may be expected."""
        total = self.limits.total
        if total is None:
            return True
        expected = self.promised + size
        share = self.limits.by_purpose.get(Purpose.RECEIVED, total)
        return expected <= share and self.total + expected <= total * LARGE_RESPONSE_SHARE

    def _count(self, holder: Holder, size: int) -> None:
        change = size - holder.size
        holder.size = size
        self.totals[holder.purpose] += change
        self.total += change

    def _exceeds_total(self, growth: int = 0) -> bool:
        return self.limits.total is not None and self.total + growth > self.limits.total

    def _relieve(self, purpose: Purpose, now: Seconds) -> list[BreakOff]:
        broken_off: list[BreakOff] = []
        while self.exceeds(purpose):
            victim = self._next_victim(purpose, now)
            if victim is None:
                break
            broken_off.append(self._break_off(*victim, now))
        return broken_off

    def _next_victim(self, purpose: Purpose, now: Seconds) -> tuple[Holder, BreakOffCause] | None:
        """Return who is broken off next, or None if the growth is borne."""
        if not self._exceeds_total():
            if purpose is Purpose.UNREAD:
                return self._slowest_reader(now)
            return self._largest(purpose)
        return (
            self._slowest_reader(now)
            or self._slowest_unjudged_reader(now)
            or (self._newest_connection() if purpose is Purpose.CONNECTIONS else None)
            or self._largest(Purpose.RECEIVED)
            or self._largest(Purpose.OTHER_NODES)
            or self._largest(Purpose.REQUESTS)
            or self._largest(Purpose.UNREAD)
        )

    def _slowest_reader(self, now: Seconds) -> tuple[Holder, BreakOffCause] | None:
        slow = [item for item in self._holders[Purpose.UNREAD] if item.is_slow(now)]
        if not slow:
            return None
        return min(slow, key=lambda item: item.speed(now)), BreakOffCause.SLOW_READER

    def _slowest_unjudged_reader(self, now: Seconds) -> tuple[Holder, BreakOffCause] | None:
        """Return the reader that has taken least of those whose speed is not known yet."""
        readers = self._holders[Purpose.UNREAD]
        unjudged = [item for item in readers if item.size and item.age(now) < JUDGED_AFTER]
        if not unjudged:
            return None
        slowest = min(unjudged, key=lambda item: (item.taken, item.opened_at))
        return slowest, BreakOffCause.MEMORY_EXHAUSTED

    def _newest_connection(self) -> tuple[Holder, BreakOffCause] | None:
        newest = next(reversed(self._holders[Purpose.CONNECTIONS]), None)
        return (newest, BreakOffCause.MEMORY_EXHAUSTED) if newest is not None else None

    def _largest(self, purpose: Purpose) -> tuple[Holder, BreakOffCause] | None:
        holders = [item for item in self._holders[purpose] if item.size and not item.is_needed]
        if not holders:
            return None
        return max(holders, key=lambda item: item.size), BreakOffCause.MEMORY_EXHAUSTED

    def _break_off(self, holder: Holder, cause: BreakOffCause, now: Seconds) -> BreakOff:
        idle = max(now - holder.progressed_at, 0.0)
        command = BreakOff(holder, cause, holder.size, holder.age(now), idle)
        self.close(holder)
        return command
