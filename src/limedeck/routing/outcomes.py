"""Decision table for failed attempts to send a request to a back end.

A row is the phase in which the attempt failed; the columns are whether the request may be repeated
and whether the deadline and the retry budget allow another attempt.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.errors import BackendError


class Outcome(enum.Enum):
    """What a caller learns about its request: the value of the ``limedeck-outcome`` header.

    WHOLE
        The response is the back end's, and complete.
    NOT_RUN
        No back end has run the request, and none will.
    UNKNOWN
        A back end may have run the request, or may still run it.
    """

    WHOLE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FailurePhase(enum.Enum):
    """Phase in which an attempt failed.

    NOT_CONNECTED
        There was no connection; nothing was sent.
    NOT_SENT
        There was a connection; no byte of the request had been sent.
    TURNED_AWAY
        A new connection was reset before anything was sent: the back end has too many connections
        or too long a queue.
    REFUSED
        The back end responded that it has not run the request and will not run it.
    SENDING
        Part of the request had been sent.
    AWAITING
        The whole request had been sent; no byte of a response had arrived.
    LINK_LOST
        The request had been sent, and this node was found not to reach the back end. It may have
        run, but has most likely added no load.
    RECEIVING
        Part of a response had arrived.
    ERROR_RESPONSE
        The back end sent a complete response that reports an error.
    UNPROVEN_STATUS
        The back end sent a complete response with a status by which callers learn that a request
        did not run, but did not state that.
    """

    NOT_CONNECTED = "not-connected"
    NOT_SENT = "not-sent"
    TURNED_AWAY = "turned-away"
    REFUSED = "refused"
    SENDING = "sending"
    AWAITING = "awaiting"
    LINK_LOST = "link-lost"
    RECEIVING = "answering"
    ERROR_RESPONSE = "error-answer"
    UNPROVEN_STATUS = "unproven-status"


class NotRunEvidence(enum.Enum):
    """What shows that an attempt has not run the request, and never will.

    NOT_CONNECTED
        There was no connection to the back end.
    NOT_SENT
        No byte of the request was written to a connection.
    TURNED_AWAY
        The back end reset the connection before a byte of the request was written.
    STATED
        The back end stated it in a response that names the request, on a connection that had
        carried no other attempt at it.
    """

    NOT_CONNECTED = "not-connected"
    NOT_SENT = "not-sent"
    TURNED_AWAY = "turned-away"
    STATED = "stated"


class Decision(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    ANSWER_NOT_RUN = "answer-not-run"
    ANSWER_UNKNOWN = "answer-unknown"


@dataclass
class AttemptFailed(BackendError):
    """An attempt got no complete response.

    Parameters
    ----------
    phase
        Phase in which it failed.
    problem
        Type of the library's error, or a description of the fault, for the log.
    by_other_end
        The back end closed the connection, or its host refused to open one.
    """

    phase: FailurePhase
    problem: str
    by_other_end: bool = False

    @property
    def is_reset_without_response(self) -> bool:
        """Whether the other end closed a connection without a byte of a response."""
        is_unanswered = self.by_other_end and self.phase in UNANSWERED_PHASES
        return is_unanswered or self.phase is FailurePhase.TURNED_AWAY

    def __str__(self) -> str:
        return f"{self.phase.value}: {self.problem}"


REJECTED_PHASES = frozenset({FailurePhase.TURNED_AWAY, FailurePhase.REFUSED})
"""The back end was reached but accepts no more connections or requests."""
UNREACHED_PHASES = frozenset({FailurePhase.NOT_CONNECTED, FailurePhase.NOT_SENT})
"""No part of the request reached the back end, which did not reject it either."""
UNANSWERED_PHASES = frozenset({FailurePhase.SENDING, FailurePhase.AWAITING})
"""Part of the request was sent, and no part of a response arrived."""
NO_LOAD_PHASES = UNREACHED_PHASES | {FailurePhase.LINK_LOST}
"""Attempts that do not count against the retry budget, which bounds the load of retries."""
EVIDENCE_OF_PHASE = {
    FailurePhase.NOT_CONNECTED: NotRunEvidence.NOT_CONNECTED,
    FailurePhase.NOT_SENT: NotRunEvidence.NOT_SENT,
    FailurePhase.TURNED_AWAY: NotRunEvidence.TURNED_AWAY,
    FailurePhase.REFUSED: NotRunEvidence.STATED,
}
"""What shows that an attempt did not run the request, by the phase in which it failed. An attempt
that failed in another phase may have run it."""
SURELY_NOT_RUN = frozenset(EVIDENCE_OF_PHASE)


@dataclass(frozen=True)
class AttemptHistory:
    """What is known about a request and its earlier attempts when one fails.

    Parameters
    ----------
    repeatable
        The service allows the request to run more than once.
    may_have_run
        An earlier attempt may have run it.
    time_left, budget_left
        The deadline and the retry budget allow another attempt.
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
