"""Moves of slices from one owner to another."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from limedeck.identity import BackendId, Seconds


class MovePhase(enum.Enum):
    """Phase of a move.

    WARMING
        The target preloads the slice; the source still serves it.
    RELEASING
        The source is told to release the slice; no back end is granted it.
    COMMITTING
        The source has released the slice or its lease has lapsed; the log entry with the new
        owner is being replicated.
    """

    WARMING = "warming"
    RELEASING = "releasing"
    COMMITTING = "committing"


@dataclass
class MoveProgress:
    """Progress of one slice's move.

    Parameters
    ----------
    start
        Start of the slice.
    phase_since
        Time on the leader's clock when the phase began.
    log_index
        Index of the log entry with the new owner, set in the last phase.
    """

    start: int
    source: BackendId
    target: BackendId
    phase: MovePhase
    phase_since: Seconds
    log_index: int = 0

    def enter(self, phase: MovePhase, now: Seconds) -> None:
        """Enter a later phase."""
        self.phase = phase
        self.phase_since = now


class MoveTable:
    """All moves of a group that are in progress."""

    def __init__(self) -> None:
        self._moves: dict[int, MoveProgress] = {}

    def __len__(self) -> int:
        return len(self._moves)

    def __contains__(self, start: int) -> bool:
        return start in self._moves

    def begin(self, move: MoveProgress) -> None:
        """Add a move; it replaces a move of the same slice that is still warming."""
        self._moves[move.start] = move

    def drop(self, move: MoveProgress) -> None:
        """Remove a move."""
        self._moves.pop(move.start, None)

    def get(self, start: int) -> MoveProgress | None:
        """Return the move of a slice, if there is one."""
        return self._moves.get(start)

    def in_phase(self, phase: MovePhase) -> list[MoveProgress]:
        """All moves in this phase."""
        return [move for move in self._moves.values() if move.phase is phase]

    def withheld_starts(self) -> set[int]:
        """Starts of slices that must not be granted to any back end."""
        return {move.start for move in self._moves.values() if move.phase is not MovePhase.WARMING}

    def warm_starts(self, target: BackendId) -> list[int]:
        """Starts of slices that a back end should preload."""
        return sorted(move.start for move in self._moves.values() if move.target == target)

    def releasing_sources(self) -> set[BackendId]:
        """Back ends that are releasing slices."""
        return {move.source for move in self.in_phase(MovePhase.RELEASING)}

    def finish_committed(self, commit_index: int) -> list[MoveProgress]:
        """Remove and return the moves whose log entry is committed."""
        finished = [
            move for move in self.in_phase(MovePhase.COMMITTING) if move.log_index <= commit_index
        ]
        for move in finished:
            self.drop(move)
        return finished

    def drop_all(self, moves: Iterable[MoveProgress]) -> None:
        """Remove these moves."""
        for move in moves:
            self.drop(move)
