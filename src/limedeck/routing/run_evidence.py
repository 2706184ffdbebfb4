"""Evidence that no back end has run a request.

A caller that is told that its request did not run may send it again, even if it may run only once.
A `RunLedger` records what each attempt at a request showed, whichever way the attempt went. Telling
the caller so takes a `NotRunProof`, which a ledger gives only with evidence for every attempt.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.errors import InvariantViolation
from limedeck.routing.outcomes import EVIDENCE_OF_PHASE, FailurePhase, NotRunEvidence

NEVER_SENT_LABEL = "never-sent"
"""Summary of a proof for a request of which no attempt was made."""


def evidence_of(phase: FailurePhase | None) -> NotRunEvidence | None:
    """Return what shows that an attempt which failed in this phase did not run the request.

    Parameters
    ----------
    phase
        None: the attempt has not ended.
    """
    return EVIDENCE_OF_PHASE.get(phase) if phase is not None else None


@dataclass(slots=True, eq=False)
class RecordedAttempt:
    """One attempt at a request.

    Parameters
    ----------
    phase
        Phase in which it failed; None as long as it has not ended.
    """

    backend_id: str
    phase: FailurePhase | None = None

    def __str__(self) -> str:
        return f"{self.backend_id}: {self.phase.value if self.phase else 'not ended'}"


class RunLedger:
    """All attempts at one request, in the order in which they began."""

    def __init__(self) -> None:
        self._attempts: list[RecordedAttempt] = []

    @property
    def attempts(self) -> tuple[RecordedAttempt, ...]:
        """The attempts so far."""
        return tuple(self._attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have run the request, or may run it yet."""
        return any(evidence_of(attempt.phase) is None for attempt in self._attempts)

    def begin_attempt(self, backend_id: str) -> RecordedAttempt:
        """Record that an attempt begins; its phase is set when it fails."""
        attempt = RecordedAttempt(backend_id)
        self._attempts.append(attempt)
        return attempt

    def prove_not_run(self) -> NotRunProof | None:
        """Return a proof that no attempt has run the request; None if one may have run it."""
        return None if self.may_have_run else NotRunProof(self)


class NotRunProof:
    """A proof that no back end has run a request, and that none will.

    Attributes
    ----------
    evidence
        For each attempt, what shows that it did not run the request; empty if none was made.

    Raises
    ------
    InvariantViolation
        An attempt may have run the request.
    """

    def __init__(self, ledger: RunLedger) -> None:
        found = [evidence_of(attempt.phase) for attempt in ledger.attempts]
        self.evidence = tuple(item for item in found if item is not None)
        if len(self.evidence) < len(found):
            attempts = ", ".join(str(attempt) for attempt in ledger.attempts)
            raise InvariantViolation("not-run-needs-evidence", attempts)

    @property
    def summary(self) -> str:
        """The evidence of the last attempt, or that there was none."""
        return self.evidence[-1].value if self.evidence else NEVER_SENT_LABEL


NEVER_SENT = NotRunProof(RunLedger())
"""The proof for a request of which no attempt has been made."""
