"""Meanings of values in log lines, in words."""

from __future__ import annotations

from limedeck.forwarding.commands import RefusalReason
from limedeck.ownership.election_events import (
    Suspicion,
)
from limedeck.ownership.ranges import OwnerChangeCause
from limedeck.routing.outcomes import FailurePhase, Outcome

OUTCOMES = {
    Outcome.WHOLE: "answered",
    Outcome.NOT_RUN: "refused; no back end has run it, and none will",
    Outcome.UNKNOWN: "given up; a back end may have run it",
}
REASONS = {
    RefusalReason.NO_OWNER: "its key had no owner for as long as it could wait",
    RefusalReason.NO_BACKEND: "its service had no back end that may be used",
    RefusalReason.REFUSED: "back ends refused it, and there was no retry left",
    RefusalReason.OVERLOADED: "the back end's queue was estimated to be too long for it",
    RefusalReason.UNREACHABLE: "no back end could be reached",
    RefusalReason.RESPONSE_LOST: "a back end had received it, and the response was lost",
    RefusalReason.UNPROVEN_STATUS: (
        "a back end's status would have told the caller that it did not run, which nothing showed"
    ),
    RefusalReason.TIMED_OUT: "its time was over",
    RefusalReason.STOPPED: "the node's planned stop ended before the response came",
    RefusalReason.BAD_KEY: "it had no readable key",
    RefusalReason.QUARANTINED: "back ends had exited while they ran it",
    RefusalReason.EVACUATED: (
        "its key's owner is in a zone that is evacuated, and the key had not moved"
    ),
    RefusalReason.COLD: "its key's owner was cold",
    RefusalReason.LIMITED: "no back end that could run it had room: they name limits, or are cold",
    RefusalReason.BACKING_OFF: "every back end that could run it has requested back-off",
    RefusalReason.MEMORY_EXHAUSTED: "the node had no memory for it or for its response",
    RefusalReason.LEAVING: "every back end that could run it is leaving",
}
PHASES = {
    FailurePhase.NOT_CONNECTED: "no connection; nothing was sent",
    FailurePhase.NOT_SENT: "the connection broke before anything was sent",
    FailurePhase.TURNED_AWAY: "the new connection was reset before anything was sent",
    FailurePhase.REFUSED: "the back end said that it does not run it",
    FailurePhase.SENDING: "the connection broke while it was sent",
    FailurePhase.AWAITING: "it was sent, and no usable answer came",
    FailurePhase.LINK_LOST: "it was sent, and the node found that it does not reach the back end",
    FailurePhase.RECEIVING: "the response broke off",
    FailurePhase.ERROR_RESPONSE: "the back end responded with an error",
    FailurePhase.UNPROVEN_STATUS: (
        "the back end's status means that it did not run, which the back end did not state"
    ),
}
CAUSES = {
    OwnerChangeCause.FIRST: "first assignment",
    OwnerChangeCause.LEAVING: "the former owner leaves or is gone",
    OwnerChangeCause.SILENT: "the former owner answered no orders",
    OwnerChangeCause.FAILING: "the former owner fails",
    OwnerChangeCause.BALANCE: "to spread the load",
}
SUSPICIONS = {
    Suspicion.NO_RECORD: "there was none",
    Suspicion.SILENT: "the one before was silent",
    Suspicion.DENIED: "the one before had ended or given it up",
    Suspicion.STORE_UNREACHABLE: "the one before could not reach the store",
    Suspicion.STORE_RETURNED: "its election was lost when the store returned from a copy",
    Suspicion.RECORD_LOST: "another program had dropped or overwritten the record of its election",
}


def meaning_of_outcome(word: object) -> str:
    """Describe the outcome of a request."""
    return next((text for item, text in OUTCOMES.items() if item.value == word), str(word))


def meaning_of_reason(word: object) -> str:
    """Describe why a request was given up."""
    return next((text for item, text in REASONS.items() if item.value == word), str(word))


def meaning_of_phase(word: object) -> str:
    """Describe where an attempt failed."""
    return next((text for item, text in PHASES.items() if item.value == word), str(word))


def meaning_of_cause(word: object) -> str:
    """Describe why keys changed their owner."""
    return next((text for item, text in CAUSES.items() if item.value == word), str(word))


def meaning_of_suspicion(word: object) -> str:
    """Describe why a leader was elected."""
    return next((text for item, text in SUSPICIONS.items() if item.value == word), str(word))
