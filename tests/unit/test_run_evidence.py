"""Evidence that a request did not run: nothing else lets a caller be promised that."""

from __future__ import annotations

import pytest

from limedeck.errors import InvariantViolation
from limedeck.routing import outcomes, run_evidence
from limedeck.routing.outcomes import FailurePhase


def test_only_a_rejection_or_an_unsent_request_has_evidence_that_it_did_not_run() -> None:
    found = {phase for phase in FailurePhase if run_evidence.evidence_of(phase) is not None}
    assert found == outcomes.REJECTED_PHASES | outcomes.UNREACHED_PHASES


def test_request_that_was_never_sent_is_proved_not_to_have_run() -> None:
    proof = run_evidence.RunLedger().prove_not_run()
    assert proof is not None
    assert (proof.evidence, proof.summary) == ((), run_evidence.NEVER_SENT_LABEL)


def test_attempt_that_has_not_ended_leaves_nothing_to_promise() -> None:
    ledger = run_evidence.RunLedger()
    ledger.begin_attempt("a").phase = FailurePhase.NOT_CONNECTED
    ledger.begin_attempt("b")
    assert ledger.may_have_run
    assert ledger.prove_not_run() is None
    with pytest.raises(InvariantViolation, match="b: not ended"):
        run_evidence.NotRunProof(ledger)


@pytest.mark.parametrize("phase", sorted(set(FailurePhase) - outcomes.SURELY_NOT_RUN, key=str))
def test_later_rejection_does_not_hide_that_an_earlier_attempt_may_have_run(
    phase: FailurePhase,
) -> None:
    ledger = run_evidence.RunLedger()
    ledger.begin_attempt("a").phase = phase
    ledger.begin_attempt("b").phase = FailurePhase.REFUSED
    assert ledger.prove_not_run() is None


def test_proof_has_the_evidence_of_each_attempt() -> None:
    ledger = run_evidence.RunLedger()
    ledger.begin_attempt("a").phase = FailurePhase.TURNED_AWAY
    ledger.begin_attempt("b").phase = FailurePhase.REFUSED
    proof = ledger.prove_not_run()
    assert proof is not None
    expected = (outcomes.NotRunEvidence.TURNED_AWAY, outcomes.NotRunEvidence.STATED)
    assert (proof.evidence, proof.summary) == (expected, "stated")
