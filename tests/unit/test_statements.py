"""A node's knowledge of back ends that are leaving and of requested back-offs."""

from __future__ import annotations

import structlog
from hypothesis import given
from hypothesis import strategies as st

from limedeck.api import control_pb2
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.backoffs import MAX_BACKOFF, RETRY_SPREAD, BackoffLedger
from limedeck.forwarding.leaving import LEAVING_RETENTION, LeavingLedger, LeavingStatement
from limedeck.model import Backend
from limedeck.node.leaving_updates import LeavingUpdatePeer
from limedeck.node.statement_log import StatementLog
from limedeck.node.telemetry import Telemetry


def listed(incarnation: int = 1, draining: bool = False) -> Backend:
    return Backend(f"a@{incarnation}", "s", "127.0.0.1:1", "z1", 2, draining, instance="a")


def test_announcements_and_revocations_are_sent_with_their_ages() -> None:
    ours, theirs = LeavingLedger(), LeavingLedger()
    our_peer, their_peer = LeavingUpdatePeer(ours), LeavingUpdatePeer(theirs)
    ours.record("a", LeavingStatement(True, 10.0, 10.25))
    assert our_peer.has_updates
    message = control_pb2.Report()
    our_peer.fill(message, 11.0)
    their_peer.apply(message, 501.0)
    assert theirs.leaving_since("a") == 500.25
    ours.revoke("a", 12.0)
    message = control_pb2.Report()
    our_peer.fill(message, 12.5)
    their_peer.apply(message, 502.5)
    assert theirs.leaving_backends() == []
    assert not our_peer.has_updates
    assert not their_peer.has_updates


def test_earliest_announcement_is_kept() -> None:
    ledger = LeavingLedger()
    ledger.record("a", LeavingStatement(True, 1.0, 1.5))
    ledger.record("a", LeavingStatement(True, 2.0, 2.5))
    assert ledger.leaving_since("a") == 1.5
    ledger.record("a", LeavingStatement(True, 0.5, 1.2), object())
    assert ledger.leaving_since("a") == 1.2


def test_leaving_survives_a_lapse_of_the_entry() -> None:
    directory = BackendDirectory("z1", "n")
    directory.put(listed(), 0.0)
    directory.leaving.record("a@1", LeavingStatement(True, 1.0, 1.1))
    directory.remove_instance("a")
    directory.drop_expired_statements(30.0)
    directory.put(listed(), 31.0)
    assert directory.leaving.leaving_since("a@1") == 1.1
    directory.put(listed(2), 32.0)
    assert directory.leaving.leaving_backends() == []


def test_entry_that_is_no_longer_draining_revokes_leaving() -> None:
    directory = BackendDirectory("z1", "n")
    directory.put(listed(draining=True), 0.0)
    directory.leaving.record("a@1", LeavingStatement(True, 1.0, 1.1))
    directory.put(listed(draining=True), 2.0)
    assert directory.leaving.leaving_backends() == ["a@1"]
    directory.put(listed(), 3.0)
    assert directory.leaving.leaving_backends() == []
    # A delayed announcement from another node must not override the revocation.
    directory.leaving.record("a@1", LeavingStatement(True, 1.2, 1.3), object())
    assert directory.leaving.leaving_backends() == []
    directory.leaving.record("a@1", LeavingStatement(True, 4.0, 4.1))
    assert directory.leaving.leaving_backends() == ["a@1"]


def test_entry_that_was_never_draining_does_not_revoke_leaving() -> None:
    directory = BackendDirectory("z1", "n")
    directory.put(listed(), 0.0)
    directory.leaving.record("a@1", LeavingStatement(True, 1.0, 1.1))
    directory.put(listed(), 5.0)
    assert directory.leaving.leaving_backends() == ["a@1"]


def test_unlisted_back_ends_are_dropped_after_the_retention() -> None:
    ledger = LeavingLedger()
    ledger.record("a", LeavingStatement(True, 1.0, 1.1))
    ledger.drop_unlisted({}, 1.0 + LEAVING_RETENTION)
    assert ledger.leaving_backends() == ["a"]
    ledger.drop_unlisted({}, 1.2 + LEAVING_RETENTION)
    assert ledger.leaving_backends() == []


@given(st.lists(st.tuples(st.floats(0, 9), st.floats(0, 9)), min_size=1, max_size=8))
def test_earliest_announcement_is_kept_in_any_order(times: list[tuple[float, float]]) -> None:
    ledger = LeavingLedger()
    for one, other in times:
        ledger.record("a", LeavingStatement(True, min(one, other), max(one, other)))
    assert ledger.leaving_since("a") == min(max(pair) for pair in times)


def test_later_response_does_not_shorten_a_backoff() -> None:
    ledger = BackoffLedger("n")
    ledger.record("a", 3.0, 10.0)
    ledger.record("a", 1.0, 10.5)
    backoff = ledger.find("a")
    assert backoff is not None
    assert backoff.ends_at == 13.0
    assert 13.0 <= backoff.resume_at <= 13.0 + RETRY_SPREAD


def test_nodes_resume_at_different_times() -> None:
    resume_times = set()
    for number in range(20):
        ledger = BackoffLedger(f"n{number}")
        ledger.record("a", 3.0, 10.0)
        backoff = ledger.find("a")
        assert backoff is not None
        resume_times.add(round(backoff.resume_at, 2))
    assert len(resume_times) >= 8


def test_requested_backoff_is_capped() -> None:
    ledger = BackoffLedger("n")
    ledger.record("a", 31_536_000.0, 10.0)
    backoff = ledger.find("a")
    assert backoff is not None
    assert backoff.ends_at == 10.0 + MAX_BACKOFF


def test_zero_seconds_start_no_backoff() -> None:
    ledger = BackoffLedger("n")
    ledger.record("a", 0.0, 10.0)
    assert ledger.find("a") is None


def test_only_a_request_sent_after_a_backoff_ends_it() -> None:
    ledger = BackoffLedger("n")
    ledger.record("a", 3.0, 10.0)
    ledger.record_served("a", 9.9)
    assert ledger.find("a") is not None
    ledger.record_served("a", 13.0 + RETRY_SPREAD)
    assert ledger.find("a") is None


def test_each_change_is_logged_and_counted() -> None:
    directory, telemetry = BackendDirectory("z1", "n"), Telemetry()
    directory.put(listed(), 0.0)
    log = StatementLog(directory, telemetry)
    with structlog.testing.capture_logs() as lines:
        directory.leaving.record("a@1", LeavingStatement(True, 1.0, 1.1))
        directory.backoffs.record("a@1", 3.0, 1.2)
        log.log_events(1.6)
        log.log_events(2.0)
        assert telemetry.exposition().count(b'_back_ends{service="s"} 1.0') == 2
        directory.backoffs.record_served("a@1", 5.0)
        log.log_events(5.1)
    logged = [(line["event"], line["backend"], line.get("age")) for line in lines]
    assert logged == [
        ("leaving_changed", "a@1", 0.5),
        ("rest_began", "a@1", 0.4),
        ("rest_ended", "a@1", None),
    ]
