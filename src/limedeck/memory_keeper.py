"""Carries out the decisions of a process's memory account."""

from __future__ import annotations

from collections.abc import Callable

from limedeck.clock import steady_clock
from limedeck.held_memory import BreakOff, Holder, MemoryAccount, MemoryLimits, Purpose
from limedeck.identity import Seconds

MEASURED_FOR: Seconds = 0.01
"""Time for which the measured sizes of unread responses are used for decisions."""


class Hold:
    """Memory that is held for one thing.

    Parameters
    ----------
    give_up
        Called when the account breaks it off.
    measure
        Returns the bytes that its reader has left unread; None: it has no reader.
    """

    __slots__ = ("_keeper", "give_up", "holder", "measure")

    def __init__(
        self,
        keeper: MemoryKeeper,
        holder: Holder,
        give_up: Callable[[], None],
        measure: Callable[[], int] | None,
    ) -> None:
        self._keeper = keeper
        self.holder = holder
        self.give_up = give_up
        self.measure = measure

    @property
    def is_open(self) -> bool:
        """Whether it has neither been closed nor broken off."""
        return self.holder.is_open

    def resize(self, size: int) -> None:
        """Record how much is held now; it, or others, may be broken off for it."""
        self._keeper.resize(self, size)

    def record(self, size: int) -> None:
        """Record how much is held now, of which the same bytes counted elsewhere before."""
        self._keeper.account.record(self.holder, size, steady_clock())

    def close(self) -> None:
        """Hold nothing any more; no effect if it was broken off."""
        self._keeper.close(self)


class MemoryKeeper:
    """Drives the memory account of one process.

    Parameters
    ----------
    on_break_off
        Called with each holder that is broken off.
    """

    def __init__(
        self, limits: MemoryLimits, on_break_off: Callable[[BreakOff], None] | None = None
    ) -> None:
        self.account = MemoryAccount(limits)
        self._on_break_off = on_break_off
        self._holds: dict[Holder, Hold] = {}
        self._measured_at: Seconds = 0.0

    def open(
        self,
        purpose: Purpose,
        give_up: Callable[[], None],
        measure: Callable[[], int] | None = None,
    ) -> Hold:
        """Begin to hold memory; nothing counts before its first size is recorded."""
        hold = Hold(self, self.account.open(purpose, steady_clock()), give_up, measure)
        self._holds[hold.holder] = hold
        return hold

    def close(self, hold: Hold) -> None:
        """Hold nothing any more."""
        self.account.close(hold.holder)
        self._holds.pop(hold.holder, None)

    def resize(self, hold: Hold, size: int) -> None:
        """Record how much is held, and break off whom the account chooses."""
        now = steady_clock()
        growth = size - hold.holder.size
        if growth > 0 and self.account.exceeds(hold.holder.purpose, growth):
            self._measure_readers(now, hold.holder)
        self._carry_out(self.account.resize(hold.holder, size, now))

    def check_readers(self) -> None:
        """Measure what readers have taken, and break off those that the account chooses."""
        now = steady_clock()
        self._measured_at = 0.0
        self._measure_readers(now)
        self._carry_out(self.account.check_readers(now))

    def _measure_readers(self, now: Seconds, growing: Holder | None = None) -> None:
        """Record what readers have taken; the size of the growing one is recorded by its growth."""
        if now - self._measured_at < MEASURED_FOR:
            return
        self._measured_at = now
        for holder in self.account.readers():
            measure = self._holds[holder].measure
            if measure is not None and holder is not growing:
                self.account.record(holder, measure(), now)

    def _carry_out(self, commands: list[BreakOff]) -> None:
        for command in commands:
            hold = self._holds.pop(command.holder)
            hold.give_up()
            if self._on_break_off is not None:
                self._on_break_off(command)
