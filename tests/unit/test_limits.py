"""What a node believes of limits: which word is the newer one, and how long it is believed."""

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


def told(*statements: LimitStatement) -> float | None:
    ledger = LimitLedger()
    for statement in statements:
        ledger.record("a", statement)
    return ledger.rate("a")


def test_an_answer_names_a_limit_and_a_later_one_lifts_it() -> None:
    named = LimitStatement(4.2, 1.0, 1.1)
    assert told(named) == 4.2
    assert told(named, LimitStatement(None, 1.1, 1.2)) is None


def test_an_answer_that_was_asked_for_before_the_limit_was_heard_does_not_lift_it() -> None:
    assert told(LimitStatement(4.2, 1.0, 1.1), LimitStatement(None, 1.05, 3.0)) == 4.2


def test_an_answer_on_its_way_for_long_does_not_bring_a_former_limit_back() -> None:
    lifted = LimitStatement(None, 2.0, 2.1)
    assert told(LimitStatement(4.2, 1.0, 1.1), lifted, LimitStatement(4.2, 1.2, 1.9)) is None


def test_of_two_that_were_on_their_way_together_the_stricter_one_is_believed() -> None:
    one, other = LimitStatement(40.0, 1.0, 1.2), LimitStatement(3.0, 1.1, 1.3)
    assert told(one, other) == told(other, one) == 3.0
    assert told(one, other, LimitStatement(40.0, 1.3, 1.4)) == 40.0


def test_a_limit_is_believed_however_old_it_is_and_ends_with_the_life() -> None:
    ledger = LimitLedger()
    ledger.record("a", LimitStatement(0.3, 1.0, 1.1))
    ledger.drop_unlisted({"a"}, 1e6)
    assert ledger.rate("a") == 0.3
    ledger.forget("a")
    assert ledger.rate("a") is None


def test_a_limit_of_one_that_is_not_listed_is_kept_until_nodes_have_heard_of_its_entry() -> None:
    ledger = LimitLedger()
    ledger.record("a", LimitStatement(0.3, 1.0, 1.0))
    ledger.drop_unlisted({}, 1.0 + UNLISTED_RETENTION)
    assert ledger.rate("a") == 0.3
    ledger.drop_unlisted({}, 1.1 + UNLISTED_RETENTION)
    assert ledger.rate("a") is None


def test_others_are_told_what_they_did_not_tell() -> None:
    ledger, peer, other = LimitLedger(), object(), object()
    ledger.record("a", LimitStatement(4.2, 1.0, 1.1), peer)
    assert ledger.updates_since(0, peer)[0] == []
    news, version = ledger.updates_since(0, other)
    assert [(item.backend_id, item.statement.rate) for item in news] == [("a", 4.2)]
    ledger.record("a", LimitStatement(4.2, 2.0, 2.1))
    assert ledger.updates_since(version, other)[0] == []
    ledger.record("a", LimitStatement(None, 3.0, 3.1))
    (lifted,) = ledger.updates_since(version, other)[0]
    assert lifted.statement.rate is None


STATEMENTS = st.builds(
    lambda rate, asked, took: LimitStatement(rate, asked, asked + took),
    st.sampled_from([None, 0.0, 0.3, 3.0, 40.0]),
    st.floats(0.0, 5.0),
    st.floats(0.001, 1.0),
)


@given(st.lists(STATEMENTS, max_size=12))
def test_the_last_word_wins_whatever_came_before_and_in_which_order(
    earlier: list[LimitStatement],
) -> None:
    """A request that is sent once all others are answered tells what holds."""
    assert told(*earlier, LimitStatement(7.0, 6.0, 6.1)) == 7.0
    assert told(LimitStatement(9.0, 0.0, 0.0), *earlier, LimitStatement(None, 6.0, 6.1)) is None


def test_each_change_is_told_once_with_its_source_and_counted() -> None:
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
