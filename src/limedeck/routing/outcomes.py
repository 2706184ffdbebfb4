"""What follows when an attempt to have a back end run a request fails: one table.

The row is where the attempt failed, the columns are whether the request may be repeated and
whether deadline and retry budget allow another attempt.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.errors import BackendError


class Outcome(enum.Enum):
    """What a caller is told, as the value of the answer's ``limedeck-outcome`` header.

    WHOLE
        The answer is the back end's, complete.
    NOT_RUN
        No back end has run the request, and none will.
    UNKNOWN
        A back end may have run the request, or may still do so.
    """

    WHOLE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FailurePhase(enum.Enum):
    """Where an attempt failed.

    NOT_CONNECTED
        No connection was there; nothing was sent.
    NOT_SENT
        A connection was there; no byte of the request had been sent.
    TURNED_AWAY
        A new connection was reset before anything was sent: the back end has too many, or too
        long a queue.
    REFUSED
        The back end said that it has not run and will not run the request.
    SENDING
        A part of the request had been sent.
    AWAITING
        All was sent; no byte of an answer came.
    ANSWERING
        A part of an answer came.
    ERROR_ANSWER
        The back end answered whole, that it failed.
    """

    NOT_CONNECTED = "not-connected"
    NOT_SENT = "not-sent"
    TURNED_AWAY = "turned-away"
    REFUSED = "refused"
    SENDING = "sending"
    AWAITING = "awaiting"
    ANSWERING = "answering"
    ERROR_ANSWER = "error-answer"


class Decision(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    ANSWER_NOT_RUN = "answer-not-run"
    ANSWER_UNKNOWN = "answer-unknown"


@dataclass
class AttemptFailed(BackendError):
    """An attempt had no whole answer.

    Parameters
    ----------
    phase
        Where it failed.
    problem
        Type of the library's error or what was wrong, for the log.
    by_other_end
        The other end closed the connection, or its system refused one.
    """

    phase: FailurePhase
    problem: str
    by_other_end: bool = False

    def __str__(self) -> str:
        return f"{self.phase.value}: {self.problem}"


FULL = frozenset({FailurePhase.TURNED_AWAY, FailurePhase.REFUSED})
"""The back end is there and took nothing more."""
UNREACHED = frozenset({FailurePhase.NOT_CONNECTED, FailurePhase.NOT_SENT})
"""Nothing of the request came to the back end, nor a connection for it."""
SURELY_NOT_RUN = FULL | UNREACHED


@dataclass(frozen=True)
class AttemptHistory:
    """What is known of a request's attempts so far.

    Parameters
    ----------
    repeatable
        The service allows the request to run more than once.
    maybe_run
        An earlier attempt may have run it.
    time_left, budget_left
        Another attempt fits before the deadline and into the retry budget.
    """

    repeatable: bool
    may_have_run: bool
    time_left: bool
    budget_left: bool


def decide(phase: FailurePhase, history: AttemptHistory) -> Decision:
    """Decide what follows a failed attempt.

    ======================  ==========  =================  ==================
    phase                   repeatable  may retry          may not retry
    ======================  ==========  =================  ==================
    surely not run          any         retry              not run (1)
    may have run            yes         retry              outcome unknown
    may have run            no          outcome unknown    outcome unknown
    ======================  ==========  =================  ==================

    (1) Outcome unknown when an earlier attempt may have run the request.
    """
    surely_not_run = phase in SURELY_NOT_RUN
    may_retry = history.time_left and history.budget_left
    if may_retry and (surely_not_run or history.repeatable):
        return Decision.RETRY
    if surely_not_run and not history.may_have_run:
        return Decision.ANSWER_NOT_RUN
    return Decision.ANSWER_UNKNOWN
