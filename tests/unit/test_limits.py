"""A node's knowledge of limits: which statement supersedes which, and how long it is kept."""

from __future__ import annotations

import structlog
from hypothesis import given
from hypothesis import strategies as st

from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.limits import LimitLedger, LimitStatement
from limedeck.forwarding.statements import UNLISTED_RETENTION
from limedeck.model import Backend
from limedeck.node.statement_log import StatementLog
from limedeck.node.telemetry import Telemetry


def rate_after(*statements: LimitStatement) -> float | None:
    ledger = LimitLedger()
    for statement in statements:
        ledger.record("a", statement)
    return ledger.rate("a")


def test_later_response_lifts_the_limit() -> None:
    named = LimitStatement(4.2, 1.0, 1.1)
    assert rate_after(named) == 4.2
    assert rate_after(named, LimitStatement(None, 1.1, 1.2)) is None


def test_response_to_an_earlier_request_does_not_lift_the_limit() -> None:
    assert rate_after(LimitStatement(4.2, 1.0, 1.1), LimitStatement(None, 1.05, 3.0)) == 4.2


def test_delayed_response_does_not_restore_a_former_limit() -> None:
    lifted = LimitStatement(None, 2.0, 2.1)
    assert rate_after(LimitStatement(4.2, 1.0, 1.1), lifted, LimitStatement(4.2, 1.2, 1.9)) is None


def test_stricter_of_two_concurrent_statements_applies() -> None:
    one, other = LimitStatement(40.0, 1.0, 1.2), LimitStatement(3.0, 1.1, 1.3)
    assert rate_after(one, other) == rate_after(other, one) == 3.0
    assert rate_after(one, other, LimitStatement(40.0, 1.3, 1.4)) == 40.0


def test_limit_does_not_expire_and_ends_with_the_incarnation() -> None:
    ledger = LimitLedger()
    ledger.record("a", LimitStatement(0.3, 1.0, 1.1))
    ledger.drop_unlisted({"a"}, 1e6)
    assert ledger.rate("a") == 0.3
    ledger.forget("a")
    assert ledger.rate("a") is None


def test_limit_of_an_unlisted_back_end_is_kept_for_the_retention() -> None:
    ledger = LimitLedger()
    ledger.record("a", LimitStatement(0.3, 1.0, 1.0))
    ledger.drop_unlisted({}, 1.0 + UNLISTED_RETENTION)
    assert ledger.rate("a") == 0.3
    ledger.drop_unlisted({}, 1.1 + UNLISTED_RETENTION)
    assert ledger.rate("a") is None


def test_changes_are_not_sent_back_to_their_source() -> None:
    ledger, peer, other = LimitLedger(), object(), object()
    ledger.record("a", LimitStatement(4.2, 1.0, 1.1), peer)
    assert ledger.updates_since(0, peer)[0] == []
    updates, version = ledger.updates_since(0, other)
    assert [(item.backend_id, item.statement.rate) for item in updates] == [("a", 4.2)]
    ledger.record("a", LimitStatement(4.2, 2.0, 2.1))
    assert ledger.updates_since(version, other)[0] == []
    ledger.record("a", LimitStatement(None, 3.0, 3.1))
    (lifted,) = ledger.updates_since(version, other)[0]
    assert lifted.statement.rate is None


STATEMENTS = st.builds(
    lambda rate, requested_at, took: LimitStatement(rate, requested_at, requested_at + took),
    st.sampled_from([None, 0.0, 0.3, 3.0, 40.0]),
    st.floats(0.0, 5.0),
    st.floats(0.001, 1.0),
)


@given(st.lists(STATEMENTS, max_size=12))
def test_statement_made_after_all_others_applies(
    earlier: list[LimitStatement],
) -> None:
    """The response to a request sent after all other responses states the limit that applies."""
    assert rate_after(*earlier, LimitStatement(7.0, 6.0, 6.1)) == 7.0
    assert (
        rate_after(LimitStatement(9.0, 0.0, 0.0), *earlier, LimitStatement(None, 6.0, 6.1)) is None
    )


def test_each_change_is_logged_once_with_its_source_and_counted() -> None:
    directory, telemetry = BackendDirectory("z1", "n"), Telemetry()
    directory.put(Backend("a", "s", "127.0.0.1:1", "z1", 2), 0.0)
    log = StatementLog(directory, telemetry)
    directory.limits.record("a", LimitStatement(4.2, 1.0, 1.1), object())
    with structlog.testing.capture_logs() as lines:
        log.log_events(1.5)
        log.log_events(1.6)
    (line,) = lines
    assert (line["backend"], line["limit"], line["source"], line["age"]) == ("a", 4.2, "node", 0.4)
    assert b'limedeck_limited_back_ends{service="s"} 1.0' in telemetry.exposition()
    directory.remove("a")
    log.log_events(2.0)
    assert b'limedeck_limited_back_ends{service="s"} 0.0' in telemetry.exposition()
